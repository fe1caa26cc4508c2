// Package plat is the stand-in for the platform. It has an object API with
// versions, conditional updates and watches, and a list of hosts that may lag.
package plat

import (
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/jujubescale/jujubescale/internal/plat/store"
)

// Calls counts the HTTP calls that reached the platform, by kind. Refused calls
// are also counted under their kind.
type Calls struct {
	Reads, Writes, Watches, Lists, Hosts, Refused int
}

// Plat is a simulated platform that keeps its objects and hosts in memory.
type Plat struct {
	mu      sync.Mutex
	objects map[string]*record
	calls   Calls
	random  *rand.Rand
	reads   *rate.Limiter
	writes  *rate.Limiter

	hostLists     []hostList
	faults        Faults
	faultsChanged chan struct{}
}

type hostList struct {
	at    time.Time
	hosts []store.Host
}

type record struct {
	// previous is the object before the last write, for stale reads.
	previous store.Object
	version  store.Revision
	present  bool
	value    []byte
	changed  chan struct{}
}

// Option configures a Plat.
type Option func(*Plat)

// WithRates limits the reads (including watches and lists) and the writes, per
// second.
func WithRates(reads, writes int) Option {
	return func(p *Plat) {
		p.reads = rate.NewLimiter(rate.Limit(reads), reads)
		p.writes = rate.NewLimiter(rate.Limit(writes), writes)
	}
}

// WithSeed sets the seed of the draws for faults.
func WithSeed(seed uint64) Option { return func(p *Plat) { p.random = newRandom(seed) } }

// Default rate limits, in calls per second.
const (
	defaultReadsPerSecond  = 2000
	defaultWritesPerSecond = 400
)

// New returns an empty platform.
func New(opts ...Option) *Plat {
	p := &Plat{objects: make(map[string]*record), random: newRandom(1), faultsChanged: make(chan struct{})}
	WithRates(defaultReadsPerSecond, defaultWritesPerSecond)(p)
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// record returns the state of an object, and creates it if there is none.
func (p *Plat) record(name string) *record {
	e := p.objects[name]
	if e == nil {
		e = &record{changed: make(chan struct{}), previous: store.Object{Name: name}}
		p.objects[name] = e
	}
	return e
}

func (e *record) object(name string) store.Object {
	if !e.present {
		return store.Object{Name: name}
	}
	return store.Object{Name: name, Version: e.version, Value: e.value}
}

// bumpVersion raises the version and wakes the watches.
func (e *record) bumpVersion() {
	e.version.Number++
	close(e.changed)
	e.changed = make(chan struct{})
}

// Get returns the current state of an object, regardless of faults.
func (p *Plat) Get(name string) store.Object {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.record(name).object(name)
}

// Put writes the object if its version is want. It returns the current object
// and whether it was written.
func (p *Plat) Put(name string, want store.Revision, value []byte) (store.Object, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.record(name)
	if current := e.object(name); current.Version != want {
		return current, false
	}
	e.previous = e.object(name)
	e.present = true
	e.value = append([]byte(nil), value...)
	e.bumpVersion()
	return e.object(name), true
}

// Delete removes the object if its version is want and not 0. It returns the
// current object and whether it was removed.
func (p *Plat) Delete(name string, want store.Revision) (store.Object, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.record(name)
	if current := e.object(name); current.Version != want || want.IsZero() {
		return current, false
	}
	e.previous = e.object(name)
	e.present = false
	e.value = nil
	e.bumpVersion()
	return e.object(name), true
}

// List returns the objects whose names begin with prefix, without values,
// sorted by name.
func (p *Plat) List(prefix string) []store.Object {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []store.Object
	for name, e := range p.objects {
		if e.present && strings.HasPrefix(name, prefix) {
			found = append(found, store.Object{Name: name, Version: e.version})
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Name < found[j].Name })
	return found
}

// SetHosts replaces the list of hosts.
func (p *Plat) SetHosts(hosts []store.Host) {
	sorted := append([]store.Host(nil), hosts...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hostLists = append(p.hostLists, hostList{at: time.Now(), hosts: sorted})
}

// Hosts returns one page of the list of hosts that match the query.
func (p *Plat) Hosts(query store.HostQuery) store.HostPage {
	var page store.HostPage
	for _, host := range p.visibleHosts() {
		if host.Name <= query.After && query.After != "" {
			continue
		}
		if query.Role != "" && host.Role != query.Role || query.Pool != "" && host.Pool != query.Pool {
			continue
		}
		if query.Limit > 0 && len(page.Hosts) == query.Limit {
			page.Next = page.Hosts[len(page.Hosts)-1].Name
			return page
		}
		page.Hosts = append(page.Hosts, host)
	}
	return page
}

// Calls returns the number of HTTP calls so far.
func (p *Plat) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}
