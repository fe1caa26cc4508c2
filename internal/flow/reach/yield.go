package reach

import (
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// admittedHalf is the time in which half of the requests counted are forgotten.
	admittedHalf = 5 * clock.Second
	// yieldShare is how much less of their objective requests of the next lower
	// priority may fill the queues: what is more urgent then finds them shorter.
	yieldShare = 0.1
	// floorShare is the part of the share begun of all requests below which no
	// route is held back for its priority: the urgent ones would take everything.
	floorShare = 0.75
	// fewAsked is how many requests are taken to have been begun besides those
	// counted, so that the first few decide little.
	fewAsked = 4
)

// Admissions counts which part of some requests was begun in time lately. It is
// safe for use by several goroutines.
type Admissions struct {
	mu    sync.Mutex
	begun float64
	asked float64
	at    clock.Millis
}

// Count counts one request.
func (a *Admissions) Count(begun bool, now clock.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fade(now)
	a.asked++
	if begun {
		a.begun++
	}
}

// Share returns the part that was begun, 1 while little is known.
func (a *Admissions) Share(now clock.Millis) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fade(now)
	return (a.begun + fewAsked) / (a.asked + fewAsked)
}

// fade forgets with time; the caller holds the lock.
func (a *Admissions) fade(now clock.Millis) {
	if now > a.at {
		kept := keptAfter(now-a.at, admittedHalf)
		a.begun *= kept
		a.asked *= kept
		a.at = now
	}
}

// ReservedShare returns which part of its objective a request leaves free for more urgent
// ones, by its priority (0 is the most urgent) and the shares of its route's and
// of all requests that were begun lately. It answers bursts in which urgent and
// other requests together are more than engines do: without it the urgent ones
// find queues as long as everybody, with a fixed part the others get next to
// nothing for as long as the burst lasts.
func ReservedShare(priority int, route, all float64) float64 {
	held := (route/all - floorShare) / (1 - floorShare)
	return yieldShare * float64(max(priority, 0)) * min(max(held, 0), 1)
}
