package soak

import (
	"slices"
	"sync/atomic"

	"github.com/jujubescale/jujubescale/platform/stand"
)

// engine is an engine and the proxy in front of it, nil for none.
type engine struct {
	*stand.Engine
	proxy *Proxy
	// ended is set once its version was replaced or rolled back.
	ended atomic.Bool
}

// end makes the engine unreachable at once and for good.
func (e *engine) end() {
	e.ended.Store(true)
	if e.proxy == nil {
		e.Stop()
		return
	}
	e.proxy.SetFault(LinkFault{Refuse: true})
	e.proxy.Reset()
}

// engineAt returns the engine with the given number, modulo the number of engines. In runs with
// parts it is no model engine, because others take the places of those that crash.
func (r *run) engineAt(number int) *engine {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Parts {
		steady := slices.DeleteFunc(slices.Clone(r.engines), func(e *engine) bool { return e.Kind == stand.Model })
		return steady[number%len(steady)]
	}
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
