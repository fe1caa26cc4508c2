package gate

import (
	"context"
	"errors"
	"strconv"
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
	// maxSuspects bounds the broken requests whose endpoints are to be looked at.
	maxSuspects = 512
	// probeTime bounds one look: an endpoint that has ended refuses connections at
	// once.
	probeTime = 250 * clock.Millis(1)
	// maxProbed bounds the endpoints of which the last look is remembered.
	maxProbed = 512
)

// suspect is a request that broke off at an endpoint, which may have crashed.
type suspect struct {
	request string
	pool    string
	key     crash.Key
	target  *target.Target
	at      clock.Millis
}

// probed is what a look at an endpoint showed.
type probed struct {
	at      clock.Millis
	crashed bool
}

// crashKey names what the request asks for among all requests.
func (r *request) crashKey() crash.Key {
	if r.key == (crash.Key{}) {
		r.key = crash.KeyOf(r.organisation, r.method, r.host, r.target, r.body)
	}
	return r.key
}

// quarantined refuses a request that has crashed too many endpoints.
func (g *Gate) quarantined(req *request) *fault.RefusalError {
	if g.crashes.Empty() {
		return nil
	}
	left := g.crashes.Quarantined(req.crashKey(), g.Clock.Now())
	if left == 0 {
		return nil
	}
	return &fault.RefusalError{
		Reason: fault.Quarantined, Ran: fault.NotRun, RetryAfter: left,
		Detail: "endpoints crashed under this request, key " + req.crashKey().String(),
	}
}

// suspect has the endpoint of a request that broke off looked at.
func (g *Gate) suspect(req *request, t *target.Target) {
	s := suspect{request: req.Request, pool: t.Pool, key: req.crashKey(), target: t, at: g.Clock.Now()}
	select {
	case g.suspects <- s:
	default:
		g.Log.Info("broken request not looked into", "request", req.Request, "endpoint", t.ID)
	}
}

// exonerate forgets the crashes under a request that was answered.
func (g *Gate) exonerate(req *request) {
	if g.crashes.Empty() || !g.crashes.Answered(req.crashKey(), g.Clock.Now()) {
		return
	}
	g.Log.Info("suspected request answered", "request", req.Request, "key", req.crashKey())
}

// WatchCrashes finds out which endpoints crashed under requests that broke off,
// until the context ends.
func (g *Gate) WatchCrashes(ctx context.Context) {
	known := make(map[*view.Endpoint]probed)
	for {
		select {
		case s := <-g.suspects:
			g.judge(ctx, s, known)
		case <-ctx.Done():
			return
		}
	}
}

// judge counts a crash if the endpoint of a broken request has ended.
func (g *Gate) judge(ctx context.Context, s suspect, known map[*view.Endpoint]probed) {
	last, found := known[s.target.Endpoint]
	if !found || (!last.crashed && last.at < s.at) {
		if len(known) >= maxProbed {
			clear(known)
		}
		last = probed{at: g.Clock.Now(), crashed: probe(ctx, s.target)}
		known[s.target.Endpoint] = last
	}
	if !last.crashed {
		return
	}
	endpoint := s.target.ID + "/" + strconv.FormatInt(s.target.Born, 10)
	crashes, begins := g.crashes.Crashed(s.key, endpoint, g.Clock.Now())
	g.meter.crashes.WithLabelValues(s.pool).Inc()
	g.Log.Info("endpoint crashed under request", "request", s.request, "key", s.key, "pool", s.pool, "endpoint", s.target.ID,
		"born", s.target.Born, "crashes", crashes)
	if begins {
		g.noteQuarantine(s.key, "crashes here")
	}
}

// probe reports whether an endpoint has ended: nothing listens at its address any
// more, or another start of it was seen.
func probe(ctx context.Context, t *target.Target) bool {
	if t.Gone() {
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
	g.Log.Warn("request quarantined", "key", key, "cause", cause, "forMs", int64(crash.Keep))
}

// Quarantines returns the book of requests under which endpoints crashed.
func (g *Gate) Quarantines() *crash.Book { return g.crashes }

// Crashes returns what peers have not been sent yet of requests under which
// endpoints crashed.
func (g *Gate) Crashes() []wire.Crash {
	var crashes []wire.Crash
	for _, report := range g.crashes.Unsent() {
		crashes = append(crashes, wire.Crash{Key: report.Key[:], Endpoint: report.Endpoint, Cleared: report.Cleared})
	}
	return crashes
}

// TakeCrashes takes what a peer learned.
func (g *Gate) TakeCrashes(crashes []wire.Crash) {
	reports := make([]crash.Report, 0, len(crashes))
	for _, c := range crashes {
		if len(c.Key) == len(crash.Key{}) {
			reports = append(reports, crash.Report{Key: crash.Key(c.Key), Endpoint: c.Endpoint, Cleared: c.Cleared})
		}
	}
	for _, key := range g.crashes.Learn(reports, g.Clock.Now()) {
		g.noteQuarantine(key, "crashes at peers")
	}
}

// SetQuarantines takes the quarantines that stand in the platform's store.
func (g *Gate) SetQuarantines(listed []crash.Listed) {
	began, lifted := g.crashes.SetListed(listed, g.Clock.Now())
	for _, key := range began {
		g.noteQuarantine(key, "platform's store")
	}
	for _, key := range lifted {
		g.Log.Info("quarantine lifted", "key", key)
	}
}
