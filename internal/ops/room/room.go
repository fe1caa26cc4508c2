// Package room computes whether the remaining endpoints of each pool can carry
// the load when other endpoints are taken out of service. It does no I/O.
package room

import "sort"

// maxLoadShare is the largest share of the remaining limits that the load may
// use. Above it, queues grow faster than they drain, so that a load close to the
// limits would already miss deadlines.
const maxLoadShare = 0.85

// Endpoint is the state of one endpoint.
type Endpoint struct {
	Pool             string
	Endpoint         string
	AvailabilityZone string
	// Known is false if its agent did not answer. The endpoint then counts as
	// having no capacity.
	Known   bool
	Running int
	Queued  int
	Limit   int
	Cold    bool
	// OutOfService is true if operators have already taken the endpoint, or its
	// zone, out of service.
	OutOfService bool
}

// Pool is the result for one pool.
type Pool struct {
	Pool string `json:"pool"`
	// Load is the number of running and queued calls of all endpoints.
	Load int `json:"load"`
	// LimitBefore and LimitAfter are the sums of the limits of the endpoints in service,
	// before and after the removal.
	LimitBefore int `json:"limitBefore"`
	LimitAfter  int `json:"limitAfter"`
	// EndpointsAfter counts the endpoints that remain in service.
	EndpointsAfter int `json:"endpointsAfter"`
	// Unknown counts the endpoints whose agents did not answer.
	Unknown int `json:"unknown,omitempty"`
	// Sufficient is true if the remaining capacity suffices for the load.
	Sufficient bool `json:"bears"`
}

// CheckRemoval returns the results, ordered by name, for the pools that lose an
// endpoint in service when the endpoints for which removed returns true are taken
// out of service.
func CheckRemoval(endpoints []Endpoint, removed func(*Endpoint) bool) []Pool {
	pools := make(map[string]*Pool)
	affected := make(map[string]bool)
	for i := range endpoints {
		e := &endpoints[i]
		p := pools[e.Pool]
		if p == nil {
			p = &Pool{Pool: e.Pool}
			pools[e.Pool] = p
		}
		p.add(e, removed(e))
		affected[e.Pool] = affected[e.Pool] || (removed(e) && !e.OutOfService)
	}
	var results []Pool
	for name, p := range pools {
		if !affected[name] {
			continue
		}
		p.Sufficient = p.EndpointsAfter > 0 && float64(p.Load) <= maxLoadShare*float64(p.LimitAfter)
		results = append(results, *p)
	}
	sort.Slice(results, func(i, j int) bool { return results[i].Pool < results[j].Pool })
	return results
}

func (p *Pool) add(e *Endpoint, removed bool) {
	p.Load += e.Running + e.Queued
	if !e.Known {
		p.Unknown++
		return
	}
	if e.OutOfService {
		return
	}
	p.LimitBefore += e.Limit
	if removed {
		return
	}
	p.LimitAfter += e.Limit
	p.EndpointsAfter++
}

// AllSufficient reports whether the remaining capacity of every pool suffices.
func AllSufficient(pools []Pool) bool {
	for i := range pools {
		if !pools[i].Sufficient {
			return false
		}
	}
	return true
}
