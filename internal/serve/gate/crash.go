package gate

import (
	"context"
	"errors"
	"syscall"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/engine/conn"
	"github.com/jujubescale/jujubescale/internal/flow/crash"
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

// suspect has the endpoint of a request that broke off looked at.
func (g *Gate) suspect(req *request, t *target.Target) {
	s := suspect{request: req.Request, pool: t.Pool, key: req.crashKey(), target: t, at: g.Clock.Now()}
	select {
	case g.suspects <- s:
	default:
		g.Log.Info("broken request not looked into", "request", req.Request, "endpoint", t.ID)
	}
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

// judge notes a crash if the endpoint of a broken request has ended.
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
	g.meter.crashes.WithLabelValues(s.pool).Inc()
	g.Log.Info("endpoint crashed under request", "request", s.request, "key", s.key, "pool", s.pool, "endpoint", s.target.ID,
		"born", s.target.Born)
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
