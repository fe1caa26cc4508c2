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

// The model measures time in ticks. A term of the lease is four ticks, and a
// message is in transit for at most one tick, the maximum that the lease assumes.
const (
	tick     = 1 * clock.Millis(1)
	term     = 4 * tick
	delay    = 1 * tick
	maxDepth = 40
)

var errOrderLost = errors.New("connection failed")

// simulation is the state of the model: the platform's store, the engine, and the
// orders that were sent to it.
type simulation struct {
	world       *model.World
	now         clock.Millis
	leaseObject store.Object
	faults      int
	// lateWrites are writes that arrive after the writer got an UnknownError.
	lateWrites []write
	// messages are the orders that were sent.
	messages      []*message
	applied       []uint64
	highest       uint64
	checksFencing bool
	// lastTick ends the time of a run; maxFaults is the number of platform faults in
	// a run.
	lastTick  clock.Millis
	maxFaults int
	errs      []error
}

type write struct {
	want  store.Revision
	value []byte
}

type message struct {
	order   order.Order
	sent    clock.Millis
	arrived bool
	refused bool
}

func (s *simulation) String() string {
	text := fmt.Sprintf("%d %v %s %d %v %d", s.now, s.leaseObject.Version, s.leaseObject.Value, s.faults, s.applied, s.highest)
	for _, m := range s.messages {
		text += fmt.Sprintf(" %d@%d:%v", m.order.Fence, m.sent, m.arrived)
	}
	return text + fmt.Sprint(len(s.lateWrites))
}

// apply applies a conditional write and reports whether it took effect.
func (s *simulation) apply(w write) bool {
	if s.leaseObject.Version != w.want {
		return false
	}
	s.leaseObject = store.Object{Name: "l", Version: store.At(w.want.Number + 1), Value: w.value}
	return true
}

// store returns the platform's store for one actor. A write may be answered, may
// take effect while its answer is lost, or may take effect later or never.
func (s *simulation) store(a *model.Actor) *store.Store {
	return &store.Store{
		GetFunc: func(context.Context, string) (store.Object, error) {
			a.Step("get")
			a.Note(fmt.Sprint("got", s.leaseObject.Version))
			return s.leaseObject, nil
		},
		PutFunc: func(_ context.Context, _ string, want store.Revision, value []byte) (store.Object, error) {
			a.Step("put")
			w := write{want: want, value: value}
			kinds := 1
			if s.faults < s.maxFaults {
				kinds = 3
			}
			kind := a.Choose(kinds)
			if kind != 0 {
				s.faults++
			}
			switch kind {
			case 1:
				s.apply(w)
			case 2:
				s.lateWrites = append(s.lateWrites, w)
			default:
				done := s.apply(w)
				a.Note(fmt.Sprint("put", done))
				current := s.leaseObject
				// The writer may be paused, or the answer delayed.
				a.Step("answer")
				a.Note(fmt.Sprint("at", s.now))
				if !done {
					return store.Object{}, &store.ConflictError{Name: "l", Want: want, Current: current}
				}
				return current, nil
			}
			return store.Object{}, &store.UnknownError{Name: "l", Cause: errOrderLost}
		},
	}
}

// clock returns the clock of one actor. A sleep may last any time longer than
// requested.
func (s *simulation) clock(a *model.Actor) *clock.Clock {
	return clock.New(
		clock.WithNow(func() clock.Millis { return s.now }),
		clock.WithAfter(func(span clock.Millis) (<-chan struct{}, func()) {
			if span > term+delay {
				span = 0 // the pause before reading back is much shorter than a tick
			}
			due := s.now + span
			a.Wait(fmt.Sprint("sleep", due), func() bool { return s.now >= due })
			a.Note(fmt.Sprint("woke", s.now))
			done := make(chan struct{})
			close(done)
			return done, func() {}
		}))
}

// send returns a function that sends an order and waits until it has arrived at
// the engine.
func (s *simulation) send(a *model.Actor) func(context.Context, order.Order) error {
	return func(_ context.Context, o order.Order) error {
		m := &message{order: o, sent: s.now}
		s.messages = append(s.messages, m)
		a.Wait(fmt.Sprint("sent", o.Fence), func() bool { return m.arrived })
		a.Note(fmt.Sprint("answered", m.refused, s.now))
		if m.refused {
			return &order.FencedError{Fence: o.Fence, Highest: s.highest}
		}
		return nil
	}
}

func (s *simulation) arrive(m *message) {
	m.arrived = true
	if s.checksFencing && m.order.Fence < s.highest {
		m.refused = true
		return
	}
	s.highest = max(s.highest, m.order.Fence)
	s.applied = append(s.applied, m.order.Fence)
}

func (s *simulation) undelivered() []*message {
	var undelivered []*message
	for _, m := range s.messages {
		if !m.arrived {
			undelivered = append(undelivered, m)
		}
	}
	return undelivered
}

// overdue reports whether a message has been in transit for the maximum delay.
func (s *simulation) overdue() bool {
	for _, m := range s.undelivered() {
		if s.now >= m.sent+delay {
			return true
		}
	}
	return false
}

func (s *simulation) agent(name string, orders int) {
	s.world.Go(name, func(a *model.Actor) {
		a.Step("start")
		c := s.clock(a)
		nonces := 0
		held := lease.New(s.store(a), "l", name, lease.WithClock(c), lease.WithTerm(term), lease.WithReadBacks(1), lease.WithNonce(func() string {
			nonces++
			return fmt.Sprint(name, nonces)
		}))
		issuer := order.NewIssuer(c, held, !s.checksFencing, s.send(a))
		for range orders {
			if err := issuer.Issue(context.Background(), order.Order{Op: order.OpLoad, Model: name}); err != nil {
				a.Note("failed")
				s.errs = append(s.errs, err)
			}
		}
	})
}

// explore runs every interleaving of two agents that issue orders to one engine.
func explore(t *testing.T, checksFencing bool, lastTick clock.Millis, maxFaults int) model.Result {
	t.Helper()
	return model.Explore(t, maxDepth, func(w *model.World) {
		s := &simulation{world: w, now: 1, checksFencing: checksFencing, lastTick: lastTick, maxFaults: maxFaults}
		w.State(s.String)
		w.Event("tick", func() bool { return s.now < s.lastTick && !s.overdue() }, func() { s.now += tick })
		w.Event("late write", func() bool { return len(s.lateWrites) > 0 }, func() {
			s.apply(s.lateWrites[0])
			s.lateWrites = s.lateWrites[1:]
		})
		for i := range 3 {
			w.Event("arrival", func() bool { return len(s.undelivered()) > i }, func() { s.arrive(s.undelivered()[i]) })
		}
		s.agent("old", 1)
		s.agent("new", 1)
		w.Run()
		for i := 1; i < len(s.applied); i++ {
			assert.Check(t, s.applied[i-1] <= s.applied[i], "an order with a lower fencing number followed a higher one: %v, errors %v", s.applied, s.errs)
		}
		fences := make(map[uint64]bool)
		for _, m := range s.messages {
			fences[m.order.Fence] = true
		}
		assert.Check(t, !fences[0], "an order has no fencing number")
	})
}

// Guards against an engine that returns to models which the operators replaced,
// because an order of an old agent takes effect after one of a new agent. An agent
// is paused or its host is replaced while it issues orders, and a second agent
// starts for the same engine. Writes to the platform are lost, delayed or not
// answered.
//
// The model runs the real lease and issuer through every interleaving of their
// platform calls, messages and ticks, up to 40 decisions. With
// JUJUBESCALE_MODEL=full it also runs longer cases, which take minutes.
func TestOrdersNeverGoBackwards(t *testing.T) {
	cases := []modelCase{
		{"engine checks fencing numbers, one fault", true, 2, 1},
		// The new agent waits five ticks before its first order.
		{"engine ignores fencing numbers", false, 7, 0},
	}
	if os.Getenv("JUJUBESCALE_MODEL") == "full" {
		cases = append(cases,
			modelCase{"engine checks fencing numbers, one fault, longer", true, 6, 1},
			modelCase{"engine ignores fencing numbers, one fault", false, 8, 1})
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			result := explore(t, c.checksFencing, c.lastTick, c.maxFaults)
			t.Logf("%+v", result)
			assert.Assert(t, result.Runs > 1000)
		})
	}
}

// modelCase is a kind of engine with the limits of a run.
type modelCase struct {
	name          string
	checksFencing bool
	lastTick      clock.Millis
	maxFaults     int
}
