package gate

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/engine/conn"
	"github.com/jujubescale/jujubescale/internal/flow/crash"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/route/view"
	"github.com/jujubescale/jujubescale/internal/serve/target"
)

const (
	// maxLooks bounds the looks at endpoints that wait, maxProbes those that are made
	// at a time.
	maxLooks  = 512
	maxProbes = 16
	// probeTime bounds one look: an endpoint that has ended refuses connections at
	// once.
	probeTime = 250 * clock.Millis(1)
	// keepOpenEnded is how long after its end an attempt without a whole answer still
	// counts among those that its endpoint works on: the entry of an endpoint that
	// crashed goes some seconds later.
	keepOpenEnded = 5 * clock.Second
	// maxOpenEnded bounds those attempts.
	maxOpenEnded = 2048
)

// unfinished is an attempt that ended without a whole answer, at an endpoint that may have
// crashed under it.
type unfinished struct {
	request string
	key     crash.Key
	target  *target.Target
	at      clock.Millis
}

// crashWatch finds out which endpoints crashed under which requests.
type crashWatch struct {
	looks chan unfinished

	mu sync.Mutex
	// openEnded are the attempts that this process has ended, or that were answered a
	// failure, by endpoint.
	openEnded map[*view.Endpoint][]unfinished
	count     int
}

func newCrashWatch() *crashWatch {
	return &crashWatch{looks: make(chan unfinished, maxLooks), openEnded: make(map[*view.Endpoint][]unfinished)}
}

// crashKey names what the request asks for among all requests.
func (r *request) crashKey() crash.Key {
	if r.key == (crash.Key{}) {
		host, _, _ := strings.Cut(strings.ToLower(r.host), ":")
		r.key = crash.KeyOf(r.organisation, r.method, host, r.target, r.body)
	}
	return r.key
}

// QuarantineSubject names a request where its owner is chosen, rank 0, or a deputy.
func QuarantineSubject(key crash.Key, rank int) string {
	return fmt.Sprintf("quarantine/%s/%d", key, rank)
}

// refuseQuarantined refuses a request that has crashed too many endpoints, before it
// begins.
func (g *Gate) refuseQuarantined(req *request) *fault.RefusalError {
	left := g.quarantineLeft(req)
	if left == 0 {
		return nil
	}
	if now := g.Clock.Now(); g.crashes.TrialDue(req.crashKey(), now) && g.mesh.Owns(QuarantineSubject(req.crashKey(), 0)) {
		req.trial = true
		return nil
	}
	return refusalOf(req, left)
}

// refuseAttempt refuses one more attempt of a request that was quarantined after it had
// begun. A trial has one.
func (g *Gate) refuseAttempt(req *request) *fault.RefusalError {
	left := g.quarantineLeft(req)
	if left == 0 {
		return nil
	}
	if req.trial && req.sent == 0 && g.crashes.TakeTrial(req.crashKey(), g.Clock.Now()) {
		g.Log.Info("quarantined request tried", "request", req.Request, "key", req.crashKey())
		return nil
	}
	return refusalOf(req, left)
}

func (g *Gate) quarantineLeft(req *request) clock.Millis {
	if g.crashes.Empty() {
		return 0
	}
	return g.crashes.QuarantineLeft(req.crashKey(), g.Clock.Now())
}

func refusalOf(req *request, left clock.Millis) *fault.RefusalError {
	return &fault.RefusalError{
		Reason: fault.Quarantined, Ran: fault.NotRun, RetryAfter: left,
		Detail: "endpoints crashed under this request, key " + req.crashKey().String(),
	}
}

// noteAttempt takes the end of an attempt.
func (g *Gate) noteAttempt(ctx context.Context, req *request, t *target.Target, result result) {
	b := unfinished{request: req.Request, target: t, at: g.Clock.Now()}
	switch {
	case result.end == answered && result.err == nil && req.status < http.StatusInternalServerError:
		if !g.crashes.Empty() && g.crashes.RecordAnswer(req.crashKey()) {
			g.Log.Info("suspected request answered", "request", req.Request, "key", req.crashKey())
		}
	case result.end == broken && ctx.Err() == nil:
		b.key = req.crashKey()
		g.look(b)
	case result.end == unsent:
		if req.trial {
			g.crashes.ReturnTrial(req.crashKey())
		}
		if errors.Is(result.cause, syscall.ECONNREFUSED) && g.watch.left(t.Endpoint) {
			g.look(b)
		}
	case result.end == notRun || result.end == inputsGone:
	default:
		b.key = req.crashKey()
		g.watch.leave(b)
	}
}

// look has an endpoint looked at.
func (g *Gate) look(b unfinished) {
	select {
	case g.watch.looks <- b:
	default:
		g.Log.Info("endpoint not looked at", "request", b.request, "endpoint", b.target.ID)
	}
}

// CheckRemovedEndpoint has an endpoint looked at whose entry is gone.
func (g *Gate) CheckRemovedEndpoint(e *view.Endpoint) {
	if g.watch.left(e) {
		g.look(unfinished{target: g.targets.Of(e), at: g.Clock.Now()})
	}
}

// leave notes an attempt that this process has ended, or whose answer was a failure.
func (w *crashWatch) leave(b unfinished) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.count >= maxOpenEnded {
		w.forget(b.at)
	}
	if w.count < maxOpenEnded {
		w.openEnded[b.target.Endpoint] = append(w.openEnded[b.target.Endpoint], b)
		w.count++
	}
}

// forget drops what is too old; the caller holds the lock.
func (w *crashWatch) forget(now clock.Millis) {
	w.count = 0
	for e, all := range w.openEnded {
		kept := all[:0]
		for _, b := range all {
			if now-b.at <= keepOpenEnded {
				kept = append(kept, b)
			}
		}
		if w.openEnded[e] = kept; len(kept) == 0 {
			delete(w.openEnded, e)
		}
		w.count += len(kept)
	}
}

// left reports whether attempts were left at an endpoint.
func (w *crashWatch) left(e *view.Endpoint) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.openEnded[e]) > 0
}

// take returns the attempts that were left at an endpoint lately, once.
func (w *crashWatch) take(e *view.Endpoint, now clock.Millis) []unfinished {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.forget(now)
	all := w.openEnded[e]
	w.count -= len(all)
	delete(w.openEnded, e)
	return all
}

// WatchCrashes looks at endpoints where attempts broke off until the context ends.
func (g *Gate) WatchCrashes(ctx context.Context) {
	var probes sync.WaitGroup
	defer probes.Wait()
	places := make(chan struct{}, maxProbes)
	for {
		select {
		case b := <-g.watch.looks:
			places <- struct{}{}
			probes.Go(func() {
				defer func() { <-places }()
				g.judge(ctx, b)
			})
		case <-ctx.Done():
			return
		}
	}
}

// judge counts a crash under each request that its endpoint worked on, if that has
// ended.
func (g *Gate) judge(ctx context.Context, b unfinished) {
	if !crashed(ctx, b.target) {
		return
	}
	all := g.watch.take(b.target.Endpoint, g.Clock.Now())
	if b.key != (crash.Key{}) {
		all = append(all, b)
	}
	endpoint := b.target.ID + "/" + strconv.FormatInt(b.target.StartedAt, 10)
	for _, under := range all {
		crashes, begins := g.crashes.RecordCrash(under.key, endpoint, g.Clock.Now())
		g.meter.crashes.WithLabelValues(b.target.Pool).Inc()
		g.Log.Info("endpoint crashed under request", "request", under.request, "key", under.key, "pool", b.target.Pool,
			"endpoint", b.target.ID, "born", b.target.StartedAt, "endedMs", int64(g.Clock.Since(under.at)), "crashes", crashes)
		if begins {
			g.noteQuarantine(under.key, "crashes here")
		}
	}
}

// crashed reports whether an endpoint has ended without having been emptied before:
// nothing listens at its address any more, or it has started again.
func crashed(ctx context.Context, t *target.Target) bool {
	switch {
	case t.Leaving():
		return false
	case t.Restarted():
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, probeTime.Duration())
	defer cancel()
	opened, err := conn.Dial(ctx, "tcp", t.Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = opened.Close() // nothing was sent
	return false
}

func (g *Gate) noteQuarantine(key crash.Key, cause string) {
	g.meter.quarantines.Inc()
	g.Log.Warn("request quarantined", "key", key, "cause", cause, "forMs", int64(crash.QuarantineTime))
}

// Quarantines returns the book of requests under which endpoints crashed.
func (g *Gate) Quarantines() *crash.Tracker { return g.crashes }

// UnsentCrashes returns what peers have not been sent yet of requests under which
// endpoints crashed.
func (g *Gate) UnsentCrashes() []wire.Crash {
	reports, dropped := g.crashes.TakeUnsent()
	if dropped > 0 {
		g.Log.Warn("crashes not reported", "dropped", dropped)
	}
	var crashes []wire.Crash
	for _, report := range reports {
		crashes = append(crashes, wire.Crash{Key: report.Key[:], Endpoint: report.Endpoint, Cleared: report.Cleared})
	}
	return crashes
}

// AddPeerCrashes takes what a peer learned.
func (g *Gate) AddPeerCrashes(crashes []wire.Crash) {
	reports := make([]crash.Report, 0, len(crashes))
	for _, c := range crashes {
		if len(c.Key) == len(crash.Key{}) {
			reports = append(reports, crash.Report{Key: crash.Key(c.Key), Endpoint: c.Endpoint, Cleared: c.Cleared})
		}
	}
	for _, key := range g.crashes.AddReports(reports, g.Clock.Now()) {
		g.noteQuarantine(key, "crashes at peers")
	}
}

// SetQuarantines takes what the platform's store holds.
func (g *Gate) SetQuarantines(listed []crash.Stored) {
	began, lifted := g.crashes.SetStored(listed, g.Clock.Now())
	for _, key := range began {
		g.noteQuarantine(key, "platform's store")
	}
	for _, key := range lifted {
		g.Log.Info("quarantine lifted", "key", key)
	}
}
