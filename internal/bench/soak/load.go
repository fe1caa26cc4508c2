package soak

import (
	"context"
	"time"

	"github.com/jujubescale/jujubescale/platform/stand"
)

// modelMemory is the memory of a model engine in tokens. It is some eight of the largest
// requests, and the share of one of three processes one of them, so that requests need leases.
// With 4,000 tokens the engines of one version could not serve all requests in the calm.
const modelMemory = 8000

// longStreamMemory replaces modelMemory in runs with long streams or with engines that crash, so
// that memory refuses none.
const longStreamMemory = 100_000

// Interference takes 15 % of the time, in periods that are too short to place requests by.
const (
	interferenceFactor = 2.5
	interferencePeriod = 90 * time.Millisecond
	interferencePause  = 510 * time.Millisecond
)

// malformedLoads are loads that a process must ignore.
var malformedLoads = []string{"1,0", "1,0,64,100,7", "1,0,64,", "1,0,64,-100", "1,0,64,NaN", "1,0,64,soon", ""}

// shareHost makes a model engine state its load, and crash once its requests exceed its
// memory. The ledger records that as a violation.
func shareHost(e *stand.Engine, memory int64) {
	e.SetMemory(memory, true)
	e.SetInterference(1)
}

// modelMemory returns the memory of a model engine in tokens.
func (o *Options) modelMemory() int64 {
	if o.Memory > 0 {
		return o.Memory
	}
	if o.Versions || o.Parts {
		return longStreamMemory
	}
	return modelMemory
}

// interfere makes a model engine state a malformed load for a tenth of the time, and then
// work more slowly in short periods.
func (r *run) interfere(ctx context.Context, d Disturbance) {
	models := r.enginesOf("models")
	if len(models) == 0 {
		return
	}
	e := models[d.Subject%len(models)]
	end := time.Now().Add(d.For)
	defer e.SetInterference(1)
	e.SetLoadText(malformedLoads[d.Subject%len(malformedLoads)])
	pause(ctx, d.For/10)
	for time.Now().Before(end) && ctx.Err() == nil {
		e.SetInterference(interferenceFactor)
		pause(ctx, interferencePeriod)
		e.SetInterference(1)
		pause(ctx, min(interferencePause, time.Until(end)))
	}
}
