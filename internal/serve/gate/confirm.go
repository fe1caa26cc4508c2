package gate

import (
	"context"
	"fmt"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/engine/conn"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/serve/target"
)

// confirmTimeout bounds the call that confirms the start of an endpoint.
const confirmTimeout = 300 * clock.Millis(1)

// confirmStart asks an endpoint when it started before it resumes a stream. An endpoint that
// starts again under its ID may run another software version before its entry changes, and
// accepts requests for the start before.
func (g *Gate) confirmStart(ctx context.Context, req *request, t *target.Target) error {
	return g.askStart(ctx, req.Request, t, g.waitToAsk(ctx, req.Request, req.pool, t))
}

// whenConfirmed calls then once the start of an endpoint that has begun to answer is confirmed.
func (g *Gate) whenConfirmed(req *request, t *target.Target, then func()) {
	request, pool := req.Request, req.pool
	t.WhenConfirmed(g.open.Context(), func(ctx context.Context) error {
		return g.askStart(ctx, request, t, g.waitToAsk(ctx, request, pool, t))
	}, then)
}

// waitToAsk returns how long the rate limits of an endpoint let this process wait before it may send
// a call, 0 if it may now. A call to a cold endpoint takes the place of a request.
func (g *Gate) waitToAsk(ctx context.Context, request string, pool *table.Pool, t *target.Target) clock.Millis {
	wait, now := g.limits.Acquire(ctx, t.Endpoint, request), g.Clock.Now()
	if wait == 0 && t.Cold(now) {
		wait = t.TryStart(g.startLimit(pool, t.Endpoint, now), now)
	}
	return wait
}

// askStart asks an endpoint when it started, unless its limits leave no room for the call: like
// any request, it needs a permit where the endpoint limits its rate, and counts at a cold endpoint.
func (g *Gate) askStart(ctx context.Context, request string, t *target.Target, wait clock.Millis) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout.Duration())
	defer cancel()
	var err error = &HeldBackError{Endpoint: t.ID, Wait: wait}
	if wait == 0 {
		err = t.AskStart(ctx, g.Codec, conn.MaxReuseIdle)
	}
	if err != nil {
		g.Log.Info("endpoint not confirmed", "request", request, "endpoint", t.ID, "version", t.Version, logs.KeyError, err)
	}
	return err
}

// HeldBackError is returned if the rate limits of an endpoint leave no room for a call now.
type HeldBackError struct {
	Endpoint string
	Wait     clock.Millis
}

// Error implements error.
func (e *HeldBackError) Error() string {
	return fmt.Sprintf("endpoint %s takes no call for %d ms", e.Endpoint, e.Wait)
}
