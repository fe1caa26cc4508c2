// Package roster keeps the hosts that an entry uses: the other entries, and the
// endpoints of each pool to which it holds sessions. The sources are the
// platform's list of hosts, which lags, the state of sessions, and the lists of
// peers. No process keeps the full list of endpoints.
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

// Defaults and intervals of a Roster.
const (
	// DefaultSize is the number of endpoints of a pool to which an entry holds
	// sessions.
	DefaultSize = 24
	pageLimit   = 200
	// The interval between two reads of a list grows with the total length of
	// all lists, so that the traffic stays constant: some 3,600 bytes/s at 150
	// bytes per host. In a small deployment a process detects within 2 to 3 s
	// that the platform removes a host, with 12,000 endpoints within 9 minutes.
	// In a large deployment it is informed earlier by the agent itself, which
	// announces at once that it is leaving.
	minRefreshInterval = 2 * clock.Second
	refreshPerHost     = 42 * clock.Millis(1)
	retryInterval      = 1 * clock.Second
	// suspectTimeout is how long an endpoint without a session is only suspected.
	// It gets no work, but stays in the subset. After that the next endpoint on
	// the ring replaces it for deadTimeout.
	suspectTimeout = 30 * clock.Second
	deadTimeout    = 2 * clock.Minute
	stepInterval   = 500 * clock.Millis(1)
)

const entriesPool = ""

// Roster keeps the hosts that this process uses.
type Roster struct {
	self     store.Host
	platform *store.Store
	clock    *clock.Clock
	size     int
	// pools returns the names of the pools in use. It is called at each step.
	pools func() []string
	// changed is called with the hosts to which the process must hold sessions:
	// the endpoints of a pool or, with an empty pool, the entries.
	changed func(pool string, hosts []store.Host)

	mu      sync.Mutex
	lists   map[string]*list
	tracked map[string]*sessionState
	trigger chan struct{}

	refreshes *prometheus.CounterVec
	listed    prometheus.Counter
}

// list is the state of one pool, or of the entries.
type list struct {
	hosts    []store.Host
	nextRead clock.Millis
	// listed is the number of hosts in the platform's last answer.
	listed int
	// chosen are the hosts last passed to changed.
	chosen []store.Host
}

// Option configures a Roster.
type Option func(*Roster)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(r *Roster) { r.clock = c } }

// WithSize sets the number of endpoints of each pool to hold sessions to.
func WithSize(size int) Option { return func(r *Roster) { r.size = size } }

// WithPools sets the function that returns the names of the pools in use.
func WithPools(pools func() []string) Option { return func(r *Roster) { r.pools = pools } }

// WithChanged sets a function that is called if the hosts of a pool change to
// which the process must hold sessions. An empty pool stands for the entries. It
// must not block.
func WithChanged(changed func(pool string, hosts []store.Host)) Option {
	return func(r *Roster) { r.changed = changed }
}

// WithRegisterer registers the metrics.
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
		tracked: make(map[string]*sessionState),
		trigger: make(chan struct{}, 1),
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

// Run refreshes the lists until the context ends.
func (r *Roster) Run(ctx context.Context) {
	for ctx.Err() == nil {
		r.Step(ctx)
		due, stop := r.clock.After(stepInterval)
		select {
		case <-due:
		case <-r.trigger:
		case <-ctx.Done():
		}
		stop()
	}
}

// Step reads the lists that are due and reports changes through WithChanged.
func (r *Roster) Step(ctx context.Context) {
	r.replaceLost()
	for _, pool := range append([]string{entriesPool}, r.pools()...) {
		r.refresh(ctx, pool)
	}
}

// Trigger makes Run take a step at once, for instance after a pool was added.
func (r *Roster) Trigger() {
	select {
	case r.trigger <- struct{}{}:
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
	due := r.clock.Now() >= r.list(pool).nextRead
	r.mu.Unlock()
	if due {
		hosts, err := r.read(ctx, pool)
		r.update(pool, hosts, err)
	}
	r.notify(pool)
}

// read returns all hosts of one pool, page by page. The full list is only kept
// until the subset has been chosen.
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

// update applies the result of a read. If the read failed, the previous hosts
// stay: an outage of the platform alone must not remove endpoints.
func (r *Roster) update(pool string, listed []store.Host, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.list(pool)
	if err != nil {
		r.refreshes.WithLabelValues("unavailable").Inc()
		l.nextRead = r.clock.Now() + retryInterval/2 + rand.N(retryInterval)
		return
	}
	r.refreshes.WithLabelValues("ok").Inc()
	l.listed = len(listed)
	interval := max(minRefreshInterval, clock.Millis(r.totalListed())*refreshPerHost)
	l.nextRead = r.clock.Now() + interval*3/4 + rand.N(interval/2)
	live := excludeLeaving(listed)
	if pool == entriesPool {
		l.hosts = r.merge(listed, live, l.hosts)
		return
	}
	chosen := Subset(r.self, r.list(entriesPool).hosts, r.excludeDead(live), r.size)
	l.hosts = r.merge(listed, chosen, l.hosts)
}

func (r *Roster) totalListed() int {
	total := 0
	for _, l := range r.lists {
		total += l.listed
	}
	return total
}

// excludeLeaving drops the hosts that the platform is about to remove. Their
// agents may not have been informed yet, and work sent there would be aborted with the host.
func excludeLeaving(hosts []store.Host) []store.Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(h store.Host) bool { return h.State == store.HostLeaving })
}

// merge returns chosen and those hosts of old that have an open session but are
// missing from listed. The platform's list lags, and the session shows that the
// process runs. A host that is listed as leaving is not kept. Its session ends
// after its last work.
func (r *Roster) merge(listed, chosen, old []store.Host) []store.Host {
	merged := slices.Clone(chosen)
	for _, host := range old {
		found := slices.ContainsFunc(listed, func(h store.Host) bool { return h.Address == host.Address })
		if !found && r.isOpen(host.Address) {
			merged = append(merged, host)
		}
	}
	return merged
}

// notify calls changed if the hosts to hold sessions to have changed.
func (r *Roster) notify(pool string) {
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

// Entries returns the known entries.
func (r *Roster) Entries() []store.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.list(entriesPool).hosts)
}

// IsWatcher reports whether this process is one of the few that watch the head
// for all entries.
func (r *Roster) IsWatcher() bool { return IsWatcher(r.self, r.Entries()) }

// Endpoints returns the endpoints of a pool to which this process holds sessions.
func (r *Roster) Endpoints(pool string) []store.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.list(pool).chosen)
}
