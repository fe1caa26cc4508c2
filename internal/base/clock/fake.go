package clock

import "sync"

// Fake is a clock that moves only when told, for tests and for pure packages
// that are driven without a network.
type Fake struct {
	mu     sync.Mutex
	now    Millis
	timers []fakeTimer
}

type fakeTimer struct {
	at   Millis
	done chan struct{}
}

// NewFake returns a fake that stands at the given instant.
func NewFake(now Millis) *Fake { return &Fake{now: now} }

// Clock returns the clock that this fake drives.
func (f *Fake) Clock() *Clock { return New(WithNow(f.read), WithAfter(f.after)) }

// Advance moves the clock forward and closes the timers that are due.
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

// Pending returns how many timers have not fired yet.
func (f *Fake) Pending() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.timers)
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
