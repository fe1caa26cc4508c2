package clock

import "sync"

// Fake drives a clock that moves only on Advance. Tests and simulations that
// run without a network use it.
type Fake struct {
	mu     sync.Mutex
	now    Millis
	timers []fakeTimer
}

type fakeTimer struct {
	at   Millis
	done chan struct{}
}

// NewFake returns a fake whose current instant is now.
func NewFake(now Millis) *Fake { return &Fake{now: now} }

// Clock returns a clock that the fake drives.
func (f *Fake) Clock() *Clock { return New(WithNow(f.read), WithAfter(f.after)) }

// Advance moves the clock forward and fires the timers that are due.
func (f *Fake) Advance(span Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now += span
	kept := f.timers[:0]
	for _, timer := range f.timers {
		if timer.at <= f.now {
			close(timer.done)
			continue
		}
		kept = append(kept, timer)
	}
	f.timers = kept
}

// Pending returns the number of timers that have neither fired nor been stopped.
func (f *Fake) Pending() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.timers)
}

// Next returns the instant at which the first timer is due, 0 without timers.
func (f *Fake) Next() Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := Millis(0)
	for _, timer := range f.timers {
		if next == 0 || timer.at < next {
			next = timer.at
		}
	}
	return next
}

func (f *Fake) read() Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *Fake) after(span Millis) (<-chan struct{}, func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	done := make(chan struct{})
	if span <= 0 {
		close(done)
		return done, func() {}
	}
	f.timers = append(f.timers, fakeTimer{at: f.now + span, done: done})
	return done, func() { f.drop(done) }
}

func (f *Fake) drop(done chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, timer := range f.timers {
		if timer.done == done {
			f.timers = append(f.timers[:i], f.timers[i+1:]...)
			return
		}
	}
}
