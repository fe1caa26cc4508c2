package deploy

import (
	"sync"
	"sync/atomic"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/route/canary"
)

const (
	// warmUpTime is how long an endpoint that has just started may be slow without
	// being considered bad.
	warmUpTime = 3 * clock.Second
	// overdueFactor is the ratio of elapsed to expected duration from which on an
	// open request counts as slow.
	overdueFactor = 3.0
)

// rollout is one order and its state in this process.
type rollout struct {
	name  string
	order canary.Order
	began clock.Millis
	// restarted is set if the order was already running when this process started.
	restarted bool
	// status and revision are as last recorded. The lock of the controller guards
	// them.
	status   canary.Status
	revision store.Revision
	// statusLost is set while the store has an older status, because it came back from a copy.
	statusLost bool

	// Only Run uses the fields from here to decided. writeBackoff and nextWrite
	// delay the next write after a failure.
	judge        canary.Judge
	writeBackoff clock.Millis
	nextWrite    clock.Millis
	// dueState is the state that is to be recorded, dueSince the instant since when.
	dueState canary.State
	dueSince clock.Millis
	// lostSince is when this process first found the status lost, 0 while it isn't.
	lostSince clock.Millis
	// refused is set once the log contains the reason why the order isn't started,
	// and promoting once it contains the start of the promotion. decided is set once
	// the order is due and the bounds allow the requests of the promotion.
	refused, promoting, decided bool

	plan atomic.Pointer[canary.Plan]
	// startedAt is that of status.
	startedAt atomic.Int64
	suspended atomic.Bool
	upToDate  atomic.Bool
	counters  sync.Map // wire.TrialKey to *counter
	open      sync.Map // *Attempt to struct{}
}

func newRollout(name string, order canary.Order, now clock.Millis) *rollout {
	r := &rollout{name: name, order: order, began: now}
	r.plan.Store(&canary.Plan{})
	return r
}

// isReplacedBy reports whether an object holds an order that was given after this one, although both are equal: the
// object was deleted and created again, and this process has read neither on its own. The caller holds the lock.
func (r *rollout) isReplacedBy(object *store.Object, status *canary.Status) bool {
	switch {
	case r.status.State == "" || r.statusLost || r.revision.Era != object.Version.Era:
		return false // nothing tells them apart, or the store has lost the status
	case status.State == "":
		return len(object.Status) == 0 // other programs may write one that can't be read
	}
	// Other programs may also write a status without a start.
	return status.Order != r.order || status.StartedAt != r.status.StartedAt && min(status.StartedAt, r.status.StartedAt) > 0
}

// counter counts the requests and answers of one key.
type counter struct {
	sent, answers, failed, took atomic.Int64
	histogram                   [canary.Buckets]atomic.Int64
}

func (r *rollout) counter(key wire.TrialKey) *counter {
	if known, found := r.counters.Load(key); found {
		return known.(*counter)
	}
	known, _ := r.counters.LoadOrStore(key, &counter{})
	return known.(*counter)
}

// trials returns all counts. Open requests that are overdue count as slow answers.
func (r *rollout) trials(now clock.Millis) []wire.Trial {
	byKey := make(map[wire.TrialKey]wire.Trial)
	r.counters.Range(func(key, value any) bool {
		byKey[key.(wire.TrialKey)] = value.(*counter).trial(key.(wire.TrialKey))
		return true
	})
	r.open.Range(func(key, _ any) bool {
		a := key.(*Attempt)
		if ratio := a.durationRatio(now); ratio >= overdueFactor && !a.warmingUp {
			histogram := make([]int64, canary.Buckets)
			histogram[canary.Bucket(ratio)] = 1
			byKey[a.key] = byKey[a.key].Plus(wire.Trial{Answers: 1, Histogram: histogram})
		}
		return true
	})
	all := make([]wire.Trial, 0, len(byKey)+1)
	began := r.startedAt.Load()
	for _, trial := range byKey {
		trial.Began = began
		all = append(all, trial)
	}
	if suspended := r.suspended.Load(); suspended || r.restarted {
		all = append(all, wire.Trial{
			TrialKey: wire.TrialKey{Pool: r.order.Pool, Version: r.order.Version, Began: began}, Suspended: suspended, Restarted: r.restarted,
		})
	}
	return all
}

// evidence adds up the counts of this process and those of its peers that belong to this order. A peer that has not read
// it yet still states those of an earlier one for the same version.
func (r *rollout) evidence(now clock.Millis, peers []wire.Trial) *canary.Evidence {
	began, trials := r.startedAt.Load(), make([]wire.Trial, 0, len(peers))
	for i := range peers {
		if peers[i].Began == began || peers[i].Began == 0 || began == 0 {
			trials = append(trials, peers[i])
		}
	}
	return canary.NewEvidence(r.order, r.trials(now), trials)
}

func (c *counter) trial(key wire.TrialKey) wire.Trial {
	trial := wire.Trial{TrialKey: key, Sent: c.sent.Load(), Answers: c.answers.Load(), Failed: c.failed.Load(), TotalMs: c.took.Load()}
	last := -1
	for bucket := range c.histogram {
		if c.histogram[bucket].Load() > 0 {
			last = bucket
		}
	}
	for bucket := range last + 1 {
		trial.Histogram = append(trial.Histogram, c.histogram[bucket].Load())
	}
	return trial
}

// Attempt is an open request to an endpoint of a pool with a rollout. The methods of
// a nil Attempt do nothing.
type Attempt struct {
	controller *Controller
	rollout    *rollout
	key        wire.TrialKey
	began      clock.Millis
	expected   float64
	// warmingUp is set if the endpoint has just started. Its durations aren't
	// counted.
	warmingUp bool
	once      sync.Once
}

// durationRatio returns the ratio of elapsed to expected duration.
func (a *Attempt) durationRatio(now clock.Millis) float64 {
	return float64(now-a.began) / max(a.expected, 1)
}

// RecordAnswer counts the answer, as a failure of the endpoint if failed is set.
// Only the first call has an effect.
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
	case !a.warmingUp:
		c.histogram[canary.Bucket(a.durationRatio(now))].Add(1)
	}
}

// RecordBreak counts an interrupted answer as a failure, even if the beginning of
// the answer has already been counted.
func (a *Attempt) RecordBreak() {
	if a == nil {
		return
	}
	counted := true
	a.once.Do(func() {
		counted = false
		a.count(true)
	})
	if counted {
		a.count(true)
	}
}

// RecordCancel ends a request whose caller has left. It counts as a slow answer if
// it was overdue, otherwise not at all.
func (a *Attempt) RecordCancel() {
	if a == nil {
		return
	}
	a.once.Do(func() {
		if a.durationRatio(a.controller.clock.Now()) >= overdueFactor {
			a.count(false)
			return
		}
		a.rollout.open.Delete(a)
	})
}

// RecordPauses counts the mean pause between the events of a stream, in
// milliseconds, as a separate answer, because an endpoint may begin an answer in
// time and continue slowly.
func (a *Attempt) RecordPauses(mean float64) {
	if a == nil || a.warmingUp {
		return
	}
	key := a.key
	key.Route += pausesSuffix
	c := a.rollout.counter(key)
	c.answers.Add(1)
	c.histogram[canary.Bucket(mean/expectedPauseMs)].Add(1)
}

// DefaultExpectedMs is the expected duration of answers for which none is known, in
// milliseconds. Its only requirement is that typical answers fall into the middle
// buckets of the histogram.
const DefaultExpectedMs = 16.0

const (
	// pausesSuffix is appended to the name of a route to count the pauses of its
	// streams.
	pausesSuffix = " pauses"
	// expectedPauseMs is the equivalent of DefaultExpectedMs for pauses.
	expectedPauseMs = 16.0
)
