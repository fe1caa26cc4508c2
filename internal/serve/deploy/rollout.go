package deploy

import (
	"sync"
	"sync/atomic"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/route/canary"
)

const (
	// warmUp is how long an endpoint that has just started is slow without being bad.
	warmUp = 3 * clock.Second
	// overdue is how many times longer than expected a request takes that counts as
	// slow before it has ended.
	overdue = 3.0
)

// rollout is one order and what this process knows of it.
type rollout struct {
	name  string
	order canary.Order
	began clock.Millis
	// restarted says that the order was running when this process started.
	restarted bool
	// status and revision are as recorded last; the controller's lock guards them.
	status   canary.Status
	revision uint64

	// judge and what follows up to promoting is used by Run only. Pause and next
	// space writes that fail.
	judge canary.Judge
	pause clock.Millis
	next  clock.Millis
	// dueState is the state that is to be recorded, and dueSince since when.
	dueState canary.State
	dueSince clock.Millis
	// refused and promoting are set once the log has the reason for not beginning the
	// order, or the begin of the promotion. decided is set once the order is due and
	// the candidate was not found bad.
	refused, promoting, decided bool

	plan      atomic.Pointer[canary.Plan]
	suspended atomic.Bool
	inTouch   atomic.Bool
	counters  sync.Map // wire.TrialKey to *counter
	open      sync.Map // *Attempt to struct{}
}

func newRollout(name string, order canary.Order, now clock.Millis) *rollout {
	r := &rollout{name: name, order: order, began: now}
	r.plan.Store(&canary.Plan{})
	return r
}

// counter counts the answers of one key.
type counter struct {
	sent, answers, failed, took atomic.Int64
	spread                      [canary.Buckets]atomic.Int64
}

func (r *rollout) counter(key wire.TrialKey) *counter {
	if known, found := r.counters.Load(key); found {
		return known.(*counter)
	}
	known, _ := r.counters.LoadOrStore(key, &counter{})
	return known.(*counter)
}

// trials returns all counts, with the requests that are overdue as slow answers.
func (r *rollout) trials(now clock.Millis) []wire.Trial {
	byKey := make(map[wire.TrialKey]wire.Trial)
	r.counters.Range(func(key, value any) bool {
		byKey[key.(wire.TrialKey)] = value.(*counter).trial(key.(wire.TrialKey))
		return true
	})
	r.open.Range(func(key, _ any) bool {
		a := key.(*Attempt)
		if times := a.times(now); times >= overdue && !a.fresh {
			spread := make([]int64, canary.Buckets)
			spread[canary.Bucket(times)] = 1
			byKey[a.key] = byKey[a.key].Plus(wire.Trial{Answers: 1, Spread: spread})
		}
		return true
	})
	all := make([]wire.Trial, 0, len(byKey)+1)
	for _, trial := range byKey {
		all = append(all, trial)
	}
	if suspended := r.suspended.Load(); suspended || r.restarted {
		all = append(all, wire.Trial{
			TrialKey: wire.TrialKey{Pool: r.order.Pool, Version: r.order.Version}, Suspended: suspended, Restarted: r.restarted,
		})
	}
	return all
}

func (c *counter) trial(key wire.TrialKey) wire.Trial {
	trial := wire.Trial{TrialKey: key, Sent: c.sent.Load(), Answers: c.answers.Load(), Failed: c.failed.Load(), Took: c.took.Load()}
	last := -1
	for class := range c.spread {
		if c.spread[class].Load() > 0 {
			last = class
		}
	}
	for class := range last + 1 {
		trial.Spread = append(trial.Spread, c.spread[class].Load())
	}
	return trial
}

// Attempt is a request under way to an endpoint of a pool with a rollout. A nil
// Attempt counts nothing.
type Attempt struct {
	controller *Controller
	rollout    *rollout
	key        wire.TrialKey
	began      clock.Millis
	expected   float64
	// fresh is set if the endpoint has just started; its durations are not counted.
	fresh bool
	once  sync.Once
}

// times returns how many times as long as expected the request has taken.
func (a *Attempt) times(now clock.Millis) float64 {
	return float64(now-a.began) / max(a.expected, 1)
}

// RecordAnswer counts the answer: whether it is a failure of the endpoint. Only the
// first call counts.
func (a *Attempt) RecordAnswer(failed bool) {
	if a == nil {
		return
	}
	a.once.Do(func() { a.count(failed) })
}

func (a *Attempt) count(failed bool) {
	now := a.controller.clock.Now()
	a.rollout.open.Delete(a)
	c := a.rollout.counter(a.key)
	c.answers.Add(1)
	c.took.Add(int64(now - a.began))
	switch {
	case failed:
		c.failed.Add(1)
		if a.key.Candidate {
			a.controller.meter.failed(a.key.Pool, a.key.Version)
		}
	case !a.fresh:
		c.spread[canary.Bucket(a.times(now))].Add(1)
	}
}

// RecordBreak counts an answer that broke off, also after it was counted as begun.
func (a *Attempt) RecordBreak() {
	if a == nil {
		return
	}
	begun := true
	a.once.Do(func() {
		begun = false
		a.count(true)
	})
	if begun {
		a.count(true)
	}
}

// RecordCancel ends a request whose caller left. One that was overdue counts as slow.
func (a *Attempt) RecordCancel() {
	if a == nil {
		return
	}
	a.once.Do(func() {
		if a.times(a.controller.clock.Now()) >= overdue {
			a.count(false)
			return
		}
		a.rollout.open.Delete(a)
	})
}

// RecordPauses counts the mean pause between the events of a stream as an answer of its
// own: an endpoint may begin in time and go on slowly.
func (a *Attempt) RecordPauses(mean float64) {
	if a == nil || a.fresh {
		return
	}
	key := a.key
	key.Route += pausesOf
	c := a.rollout.counter(key)
	c.answers.Add(1)
	c.spread[canary.Bucket(mean/pauseUnit)].Add(1)
}

// DefaultExpectedMs stands for the expected duration of answers where none is known, in
// milliseconds: any will do that puts them into the middle classes.
const DefaultExpectedMs = 16.0

const (
	// pausesOf follows the name of a route whose streams' pauses are counted.
	pausesOf = " pauses"
	// pauseUnit is DefaultExpectedMs for pauses.
	pauseUnit = 16.0
)
