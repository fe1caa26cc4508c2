// Package slots is the capacity model of the stand-in endpoints. Work slows
// down as more of it runs concurrently, a cold endpoint crashes above its cold
// limit, and all engine time is recorded. It sleeps on the real clock.
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
	// ErrReset means that the endpoint crashed or was restarted.
	ErrReset = errors.New("endpoint was reset")
	// ErrFull means that Config.MaxRunning is reached.
	ErrFull = errors.New("endpoint is full")
)

// Config describes one endpoint's capacity.
type Config struct {
	// Limit is the number of concurrent runs at full throughput.
	Limit int
	// ColdLimit is the number of concurrent runs while cold. With more, the
	// endpoint crashes.
	ColdLimit int
	// ColdWork is the engine time of finished work after which a cold endpoint
	// is warm.
	ColdWork time.Duration
	// MaxRunning is the maximum number of concurrent runs; 0 means 64 times
	// Limit.
	MaxRunning int
}

// Usage is the engine time of one attempt.
type Usage struct {
	ID    string
	Spent time.Duration
	// Finished is true if the endpoint finished the work.
	Finished bool
}

// State is the state of an endpoint at one instant.
type State struct {
	StartID uint64
	Running int
	Limit   int
	Cold    bool
	// ColdCrashes counts the crashes because of too much work while cold.
	ColdCrashes int
	// ColdPeak is the maximum number of concurrent runs while cold.
	ColdPeak int
	// LastStart is the time at which the newest run began.
	LastStart time.Time
}

// Slots is the capacity of one endpoint. It is safe for concurrent use.
type Slots struct {
	mu           sync.Mutex
	config       Config
	startID      uint64
	coldWorkDone time.Duration
	running      int
	totalWeight  float64
	slowdown     float64
	coldCrashes  int
	coldPeak     int
	reset        chan struct{}
	usage        []Usage
	lastStart    time.Time
	onReset      func()
}

// New returns the capacity of a warm endpoint.
func New(config Config) *Slots {
	if config.MaxRunning == 0 {
		config.MaxRunning = 64 * config.Limit
	}
	return &Slots{config: config, startID: 1, coldWorkDone: config.ColdWork, slowdown: 1, reset: make(chan struct{}), onReset: func() {}}
}

// Run is one unit of work in progress.
type Run struct {
	slots  *Slots
	id     string
	weight float64
	reset  chan struct{}
	credit time.Duration
	spent  time.Duration
}

// Begin starts work at once, without a queue, as in continuous batching. Above
// the limit, all work slows down. A cold endpoint above its cold limit crashes
// instead, and Begin returns ErrReset. It returns ErrFull at MaxRunning.
func (s *Slots) Begin(id string, priority int) (*Run, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.config.MaxRunning {
		return nil, ErrFull
	}
	if s.cold() && s.running+1 > s.config.ColdLimit {
		s.coldCrashes++
		s.restart()
		return nil, ErrReset
	}
	run := &Run{slots: s, id: id, weight: 1 + float64(max(priority, 0)), reset: s.reset}
	s.running++
	s.totalWeight += run.weight
	s.lastStart = time.Now()
	if s.cold() {
		s.coldPeak = max(s.coldPeak, s.running)
	}
	return run, nil
}

// Work spends an amount of engine time on the run, at a speed that depends on
// the endpoint's load. It returns early with the error of the context, or with
// ErrReset if the endpoint is reset.
func (r *Run) Work(ctx context.Context, amount time.Duration) error {
	const quantum = 10 * time.Millisecond
	for r.credit < amount {
		speed := r.slots.speed(r.weight)
		wait := time.Duration(float64(min(amount-r.credit, quantum)) / speed)
		begin := time.Now()
		timer := time.NewTimer(wait)
		err := r.wait(ctx, timer)
		took := time.Since(begin)
		worked := time.Duration(float64(took) * speed)
		r.credit += worked
		r.spent += worked
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

// End releases the slot and records the engine time.
func (r *Run) End(finished bool) {
	s := r.slots
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage = append(s.usage, Usage{ID: r.id, Spent: r.spent, Finished: finished})
	if r.reset != s.reset {
		return
	}
	s.running--
	s.totalWeight -= r.weight
	if finished && s.cold() {
		s.coldWorkDone += r.spent
	}
}

// singleSpeed is the speed of a single run relative to a run in a full batch.
const singleSpeed = 1.6

// overloadExponent is the exponent by which total throughput falls above the limit.
// At twice the limit, about four fifths of it remain.
const overloadExponent = 0.3

// speed returns the engine time that a run of that weight gets per unit of real
// time.
func (s *Slots) speed(weight float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit, running := float64(s.config.Limit), float64(max(s.running, 1))
	single := 1 / (1/singleSpeed + (1-1/singleSpeed)*min(running/limit, 1))
	if running <= limit {
		return single / s.slowdown
	}
	total := limit * math.Pow(limit/running, overloadExponent)
	return min(total*weight/s.totalWeight, singleSpeed) / s.slowdown
}

func (s *Slots) cold() bool { return s.coldWorkDone < s.config.ColdWork }

func (s *Slots) restart() {
	close(s.reset)
	s.reset = make(chan struct{})
	s.startID++
	s.running, s.totalWeight, s.coldWorkDone = 0, 0, 0
	s.onReset()
}

// Restart restarts the endpoint: it is cold, has a new start id and loses all
// running work.
func (s *Slots) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restart()
}

// TurnCold makes the endpoint cold without a restart, so the start id does not
// change.
func (s *Slots) TurnCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldWorkDone = 0
}

// SetSlow multiplies the duration of all work by factor; 1 is normal.
func (s *Slots) SetSlow(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = factor
}

// State returns the current state.
func (s *Slots) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.config.Limit
	if s.cold() {
		limit = s.config.ColdLimit
	}
	return State{
		StartID: s.startID, Running: s.running, Limit: limit, Cold: s.cold(),
		ColdCrashes: s.coldCrashes, ColdPeak: s.coldPeak, LastStart: s.lastStart,
	}
}

// TakeUsage returns the engine time of the work that has ended since the last
// call.
func (s *Slots) TakeUsage() []Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.usage
	s.usage = nil
	return taken
}

// OnReset sets a function that is called when the endpoint crashes or is
// restarted. The function must not call methods of Slots.
func (s *Slots) OnReset(call func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onReset = call
}
