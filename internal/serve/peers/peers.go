// Package peers keeps an entry's sessions to agents, the pools of endpoints
// that they make known, and the way of each frame to its request.
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

// Pool is the endpoints of one pool with what the entry keeps for all of them.
type Pool struct {
	*pool.Pool
	Name    string
	Retries *quota.Quota
	Hedges  *quota.Quota
	Prefix  *affin.Table
}

// Peers is an entry's view of the agents.
type Peers struct {
	clock    *clock.Clock
	log      *log.Logger
	holder   *spread.Holder
	meter    *meter.Entry
	zone     string
	hello    func() wire.Hello
	dial     func(ctx context.Context, network, address string) (net.Conn, error)
	tls      func() *tls.Config
	beatIdle clock.Millis
	beatBusy clock.Millis

	session    []sess.Option
	openedFunc func(s *sess.Session, address string)
	closedFunc func(s *sess.Session, address string)
	newerFunc  func(*sess.Session, uint64)
	otherFunc  func(*sess.Session, *wire.Frame)

	links   sync.Map // *pool.Endpoint to *Link
	pools   atomic.Pointer[map[string]*Pool]
	applied atomic.Uint64

	mu      sync.Mutex
	base    context.Context
	stop    context.CancelFunc
	address map[string]*Link
	// watched names the zones whose sessions are watched closely just now.
	watched map[string]bool
	group   sync.WaitGroup
}

// Option changes Peers while they are built.
type Option func(*Peers)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(p *Peers) { p.clock = c } }

// WithLog sets the logger.
func WithLog(l *log.Logger) Option { return func(p *Peers) { p.log = l } }

// WithHello sets what this process says of itself.
func WithHello(hello func() wire.Hello) Option { return func(p *Peers) { p.hello = hello } }

// WithDial replaces how connections are made.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(p *Peers) { p.dial = dial }
}

// WithTLS sets the source of the TLS configuration; nil means plain.
func WithTLS(config func() *tls.Config) Option { return func(p *Peers) { p.tls = config } }

// WithBeats sets the spans between heartbeats without and with calls in flight.
func WithBeats(idle, busy clock.Millis) Option {
	return func(p *Peers) { p.beatIdle, p.beatBusy = idle, busy }
}

// WithSession adds options to each session.
func WithSession(opts ...sess.Option) Option {
	return func(p *Peers) { p.session = append(p.session, opts...) }
}

// WithOpened sets who is told of each new session and the address it goes to.
func WithOpened(opened func(s *sess.Session, address string)) Option {
	return func(p *Peers) { p.openedFunc = opened }
}

// WithClosed sets who is told of the end of each session.
func WithClosed(closed func(s *sess.Session, address string)) Option {
	return func(p *Peers) { p.closedFunc = closed }
}

// WithNewerRelease sets who is told that a peer has a newer release. It must not block.
func WithNewerRelease(newer func(*sess.Session, uint64)) Option {
	return func(p *Peers) { p.newerFunc = newer }
}

// WithOtherFrames sets who takes frames that belong to no request, heartbeats among them.
func WithOtherFrames(other func(*sess.Session, *wire.Frame)) Option {
	return func(p *Peers) { p.otherFunc = other }
}

// New returns the view of an entry in an availability zone. Call Close to end
// its sessions.
func New(zone string, holder *spread.Holder, m *meter.Entry, opts ...Option) *Peers {
	p := &Peers{
		clock: clock.New(), log: log.Default(), holder: holder, meter: m, zone: zone,
		hello:      func() wire.Hello { return wire.Hello{} },
		dial:       (&net.Dialer{}).DialContext,
		tls:        func() *tls.Config { return nil },
		openedFunc: func(*sess.Session, string) {},
		closedFunc: func(*sess.Session, string) {},
		newerFunc:  func(*sess.Session, uint64) {},
		otherFunc:  func(*sess.Session, *wire.Frame) {},
		address:    make(map[string]*Link),
		watched:    make(map[string]bool),
	}
	for _, opt := range opts {
		opt(p)
	}
	p.base, p.stop = context.WithCancel(context.Background())
	p.pools.Store(&map[string]*Pool{})
	return p
}

// Connect keeps a session to the agent at each address (host:port).
func (p *Peers) Connect(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, address := range addresses {
		if p.address[address] != nil || p.base.Err() != nil {
			continue
		}
		l := newLink(p, address)
		var ctx context.Context
		ctx, l.cancel = context.WithCancel(p.base)
		p.address[address] = l
		go l.run(ctx)
	}
}

// Disconnect ends the sessions to the agents at these addresses.
func (p *Peers) Disconnect(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, address := range addresses {
		if l := p.address[address]; l != nil {
			l.cancel()
			delete(p.address, address)
		}
	}
}

// SetExclusion sets or lifts a reason against new work for the endpoint at an address.
func (p *Peers) SetExclusion(name, address string, bar pool.Exclusion, set bool) {
	p.mu.Lock()
	l := p.address[address]
	p.mu.Unlock()
	if l == nil {
		return
	}
	l.mu.Lock()
	endpoint := l.endpoint
	l.mu.Unlock()
	if endpoint != nil {
		p.Pool(name).SetExclusion(endpoint.Name, bar, set)
	}
}

// Close ends all sessions and waits for their end.
func (p *Peers) Close() {
	p.stop()
	p.mu.Lock()
	links := make([]*Link, 0, len(p.address))
	for _, l := range p.address {
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
	for _, l := range p.address {
		l.mu.Lock()
		if l.session != nil {
			open = append(open, l.session)
		}
		l.mu.Unlock()
	}
	return open
}

// Pool returns the pool of that name and makes it known if it is not.
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

// View returns the endpoints of a pool that may get new work under the
// release in force now: an endpoint or availability zone that was taken out
// gets none from the first choice after the release came, also for requests
// that began before it.
func (p *Peers) View(name string) (*Pool, *pool.View) {
	if number := p.holder.Number(); number != p.applied.Load() {
		p.apply(number)
	}
	member := p.Pool(name)
	return member, member.View()
}

func (p *Peers) apply(number uint64) {
	for _, member := range *p.pools.Load() {
		p.bar(member)
	}
	p.applied.Store(number)
}

// bar applies what operators took out to one pool. A release that comes
// meanwhile is applied as well: a session that opens while an endpoint is
// brought back would else leave it barred by the release before, for good.
func (p *Peers) bar(member *Pool) {
	for {
		release := p.holder.Current()
		if release == nil {
			return
		}
		member.Apply(pool.ExcludeZone, func(i pool.Identity) bool { return release.ZoneHasLeft(i.AvailabilityZone) })
		member.Apply(pool.ExcludeDisabled, func(i pool.Identity) bool { return release.EndpointHasLeft(i.Pool, i.Name) })
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
