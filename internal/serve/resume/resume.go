// Package resume lets callers resume streams at another process than the one that began them.
// A process sends the origin of each stream that it begins to the processes that keep it, and
// asks these when a caller resumes a stream. An origin that none of them knows is unknown: the
// stream isn't resumed, because no process can tell from its own view of the endpoints which
// version began it.
package resume

import (
	"context"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/origin"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
)

const (
	// findTimeout bounds the wait for the answers of peers. An origin is unknown at once when all
	// have answered that they don't know it.
	findTimeout = 150 * clock.Millis(1)
	// searchTimeout is findTimeout for an aggregator that asks for another process, and
	// searchHead the time after which that process asks the others itself.
	searchTimeout = 25 * clock.Millis(1)
	searchHead    = 15 * clock.Millis(1)
	// sendGap is the shortest time between two messages to a peer. Origins that arrive
	// meanwhile share the next one.
	sendGap = 5 * clock.Millis(1)
	// checkInterval is the interval at which origins of open streams are sent again if the
	// processes that keep them have changed.
	checkInterval = 250 * clock.Millis(1)
	// maxStandstill is the longest time between two looks at the history, which come every
	// checkInterval. Peers give a silent process up after 700 ms; until then, what they send arrives later.
	maxStandstill = 600 * clock.Millis(1)
	// maxOpened is the number of processes that keep origins up to which a process has sessions
	// to all of them. In larger fleets, these are the aggregators, which have sessions to each
	// other.
	maxOpened = 6
	// maxPerMessage bounds the origins in one message.
	maxPerMessage = 256
	// maxQueued bounds the origins that wait to be sent.
	maxQueued = 4096
	// maxLifetime bounds how long an origin is kept, whatever a route or a peer states.
	maxLifetime = 120 * clock.Second
)

// Peers connects a Tracker to the other processes.
type Peers struct {
	// Self is the name of this process.
	Self string
	// KeepersFunc returns the processes that may keep origins, the same at all processes that
	// know the same peers. AggregatorFunc returns the process that forwards the origins of
	// this one, "" if it sends them to the keepers itself.
	KeepersFunc    func() []string
	AggregatorFunc func() string
	// SendFunc sends origins to a peer without waiting. AskFunc asks a peer for one; it returns
	// when the context ends.
	SendFunc func(to string, origins *wire.Origins) error
	AskFunc  func(ctx context.Context, to string, request *wire.OriginRequest) (*wire.OriginAnswer, error)
	// OpenFunc opens a session to a peer, so that none has to be opened while a caller waits.
	OpenFunc func(to string)
	// AloneFunc reports whether there is no other process, reachable or not.
	AloneFunc func() bool
}

// Tracker sends, keeps and finds the origins of streams. It is safe for concurrent use.
type Tracker struct {
	clock *clock.Clock
	log   *log.Logger
	peers Peers
	meter *meter
	book  *origin.Book
	wake  chan struct{}
	// storage connects the Tracker to the platform's store, and loading is set while it reads what
	// stands there.
	storage Storage
	loading atomic.Bool

	mu sync.Mutex
	// open holds the origins of the streams that this process passes on now.
	open map[origin.Key]*openStream
	// mixes holds which pools may have streams of several versions, and batches the origins that
	// this process writes to the store.
	mixes   map[string]*origin.Mix
	batches *origin.Batches
	// unsent holds origins of this process, and relayed those that peers of its group have
	// sent, to be forwarded.
	unsent, relayed []queued
	// route describes the processes through which the open origins were sent last.
	route string
	// seenAt is when this process last looked at its history.
	seenAt clock.Millis
	// history holds which processes kept origins lately, and partial the handovers of which not
	// all parts have arrived, by id.
	history *origin.History
	partial map[uint64]*partialHandover
}

// openStream is a stream that this process passes on now. Pool is empty if callers don't name it by
// this key; otherwise its origin is lasting once the pool may have streams of several versions.
type openStream struct {
	origin.Origin
	pool    string
	lasting bool
}

// queued is an origin that waits to be sent. If it is lasting, it is written to the store.
type queued struct {
	wire.Origin
	lasting bool
}

// Option configures a Tracker.
type Option func(*Tracker)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(t *Tracker) { t.clock = c } }

// WithLog sets the logger.
func WithLog(l *log.Logger) Option { return func(t *Tracker) { t.log = l } }

// WithRegistry registers the metrics.
func WithRegistry(r prometheus.Registerer) Option { return func(t *Tracker) { t.meter.register(r) } }

// WithPeers connects the Tracker to the other processes. Without it, only streams that this
// process has begun can be resumed.
func WithPeers(peers Peers) Option { return func(t *Tracker) { t.peers = peers } }

// New returns a Tracker that knows no stream.
func New(opts ...Option) *Tracker {
	t := &Tracker{
		clock: clock.New(), log: log.New(io.Discard), book: origin.New(), wake: make(chan struct{}, 1), open: make(map[origin.Key]*openStream),
		mixes: make(map[string]*origin.Mix), batches: origin.NewBatches(),
		peers: Peers{
			KeepersFunc: func() []string { return nil }, AggregatorFunc: func() string { return "" },
			SendFunc: func(string, *wire.Origins) error { return nil },
			AskFunc: func(context.Context, string, *wire.OriginRequest) (*wire.OriginAnswer, error) {
				return &wire.OriginAnswer{}, nil
			},
			OpenFunc: func(string) {}, AloneFunc: func() bool { return true },
		},
	}
	t.meter = newMeter(t.book)
	for _, opt := range opts {
		opt(t)
	}
	t.history, t.partial, t.seenAt = origin.NewHistory(t.peers.Self), make(map[uint64]*partialHandover), t.clock.Now()
	return t
}

// Begin records the origin of a stream that this process begins to pass on, or resumes, and
// sends it to the processes that keep it. It doesn't wait for them.
func (t *Tracker) Begin(key origin.Key, o *origin.Origin) { t.begin(key, o, "") }

// begin is Begin for a stream of a pool, which is empty if callers don't name the stream by this key.
func (t *Tracker) begin(key origin.Key, o *origin.Origin, pool string) {
	now, stream := t.clock.Now(), &openStream{Origin: *o, pool: pool}
	stream.Until = min(o.Until, now+maxLifetime)
	t.keep(key, &stream.Origin, now)
	t.mu.Lock()
	stream.lasting = t.isMixed(stream, now)
	t.open[key] = stream
	t.queue(&t.unsent, queued{Origin: message(key, &stream.Origin, now), lasting: stream.lasting})
	t.mu.Unlock()
	t.wakeUp()
}

// End is called when this process doesn't pass the stream on any more. Its origin is kept as
// long as a caller may resume it.
func (t *Tracker) End(key origin.Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, key)
}

// HandOver sends all origins that this process keeps to the processes that keep them once this
// one has ended. It is called at a planned stop, when KeepersFunc doesn't return this process
// any more; otherwise stops in turn would end all copies.
func (t *Tracker) HandOver() {
	now := t.clock.Now()
	var kept []wire.Origin
	t.book.Each(now, func(key origin.Key, o *origin.Origin, verdict origin.Verdict) {
		m := message(key, o, now)
		m.Contradictory = verdict == origin.Contradictory
		kept = append(kept, m)
	})
	next := t.peers.KeepersFunc()
	t.mu.Lock()
	handovers := handoverMessages(t.history.HandOver(next, now), now)
	t.mu.Unlock()
	for name, origins := range byKeeper(kept, next) {
		t.sendHandover(name, origins, handovers)
	}
	t.log.Info("stream origins handed over", "origins", len(kept), "peers", next)
}

func (t *Tracker) keep(key origin.Key, o *origin.Origin, now clock.Millis) {
	if t.book.Put(key, o, now) {
		return
	}
	t.meter.dropped.WithLabelValues(droppedFull).Inc()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history.Lose(now)
}

// queue appends an origin to a queue. The caller must hold t.mu.
func (t *Tracker) queue(to *[]queued, o queued) {
	if len(*to) >= maxQueued {
		t.meter.dropped.WithLabelValues(droppedQueue).Inc()
		t.history.Lose(t.clock.Now())
		return
	}
	*to = append(*to, o)
}

func (t *Tracker) wakeUp() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Take takes origins from a peer: it keeps those that an aggregator has forwarded, and queues
// the others to be forwarded.
func (t *Tracker) Take(origins *wire.Origins) {
	now := t.clock.Now()
	if !origins.Forwarded {
		t.mu.Lock()
		for i, o := range origins.Origins {
			t.queue(&t.relayed, queued{Origin: o, lasting: slices.Contains(origins.Lasting, i)})
		}
		t.mu.Unlock()
		t.wakeUp()
		return
	}
	t.takeForwarded(origins, now)
	if origins.Parts > 0 {
		t.takePart(origins, now)
	}
}

// takeForwarded keeps origins, and queues those that are lasting to be written to the store.
func (t *Tracker) takeForwarded(origins *wire.Origins, now clock.Millis) {
	for i := range origins.Origins {
		t.keepMessage(&origins.Origins[i], now)
	}
	for _, i := range origins.Lasting {
		if i >= 0 && i < len(origins.Origins) {
			t.addLasting(&origins.Origins[i], now)
		}
	}
}

func (t *Tracker) keepMessage(o *wire.Origin, now clock.Millis) {
	key, kept, ok := parse(o, now)
	if !ok {
		t.meter.dropped.WithLabelValues(droppedMalformed).Inc()
		return
	}
	t.keep(key, &kept, now)
	if o.Contradictory {
		t.book.PutContradictory(key, &kept, now)
	}
}

// Answer answers a peer's request for the origin of a stream.
func (t *Tracker) Answer(request *wire.OriginRequest) *wire.OriginAnswer {
	if len(request.Stream) != len(origin.Key{}) {
		return &wire.OriginAnswer{}
	}
	key, now := origin.Key(request.Stream), t.clock.Now()
	known, verdict := t.book.Find(key, now)
	answer := &wire.OriginAnswer{Kept: t.kept(key, now), Loading: t.loading.Load()}
	if verdict == origin.Unknown {
		return answer
	}
	o := message(key, &known, now)
	o.Contradictory = verdict == origin.Contradictory
	answer.Origin = &o
	return answer
}

// kept returns for how long this process has kept the origins of all streams with a key.
func (t *Tracker) kept(key origin.Key, now clock.Millis) clock.Millis {
	names := t.peers.KeepersFunc()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.see(names, now)
	return t.history.Kept(key, now)
}

// see records the processes that keep origins now. If this process has stood still, its peers may have
// given it up and sent origins to others. The caller must hold t.mu.
func (t *Tracker) see(names []string, now clock.Millis) {
	if stood := now - t.seenAt; stood > maxStandstill {
		t.history.Lose(now)
		t.log.Info("stream origins may be missing", "reason", "stoodStill", "forMs", int64(stood))
	}
	t.seenAt = max(t.seenAt, now)
	t.history.See(names, now, maxLifetime)
}

// Run sends origins until the context ends.
func (t *Tracker) Run(ctx context.Context) {
	for {
		due, stop := t.clock.After(checkInterval)
		select {
		case <-t.wake:
		case <-due:
			t.book.Prune(t.clock.Now())
			t.dropPartial(t.clock.Now())
			t.seeVersions()
			t.openSessions()
		case <-ctx.Done():
			stop()
			return
		}
		stop()
		t.flush()
		if t.clock.Sleep(ctx, sendGap) != nil {
			return
		}
	}
}

// openSessions opens sessions to the processes that keep origins, if they are few.
func (t *Tracker) openSessions() {
	keepers := t.peers.KeepersFunc()
	if len(keepers) > maxOpened {
		return
	}
	for _, name := range keepers {
		if name != t.peers.Self {
			t.peers.OpenFunc(name)
		}
	}
}

// flush sends the queued origins, and those of all open streams if they have to take another
// route than before.
func (t *Tracker) flush() {
	keepers, aggregator := t.peers.KeepersFunc(), t.peers.AggregatorFunc()
	route := aggregator + "|" + strings.Join(keepers, " ")
	now := t.clock.Now()
	t.mu.Lock()
	t.see(keepers, now)
	own, relayed := t.unsent, t.relayed
	t.unsent, t.relayed = nil, nil
	if route != t.route {
		own = slices.DeleteFunc(own, func(o queued) bool {
			_, open := t.open[origin.Key(o.Stream)]
			return open
		})
		for key, o := range t.open {
			own = append(own, queued{Origin: message(key, &o.Origin, now), lasting: o.lasting})
		}
		t.route = route
	}
	t.mu.Unlock()
	if len(own) > 0 && aggregator != "" {
		t.meter.sent.WithLabelValues("own").Add(float64(len(own)))
		if t.peers.SendFunc(aggregator, messageOf(own)) == nil {
			own = nil
		}
	}
	t.forward(slices.Concat(own, relayed), keepers, now)
}

// byKeeper returns the origins for each process that keeps some of them, and an empty list for each
// other one. Malformed ones are left out.
func byKeeper(origins []wire.Origin, keepers []string) map[string][]wire.Origin {
	all := make(map[string][]wire.Origin, len(keepers))
	for _, name := range keepers {
		all[name] = nil
	}
	for i := range origins {
		if len(origins[i].Stream) != len(origin.Key{}) {
			continue
		}
		for _, name := range origin.Keepers(origin.Key(origins[i].Stream), keepers) {
			all[name] = append(all[name], origins[i])
		}
	}
	return all
}

// messageOf returns the message with origins, of which some are lasting.
func messageOf(all []queued) *wire.Origins {
	message := &wire.Origins{}
	for i, o := range all {
		message.Origins = append(message.Origins, o.Origin)
		if o.lasting {
			message.Lasting = append(message.Lasting, i)
		}
	}
	return message
}

// forward sends each origin to its keepers, and those that are lasting to their writers, too.
func (t *Tracker) forward(origins []queued, keepers []string, now clock.Millis) {
	var valid []wire.Origin
	lasting := make(map[string][]queued)
	for i := range origins {
		if len(origins[i].Stream) != len(origin.Key{}) {
			continue
		}
		valid = append(valid, origins[i].Origin)
		if origins[i].lasting {
			writer := origin.Writer(origin.Key(origins[i].Stream), keepers)
			lasting[writer] = append(lasting[writer], origins[i])
		}
	}
	t.meter.dropped.WithLabelValues(droppedMalformed).Add(float64(len(origins) - len(valid)))
	for name, forwarded := range byKeeper(valid, keepers) {
		for part := range slices.Chunk(forwarded, maxPerMessage) {
			t.sendForwarded(name, &wire.Origins{Origins: part}, now)
		}
	}
	for name, forwarded := range lasting {
		for part := range slices.Chunk(forwarded, maxPerMessage) {
			t.sendForwarded(name, messageOf(part), now)
		}
	}
}

// sendForwarded sends a process origins that it keeps or writes.
func (t *Tracker) sendForwarded(name string, origins *wire.Origins, now clock.Millis) {
	origins.Forwarded = true
	if name == t.peers.Self {
		t.takeForwarded(origins, now)
		return
	}
	t.meter.sent.WithLabelValues("forwarded").Add(float64(len(origins.Origins)))
	if err := t.peers.SendFunc(name, origins); err != nil {
		t.log.Debug("stream origins not sent", "peer", name, "origins", len(origins.Origins), logs.KeyError, err)
	}
}

// message returns an origin as peers get it. The stream may have begun after now was read.
func message(key origin.Key, o *origin.Origin, now clock.Millis) wire.Origin {
	return wire.Origin{
		Stream: key[:], Endpoint: o.Endpoint, StartedAt: o.StartedAt, Version: o.Version, Age: max(now-o.BeganAt, 0), Left: o.Until - now,
	}
}

// parse returns the origin in a message, and false if that is malformed.
func parse(o *wire.Origin, now clock.Millis) (origin.Key, origin.Origin, bool) {
	if len(o.Stream) != len(origin.Key{}) || o.Endpoint == "" || o.Age < 0 {
		return origin.Key{}, origin.Origin{}, false
	}
	return origin.Key(o.Stream), origin.Origin{
		Endpoint: o.Endpoint, StartedAt: o.StartedAt, Version: o.Version, BeganAt: now - o.Age, Until: now + min(o.Left, maxLifetime),
	}, true
}
