package soak

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// quotaPeriod is the period of a processor quota. A process that has used up its share of it stands still
	// for the rest.
	quotaPeriod = 100 * time.Millisecond
	// quotaPoll is the pause between two looks at the processor time of a process.
	quotaPoll = 2 * time.Millisecond
)

// startQuotas limits the processor time and the memory of all processes until the function that it returns is called.
func (r *run) startQuotas() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for i, p := range r.processes {
		size := sizeOf(i)
		group.Go(func() { enforceQuota(ctx, p, size.share) })
		group.Go(func() { r.enforceMemory(ctx, p, size) })
	}
	return func() {
		cancel()
		group.Wait()
	}
}

// enforceQuota lets a process run for its share of each period. What it has used beyond that counts for the
// next period.
func enforceQuota(ctx context.Context, p *process, share float64) {
	budget := time.Duration(share * float64(quotaPeriod))
	left, last, running := budget, time.Duration(0), (*incarnation)(nil)
	next := time.Now().Add(quotaPeriod)
	for ctx.Err() == nil {
		pause(ctx, quotaPoll)
		if now := time.Now(); now.After(next) {
			left = min(left+budget*(1+now.Sub(next)/quotaPeriod), budget)
			next = next.Add(quotaPeriod * (1 + now.Sub(next)/quotaPeriod))
		}
		current := p.currentIncarnation()
		used, err := p.processorTime()
		if current != running || err != nil { // a process that has just started has a whole period
			running, last, left = current, used, budget
		}
		left -= used - last
		last = used
		p.setThrottled(left <= 0)
	}
	p.setThrottled(false)
}

// processorTime returns the processor time that all threads of the process have used.
func (p *process) processorTime() (time.Duration, error) {
	p.mu.Lock()
	id := p.command.Process.Pid
	p.mu.Unlock()
	var used unix.Timespec
	// The clock of another process's processor time, as clock_getcpuclockid(3) makes it.
	const allThreads = 2
	err := unix.ClockGettime(int32(^id<<3|allThreads), &used)
	return time.Duration(used.Nano()), err
}
