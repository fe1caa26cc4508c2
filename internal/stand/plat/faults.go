package plat

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"github.com/jujubescale/jujubescale/internal/plat/store"
)

// Faults are the faults that the platform simulates. Shares lie between 0 and 1
// and are drawn from a fixed seed.
type Faults struct {
	// Down rejects every call without effect.
	Down bool
	// Hang accepts calls, never answers them and has no effect.
	Hang bool
	// Delay is added to each call. A real platform answers within
	// milliseconds.
	Delay time.Duration
	// LoseAnswer is the share of writes that take effect, but whose connection
	// is aborted instead of answered.
	LoseAnswer float64
	// Stale is the share of reads and watches that return the previous version.
	Stale float64
	// WatchLate is the delay between a change and the answer of a watch.
	WatchLate time.Duration
	// WatchLost is the share of changes that a watch does not report.
	WatchLost float64
	// WatchDoubled is the share of watches that answer at once, although the
	// caller already has the current version.
	WatchDoubled float64
	// HostLag is the delay until a change of the list of hosts is visible.
	HostLag time.Duration
}

// Snapshot is the state of all objects at one instant.
type Snapshot struct {
	objects map[string]record
}

// Snapshot returns the state of all objects.
func (p *Plat) Snapshot() Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	snapshot := Snapshot{objects: make(map[string]record, len(p.objects))}
	for name, e := range p.objects {
		snapshot.objects[name] = *e
	}
	return snapshot
}

// Restore resets all objects and their versions to a snapshot, like a restore
// from a backup.
func (p *Plat) Restore(snapshot Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, e := range p.objects {
		old := snapshot.objects[name]
		e.version, e.present, e.value = old.version, old.present, old.value
		close(e.changed)
		e.changed = make(chan struct{})
	}
}

// SetFaults replaces the current faults.
func (p *Plat) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	close(p.faultsChanged)
	p.faultsChanged = make(chan struct{})
}

// currentFaults returns the faults and a channel that is closed when they
// change.
func (p *Plat) currentFaults() (Faults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.faultsChanged
}

// chance reports true with a probability of share, from the seeded source.
func (p *Plat) chance(share float64) bool {
	if share <= 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.Float64() < share
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

// retryAfterMs is the retry delay that refused callers get, in milliseconds.
const retryAfterMs = 100

// guard wraps a handler: it counts the call, applies the faults that affect
// every call, and enforces the rate limit.
func (p *Plat) guard(limiter *rate.Limiter, which func(*Calls) *int, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.count(which)
		faults, _ := p.currentFaults()
		if faults.Delay > 0 {
			time.Sleep(faults.Delay)
		}
		if faults.Hang {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if faults.Down {
			p.refuse(w, http.StatusServiceUnavailable)
			return
		}
		if !limiter.Allow() {
			p.refuse(w, http.StatusTooManyRequests)
			return
		}
		next(w, r)
	}
}

func (p *Plat) refuse(w http.ResponseWriter, status int) {
	p.count(func(c *Calls) *int { return &c.Refused })
	w.Header().Set("Retry-After-Ms", strconv.Itoa(retryAfterMs))
	w.WriteHeader(status)
}

// visibleObject returns the object as a read sees it: the current version, or the
// previous one for the share Faults.Stale of reads.
func (p *Plat) visibleObject(name string) store.Object {
	faults, _ := p.currentFaults()
	stale := p.chance(faults.Stale)
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.record(name)
	if stale {
		return e.previous
	}
	return e.object(name)
}

// visibleHosts returns the list of hosts as it was HostLag ago.
func (p *Plat) visibleHosts() []store.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	cutoff := time.Now().Add(-p.faults.HostLag)
	for len(p.hostLists) > 1 && !p.hostLists[1].at.After(cutoff) {
		p.hostLists = p.hostLists[1:]
	}
	if len(p.hostLists) == 0 {
		return nil
	}
	return p.hostLists[0].hosts
}
