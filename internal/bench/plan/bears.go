package plan

import (
	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

func (e *Experiment) findShape(pool string) *whole.Shape {
	for i := range e.Pools {
		if e.Pools[i].Pool == pool {
			return &e.Pools[i]
		}
	}
	return nil
}

func (e *Experiment) findPool(name string) *manif.Pool {
	for i := range e.Deployment.Pools {
		if e.Deployment.Pools[i].Name == name {
			return &e.Deployment.Pools[i]
		}
	}
	return nil
}

// Endpoints returns the number of endpoints of a pool.
func (e *Experiment) Endpoints(pool string) int { return e.findShape(pool).Endpoints }

// workMs returns the engine time of one run in a pool at full load, in milliseconds.
func (e *Experiment) workMs(pool string, cached bool) float64 {
	shape := e.findShape(pool)
	if e.findPool(pool).Kind != manif.KindGenerate {
		return shape.WorkMs
	}
	prompt := shape.PrefillMs
	if cached {
		prompt = shape.CachedMs
	}
	return prompt + float64(shape.Tokens)*shape.TokenMs
}

const millisPerSecond = 1000

// runsPerSecond returns the capacity of a pool in runs a second.
func (e *Experiment) runsPerSecond(pool string, cached bool) float64 {
	return float64(e.findShape(pool).Endpoints*e.findPool(pool).Limit) * millisPerSecond / e.workMs(pool, cached)
}

// requestShare returns the share of a kind of request in all requests.
func (e *Experiment) requestShare(kind int) float64 {
	total := 0.0
	for i := range e.Mix {
		total += e.Mix[i].Share
	}
	return e.Mix[kind].Share / total
}

// runsPerRequest returns the average number of runs in a pool per request.
func (e *Experiment) runsPerRequest(pool string) float64 {
	runs := 0.0
	for i := range e.Mix {
		for _, visited := range e.poolsOf(e.Mix[i].Service) {
			if visited == pool {
				runs += e.requestShare(i)
			}
		}
	}
	return runs
}

// Capacity returns the requests a second that the deployment can serve with this mix if no
// prompt is cached. It is limited by the pool with the lowest capacity.
func (e *Experiment) Capacity() float64 {
	lowest := 0.0
	for i := range e.Pools {
		runs := e.runsPerRequest(e.Pools[i].Pool)
		if runs == 0 {
			continue
		}
		rate := e.runsPerSecond(e.Pools[i].Pool, false) / runs
		if lowest == 0 || rate < lowest {
			lowest = rate
		}
	}
	return lowest
}

// Rate returns the offered load in requests a second.
func (e *Experiment) Rate() float64 {
	if e.RatePerSecond > 0 {
		return e.RatePerSecond
	}
	return e.Load * e.Capacity()
}

// AttainableShare returns the share of the offered requests for which the capacity
// suffices if every prompt is cached, which is the highest attainable share. For each kind
// of request, it is limited by its pool with the lowest capacity.
func (e *Experiment) AttainableShare() float64 {
	attainable := 0.0
	for i := range e.Mix {
		lowest := 1.0
		for _, pool := range e.poolsOf(e.Mix[i].Service) {
			offered := e.Rate() * e.runsPerRequest(pool)
			lowest = min(lowest, e.runsPerSecond(pool, true)/offered)
		}
		attainable += e.requestShare(i) * lowest
	}
	return attainable
}
