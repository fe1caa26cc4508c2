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
	minRedialDelay = 50 * clock.Millis(1)
	maxRedialDelay = 2 * clock.Second
	// maxCancelled is the largest number of cancelled attempts whose end the agent
	// has not reported, and cancelledRetention how long they are remembered.
	maxCancelled       = 1024
	cancelledRetention = 30 * clock.Second
)

// openAttempt is an attempt that was sent to the endpoint and is still tracked.
type openAttempt struct {
	events      *EventQueue
	attempt     int
	incarnation token.Incarnation
}

// Link keeps one session open to the agent at one address and tracks the
// attempts sent to it. It outlives its sessions: the attempts get an event when
// a session is lost and another when a new one is open.
type Link struct {
	peers   *Peers
	address string
	cancel  context.CancelFunc
	done    chan struct{}

	mu        sync.Mutex
	session   *sess.Session
	closing   bool // the agent is about to exit; see wire.Leave
	endpoint  *pool.Endpoint
	endpoints *Pool
	leaving   bool
	open      map[token.Attempt]openAttempt
	// cancelled holds the cancelled attempts whose end the agent has not
	// reported, with the instant at which they are forgotten.
	cancelled map[token.Attempt]clock.Millis
}

func newLink(p *Peers, address string) *Link {
	return &Link{
		peers: p, address: address, done: make(chan struct{}), open: make(map[token.Attempt]openAttempt),
		cancelled: make(map[token.Attempt]clock.Millis),
	}
}

// run keeps a session to the address open until the context ends.
func (l *Link) run(ctx context.Context) {
	defer close(l.done)
	delay := minRedialDelay
	for ctx.Err() == nil {
		registered := make(chan struct{})
		s, err := l.dial(ctx, registered)
		if err != nil {
			l.peers.log.Debug("dial failed", "address", l.address, "error", err)
			if errors.Is(err, syscall.ECONNREFUSED) {
				l.agentGone()
			}
			_ = l.peers.clock.Sleep(ctx, delay)
			delay = min(2*delay, maxRedialDelay)
			continue
		}
		delay = minRedialDelay
		l.sessionOpened(s)
		close(registered)
		<-s.Done()
		l.sessionLost(ctx, s)
	}
	l.removeEndpoint()
}

// dial opens a session. Its frames are handled only after registered is closed:
// otherwise the frame of an agent that accepts work again right after its hello
// would have no effect, and its endpoint would count as leaving for as long as
// the session lasts.
func (l *Link) dial(ctx context.Context, registered <-chan struct{}) (*sess.Session, error) {
	handle := func(s *sess.Session, frame *wire.Frame) {
		<-registered
		l.handleFrame(s, frame)
	}
	opts := append(slices.Clone(l.peers.session),
		sess.WithClock(l.peers.clock), sess.WithHello(l.peers.hello), sess.WithHandler(handle),
		sess.WithRelease(l.peers.holder.Number), sess.WithDial(l.peers.dial),
		sess.WithDropped(func(string) { l.peers.meter.Drop(stage.DropSession) }),
	)
	if config := l.peers.tls(); config != nil {
		opts = append(opts, sess.WithTLS(config))
	}
	if l.peers.idleHeartbeat > 0 {
		opts = append(opts, sess.WithHeartbeats(l.peers.idleHeartbeat, l.peers.busyHeartbeat))
	}
	return sess.Dial(ctx, l.address, opts...)
}

// sessionOpened adds the endpoint of a new session to its pool, sends an event to
// the open attempts and repeats unconfirmed cancellations.
func (l *Link) sessionOpened(s *sess.Session) {
	peer := s.Peer()
	endpoints := l.peers.Pool(peer.Pool)
	endpoint := endpoints.Add(pool.Identity{
		Pool: peer.Pool, Name: peer.Endpoint, AvailabilityZone: peer.AvailabilityZone, Address: l.address,
	}, pool.ExcludeUnreachable)
	l.mu.Lock()
	l.session, l.closing, l.endpoint, l.endpoints, l.leaving = s, false, endpoint, endpoints, peer.Leaving
	l.resendCancels(s)
	s.AddInFlight(int64(len(l.open)))
	for _, a := range l.open {
		a.events.add(Event{Kind: EventSessionRestored, Attempt: a.attempt, Session: s.Number()})
	}
	l.mu.Unlock()
	l.setLoad(peer.Load)
	l.peers.links.Store(endpoint, l)
	endpoints.SetExclusion(endpoint.Name, pool.ExcludeLeaving, peer.Leaving)
	l.peers.applyExclusions(endpoints)
	// Comes last: from here on the endpoint can be chosen.
	endpoints.SetExclusion(endpoint.Name, pool.ExcludeUnreachable, false)
	l.peers.meter.Sessions.Inc()
	l.peers.openedFunc(s, l.address)
}

func (l *Link) sessionLost(ctx context.Context, s *sess.Session) {
	l.mu.Lock()
	l.session = nil
	for _, a := range l.open {
		a.events.add(Event{Kind: EventSessionLost, Attempt: a.attempt})
	}
	endpoint, endpoints := l.endpoint, l.endpoints
	l.mu.Unlock()
	endpoints.SetExclusion(endpoint.Name, pool.ExcludeUnreachable, true)
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

// agentGone sends EventAgentGone to all open attempts: the session has ended and
// the port is closed, so the agent cannot report their outcome any more. Without
// the event, callers would be answered only at their deadline.
func (l *Link) agentGone() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.open {
		a.events.add(Event{Kind: EventAgentGone, Attempt: a.attempt})
	}
}

func (l *Link) removeEndpoint() {
	l.mu.Lock()
	endpoint, endpoints := l.endpoint, l.endpoints
	l.mu.Unlock()
	if endpoint == nil {
		return
	}
	// The endpoint may have been added again from another address.
	if endpoints.Endpoint(endpoint.Name) == endpoint {
		endpoints.Remove(endpoint.Name)
	}
	l.peers.links.Delete(endpoint)
}

// Call sends an attempt, whose events then go to the given queue, and returns
// the number of the session. If it returns an error, nothing was sent.
func (l *Link) Call(call *wire.Call, events *EventQueue, attempt int) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.session
	if s == nil {
		return 0, fault.Refuse(fault.NoEndpoint, "no session to "+l.address)
	}
	if l.leaving {
		// The endpoint was chosen just before its leave frame arrived. After that
		// frame the agent waits for the answer to a heartbeat and then closes the
		// session: a call sent after that answer would be lost, and if it may not
		// be repeated, its outcome would be unknown.
		return 0, fault.Refuse(fault.Leaving, l.address+" is leaving")
	}
	incarnation := s.Peer().Incarnation
	call.Target = incarnation
	if err := s.Send(&wire.Frame{Kind: wire.KindCall, Call: call}); err != nil {
		return 0, err
	}
	l.open[call.ID] = openAttempt{events: events, attempt: attempt, incarnation: incarnation}
	s.AddInFlight(1)
	return s.Number(), nil
}

// Ask requests the outcome of an attempt and the bytes of its answer from an
// offset on.
func (l *Link) Ask(id token.Attempt, offset int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, known := l.open[id]
	if known && l.session != nil {
		l.peers.meter.Resumed.Inc()
		_ = l.session.Send(&wire.Frame{Kind: wire.KindAsk, Ask: &wire.Ask{ID: id, Target: a.incarnation, Offset: offset}})
	}
}

// Ack confirms the end of an attempt, so that the agent can discard it.
func (l *Link) Ack(id token.Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil {
		_ = l.session.Send(&wire.Frame{Kind: wire.KindAck, Ack: &wire.Ack{ID: id}})
	}
}

// Cancel cancels an attempt. The frame is lost if the connection is already
// broken, and the engine would go on for no caller. So it is sent again on the
// next session unless the agent has reported the end of the attempt.
func (l *Link) Cancel(id token.Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.peers.clock.Now()
	for old, until := range l.cancelled {
		if len(l.cancelled) < maxCancelled && until > now {
			break
		}
		delete(l.cancelled, old)
	}
	l.cancelled[id] = now + cancelledRetention
	if l.session != nil {
		_ = l.session.Send(cancelFrame(id))
	}
}

func cancelFrame(id token.Attempt) *wire.Frame {
	return &wire.Frame{Kind: wire.KindCancel, Cancel: &wire.Cancel{ID: id, Reason: string(fault.Cancelled)}}
}

// resendCancels repeats unconfirmed cancellations on a new session. The caller
// holds the lock.
func (l *Link) resendCancels(s *sess.Session) {
	now := l.peers.clock.Now()
	for id, until := range l.cancelled {
		if until <= now {
			delete(l.cancelled, id)
			continue
		}
		_ = s.Send(cancelFrame(id))
	}
}

// Forget stops tracking an attempt. Its later frames are dropped.
func (l *Link) Forget(id token.Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.open[id]; !known {
		return
	}
	delete(l.open, id)
	if l.session != nil {
		l.session.AddInFlight(-1)
	}
	l.closeIfIdle()
}

// closeIfIdle closes the session to an agent that is about to exit once no
// attempt is open. No call can be sent on it meanwhile: Call needs the same lock,
// which the caller of closeIfIdle holds.
func (l *Link) closeIfIdle() {
	if !l.closing || l.session == nil || len(l.open) > 0 {
		return
	}
	l.session.Close(nil)
	l.session = nil
}

// handleFrame handles the frames of the link's sessions.
func (l *Link) handleFrame(s *sess.Session, frame *wire.Frame) {
	if frame.Release > l.peers.holder.Number() {
		l.peers.newerReleaseFunc(s, frame.Release)
	}
	switch frame.Kind {
	case wire.KindPart:
		l.deliver(s, frame.Part.ID, frame)
	case wire.KindEnd:
		l.setLoad(frame.End.Load)
		l.deliver(s, frame.End.ID, frame)
	case wire.KindRefuse:
		l.setLoad(frame.Refuse.Load)
		l.deliver(s, frame.Refuse.ID, frame)
	case wire.KindOutcome:
		l.deliver(s, frame.Outcome.ID, frame)
	case wire.KindBeat:
		l.setLoad(frame.Beat.Load)
		l.peers.otherFrameFunc(s, frame)
	case wire.KindLeave:
		l.handleLeave(frame.Leave)
	default:
		l.peers.otherFrameFunc(s, frame)
	}
}

// deliver passes a frame to the queue of its attempt. If the attempt is not
// tracked any more, for instance after its cancellation, its engine time counts
// as wasted.
func (l *Link) deliver(s *sess.Session, id token.Attempt, frame *wire.Frame) {
	l.mu.Lock()
	a, known := l.open[id]
	if frame.Kind == wire.KindEnd || frame.Kind == wire.KindRefuse {
		delete(l.cancelled, id)
	}
	l.mu.Unlock()
	if known {
		a.events.add(Event{Kind: EventFrame, Attempt: a.attempt, Session: s.Number(), Frame: frame})
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

func (l *Link) setLoad(load *wire.Load) {
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

func (l *Link) handleLeave(leave *wire.Leave) {
	l.mu.Lock()
	endpoint, endpoints := l.endpoint, l.endpoints
	l.leaving = !leave.Resumed
	l.mu.Unlock()
	if endpoint == nil {
		return
	}
	endpoints.SetExclusion(endpoint.Name, pool.ExcludeLeaving, !leave.Resumed)
	if leave.Closing {
		l.mu.Lock()
		l.closing = true
		l.closeIfIdle()
		l.mu.Unlock()
	}
	l.peers.log.Info("endpoint started or stopped accepting new work", "endpoint", endpoint.Name, "leaving", !leave.Resumed, "reason", leave.Reason)
}
