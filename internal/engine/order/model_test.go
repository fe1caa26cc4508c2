package order_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/engine/order"
	"github.com/jujubescale/jujubescale/internal/plat/lease"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/stand/model"
)

// The model's time goes in ticks. A term is four of them, and a message is on
// its way for at most one, which is the part of a term that the lease allows.
const (
	tick     = 1 * clock.Millis(1)
	term     = 4 * tick
	delay    = 1 * tick
	maxDepth = 40
)

var errOrderLost = errors.New("connection broke")

// bench is the world of the model: the platform's store, the engine, and the
// orders on their way to it.
type bench struct {
	world  *model.World
	now    clock.Millis
	object store.Object
	faults int
	// late is a write that will arrive after its writer gave it up.
	late []write
	// flight is the orders on their way.
	flight  []*message
	applied []uint64
	highest uint64
	checks  bool
	// last is the last tick, most the platform faults in one run.
	last clock.Millis
	most int
	errs []error
}

type write struct {
	want  uint64
	value []byte
}

type message struct {
	order   order.Order
	sent    clock.Millis
	arrived bool
	refused bool
}

func (b *bench) String() string {
	text := fmt.Sprintf("%d %d %s %d %v %d", b.now, b.object.Version, b.object.Value, b.faults, b.applied, b.highest)
	for _, m := range b.flight {
		text += fmt.Sprintf(" %d@%d:%v", m.order.Fence, m.sent, m.arrived)
	}
	return text + fmt.Sprint(len(b.late))
}

// apply does a conditional write and reports whether it took effect.
func (b *bench) apply(w write) bool {
	if b.object.Version != w.want {
		return false
	}
	b.object = store.Object{Name: "l", Version: w.want + 1, Value: w.value}
	return true
}

// store is the platform as one actor sees it. A write may be answered, may
// take effect while its answer is lost, or may take effect later or never.
func (b *bench) store(a *model.Actor) *store.Store {
	return &store.Store{
		GetFunc: func(context.Context, string) (store.Object, error) {
			a.Step("get")
			a.Note(fmt.Sprint("got", b.object.Version))
			return b.object, nil
		},
		PutFunc: func(_ context.Context, _ string, want uint64, value []byte) (store.Object, error) {
			a.Step("put")
			w := write{want: want, value: value}
			kinds := 1
			if b.faults < b.most {
				kinds = 3
			}
			kind := a.Choose(kinds)
			if kind != 0 {
				b.faults++
			}
			switch kind {
			case 1:
				b.apply(w)
			case 2:
				b.late = append(b.late, w)
			default:
				done := b.apply(w)
				a.Note(fmt.Sprint("put", done))
				current := b.object
				// The writer may be paused, or the answer be slow.
				a.Step("answer")
				a.Note(fmt.Sprint("at", b.now))
				if !done {
					return store.Object{}, &store.ConflictError{Name: "l", Want: want, Current: current}
				}
				return current, nil
			}
			return store.Object{}, &store.UnknownError{Name: "l", Cause: errOrderLost}
		},
	}
}

// clock is the time as one actor sees it: a sleeper may wake any time later
// than it wanted to.
func (b *bench) clock(a *model.Actor) *clock.Clock {
	return clock.New(
		clock.WithNow(func() clock.Millis { return b.now }),
		clock.WithAfter(func(span clock.Millis) (<-chan struct{}, func()) {
			if span > term+delay {
				span = 0 // the pause before reading back is short against a tick
			}
			due := b.now + span
			a.Wait(fmt.Sprint("sleep", due), func() bool { return b.now >= due })
			a.Note(fmt.Sprint("woke", b.now))
			done := make(chan struct{})
			close(done)
			return done, func() {}
		}))
}

// send puts an order on its way and waits until it has arrived; the answer may
// still be lost.
func (b *bench) send(a *model.Actor) func(context.Context, order.Order) error {
	return func(_ context.Context, o order.Order) error {
		m := &message{order: o, sent: b.now}
		b.flight = append(b.flight, m)
		a.Wait(fmt.Sprint("sent", o.Fence), func() bool { return m.arrived })
		a.Note(fmt.Sprint("answered", m.refused, b.now))
		if m.refused {
			return &order.FencedError{Fence: o.Fence, Highest: b.highest}
		}
		return nil
	}
}

func (b *bench) arrive(m *message) {
	m.arrived = true
	if b.checks && m.order.Fence < b.highest {
		m.refused = true
		return
	}
	b.highest = max(b.highest, m.order.Fence)
	b.applied = append(b.applied, m.order.Fence)
}

func (b *bench) waiting() []*message {
	var waiting []*message
	for _, m := range b.flight {
		if !m.arrived {
			waiting = append(waiting, m)
		}
	}
	return waiting
}

// overdue reports that a message has been on its way for as long as one can be.
func (b *bench) overdue() bool {
	for _, m := range b.waiting() {
		if b.now >= m.sent+delay {
			return true
		}
	}
	return false
}

func (b *bench) agent(name string, orders int) {
	b.world.Go(name, func(a *model.Actor) {
		a.Step("start")
		c := b.clock(a)
		nonces := 0
		held := lease.New(b.store(a), "l", name, lease.WithClock(c), lease.WithTerm(term), lease.WithReadBacks(1), lease.WithNonce(func() string {
			nonces++
			return fmt.Sprint(name, nonces)
		}))
		giver := order.NewIssuer(c, held, !b.checks, b.send(a))
		for range orders {
			if err := giver.Issue(context.Background(), order.Order{Op: order.OpLoad, Model: name}); err != nil {
				a.Note("failed")
				b.errs = append(b.errs, err)
			}
		}
	})
}

// explore goes through every interleaving of two agents beside one engine.
func explore(t *testing.T, checks bool, last clock.Millis, most int) model.Result {
	t.Helper()
	return model.Explore(t, maxDepth, func(w *model.World) {
		b := &bench{world: w, now: 1, checks: checks, last: last, most: most}
		w.State(b.String)
		w.Event("tick", func() bool { return b.now < b.last && !b.overdue() }, func() { b.now += tick })
		w.Event("late write", func() bool { return len(b.late) > 0 }, func() {
			b.apply(b.late[0])
			b.late = b.late[1:]
		})
		for i := range 3 {
			w.Event("arrival", func() bool { return len(b.waiting()) > i }, func() { b.arrive(b.waiting()[i]) })
		}
		b.agent("old", 1)
		b.agent("new", 1)
		w.Run()
		for i := 1; i < len(b.applied); i++ {
			assert.Check(t, b.applied[i-1] <= b.applied[i], "orders went backwards: %v, errors %v", b.applied, b.errs)
		}
		fences := make(map[uint64]bool)
		for _, m := range b.flight {
			fences[m.order.Fence] = true
		}
		assert.Check(t, !fences[0], "an order without a fencing number")
	})
}

// An agent is paused or its host is replaced while it orders the engine, and a
// second agent starts beside the same engine. Writes to the platform are lost,
// late, or answered by nobody. If an order of the old agent came after one of
// the new, the engine would go back to models that the operators replaced.
//
// The model runs the real lease and giver through every interleaving of their
// platform calls, messages and ticks, up to 40 decisions. With the variable
// JUJUBESCALE_MODEL=full it takes minutes and goes further.
func TestOrdersNeverGoBackwards(t *testing.T) {
	cases := []modelCase{
		{"engine checks fencing numbers, one fault", true, 2, 1},
		// The new agent waits five ticks before its first order.
		{"engine ignores them", false, 7, 0},
	}
	if os.Getenv("JUJUBESCALE_MODEL") == "full" {
		cases = append(cases,
			modelCase{"engine checks fencing numbers, one fault, longer", true, 6, 1},
			modelCase{"engine ignores them, one fault", false, 8, 1})
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			result := explore(t, c.checks, c.last, c.most)
			t.Logf("%+v", result)
			assert.Assert(t, result.Runs > 1000)
		})
	}
}

// modelCase is one kind of engine, with the last tick and the platform faults
// in a run.
type modelCase struct {
	name   string
	checks bool
	last   clock.Millis
	most   int
}
