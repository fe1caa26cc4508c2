// Package room works out whether what remains bears the load when endpoints
// are taken out. It is pure: what agents say goes in, a verdict for each pool
// comes out.
package room

import "sort"

// fullShare is the share of the remaining limits that the load may take. Above
// it queues grow faster than they drain, so a stop at the very limit would
// already cost deadlines.
const fullShare = 0.85

// Endpoint is what is known of one endpoint.
type Endpoint struct {
	Pool             string
	Endpoint         string
	AvailabilityZone string
	// Known is false when its agent could not be asked: it then counts as
	// bearing nothing.
	Known   bool
	Running int
	Queued  int
	Limit   int
	Cold    bool
	// OutOfService says that operators took it, or its zone, out already.
	OutOfService bool
}

// Pool is the verdict on one pool.
type Pool struct {
	Pool string `json:"pool"`
	// Load is the running and queued calls of all endpoints.
	Load int `json:"load"`
	// LimitBefore and After are the limits of the endpoints in service.
	LimitBefore int `json:"limitBefore"`
	LimitAfter  int `json:"limitAfter"`
	// EndpointsAfter in service afterwards.
	EndpointsAfter int `json:"endpointsAfter"`
	// Unknown counts endpoints that could not be asked.
	Unknown int `json:"unknown,omitempty"`
	// Sufficient says whether what remains bears the load.
	Sufficient bool `json:"bears"`
}

// CheckRemoval returns a verdict for each pool that loses an endpoint when those for
// which leaves is true are taken out, ordered by name.
func CheckRemoval(endpoints []Endpoint, leaves func(*Endpoint) bool) []Pool {
	pools := make(map[string]*Pool)
	touched := make(map[string]bool)
	for i := range endpoints {
		e := &endpoints[i]
		p := pools[e.Pool]
		if p == nil {
			p = &Pool{Pool: e.Pool}
			pools[e.Pool] = p
		}
		p.add(e, leaves(e))
		touched[e.Pool] = touched[e.Pool] || (leaves(e) && !e.OutOfService)
	}
	var verdicts []Pool
	for name, p := range pools {
		if !touched[name] {
			continue
		}
		p.Sufficient = p.EndpointsAfter > 0 && float64(p.Load) <= fullShare*float64(p.LimitAfter)
		verdicts = append(verdicts, *p)
	}
	sort.Slice(verdicts, func(i, j int) bool { return verdicts[i].Pool < verdicts[j].Pool })
	return verdicts
}

func (p *Pool) add(e *Endpoint, leaves bool) {
	p.Load += e.Running + e.Queued
	if !e.Known {
		p.Unknown++
		return
	}
	if e.OutOfService {
		return
	}
	p.LimitBefore += e.Limit
	if leaves {
		return
	}
	p.LimitAfter += e.Limit
	p.EndpointsAfter++
}

// AllSufficient reports whether every pool bears its load.
func AllSufficient(pools []Pool) bool {
	for i := range pools {
		if !pools[i].Sufficient {
			return false
		}
	}
	return true
}
