// Package node runs the exchange of configuration and of host lists in one
// process, over the sessions to other processes that exist anyway. It keeps the
// configuration in force and the hosts to use, and detects that the process has
// no contact outside its availability zone.
package node

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/plat/call"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/share/avail"
	"github.com/jujubescale/jujubescale/internal/share/head"
	"github.com/jujubescale/jujubescale/internal/share/peer"
	"github.com/jujubescale/jujubescale/internal/share/spread"
)

// Roles of processes in a wire.Hello.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

const (
	// probeInterval is the minimum interval between two rounds of probes.
	probeInterval = 500 * clock.Millis(1)
	// platformProbeAfter is the time without contact after which the platform is
	// probed too.
	platformProbeAfter = 2 * clock.Second
	probesOutside      = 2
	probesInside       = 1
)

// Option configures an Entry or an Agent.
type Option func(*options)

type options struct {
	clock      *clock.Clock
	log        *log.Logger
	caller     *call.Caller
	check      func(*manif.Manifest) error
	registerer prometheus.Registerer
	seeds      []string
	session    []sess.Option
	endpoints  func(pool string, hosts []store.Host)
	accepted   func(*spread.Release)
	size       int
}

// WithClock sets the clock. It must be the one that the sessions use.
func WithClock(c *clock.Clock) Option { return func(o *options) { o.clock = c } }

// WithLog sets the logger.
func WithLog(l *log.Logger) Option { return func(o *options) { o.log = l } }

// WithCaller sets the caller for the platform. An entry needs one, an agent
// doesn't.
func WithCaller(caller *call.Caller) Option { return func(o *options) { o.caller = caller } }

// WithCheck sets the check that a manifest must pass before it takes effect.
func WithCheck(check func(*manif.Manifest) error) Option {
	return func(o *options) { o.check = check }
}

// WithRegisterer registers the metrics.
func WithRegisterer(r prometheus.Registerer) Option { return func(o *options) { o.registerer = r } }

// WithSeeds sets addresses (host:port) of entries. The process keeps sessions to
// them, so that it has peers even if the platform lists none.
func WithSeeds(addresses []string) Option { return func(o *options) { o.seeds = addresses } }

// WithSession sets the options of sessions to other entries, such as hello,
// TLS and dialer.
func WithSession(session ...sess.Option) Option { return func(o *options) { o.session = session } }

// WithEndpoints sets a function that is called with the endpoints of a pool to
// which sessions must be held. It must not block.
func WithEndpoints(endpoints func(pool string, hosts []store.Host)) Option {
	return func(o *options) { o.endpoints = endpoints }
}

// WithAccepted sets a function that is called with each release that comes into
// force. It must not block.
func WithAccepted(accepted func(*spread.Release)) Option {
	return func(o *options) { o.accepted = accepted }
}

// WithSize sets the number of endpoints of each pool to which the process holds
// sessions.
func WithSize(size int) Option { return func(o *options) { o.size = size } }

func newOptions(opts []Option) options {
	o := options{
		clock: clock.New(), log: log.Default(), registerer: prometheus.NewRegistry(),
		check:     func(*manif.Manifest) error { return nil },
		endpoints: func(string, []store.Host) {},
		accepted:  func(*spread.Release) {},
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// base is the common part of Entry and Agent.
type base struct {
	options
	place     avail.Place
	holder    *spread.Holder
	contact   *avail.Contact
	peers     *peer.Set
	syncer    *peer.Syncer
	lastProbe clock.Millis
	group     sync.WaitGroup
	done      chan struct{}
}

func newBase(o options, place avail.Place, holder *spread.Holder) base {
	return base{
		options: o, place: place, holder: holder,
		contact: avail.NewContact(o.clock, place.AvailabilityZone),
		done:    make(chan struct{}),
	}
}

// run starts the loops. It closes done after all of them have ended.
func (b *base) run(ctx context.Context, loops ...func(context.Context)) {
	for _, loop := range append(loops, b.syncer.Run, b.watchContact) {
		b.group.Go(func() { loop(ctx) })
	}
	go func() {
		b.group.Wait()
		close(b.done)
	}()
}

// Done returns a channel that is closed once the context of Run and then all
// goroutines have ended.
func (b *base) Done() <-chan struct{} { return b.done }

// sessionOpened adds a session to any process. If no configuration is in force
// yet, it requests one on this session.
func (b *base) sessionOpened(s *sess.Session) {
	b.peers.Add(s)
	if b.holder.Number() == 0 {
		b.syncer.NewerRelease(s, 1)
	}
}

// RefusalReason returns the reason why this process accepts no new work now, or
// false if it accepts work.
func (b *base) RefusalReason() (fault.Reason, bool) {
	return b.place.RefusalReason(b.holder.Current(), b.contact)
}

// Outside returns the value for the field Outside of a wire.Beat: the time since
// this process last had contact outside its zone, plus 1 ms, since 0 means that
// the time is not given.
func (b *base) Outside() clock.Millis { return b.contact.Age() + 1 }

// handleBeat records the contact that a peer in the same zone has outside it.
func (b *base) handleBeat(s *sess.Session, beat *wire.Beat) {
	if beat.Outside > 0 && s.Peer().AvailabilityZone == b.place.AvailabilityZone {
		b.contact.RecordIndirect(beat.Outside - 1)
	}
}

// watchContact updates the contact state at each interval, sends probes after a
// time without contact, and logs when the process becomes isolated or recovers.
func (b *base) watchContact(ctx context.Context) {
	isolated := false
	for b.clock.Sleep(ctx, avail.CheckEvery) == nil {
		b.recordContact()
		if now := b.clock.Now(); b.contact.ProbeDue() && now-b.lastProbe >= probeInterval {
			b.lastProbe = now
			b.probe(ctx)
		}
		if reason, refused := b.RefusalReason(); (refused && reason == fault.Isolated) != isolated {
			isolated = !isolated
			b.log.Warn("contact outside the availability zone changed", "isolated", isolated, "silentMs", b.contact.Age())
		}
	}
}

func (b *base) recordContact() {
	for _, s := range b.peers.Sessions() {
		b.contact.RecordPeer(s.Peer().AvailabilityZone, s.LastReceived())
	}
	if b.caller != nil {
		b.contact.RecordPlatform(b.caller.LastAnswer())
	}
}

// probe sends heartbeats to a few peers that they must answer, because an idle
// session may be silent for longer than the time after which a process counts
// as isolated. After platformProbeAfter it also reads the head from the platform.
func (b *base) probe(ctx context.Context) {
	sessions := b.peers.Sessions()
	rand.Shuffle(len(sessions), func(i, j int) { sessions[i], sessions[j] = sessions[j], sessions[i] })
	outside, inside := probesOutside, probesInside
	for _, s := range sessions {
		remaining := &outside
		if s.Peer().AvailabilityZone == b.place.AvailabilityZone {
			remaining = &inside
		}
		if *remaining > 0 {
			*remaining--
			_ = s.Send(&wire.Frame{Kind: wire.KindBeat, Beat: &wire.Beat{Outside: b.Outside()}})
		}
	}
	if b.caller == nil || b.contact.Age() < platformProbeAfter {
		return
	}
	b.group.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, clock.Second.Duration())
		defer cancel()
		_, _ = b.caller.Store(call.Zone).Get(ctx, head.Object)
	})
}
