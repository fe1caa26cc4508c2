package peers

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/flow/stage"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/route/pool"
	"github.com/jujubescale/jujubescale/internal/serve/meter"
)

const (
	redialFirst = 50 * clock.Millis(1)
	redialMost  = 2 * clock.Second
	// withdrawnMost bounds the withdrawals that wait for the agent's word, and
	// withdrawnSpan how long they do.
	withdrawnMost = 1024
	withdrawnSpan = 30 * clock.Second
)

// flight is an attempt that is at the endpoint.
type flight struct {
	box         *Box
	try         int
	incarnation token.Incarnation
}

// Link keeps one session to the agent at one address, and knows the attempts
// that are there. It outlives its sessions: when one is lost, the attempts are
// told, and told again when there is a new one.
type Link struct {
	peers   *Peers
	address string
	cancel  context.CancelFunc
	done    chan struct{}

	mu       sync.Mutex
	session  *sess.Session
	closing  bool // the agent ends; see wire.Leave
	endpoint *pool.Endpoint
	member   *Pool
	leaving  bool
	flights  map[token.Attempt]flight
	// withdrawn attempts whose end the agent has not told, until an instant.
	withdrawn map[token.Attempt]clock.Millis
}

func newLink(p *Peers, address string) *Link {
	return &Link{
		peers: p, address: address, done: make(chan struct{}), flights: make(map[token.Attempt]flight),
		withdrawn: make(map[token.Attempt]clock.Millis),
	}
}

// run holds a session to the address until the context ends.
func (l *Link) run(ctx context.Context) {
	defer close(l.done)
	pause := redialFirst
	for ctx.Err() == nil {
		known := make(chan struct{})
		s, err := l.dial(ctx, known)
		if err != nil {
			l.peers.log.Debug("dial failed", "address", l.address, "error", err)
			if errors.Is(err, syscall.ECONNREFUSED) {
				l.died()
			}
			_ = l.peers.clock.Sleep(ctx, pause)
			pause = min(2*pause, redialMost)
			continue
		}
		pause = redialFirst
		l.opened(s)
		close(known)
		<-s.Done()
		l.lost(ctx, s)
	}
	l.forgetEndpoint()
}

// dial opens a session. Its frames wait until the endpoint behind it is known:
// an agent that says right after its hello that it takes work again would
// otherwise be taken for leaving for as long as the session lasts.
func (l *Link) dial(ctx context.Context, known <-chan struct{}) (*sess.Session, error) {
	take := func(s *sess.Session, frame *wire.Frame) {
		<-known
		l.take(s, frame)
	}
	opts := append(slices.Clone(l.peers.session),
		sess.WithClock(l.peers.clock), sess.WithHello(l.peers.hello), sess.WithHandler(take),
		sess.WithRelease(l.peers.holder.Number), sess.WithDial(l.peers.dial),
		sess.WithDropped(func(string) { l.peers.meter.Drop(stage.DropSession) }),
	)
	if config := l.peers.tls(); config != nil {
		opts = append(opts, sess.WithTLS(config))
	}
	if l.peers.beatIdle > 0 {
		opts = append(opts, sess.WithHeartbeats(l.peers.beatIdle, l.peers.beatBusy))
	}
	return sess.Dial(ctx, l.address, opts...)
}

// opened makes the endpoint behind a new session known, asks for what was in
// flight, and pays what is owed.
func (l *Link) opened(s *sess.Session) {
	peer := s.Peer()
	member := l.peers.Pool(peer.Pool)
	endpoint := member.Add(pool.Identity{
		Pool: peer.Pool, Name: peer.Endpoint, AvailabilityZone: peer.AvailabilityZone, Address: l.address,
	}, pool.ExcludeUnreachable)
	l.mu.Lock()
	l.session, l.closing, l.endpoint, l.member, l.leaving = s, false, endpoint, member, peer.Leaving
	l.withdrawAgain(s)
	s.AddInFlight(int64(len(l.flights)))
	for _, f := range l.flights {
		f.box.put(Event{Kind: EventBack, Try: f.try, Session: s.Number()})
	}
	l.mu.Unlock()
	l.report(peer.Load)
	l.peers.links.Store(endpoint, l)
	member.SetExclusion(endpoint.Name, pool.ExcludeLeaving, peer.Leaving)
	l.peers.bar(member)
	// Only now may it be chosen.
	member.SetExclusion(endpoint.Name, pool.ExcludeUnreachable, false)
	l.peers.meter.Sessions.Inc()
	l.peers.openedFunc(s, l.address)
}

func (l *Link) lost(ctx context.Context, s *sess.Session) {
	l.mu.Lock()
	l.session = nil
	for _, f := range l.flights {
		f.box.put(Event{Kind: EventLost, Try: f.try})
	}
	endpoint, member := l.endpoint, l.member
	l.mu.Unlock()
	member.SetExclusion(endpoint.Name, pool.ExcludeUnreachable, true)
	l.peers.meter.Sessions.Dec()
	l.peers.closedFunc(s, l.address)
	if ctx.Err() != nil {
		return
	}
	cause := "closed"
	var silent *sess.SilentError
	if errors.As(s.Err(), &silent) {
		cause = "silent"
		l.peers.watchZone(endpoint.AvailabilityZone)
	}
	l.peers.meter.SessionsLost.WithLabelValues(cause).Inc()
	l.peers.log.Info("session lost", "endpoint", endpoint.Name, "address", l.address, "cause", cause, "error", s.Err())
}

// died tells the attempts that the process they are at is gone: its session
// ended and its port is closed, so nobody is left who could tell what became of
// them. Without this their callers would learn it only at their deadline.
func (l *Link) died() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.flights {
		f.box.put(Event{Kind: EventDied, Try: f.try})
	}
}

func (l *Link) forgetEndpoint() {
	l.mu.Lock()
	endpoint, member := l.endpoint, l.member
	l.mu.Unlock()
	if endpoint == nil {
		return
	}
	// Another address may serve the endpoint by now.
	if member.Endpoint(endpoint.Name) == endpoint {
		member.Remove(endpoint.Name)
	}
	l.peers.links.Delete(endpoint)
}

// Call sends an attempt and lets its events go to the box. It returns the
// number of the session. After an error nothing was sent.
func (l *Link) Call(call *wire.Call, box *Box, try int) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.session
	if s == nil {
		return 0, fault.Refuse(fault.NoEndpoint, "no session to "+l.address)
	}
	if l.leaving {
		// It was chosen just before it said that it leaves. The agent waits for
		// a heartbeat's answer after its word and then closes: a call behind
		// that answer would be lost, and a booking's outcome unknown.
		return 0, fault.Refuse(fault.Leaving, l.address+" is leaving")
	}
	incarnation := s.Peer().Incarnation
	call.Target = incarnation
	if err := s.Send(&wire.Frame{Kind: wire.KindCall, Call: call}); err != nil {
		return 0, err
	}
	l.flights[call.ID] = flight{box: box, try: try, incarnation: incarnation}
	s.AddInFlight(1)
	return s.Number(), nil
}

// Ask asks for the outcome of an attempt and its bytes from an offset on.
func (l *Link) Ask(id token.Attempt, offset int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f, known := l.flights[id]
	if known && l.session != nil {
		l.peers.meter.Resumed.Inc()
		_ = l.session.Send(&wire.Frame{Kind: wire.KindAsk, Ask: &wire.Ask{ID: id, Target: f.incarnation, Offset: offset}})
	}
}

// Ack tells the agent that it may forget an attempt.
func (l *Link) Ack(id token.Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil {
		_ = l.session.Send(&wire.Frame{Kind: wire.KindAck, Ack: &wire.Ack{ID: id}})
	}
}

// Cancel withdraws an attempt. A session that is about to be found dead
// swallows the frame, and the engine would go on for nobody; so the withdrawal
// is repeated on the next session unless the agent has told the end.
func (l *Link) Cancel(id token.Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.peers.clock.Now()
	for old, until := range l.withdrawn {
		if len(l.withdrawn) < withdrawnMost && until > now {
			break
		}
		delete(l.withdrawn, old)
	}
	l.withdrawn[id] = now + withdrawnSpan
	if l.session != nil {
		_ = l.session.Send(cancelFrame(id))
	}
}

func cancelFrame(id token.Attempt) *wire.Frame {
	return &wire.Frame{Kind: wire.KindCancel, Cancel: &wire.Cancel{ID: id, Reason: string(fault.Cancelled)}}
}

// withdrawAgain repeats withdrawals on a new session. The lock is held.
func (l *Link) withdrawAgain(s *sess.Session) {
	now := l.peers.clock.Now()
	for id, until := range l.withdrawn {
		if until <= now {
			delete(l.withdrawn, id)
			continue
		}
		_ = s.Send(cancelFrame(id))
	}
}

// Forget ends the interest in an attempt.
func (l *Link) Forget(id token.Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.flights[id]; !known {
		return
	}
	delete(l.flights, id)
	if l.session != nil {
		l.session.AddInFlight(-1)
	}
	l.closeIdle()
}

// closeIdle ends the session to an agent that ends, once nothing is in flight
// there. No call can follow: it would need the session under the same lock.
func (l *Link) closeIdle() {
	if !l.closing || l.session == nil || len(l.flights) > 0 {
		return
	}
	l.session.Close(nil)
	l.session = nil
}

// take is the session's handler.
func (l *Link) take(s *sess.Session, frame *wire.Frame) {
	if frame.Release > l.peers.holder.Number() {
		l.peers.newerFunc(s, frame.Release)
	}
	switch frame.Kind {
	case wire.KindPart:
		l.pass(s, frame.Part.ID, frame)
	case wire.KindEnd:
		l.report(frame.End.Load)
		l.pass(s, frame.End.ID, frame)
	case wire.KindRefuse:
		l.report(frame.Refuse.Load)
		l.pass(s, frame.Refuse.ID, frame)
	case wire.KindOutcome:
		l.pass(s, frame.Outcome.ID, frame)
	case wire.KindBeat:
		l.report(frame.Beat.Load)
		l.peers.otherFunc(s, frame)
	case wire.KindLeave:
		l.leave(frame.Leave)
	default:
		l.peers.otherFunc(s, frame)
	}
}

// pass hands a frame to its attempt. The engine time of an attempt that was
// withdrawn is told late; it counts as wasted.
func (l *Link) pass(s *sess.Session, id token.Attempt, frame *wire.Frame) {
	l.mu.Lock()
	f, known := l.flights[id]
	if frame.Kind == wire.KindEnd || frame.Kind == wire.KindRefuse {
		delete(l.withdrawn, id)
	}
	l.mu.Unlock()
	if known {
		f.box.put(Event{Kind: EventFrame, Try: f.try, Session: s.Number(), Frame: frame})
		return
	}
	l.peers.meter.Drop(stage.DropLate)
	switch frame.Kind {
	case wire.KindEnd:
		l.Ack(id)
		l.peers.meter.EngineTime(s.Peer().Pool, meter.UseWasted, frame.End.EngineTime)
	case wire.KindRefuse:
		l.Ack(id)
		l.peers.meter.EngineTime(s.Peer().Pool, meter.UseWasted, frame.Refuse.EngineTime)
	default:
	}
}

func (l *Link) report(load *wire.Load) {
	l.mu.Lock()
	endpoint := l.endpoint
	l.mu.Unlock()
	if load == nil || endpoint == nil {
		return
	}
	endpoint.SetReport(l.peers.clock.Now(), pool.Report{
		Load: load.Running + load.Queued, Limit: load.Limit, Cold: load.Cold,
		ServiceTime: load.ServiceTime, PrefixEpoch: load.PrefixEpoch,
	})
}

func (l *Link) leave(leave *wire.Leave) {
	l.mu.Lock()
	endpoint, member := l.endpoint, l.member
	l.leaving = !leave.Resumed
	l.mu.Unlock()
	if endpoint == nil {
		return
	}
	member.SetExclusion(endpoint.Name, pool.ExcludeLeaving, !leave.Resumed)
	if leave.Closing {
		l.mu.Lock()
		l.closing = true
		l.closeIdle()
		l.mu.Unlock()
	}
	l.peers.log.Info("endpoint takes new work or leaves", "endpoint", endpoint.Name, "leaving", !leave.Resumed, "reason", leave.Reason)
}
