// Package slots is the capacity model that the stand-in endpoints share: work
// slows as more of it runs at once, a cold endpoint falls over beyond what it
// bears, and all engine time is accounted. It sleeps on the real clock.
package slots

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"
)

// Errors of the model.
var (
	// ErrReset says that the endpoint fell over or was restarted.
	ErrReset = errors.New("endpoint was reset")
	// ErrFull says that the endpoint holds as much as it can.
	ErrFull = errors.New("endpoint is full")
)

// Config describes one endpoint's capacity.
type Config struct {
	// Limit is the work it bears at once at full speed.
	Limit int
	// ColdLimit is what it bears while cold; beyond it the endpoint falls over.
	ColdLimit int
	// ColdWork is the engine time of finished work after which it is warm.
	ColdWork time.Duration
	// MaxRunning bounds what it holds at once; 0 is 64 times Limit.
	MaxRunning int
}

// Usage is engine time spent on one attempt.
type Usage struct {
	ID    string
	Spent time.Duration
	// Finished tells that the endpoint finished the work.
	Finished bool
}

// State is what the model shows at one instant.
type State struct {
	StartID uint64
	Running int
	Limit   int
	Cold    bool
	// ColdCrashes counts how often the endpoint fell over under load while cold.
	ColdCrashes int
	// ColdPeak is the most work that ran at once while cold.
	ColdPeak int
	// LastStart is when the newest work began.
	LastStart time.Time
}

// Slots is one endpoint's capacity. All methods may be called at once from
// several goroutines.
type Slots struct {
	mu        sync.Mutex
	config    Config
	startID   uint64
	warmed    time.Duration
	running   int
	weight    float64
	slow      float64
	falls     int
	coldPeak  int
	reset     chan struct{}
	usage     []Usage
	lastStart time.Time
	onReset   func()
}

// New returns a warm endpoint.
func New(config Config) *Slots {
	if config.MaxRunning == 0 {
		config.MaxRunning = 64 * config.Limit
	}
	return &Slots{config: config, startID: 1, warmed: config.ColdWork, slow: 1, reset: make(chan struct{}), onReset: func() {}}
}

// Run is one piece of work in progress.
type Run struct {
	slots  *Slots
	id     string
	weight float64
	reset  chan struct{}
	credit time.Duration
	spent  time.Duration
}

// Begin takes in work at once, as continuous batching does. Beyond the limit
// all of it slows down; a cold endpoint falls over instead.
func (s *Slots) Begin(id string, priority int) (*Run, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.config.MaxRunning {
		return nil, ErrFull
	}
	if s.cold() && s.running+1 > s.config.ColdLimit {
		s.falls++
		s.restart()
		return nil, ErrReset
	}
	run := &Run{slots: s, id: id, weight: 1 + float64(max(priority, 0)), reset: s.reset}
	s.running++
	s.weight += run.weight
	s.lastStart = time.Now()
	if s.cold() {
		s.coldPeak = max(s.coldPeak, s.running)
	}
	return run, nil
}

// Work spends engine time on the run, at the speed that the endpoint's load
// allows. It ends early with the context or when the endpoint is reset.
func (r *Run) Work(ctx context.Context, amount time.Duration) error {
	const quantum = 10 * time.Millisecond
	for r.credit < amount {
		speed := r.slots.speed(r.weight)
		wait := time.Duration(float64(min(amount-r.credit, quantum)) / speed)
		begin := time.Now()
		timer := time.NewTimer(wait)
		err := r.wait(ctx, timer)
		took := time.Since(begin)
		done := time.Duration(float64(took) * speed)
		r.credit += done
		r.spent += done
		if err != nil {
			return err
		}
	}
	r.credit -= amount
	return nil
}

func (r *Run) wait(ctx context.Context, timer *time.Timer) error {
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-r.reset:
		return ErrReset
	}
}

// Spent returns the engine time used so far.
func (r *Run) Spent() time.Duration { return r.spent }

// End gives the slot back and accounts the engine time.
func (r *Run) End(whole bool) {
	s := r.slots
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage = append(s.usage, Usage{ID: r.id, Spent: r.spent, Finished: whole})
	if r.reset != s.reset {
		return
	}
	s.running--
	s.weight -= r.weight
	if whole && s.cold() {
		s.warmed += r.spent
	}
}

// singleSpeed is how much faster one run alone is than a full batch.
const singleSpeed = 1.6

// overloadLoss says how total throughput falls beyond the limit: at twice the
// limit about four fifths of it are left.
const overloadLoss = 0.3

func (s *Slots) speed(weight float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit, running := float64(s.config.Limit), float64(max(s.running, 1))
	single := 1 / (1/singleSpeed + (1-1/singleSpeed)*min(running/limit, 1))
	if running <= limit {
		return single / s.slow
	}
	total := limit * math.Pow(limit/running, overloadLoss)
	return min(total*weight/s.weight, singleSpeed) / s.slow
}

func (s *Slots) cold() bool { return s.warmed < s.config.ColdWork }

func (s *Slots) restart() {
	close(s.reset)
	s.reset = make(chan struct{})
	s.startID++
	s.running, s.weight, s.warmed = 0, 0, 0
	s.onReset()
}

// Restart starts the endpoint anew: cold, with another start id, and all that
// ran in it is lost.
func (s *Slots) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restart()
}

// TurnCold makes a warm endpoint cold without a restart or a word about it.
func (s *Slots) TurnCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.warmed = 0
}

// SetSlow makes all work take factor times as long; 1 is normal.
func (s *Slots) SetSlow(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = factor
}

// State returns what the endpoint is doing.
func (s *Slots) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.config.Limit
	if s.cold() {
		limit = s.config.ColdLimit
	}
	return State{
		StartID: s.startID, Running: s.running, Limit: limit, Cold: s.cold(),
		ColdCrashes: s.falls, ColdPeak: s.coldPeak, LastStart: s.lastStart,
	}
}

// TakeUsage returns the engine time of work that ended since the last call.
func (s *Slots) TakeUsage() []Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.usage
	s.usage = nil
	return taken
}

// OnReset sets what is called when the endpoint falls over or is restarted. It
// must not call back into the model.
func (s *Slots) OnReset(call func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onReset = call
}
