package entry

import (
	"context"
	"net/http"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/serve/trace"
)

// Ready reports whether the balancer shall send new requests here, and why not.
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
	if e.zoneLeft() {
		return false, string(fault.ZoneEvacuated)
	}
	return true, ""
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if ready, why := e.Ready(); !ready {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Leaving reports whether a planned stop has begun.
func (e *Entry) Leaving() bool { return e.leaving.Load() }

// Open returns the number of requests that are not finished.
func (e *Entry) Open() int { return e.front.Open() }

// Request returns what is remembered of a request.
func (e *Entry) Request(id string) (trace.Request, bool) { return e.trace.Find(id) }

// Now returns the instant on the entry's clock, which Request speaks of.
func (e *Entry) Now() clock.Millis { return e.clock.Now() }

// Leave begins a planned stop: readiness turns false, agents are told, and
// answers close their connections, so that the balancer goes elsewhere. New
// requests are still served: the balancer learns late.
func (e *Entry) Leave(reason string) {
	if e.leaving.Swap(true) {
		return
	}
	e.log.Info("leaving", "reason", reason, "open", e.Open())
	e.peers.Tell(func() *wire.Frame {
		return &wire.Frame{Kind: wire.KindLeave, Leave: &wire.Leave{Reason: reason}}
	})
}

// Stop carries out a planned stop: Leave, serve on while the balancer lags,
// then let shutdown stop accepting and wait for what runs (as
// conns.Server.Shutdown does), keep the outcomes of keys, and close. When the
// context ends first, the requests that are still open are cut; Stop returns
// their ids, and none if everything was finished.
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
	if e.book != nil && err == nil {
		e.book.Wait(ctx)
	}
	e.Close()
	return cut
}
