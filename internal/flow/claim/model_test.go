package claim

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/fault"
)

// The model follows every interleaving of two tries to claim one key, with the
// platform's faults at each step: a write whose answer is lost and which took
// effect, took none, or takes effect later; a stale read; a platform that is
// down; and a holder that dies before or after the call ran. A user would
// notice a fault here as a reel booked twice.

const (
	modelTries  = 2
	modelFaults = 2
	modelNowMs  = 100
)

type phase uint8

const (
	claiming phase = iota
	finishing
	over
)

type object struct {
	version uint64
	nonce   string
	state   State
}

type pendingWrite struct {
	want uint64
	object
}

type try struct {
	phase   phase
	claimer Claimer
	step    Step
	outcome State
}

// world is one state of the model. It is a value but for its slices, which are
// only ever replaced.
type world struct {
	stored  object
	history []object
	late    []pendingWrite
	tries   [modelTries]try
	faults  int
	runs    int
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
	for i := range w.late {
		next := w
		next.late = append(append([]pendingWrite{}, w.late[:i]...), w.late[i+1:]...)
		next.apply(w.late[i])
		e.visit(next)
	}
	for i := range w.tries {
		switch w.tries[i].phase {
		case claiming:
			e.claimStep(w, i)
		case finishing:
			e.finishStep(w, i)
		case over:
		}
	}
}

// apply carries out a conditional write and reports whether it took effect.
func (w *world) apply(p pendingWrite) bool {
	if p.want != w.stored.version {
		return false
	}
	w.history = append(append([]object{}, w.history...), w.stored)
	w.stored = p.object
	w.stored.version = p.want + 1
	return true
}

func (w world) after(i int, event Event, seen object) world {
	t := &w.tries[i]
	t.step = t.claimer.Next(event, seen.version, Record{Nonce: seen.nonce, State: seen.state, UntilMs: modelNowMs})
	return w
}

func (e *explorer) claimStep(w world, i int) {
	t := w.tries[i]
	switch t.step.Action {
	case Write:
		e.write(w, i, pendingWrite{want: t.step.Version, object: object{nonce: t.claimer.mine.Nonce, state: Started}})
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
		w.tries[i].phase = over
		e.visit(w)
	}
}

func (e *explorer) write(w world, i int, p pendingWrite) {
	clean := w
	if clean.apply(p) {
		e.visit(clean.after(i, Wrote, clean.stored))
	} else {
		e.visit(clean.after(i, Conflict, clean.stored))
	}
	if w.faults >= modelFaults {
		return
	}
	w.faults++
	e.visit(w.after(i, Unavailable, object{}))
	e.visit(w.after(i, Indeterminate, object{}))
	later := w
	later.late = append(append([]pendingWrite{}, w.late...), p)
	e.visit(later.after(i, Indeterminate, object{}))
	now := w
	now.apply(p)
	e.visit(now.after(i, Indeterminate, object{}))
}

func (e *explorer) run(w world, i int) {
	dead := w
	dead.tries[i].phase = over
	e.visit(dead)
	dead.runs++
	e.visit(dead)
	w.tries[i].phase = finishing
	proved := w
	proved.tries[i].outcome = NotRun
	assert.Equal(e.t, w.runs, 0, "said not run, but it ran")
	e.visit(proved)
	w.runs++
	for _, outcome := range []State{Done, Unknown} {
		w.tries[i].outcome = outcome
		e.visit(w)
	}
}

func (e *explorer) finishStep(w world, i int) {
	t := w.tries[i]
	w.tries[i].phase = over
	p := pendingWrite{want: t.step.Version, object: object{nonce: t.claimer.mine.Nonce, state: t.outcome}}
	none := w
	e.visit(none)
	later := w
	later.late = append(append([]pendingWrite{}, w.late...), p)
	e.visit(later)
	w.apply(p)
	e.visit(w)
}

func TestEveryInterleavingRunsAtMostOnce(t *testing.T) {
	var start world
	for i := range start.tries {
		claimer := NewClaimer(Record{Nonce: fmt.Sprintf("n%d", i), State: Started}, modelNowMs)
		start.tries[i] = try{claimer: claimer, step: claimer.Begin()}
	}
	e := &explorer{t: t, seen: map[string]bool{}}
	e.visit(start)
	assert.Assert(t, len(e.seen) > 1000, "%d states", len(e.seen))
	t.Logf("%d states", len(e.seen))
}
