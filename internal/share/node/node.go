// Package node puts the sharing parts together for one process: it learns the
// configuration in force, knows who is alive, notices that it is cut off, and
// does so over the sessions that the process has anyway.
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

// Roles of processes in a hello.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

const (
	// probeEvery is the least span between two rounds of probes.
	probeEvery = 500 * clock.Millis(1)
	// probePlatform is the silence after which the platform is asked too.
	probePlatform = 2 * clock.Second
	probeOutside  = 2
	probeInside   = 1
)

// Option changes a node while it is built.
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

// WithCaller sets the way to the platform. An agent may do without.
func WithCaller(caller *call.Caller) Option { return func(o *options) { o.caller = caller } }

// WithCheck sets the check that a manifest must pass before it takes effect.
func WithCheck(check func(*manif.Manifest) error) Option {
	return func(o *options) { o.check = check }
}

// WithRegisterer publishes the counters.
func WithRegisterer(r prometheus.Registerer) Option { return func(o *options) { o.registerer = r } }

// WithSeeds sets addresses (host:port) of entries to ask when the platform
// can't name any.
func WithSeeds(addresses []string) Option { return func(o *options) { o.seeds = addresses } }

// WithSession sets the options of sessions to other entries, such as hello,
// TLS and dialer.
func WithSession(session ...sess.Option) Option { return func(o *options) { o.session = session } }

// WithEndpoints sets who holds the sessions to endpoints: it is told, pool by
// pool, which ones. It must not block.
func WithEndpoints(endpoints func(pool string, hosts []store.Host)) Option {
	return func(o *options) { o.endpoints = endpoints }
}

// WithAccepted sets who is told of each release that comes into force. It must
// not block.
func WithAccepted(accepted func(*spread.Release)) Option {
	return func(o *options) { o.accepted = accepted }
}

// WithSize sets how many endpoints of each pool the process holds sessions to.
func WithSize(size int) Option { return func(o *options) { o.size = size } }

func collect(opts []Option) options {
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

// base is what both kinds of processes have.
type base struct {
	options
	place  avail.Place
	holder *spread.Holder
	reach  *avail.Reach
	peers  *peer.Set
	catch  *peer.Catcher
	probed clock.Millis
	group  sync.WaitGroup
	done   chan struct{}
}

func newBase(o options, place avail.Place, holder *spread.Holder) base {
	return base{
		options: o, place: place, holder: holder,
		reach: avail.NewReach(o.clock, place.AvailabilityZone),
		done:  make(chan struct{}),
	}
}

// run starts the loops and closes done after all of them have ended.
func (b *base) run(ctx context.Context, loops ...func(context.Context)) {
	for _, loop := range append(loops, b.catch.Run, b.watchReach) {
		b.group.Go(func() { loop(ctx) })
	}
	go func() {
		b.group.Wait()
		close(b.done)
	}()
}

// Done closes once all goroutines have ended after the context of Run.
func (b *base) Done() <-chan struct{} { return b.done }

// Opened takes in a session to any process.
func (b *base) opened(s *sess.Session) {
	b.peers.Opened(s)
	if b.holder.Number() == 0 {
		b.catch.Behind(s, 1)
	}
}

// Refuses returns the reason why this process takes no new work now; false
// when it takes work.
func (b *base) Refuses() (fault.Reason, bool) {
	return b.place.Refuses(b.holder.Current(), b.reach)
}

// Outside is what heartbeats say of this process's reach; see wire.Beat.
func (b *base) Outside() clock.Millis { return b.reach.Age() + 1 }

// beat takes in what a peer says of its own reach.
func (b *base) beat(s *sess.Session, beat *wire.Beat) {
	if beat.Outside > 0 && s.Peer().AvailabilityZone == b.place.AvailabilityZone {
		b.reach.Vouched(beat.Outside - 1)
	}
}

// watchReach keeps the reach up to date and probes when it has been silent.
func (b *base) watchReach(ctx context.Context) {
	isolated := false
	for b.clock.Sleep(ctx, avail.CheckEvery) == nil {
		b.lookAround()
		if now := b.clock.Now(); b.reach.Probe() && now-b.probed >= probeEvery {
			b.probed = now
			b.probe(ctx)
		}
		if reason, refuses := b.Refuses(); (refuses && reason == fault.Isolated) != isolated {
			isolated = !isolated
			b.log.Warn("reach outside the availability zone changed", "isolated", isolated, "silentMs", b.reach.Age())
		}
	}
}

func (b *base) lookAround() {
	for _, s := range b.peers.Sessions() {
		b.reach.Heard(s.Peer().AvailabilityZone, s.LastHeard())
	}
	if b.caller != nil {
		b.reach.Platform(b.caller.LastAnswer())
	}
}

// probe asks a few peers for a sign of life; idle sessions are silent for
// longer than an isolated process may go on.
func (b *base) probe(ctx context.Context) {
	sessions := b.peers.Sessions()
	rand.Shuffle(len(sessions), func(i, j int) { sessions[i], sessions[j] = sessions[j], sessions[i] })
	outside, inside := probeOutside, probeInside
	for _, s := range sessions {
		left := &outside
		if s.Peer().AvailabilityZone == b.place.AvailabilityZone {
			left = &inside
		}
		if *left > 0 {
			*left--
			_ = s.Send(&wire.Frame{Kind: wire.KindBeat, Beat: &wire.Beat{Outside: b.Outside()}})
		}
	}
	if b.caller == nil || b.reach.Age() < probePlatform {
		return
	}
	b.group.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, clock.Second.Duration())
		defer cancel()
		_, _ = b.caller.Store(call.Zone).Get(ctx, head.Object)
	})
}
