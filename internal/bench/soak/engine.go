package soak

import (
	"sync/atomic"

	"github.com/jujubescale/jujubescale/platform/stand"
)

// engine is an engine and the proxy in front of it.
type engine struct {
	*stand.Engine
	proxy *Proxy
	// ended is set once its version was replaced or rolled back.
	ended atomic.Bool
}

// end makes the engine unreachable at once and for good.
func (e *engine) end() {
	e.ended.Store(true)
	e.proxy.SetFault(LinkFault{Refuse: true})
	e.proxy.Reset()
}

// engineAt returns the engine with the given number, modulo the number of engines.
func (r *run) engineAt(number int) *engine {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.engines[number%len(r.engines)]
}

// enginesOf returns the engines of a service that have not ended, in start order.
func (r *run) enginesOf(service string) []*engine {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []*engine
	for _, e := range r.engines {
		if e.Service == service && !e.ended.Load() {
			found = append(found, e)
		}
	}
	return found
}
