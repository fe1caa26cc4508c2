// Package roster knows who is alive: from the platform's lagging list of
// hosts, from what sessions show, and from what peers say. No process holds
// the full list of endpoints; an entry keeps, of each pool, those that it
// holds sessions to.
package roster

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/plat/store"
)

// Defaults and spans of a Roster.
const (
	// DefaultSize is how many endpoints of a pool an entry holds sessions to.
	DefaultSize = 24
	pageLimit   = 200
	// A list is read again after a span that grows with the length of all lists
	// together, so that the bytes a second stay the same: some 3,600 at 150
	// bytes a host. A small deployment notices within 2 to 3 s that the platform
	// takes a host away, one of 12,000 endpoints within 9 minutes: there the
	// agent's own word, which comes at once, has to do.
	refreshLeast   = 2 * clock.Second
	refreshPerHost = 42 * clock.Millis(1)
	retryAfter     = 1 * clock.Second
	// suspectFor is how long a lost endpoint is only suspected: it gets no work
	// without a session, but keeps its place. After that the next one on the
	// ring takes the place, for deadFor.
	suspectFor = 30 * clock.Second
	deadFor    = 2 * clock.Minute
	tick       = 500 * clock.Millis(1)
)

const entriesPool = ""

// Roster keeps the hosts that this process needs to know.
type Roster struct {
	self     store.Host
	platform *store.Store
	clock    *clock.Clock
	size     int
	// pools returns the pools that are wanted; it is asked at each tick.
	pools func() []string
	// changed is told the endpoints to hold sessions to, pool by pool, and
	// under the empty name the entries.
	changed func(pool string, hosts []store.Host)

	mu      sync.Mutex
	lists   map[string]*list
	tracked map[string]*track
	kick    chan struct{}

	refreshes *prometheus.CounterVec
	listed    prometheus.Counter
}

// list is what is known of one pool, or of the entries.
type list struct {
	hosts []store.Host
	due   clock.Millis
	// listed is how many hosts the platform named last.
	listed int
	// chosen was told last.
	chosen []store.Host
}

// Option changes a Roster while it is built.
type Option func(*Roster)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(r *Roster) { r.clock = c } }

// WithSize sets how many endpoints of each pool are wanted.
func WithSize(size int) Option { return func(r *Roster) { r.size = size } }

// WithPools sets the source of the pools that are wanted.
func WithPools(pools func() []string) Option { return func(r *Roster) { r.pools = pools } }

// WithChanged sets who is told which sessions to hold. It must not block.
func WithChanged(changed func(pool string, hosts []store.Host)) Option {
	return func(r *Roster) { r.changed = changed }
}

// WithRegisterer publishes the counters.
func WithRegisterer(reg prometheus.Registerer) Option {
	return func(r *Roster) { reg.MustRegister(r.refreshes, r.listed) }
}

// New returns a roster for an entry.
func New(self store.Host, platform *store.Store, opts ...Option) *Roster {
	r := &Roster{
		self: self, platform: platform, clock: clock.New(), size: DefaultSize,
		pools:   func() []string { return nil },
		changed: func(string, []store.Host) {},
		lists:   make(map[string]*list),
		tracked: make(map[string]*track),
		kick:    make(chan struct{}, 1),
		refreshes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jujubescale_roster_refreshes_total",
			Help: "Reads of the list of hosts by outcome.",
		}, []string{"outcome"}),
		listed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "jujubescale_roster_hosts_read_total",
			Help: "Hosts read from the platform's list, some 150 bytes each.",
		}),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Run keeps the lists fresh until the context ends.
func (r *Roster) Run(ctx context.Context) {
	for ctx.Err() == nil {
		r.Step(ctx)
		due, stop := r.clock.After(tick)
		select {
		case <-due:
		case <-r.kick:
		case <-ctx.Done():
		}
		stop()
	}
}

// Step reads the lists that are due and tells what changed.
func (r *Roster) Step(ctx context.Context) {
	r.expire()
	for _, pool := range append([]string{entriesPool}, r.pools()...) {
		r.refresh(ctx, pool)
	}
}

// Trigger makes Run look at once, for instance for a pool that has just become wanted.
func (r *Roster) Trigger() {
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

func (r *Roster) list(pool string) *list {
	l := r.lists[pool]
	if l == nil {
		l = &list{}
		r.lists[pool] = l
	}
	return l
}

func (r *Roster) refresh(ctx context.Context, pool string) {
	r.mu.Lock()
	due := r.clock.Now() >= r.list(pool).due
	r.mu.Unlock()
	if due {
		hosts, err := r.read(ctx, pool)
		r.note(pool, hosts, err)
	}
	r.choose(pool)
}

// read pages through the hosts of one pool. Only those of this pool are held
// while they are read, and only the chosen ones afterwards.
func (r *Roster) read(ctx context.Context, pool string) ([]store.Host, error) {
	query := store.HostQuery{Role: "agent", Pool: pool, Limit: pageLimit}
	if pool == entriesPool {
		query.Role = "entry"
	}
	var hosts []store.Host
	for {
		page, err := r.platform.Hosts(ctx, query)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, page.Hosts...)
		r.listed.Add(float64(len(page.Hosts)))
		if page.Next == "" || page.Next == query.After {
			return hosts, nil
		}
		query.After = page.Next
	}
}

// note takes in a list. When the platform can't be used, what is known stays:
// an outage alone must not take endpoints away.
func (r *Roster) note(pool string, listed []store.Host, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.list(pool)
	if err != nil {
		r.refreshes.WithLabelValues("unavailable").Inc()
		l.due = r.clock.Now() + retryAfter/2 + rand.N(retryAfter)
		return
	}
	r.refreshes.WithLabelValues("ok").Inc()
	l.listed = len(listed)
	span := max(refreshLeast, clock.Millis(r.listedInAll())*refreshPerHost)
	l.due = r.clock.Now() + span*3/4 + rand.N(span/2)
	live := notLeaving(listed)
	if pool == entriesPool {
		l.hosts = r.merge(listed, live, l.hosts)
		return
	}
	chosen := Subset(r.self, r.list(entriesPool).hosts, r.notDead(live), r.size)
	l.hosts = r.merge(listed, chosen, l.hosts)
}

func (r *Roster) listedInAll() int {
	total := 0
	for _, l := range r.lists {
		total += l.listed
	}
	return total
}

// notLeaving drops the hosts that the platform is about to take away. Their
// agents may not know of it yet; work sent there would be cut with the host.
func notLeaving(hosts []store.Host) []store.Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(h store.Host) bool { return h.State == store.HostLeaving })
}

// merge keeps hosts with an open session although the list lacks them: the
// list lags, and a session shows that the process lives. What the list names
// as leaving is dropped all the same; the session ends when its work has.
func (r *Roster) merge(listed, chosen, old []store.Host) []store.Host {
	merged := slices.Clone(chosen)
	for _, host := range old {
		known := slices.ContainsFunc(listed, func(h store.Host) bool { return h.Address == host.Address })
		if !known && r.isOpen(host.Address) {
			merged = append(merged, host)
		}
	}
	return merged
}

// choose tells which sessions to hold when that changed.
func (r *Roster) choose(pool string) {
	r.mu.Lock()
	l := r.list(pool)
	chosen := l.hosts
	if pool == entriesPool {
		chosen = Peers(r.self, l.hosts)
	}
	same := slices.Equal(chosen, l.chosen)
	l.chosen = chosen
	r.mu.Unlock()
	if !same {
		r.changed(pool, slices.Clone(chosen))
	}
}

// Entries returns the entries that are known.
func (r *Roster) Entries() []store.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.list(entriesPool).hosts)
}

// IsWatcher reports whether this process is one of the few that watch the head.
func (r *Roster) IsWatcher() bool { return IsWatcher(r.self, r.Entries()) }

// Endpoints returns the endpoints of a pool that this process holds sessions to.
func (r *Roster) Endpoints(pool string) []store.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.list(pool).chosen)
}
