package soak

import (
	"context"
	"time"

	"github.com/jujubescale/jujubescale/platform/stand"
)

// askRest makes an engine ask for a malformed rest, then for one that it repeats.
func askRest(ctx context.Context, e *engine, d Disturbance) {
	malformed := []string{"-1", "NaN", "1e308", "soon", "0"}
	rests := []string{"0.75", "1.5", "2"}
	e.SetRest(malformed[d.Subject%len(malformed)])
	pause(ctx, d.For/20)
	e.SetRest(rests[d.Subject%len(rests)])
	pause(ctx, d.For*8/10)
	e.SetRest("")
}

// stateLeaving starts an engine, makes it state that it leaves while its entry says that it
// is ready, and ends it.
func (r *run) stateLeaving(ctx context.Context, d Disturbance) {
	leaving := engines(zones[d.Subject%len(zones)])[d.Subject%2] // a plain or a model engine
	added, err := r.addEngine(leaving)
	if err != nil {
		r.addViolation("engine not started: %v", err)
		return
	}
	pause(ctx, d.For/5)
	added.SetLeaving("0")
	pause(ctx, d.For/10)
	added.SetLeaving("1")
	pause(ctx, d.For*6/10)
	ended := r.faults.beginEngineEnd()
	added.end()
	r.deployment.Remove(added.Engine)
	ended()
}

// stateFaults are the faults that may keep a statement from a process, and stateRestarts
// those after which it may not know the statement any more.
var (
	stateFaults   = []Kind{ResetLinks, BlackholeLinks, DelayLinks, CutOneWay, EngineCrash, EngineFaults, Kill, Pause}
	stateRestarts = []Kind{Kill, Pause}
)

// deliveryTime is the longest time that a statement is on its way without a fault.
const deliveryTime = 500 * time.Millisecond

// checkStatements checks that the processes kept what engines had stated to them.
func (r *run) checkStatements() {
	r.mu.Lock()
	all := append([]*engine{}, r.engines...)
	r.mu.Unlock()
	for _, e := range all {
		for _, broken := range e.CheckStatements(r.statementExcused) {
			r.addViolation("%s", broken)
		}
	}
}

// statementExcused reports whether the process that an engine has made a statement to may
// not have got it, or was restarted or paused before an instant.
func (r *run) statementExcused(s stand.Statement, until time.Time) bool {
	for i, proxy := range r.callers {
		if proxy.Address() != s.Gateway {
			continue
		}
		p := r.processes[i]
		if r.faults.overlapping(s.At.Add(-deliveryTime), s.At.Add(deliveryTime), p, stateFaults...) || r.faults.overlapping(s.At, until, p, stateRestarts...) {
			return true
		}
		for _, run := range p.history() {
			if run.began.After(s.At) && run.began.Before(until) {
				return true
			}
		}
		return false
	}
	return true
}
