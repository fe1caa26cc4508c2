package entry

import (
	"context"
	"net/http"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/serve/trace"
)

// Ready reports whether the load balancer should send new requests to this
// process, and if not, the reason.
func (e *Entry) Ready() (bool, string) {
	switch {
	case e.leaving.Load():
		return false, "leaving"
	case e.holder.Current() == nil:
		return false, "no configuration in force yet"
	}
	if refused := e.gate(); refused != nil {
		return false, string(refused.Reason)
	}
	if e.zoneEvacuated() {
		return false, string(fault.ZoneEvacuated)
	}
	return true, ""
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if ready, reason := e.Ready(); !ready {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Leaving reports whether the process is draining.
func (e *Entry) Leaving() bool { return e.leaving.Load() }

// Open returns the number of open requests.
func (e *Entry) Open() int { return e.front.Open() }

// Request returns the trace of a request, if it is still stored.
func (e *Entry) Request(id string) (trace.Request, bool) { return e.trace.Find(id) }

// Now returns the current instant of the entry's clock, which the instants in a
// trace refer to.
func (e *Entry) Now() clock.Millis { return e.clock.Now() }

// Leave starts the drain: Ready returns false, agents get a leave frame, and each
// answer closes its connection, so that the load balancer uses other entries. New
// requests are still served, because the load balancer reacts with a delay.
func (e *Entry) Leave(reason string) {
	if e.leaving.Swap(true) {
		return
	}
	e.log.Info("leaving", "reason", reason, "open", e.Open())
	e.peers.Broadcast(func() *wire.Frame {
		return &wire.Frame{Kind: wire.KindLeave, Leave: &wire.Leave{Reason: reason}}
	})
}

// Stop drains and closes the entry: it calls Leave, serves requests for
// BalancerLag, calls shutdown, which must stop accepting requests and wait for
// the open ones (as conns.Server.Shutdown does), stores the outcomes of
// idempotency keys, and calls Close. If the context ends first, the open requests
// are cut, and Stop returns their IDs.
func (e *Entry) Stop(ctx context.Context, shutdown func(context.Context) error) []string {
	e.Leave("planned stop")
	_ = e.clock.Sleep(ctx, e.settings.BalancerLag)
	err := shutdown(ctx)
	var cut []string
	if err != nil {
		cut = e.front.OpenRequests()
		e.meter.Cut.Add(float64(len(cut)))
		for _, id := range cut {
			e.log.Warn("request cut", "request", id)
		}
	}
	if e.claims != nil && err == nil {
		e.claims.Wait(ctx)
	}
	e.Close()
	return cut
}
