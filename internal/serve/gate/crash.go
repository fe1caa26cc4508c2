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
	// maxQueuedProbes bounds the queued probes of endpoints, maxProbes the concurrent ones.
	maxQueuedProbes = 512
	maxProbes       = 16
	// probeTimeout bounds one probe. An endpoint that has ended refuses connections at
	// once.
	probeTimeout = 250 * clock.Millis(1)
	// keepUnfinished is how long after its end an attempt without a complete answer counts
	// as work that its endpoint may still run: the entry of a crashed endpoint is removed
	// some seconds after the crash.
	keepUnfinished = 5 * clock.Second
	// maxUnfinished bounds the number of those attempts.
	maxUnfinished = 2048
)

// unfinishedAttempt is an attempt that ended without a complete answer at an endpoint that
// may have crashed while it ran the request.
type unfinishedAttempt struct {
	request string
	key     crash.Key
	target  *target.Target
	at      clock.Millis
	// parts are the keys of the prompt's shared parts, events the events of the attempt.
	parts  []target.Key
	events int
}

// crashDetector holds the probes to run and the attempts that a crash would be counted for.
type crashDetector struct {
	probes chan unfinishedAttempt

	mu sync.Mutex
	// byEndpoint holds the attempts that this process has ended or that were answered with
	// a failure.
	byEndpoint map[*view.Endpoint][]unfinishedAttempt
	count      int
}

func newCrashDetector() *crashDetector {
	return &crashDetector{probes: make(chan unfinishedAttempt, maxQueuedProbes), byEndpoint: make(map[*view.Endpoint][]unfinishedAttempt)}
}

// crashKey returns a key of the request's organisation and content, which is the same
// whenever a caller repeats the request.
func (r *request) crashKey() crash.Key {
	if r.crashID == (crash.Key{}) {
		host, _, _ := strings.Cut(strings.ToLower(r.host), ":")
		r.crashID = crash.KeyOf(r.organisation, r.method, host, r.target, r.body)
	}
	return r.crashID
}

// QuarantineSubject returns the subject by which the owner of a quarantined request is
// chosen: rank 0 for the owner, higher ranks for its deputies.
func QuarantineSubject(key crash.Key, rank int) string {
	return fmt.Sprintf("quarantine/%s/%d", key, rank)
}

// refuseQuarantined refuses a new request that is quarantined because it crashed too many
// endpoints. The owner of the quarantine admits one trial when it is due.
func (g *Gate) refuseQuarantined(req *request) *fault.RefusalError {
	remaining := g.quarantineRemaining(req)
	if remaining == 0 {
		return nil
	}
	if now := g.Clock.Now(); g.crashes.TrialDue(req.crashKey(), now) && g.mesh.Owns(QuarantineSubject(req.crashKey(), 0)) {
		req.quarantineTrial = true
		return nil
	}
	return quarantineRefusal(req, remaining)
}

// refuseQuarantinedAttempt refuses the next attempt of a request that was quarantined after
// it was admitted. A trial has one attempt.
func (g *Gate) refuseQuarantinedAttempt(req *request) *fault.RefusalError {
	remaining := g.quarantineRemaining(req)
	if remaining == 0 {
		return nil
	}
	if req.quarantineTrial && req.sentCount == 0 && g.crashes.TakeTrial(req.crashKey(), g.Clock.Now()) {
		g.Log.Info("quarantined request tried", "request", req.Request, "key", req.crashKey())
		return nil
	}
	return quarantineRefusal(req, remaining)
}

func (g *Gate) quarantineRemaining(req *request) clock.Millis {
	if g.crashes.Empty() {
		return 0
	}
	return g.crashes.QuarantineLeft(req.crashKey(), g.Clock.Now())
}

func quarantineRefusal(req *request, remaining clock.Millis) *fault.RefusalError {
	return &fault.RefusalError{
		Reason: fault.Quarantined, Ran: fault.NotRun, RetryAfter: remaining,
		Detail: "endpoints crashed while they ran this request, key " + req.crashKey().String(),
	}
}

// recordAttempt updates the crash detection with the result of an attempt.
func (g *Gate) recordAttempt(ctx context.Context, req *request, t *target.Target, result attemptResult) {
	attempt := unfinishedAttempt{
		request: req.Request, target: t, at: g.Clock.Now(), events: req.attemptEvents,
		parts: req.partKeys[:max(len(req.partKeys)-1, 0)],
	}
	switch {
	case result.outcome == answered && result.err == nil && req.status < http.StatusInternalServerError:
		if !g.crashes.Empty() && g.crashes.RecordAnswer(req.crashKey()) {
			g.Log.Info("suspected request answered", "request", req.Request, "key", req.crashKey())
		}
	case result.outcome == broken && ctx.Err() == nil:
		attempt.key = req.crashKey()
		g.queueProbe(attempt)
	case result.outcome == unsent:
		if req.quarantineTrial {
			g.crashes.ReturnTrial(req.crashKey())
		}
		if errors.Is(result.cause, syscall.ECONNREFUSED) && g.detector.has(t.Endpoint) {
			g.queueProbe(attempt)
		}
	case result.outcome == notRun || result.outcome == inputsGone:
	default:
		attempt.key = req.crashKey()
		g.detector.add(attempt)
	}
}

// queueProbe queues a probe of the attempt's endpoint; if the queue is full, the probe is
// dropped and logged.
func (g *Gate) queueProbe(attempt unfinishedAttempt) {
	select {
	case g.detector.probes <- attempt:
	default:
		g.Log.Info("endpoint not looked at", "request", attempt.request, "endpoint", attempt.target.ID)
	}
}

// CheckRemovedEndpoint queues a probe of an endpoint whose entry was removed, if it has
// unfinished attempts.
func (g *Gate) CheckRemovedEndpoint(e *view.Endpoint) {
	if g.detector.has(e) {
		g.queueProbe(unfinishedAttempt{target: g.targets.Get(e), at: g.Clock.Now()})
	}
}

// add stores an attempt that this process has ended or whose answer was a failure.
func (d *crashDetector) add(attempt unfinishedAttempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.count >= maxUnfinished {
		d.expire(attempt.at)
	}
	if d.count < maxUnfinished {
		d.byEndpoint[attempt.target.Endpoint] = append(d.byEndpoint[attempt.target.Endpoint], attempt)
		d.count++
	}
}

// expire drops attempts older than keepUnfinished; the caller holds the lock.
func (d *crashDetector) expire(now clock.Millis) {
	d.count = 0
	for e, all := range d.byEndpoint {
		kept := all[:0]
		for _, attempt := range all {
			if now-attempt.at <= keepUnfinished {
				kept = append(kept, attempt)
			}
		}
		if d.byEndpoint[e] = kept; len(kept) == 0 {
			delete(d.byEndpoint, e)
		}
		d.count += len(kept)
	}
}

// has reports whether an endpoint has unfinished attempts.
func (d *crashDetector) has(e *view.Endpoint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.byEndpoint[e]) > 0
}

// takeRecent removes and returns the recent unfinished attempts at an endpoint.
func (d *crashDetector) takeRecent(e *view.Endpoint, now clock.Millis) []unfinishedAttempt {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	all := d.byEndpoint[e]
	d.count -= len(all)
	delete(d.byEndpoint, e)
	return all
}

// WatchCrashes runs the queued probes until the context ends.
func (g *Gate) WatchCrashes(ctx context.Context) {
	var probes sync.WaitGroup
	defer probes.Wait()
	slots := make(chan struct{}, maxProbes)
	for {
		select {
		case attempt := <-g.detector.probes:
			slots <- struct{}{}
			probes.Go(func() {
				defer func() { <-slots }()
				g.countCrashes(ctx, attempt)
			})
		case <-ctx.Done():
			return
		}
	}
}

// countCrashes probes the endpoint of a failed attempt. If the endpoint has crashed, it
// counts a crash for each request that the endpoint was running.
func (g *Gate) countCrashes(ctx context.Context, failed unfinishedAttempt) {
	if !crashed(ctx, failed.target) {
		return
	}
	all := g.detector.takeRecent(failed.target.Endpoint, g.Clock.Now())
	if failed.key != (crash.Key{}) {
		all = append(all, failed)
	}
	endpoint := failed.target.ID + "/" + strconv.FormatInt(failed.target.StartedAt, 10)
	for _, attempt := range all {
		crashes, quarantined := g.crashes.RecordCrash(attempt.key, endpoint, g.Clock.Now())
		g.meter.crashes.WithLabelValues(failed.target.Pool).Inc()
		g.Log.Info("endpoint crashed under request", "request", attempt.request, "key", attempt.key, "pool", failed.target.Pool,
			"endpoint", failed.target.ID, "born", failed.target.StartedAt, "endedMs", int64(g.Clock.Since(attempt.at)), "crashes", crashes, "parts", attempt.parts, "events", attempt.events)
		if quarantined {
			g.recordQuarantine(attempt.key, "crashes seen by this process")
		}
	}
}

// crashed reports whether an endpoint ended without a planned stop: it has restarted, or
// its address refuses connections.
func crashed(ctx context.Context, t *target.Target) bool {
	switch {
	case t.Leaving():
		return false
	case t.Restarted():
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	opened, err := conn.Dial(ctx, "tcp", t.Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = opened.Close() // nothing was sent
	return false
}

func (g *Gate) recordQuarantine(key crash.Key, cause string) {
	g.meter.quarantines.Inc()
	g.Log.Warn("request quarantined", "key", key, "cause", cause, "forMs", int64(crash.QuarantineTime))
}

// Quarantines returns the record of requests that crashed endpoints.
func (g *Gate) Quarantines() *crash.Tracker { return g.crashes }

// UnsentCrashes returns the crash reports that peers have not been sent yet.
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

// AddPeerCrashes records the crash reports of a peer.
func (g *Gate) AddPeerCrashes(crashes []wire.Crash) {
	reports := make([]crash.Report, 0, len(crashes))
	for _, c := range crashes {
		if len(c.Key) == len(crash.Key{}) {
			reports = append(reports, crash.Report{Key: crash.Key(c.Key), Endpoint: c.Endpoint, Cleared: c.Cleared})
		}
	}
	for _, key := range g.crashes.AddReports(reports, g.Clock.Now()) {
		g.recordQuarantine(key, "crashes reported by peers")
	}
}

// SetQuarantines applies the quarantines that the platform's store lists, and lifts those
// that it no longer lists.
func (g *Gate) SetQuarantines(listed []crash.Stored) {
	began, lifted := g.crashes.SetStored(listed, g.Clock.Now())
	for _, key := range began {
		g.recordQuarantine(key, "platform's store")
	}
	for _, key := range lifted {
		g.Log.Info("quarantine lifted", "key", key)
	}
}
