package claim

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/plat/store"
)

// The model explores every interleaving of two attempts to claim one key, with
// faults at each step: a write without an answer that took effect, took none, or
// takes effect later; a stale read; a platform that is down; and a holder that
// crashes before or after the call ran. Guards against a call that runs twice,
// for example an order that is booked twice.

const (
	modelAttempts = 2
	modelFaults   = 2
	modelNowMs    = 100
)

type phase uint8

const (
	claiming phase = iota
	finishing
	ended
)

type object struct {
	version store.Revision
	nonce   string
	state   State
}

type pendingWrite struct {
	want store.Revision
	object
}

type attempt struct {
	phase   phase
	claimer Claimer
	step    Step
	outcome State
}

// world is one state of the model. It can be copied, because its slices are
// replaced and never changed in place.
type world struct {
	stored   object
	history  []object
	delayed  []pendingWrite
	attempts [modelAttempts]attempt
	faults   int
	runs     int
}

type explorer struct {
	t    *testing.T
	seen map[string]bool
}

func (e *explorer) visit(w world) {
	key := fmt.Sprintf("%v", w)
	if e.seen[key] {
		return
	}
	e.seen[key] = true
	assert.Assert(e.t, w.runs <= 1, "ran twice: %s", key)
	for i := range w.delayed {
		next := w
		next.delayed = append(append([]pendingWrite{}, w.delayed[:i]...), w.delayed[i+1:]...)
		next.apply(w.delayed[i])
		e.visit(next)
	}
	for i := range w.attempts {
		switch w.attempts[i].phase {
		case claiming:
			e.claimStep(w, i)
		case finishing:
			e.finishStep(w, i)
		case ended:
		}
	}
}

// apply executes a conditional write and reports whether it took effect.
func (w *world) apply(p pendingWrite) bool {
	if p.want != w.stored.version {
		return false
	}
	w.history = append(append([]object{}, w.history...), w.stored)
	w.stored = p.object
	w.stored.version = store.At(p.want.Number + 1)
	return true
}

func (w world) after(i int, event Event, seen object) world {
	t := &w.attempts[i]
	t.step = t.claimer.Next(event, seen.version, Record{Nonce: seen.nonce, State: seen.state, UntilMs: modelNowMs})
	return w
}

func (e *explorer) claimStep(w world, i int) {
	t := w.attempts[i]
	switch t.step.Action {
	case Write:
		e.write(w, i, pendingWrite{want: t.step.Version, object: object{nonce: t.claimer.record.Nonce, state: Started}})
	case Lookup:
		e.visit(w.after(i, Read, w.stored))
		if w.faults < modelFaults {
			w.faults++
			e.visit(w.after(i, Unavailable, object{}))
			for _, old := range w.history {
				e.visit(w.after(i, Read, old))
			}
		}
	case Run:
		e.run(w, i)
	case Refuse, Replay:
		assert.Assert(e.t, t.step.Ran != fault.NotRun || w.runs == 0)
		w.attempts[i].phase = ended
		e.visit(w)
	}
}

func (e *explorer) write(w world, i int, p pendingWrite) {
	noFault := w
	if noFault.apply(p) {
		e.visit(noFault.after(i, Wrote, noFault.stored))
	} else {
		e.visit(noFault.after(i, Conflict, noFault.stored))
	}
	if w.faults >= modelFaults {
		return
	}
	w.faults++
	e.visit(w.after(i, Unavailable, object{}))
	e.visit(w.after(i, Indeterminate, object{}))
	later := w
	later.delayed = append(append([]pendingWrite{}, w.delayed...), p)
	e.visit(later.after(i, Indeterminate, object{}))
	applied := w
	applied.apply(p)
	e.visit(applied.after(i, Indeterminate, object{}))
}

func (e *explorer) run(w world, i int) {
	crashed := w
	crashed.attempts[i].phase = ended
	e.visit(crashed)
	crashed.runs++
	e.visit(crashed)
	w.attempts[i].phase = finishing
	notRun := w
	notRun.attempts[i].outcome = NotRun
	assert.Equal(e.t, w.runs, 0, "outcome NotRun, but the call ran")
	e.visit(notRun)
	w.runs++
	for _, outcome := range []State{Done, Unknown} {
		w.attempts[i].outcome = outcome
		e.visit(w)
	}
}

func (e *explorer) finishStep(w world, i int) {
	t := w.attempts[i]
	w.attempts[i].phase = ended
	p := pendingWrite{want: t.step.Version, object: object{nonce: t.claimer.record.Nonce, state: t.outcome}}
	lost := w
	e.visit(lost)
	later := w
	later.delayed = append(append([]pendingWrite{}, w.delayed...), p)
	e.visit(later)
	w.apply(p)
	e.visit(w)
}

func TestEveryInterleavingRunsAtMostOnce(t *testing.T) {
	var start world
	for i := range start.attempts {
		claimer := NewClaimer(Record{Nonce: fmt.Sprintf("n%d", i), State: Started}, modelNowMs)
		start.attempts[i] = attempt{claimer: claimer, step: claimer.Begin()}
	}
	e := &explorer{t: t, seen: map[string]bool{}}
	e.visit(start)
	assert.Assert(t, len(e.seen) > 1000, "%d states", len(e.seen))
	t.Logf("%d states", len(e.seen))
}
