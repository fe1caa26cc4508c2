// Package peers keeps an entry's sessions to agents and the pools of their
// endpoints, and passes each received frame to its request.
package peers

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/hedge"
	"github.com/jujubescale/jujubescale/internal/flow/quota"
	"github.com/jujubescale/jujubescale/internal/flow/retry"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/route/affin"
	"github.com/jujubescale/jujubescale/internal/route/pool"
	"github.com/jujubescale/jujubescale/internal/serve/meter"
	"github.com/jujubescale/jujubescale/internal/share/spread"
)

// Pool is a pool of endpoints with its retry and hedge budgets and its prefix
// table.
type Pool struct {
	*pool.Pool
	Name    string
	Retries *quota.Quota
	Hedges  *quota.Quota
	Prefix  *affin.Table
}

// Peers manages an entry's sessions to agents.
type Peers struct {
	clock         *clock.Clock
	log           *log.Logger
	holder        *spread.Holder
	meter         *meter.Entry
	zone          string
	hello         func() wire.Hello
	dial          func(ctx context.Context, network, address string) (net.Conn, error)
	tls           func() *tls.Config
	idleHeartbeat clock.Millis
	busyHeartbeat clock.Millis

	session          []sess.Option
	openedFunc       func(s *sess.Session, address string)
	closedFunc       func(s *sess.Session, address string)
	newerReleaseFunc func(*sess.Session, uint64)
	otherFrameFunc   func(*sess.Session, *wire.Frame)

	links          sync.Map // *pool.Endpoint to *Link
	pools          atomic.Pointer[map[string]*Pool]
	appliedRelease atomic.Uint64

	mu        sync.Mutex
	base      context.Context
	stop      context.CancelFunc
	byAddress map[string]*Link
	// watchedZones holds the zones with faster heartbeats; see watchZone.
	watchedZones map[string]bool
	group        sync.WaitGroup
}

// Option configures Peers.
type Option func(*Peers)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(p *Peers) { p.clock = c } }

// WithLog sets the logger.
func WithLog(l *log.Logger) Option { return func(p *Peers) { p.log = l } }

// WithHello sets the function that returns the hello of this process.
func WithHello(hello func() wire.Hello) Option { return func(p *Peers) { p.hello = hello } }

// WithDial sets the function that opens connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(p *Peers) { p.dial = dial }
}

// WithTLS sets the function that returns the TLS configuration. Without TLS it
// returns nil.
func WithTLS(config func() *tls.Config) Option { return func(p *Peers) { p.tls = config } }

// WithHeartbeats sets the intervals between heartbeats, in milliseconds, without and
// with calls in flight.
func WithHeartbeats(idle, busy clock.Millis) Option {
	return func(p *Peers) { p.idleHeartbeat, p.busyHeartbeat = idle, busy }
}

// WithSession adds options to each session.
func WithSession(opts ...sess.Option) Option {
	return func(p *Peers) { p.session = append(p.session, opts...) }
}

// WithSessionOpened sets a function that is called with each new session and its remote
// address.
func WithSessionOpened(opened func(s *sess.Session, address string)) Option {
	return func(p *Peers) { p.openedFunc = opened }
}

// WithSessionClosed sets a function that is called with each ended session and its
// remote address.
func WithSessionClosed(closed func(s *sess.Session, address string)) Option {
	return func(p *Peers) { p.closedFunc = closed }
}

// WithNewerRelease sets a function that is called when an agent has a newer
// release of the configuration. It must not block.
func WithNewerRelease(newer func(*sess.Session, uint64)) Option {
	return func(p *Peers) { p.newerReleaseFunc = newer }
}

// WithOtherFrames sets the handler of frames that belong to no request, such as
// heartbeats.
func WithOtherFrames(other func(*sess.Session, *wire.Frame)) Option {
	return func(p *Peers) { p.otherFrameFunc = other }
}

// New returns the Peers of an entry in an availability zone. Call Close to end
// their sessions.
func New(zone string, holder *spread.Holder, m *meter.Entry, opts ...Option) *Peers {
	p := &Peers{
		clock: clock.New(), log: log.Default(), holder: holder, meter: m, zone: zone,
		hello:            func() wire.Hello { return wire.Hello{} },
		dial:             (&net.Dialer{}).DialContext,
		tls:              func() *tls.Config { return nil },
		openedFunc:       func(*sess.Session, string) {},
		closedFunc:       func(*sess.Session, string) {},
		newerReleaseFunc: func(*sess.Session, uint64) {},
		otherFrameFunc:   func(*sess.Session, *wire.Frame) {},
		byAddress:        make(map[string]*Link),
		watchedZones:     make(map[string]bool),
	}
	for _, opt := range opts {
		opt(p)
	}
	p.base, p.stop = context.WithCancel(context.Background())
	p.pools.Store(&map[string]*Pool{})
	return p
}

// Connect opens a session to the agent at each address (host:port), and opens it
// again whenever it ends.
func (p *Peers) Connect(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, address := range addresses {
		if p.byAddress[address] != nil || p.base.Err() != nil {
			continue
		}
		l := newLink(p, address)
		var ctx context.Context
		ctx, l.cancel = context.WithCancel(p.base)
		p.byAddress[address] = l
		go l.run(ctx)
	}
}

// Disconnect ends the sessions to the agents at these addresses.
func (p *Peers) Disconnect(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, address := range addresses {
		if l := p.byAddress[address]; l != nil {
			l.cancel()
			delete(p.byAddress, address)
		}
	}
}

// SetExclusion sets or clears a reason why the endpoint at an address gets no new
// work. The name is the name of its pool.
func (p *Peers) SetExclusion(name, address string, exclusion pool.Exclusion, set bool) {
	p.mu.Lock()
	l := p.byAddress[address]
	p.mu.Unlock()
	if l == nil {
		return
	}
	l.mu.Lock()
	endpoint := l.endpoint
	l.mu.Unlock()
	if endpoint != nil {
		p.Pool(name).SetExclusion(endpoint.Name, exclusion, set)
	}
}

// Close ends all sessions and waits until they have ended.
func (p *Peers) Close() {
	p.stop()
	p.mu.Lock()
	links := make([]*Link, 0, len(p.byAddress))
	for _, l := range p.byAddress {
		links = append(links, l)
	}
	p.mu.Unlock()
	for _, l := range links {
		<-l.done
	}
	p.group.Wait()
}

// Broadcast sends a frame to every agent.
func (p *Peers) Broadcast(frame func() *wire.Frame) {
	for _, s := range p.Sessions() {
		_ = s.Send(frame())
	}
}

// Sessions returns the open sessions.
func (p *Peers) Sessions() []*sess.Session {
	p.mu.Lock()
	defer p.mu.Unlock()
	var open []*sess.Session
	for _, l := range p.byAddress {
		l.mu.Lock()
		if l.session != nil {
			open = append(open, l.session)
		}
		l.mu.Unlock()
	}
	return open
}

// Pool returns the pool with the given name, which it creates if necessary.
func (p *Peers) Pool(name string) *Pool {
	if known := (*p.pools.Load())[name]; known != nil {
		return known
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	pools := *p.pools.Load()
	if known := pools[name]; known != nil {
		return known
	}
	next := make(map[string]*Pool, len(pools)+1)
	for other, known := range pools {
		next[other] = known
	}
	created := &Pool{
		Pool: pool.New(p.zone), Name: name,
		Retries: retry.NewBudget(), Hedges: hedge.NewBudget(), Prefix: affin.New(),
	}
	next[name] = created
	p.pools.Store(&next)
	return created
}

// View returns a pool and a snapshot of its endpoints that may get new work under
// the current release of the configuration. An endpoint or availability zone that
// a release disables gets no new work as soon as the release is in force, also
// from requests that began before.
func (p *Peers) View(name string) (*Pool, *pool.View) {
	if number := p.holder.Number(); number != p.appliedRelease.Load() {
		p.applyRelease(number)
	}
	endpoints := p.Pool(name)
	return endpoints, endpoints.View()
}

func (p *Peers) applyRelease(number uint64) {
	for _, endpoints := range *p.pools.Load() {
		p.applyExclusions(endpoints)
	}
	p.appliedRelease.Store(number)
}

// applyExclusions excludes the endpoints of a pool that operators disabled and
// those in evacuated zones. If a new release comes into force meanwhile, it
// applies that one as well: otherwise a session that opens while an endpoint is
// enabled again could leave it permanently excluded by the previous release.
func (p *Peers) applyExclusions(endpoints *Pool) {
	for {
		release := p.holder.Current()
		if release == nil {
			return
		}
		endpoints.Apply(pool.ExcludeZone, func(i pool.Identity) bool { return release.ZoneEvacuated(i.AvailabilityZone) })
		endpoints.Apply(pool.ExcludeDisabled, func(i pool.Identity) bool { return release.EndpointDisabled(i.Pool, i.Name) })
		if p.holder.Current() == release {
			return
		}
	}
}

// Link returns the link to an endpoint, or nil.
func (p *Peers) Link(endpoint *pool.Endpoint) *Link {
	if found, known := p.links.Load(endpoint); known {
		return found.(*Link)
	}
	return nil
}
