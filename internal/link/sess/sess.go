// Package sess implements a WebSocket session between two of jujubescale's own
// processes: the exchange of hellos, a bounded send queue whose frames are batched
// into one message, heartbeats, and detection of connections on which nothing
// arrives any more.
package sess

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/websocket"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// Path is the HTTP path at which a process accepts sessions.
const Path = "/v1/session"

// Handler is called for each received frame, in order, on the session's reader
// goroutine. It must not block.
type Handler func(*Session, *wire.Frame)

// Session is a connection to a peer whose hello has been received.
type Session struct {
	conn         *websocket.Conn
	opts         options
	number       uint64
	dialed       bool
	peer         wire.Hello
	out          *queue
	closing      chan struct{}
	done         chan struct{}
	once         sync.Once
	cause        error
	lastReceived atomic.Int64
	received     *meteredConn // of a session that this process opened
	inFlight     atomic.Int64
	transit      transitMeter
	batch        []*wire.Frame // used only by the writer
	firstCall    chan struct{} // wakes the writer when a call is sent and none was in flight
	probedAt     clock.Millis  // when the writer last sent a heartbeat
	stalledUntil clock.Millis  // when the writer last ran late by an interval or more
	checkedSince atomic.Int64  // when Probe was last called
	stampedAt    atomic.Int64  // when a frame with a stamp was last sent
}

// Peer returns the hello of the peer.
func (s *Session) Peer() wire.Hello { return s.peer }

// Number identifies the session on both sides.
func (s *Session) Number() uint64 { return s.number }

// Done returns a channel that is closed once the session and its goroutines have
// ended.
func (s *Session) Done() <-chan struct{} { return s.done }

// Err returns the cause of the session's end. It is valid once Done is closed.
func (s *Session) Err() error { return s.cause }

// LastReceived returns the instant of the newest message from the peer.
func (s *Session) LastReceived() clock.Millis { return clock.Millis(s.lastReceived.Load()) }

// PartReceivedAt returns the instant at which a part of a message arrived whose rest has not
// arrived yet, 0 if there is none. It is only known of sessions that this process opened.
func (s *Session) PartReceivedAt() clock.Millis {
	if at := s.received.at.Load(); at > s.lastReceived.Load() {
		return clock.Millis(at)
	}
	return 0
}

// AddInFlight changes the number of calls in flight. While it is above zero,
// heartbeats are more frequent, so that a silent connection is detected soon.
func (s *Session) AddInFlight(change int64) {
	if s.inFlight.Add(change) != change || change <= 0 {
		return
	}
	s.wakeWriter()
}

// Probe sends a heartbeat at once. Until a message arrives, heartbeats are as frequent as with
// calls in flight, so that a silent session ends soon.
func (s *Session) Probe() {
	s.checkedSince.Store(int64(s.opts.clock.Now()))
	s.wakeWriter()
}

func (s *Session) wakeWriter() {
	select {
	case s.firstCall <- struct{}{}:
	default:
	}
}

// Send queues a frame. It never blocks: it returns an error if the queue is full or
// the session has ended, so that a slow peer can't delay the requests of others.
func (s *Session) Send(frame *wire.Frame) error {
	frame.Session = s.number
	frame.Release = s.opts.release()
	if frame.StatesAge() || frame.Kind == wire.KindBeat {
		now := s.opts.clock.Now()
		frame.Stamp = s.transit.stamp(frame.AsOf(now), now)
		s.stampedAt.Store(int64(now))
	}
	select {
	case <-s.closing:
		return &ClosedError{Process: s.peer.Process, Cause: s.cause}
	default:
	}
	if !s.out.put(frame) {
		return &FullError{Process: s.peer.Process, Queue: s.out.limit}
	}
	return nil
}

// Close ends the session. Frames that are already queued are still written.
func (s *Session) Close(cause error) {
	s.once.Do(func() {
		s.cause = cause
		close(s.closing)
	})
}

// run starts the reader and the writer. The writer closes the connection, which ends
// the reader too; the reader closes done once both have ended.
//
// The side that has dialled sends a heartbeat at once: the stamps of it and of its reply show both
// sides how long frames are on their way.
func (s *Session) run(ctx context.Context) {
	s.lastReceived.Store(int64(s.opts.clock.Now()))
	if s.dialed {
		_ = s.sendBeat() // the queue is empty
	}
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		s.Close(s.write(ctx))
		_ = s.conn.Close()
	}()
	go func() {
		defer close(s.done)
		s.Close(s.read())
		<-writerDone
	}()
}

func (s *Session) read() error {
	for {
		kind, message, err := s.conn.ReadMessage()
		if err != nil {
			return err
		}
		if kind != websocket.BinaryMessage {
			return &ProtocolError{Cause: "text message"}
		}
		s.lastReceived.Store(int64(s.opts.clock.Now()))
		if err := wire.Decode(message, s.receive); err != nil {
			return err
		}
	}
}

func (s *Session) receive(frame *wire.Frame) {
	if frame.Session != s.number {
		// A frame of another session can only come from a faulty peer. Its content
		// could reach the wrong request.
		s.opts.dropped("session")
		return
	}
	now := s.opts.clock.Now()
	frame.SetArrival(now)
	if frame.Stamp != nil {
		frame.Transit = s.transit.observe(frame.Stamp, now)
	}
	if frame.Kind == wire.KindBeat && !frame.Beat.Reply {
		_ = s.Send(&wire.Frame{Kind: wire.KindBeat, Beat: &wire.Beat{Reply: true, Mark: frame.Beat.Mark, Load: s.opts.load(), Outside: s.opts.outside()}})
	}
	s.opts.handler(s, frame)
}

func (s *Session) write(ctx context.Context) error {
	var buf []byte
	due, stop := s.opts.clock.After(s.interval())
	expected := s.opts.clock.Now() + s.interval()
	defer func() { stop() }()
	for {
		select {
		case <-s.out.wake:
			var err error
			if buf, err = s.writeQueued(buf); err != nil {
				return err
			}
			// The heartbeat timer is not reset here. Otherwise a session that sends
			// all the time would never detect that its connection is silent.
			continue
		case <-due:
			if now := s.opts.clock.Now(); now-expected >= s.interval() {
				s.stalledUntil = now
			}
			if err := s.heartbeat(); err != nil {
				return err
			}
		case <-s.firstCall:
			stop()
			if s.isProbed() {
				if err := s.heartbeat(); err != nil {
					return err
				}
			}
		case <-s.closing:
			return s.writeClose(buf)
		case <-ctx.Done():
			return errors.Join(ctx.Err(), s.writeClose(buf))
		}
		due, stop = s.opts.clock.After(s.interval())
		expected = s.opts.clock.Now() + s.interval()
	}
}

// stampInterval is the longest time between two stamps that the dialling side sends: without them the peer's bounds of
// the time on the way grow by what the clocks may drift apart.
const stampInterval = 30 * clock.Second

// heartbeat sends a heartbeat if nothing has been received for an interval, or no stamp was sent for stampInterval, and
// returns a SilentError if the reply to an earlier one is overdue. The timeout is
// measured from the heartbeat and not from the last message, because an idle session
// normally receives nothing for a long time. Time in which this process got no
// processor time doesn't count either: messages of the peer may have arrived that the
// reader has not read yet. A part of a message that is long on its way counts as received.
// The accepting side sends no heartbeats of its own; it only checks that something has arrived
// within silentIntervals idle intervals.
func (s *Session) heartbeat() error {
	now, received := s.opts.clock.Now(), max(s.LastReceived(), s.PartReceivedAt(), s.stalledUntil)
	if !s.dialed {
		if silence := now - received; silence > silentIntervals*s.opts.idleInterval {
			return &SilentError{Process: s.peer.Process, Silence: silence}
		}
		return nil
	}
	if s.probedAt > received {
		if now-s.probedAt >= (silentIntervals-1)*s.interval() {
			return &SilentError{Process: s.peer.Process, Silence: now - received}
		}
		return nil
	}
	if now-received >= s.interval() || now-clock.Millis(s.stampedAt.Load()) >= stampInterval {
		s.probedAt = now
		_ = s.sendBeat()
	}
	return nil
}

func (s *Session) sendBeat() error {
	return s.Send(&wire.Frame{Kind: wire.KindBeat, Beat: &wire.Beat{Load: s.opts.load(), Outside: s.opts.outside()}})
}

func (s *Session) interval() clock.Millis {
	if s.inFlight.Load() > 0 || s.isProbed() {
		return s.opts.busyInterval
	}
	return s.opts.idleInterval
}

// isProbed reports whether no message has arrived since the last call of Probe.
func (s *Session) isProbed() bool { return s.checkedSince.Load() > s.lastReceived.Load() }

// writeQueued writes all queued frames in messages of about maxBatchBytes, so that one
// system call sends many small frames under load.
func (s *Session) writeQueued(buf []byte) ([]byte, error) {
	s.batch = s.out.swap(s.batch)
	buf = buf[:0]
	var err error
	for _, frame := range s.batch {
		if buf, err = wire.Append(buf, frame); err != nil {
			return buf, err
		}
		if len(buf) < maxBatchBytes {
			continue
		}
		if err = s.flush(buf); err != nil {
			return buf, err
		}
		buf = buf[:0]
	}
	if len(buf) == 0 {
		return buf, nil
	}
	return buf, s.flush(buf)
}

func (s *Session) writeClose(buf []byte) error {
	if _, err := s.writeQueued(buf); err != nil {
		return err
	}
	message := websocket.FormatCloseMessage(websocket.CloseNormalClosure, "")
	_ = s.conn.WriteControl(websocket.CloseMessage, message, time.Now().Add(time.Second))
	return nil
}

func (s *Session) flush(buf []byte) error {
	deadline := time.Now().Add(s.opts.writeTimeout.Duration())
	if err := s.conn.SetWriteDeadline(deadline); err != nil {
		return err
	}
	return s.conn.WriteMessage(websocket.BinaryMessage, buf)
}

// ClosedError is returned for frames sent after the end of the session.
type ClosedError struct {
	Process string
	Cause   error
}

// Error implements error.
func (e *ClosedError) Error() string {
	return fmt.Sprintf("session with %s has ended: %v", e.Process, e.Cause)
}

// Unwrap returns the cause of the session's end.
func (e *ClosedError) Unwrap() error { return e.Cause }

// FullError is returned if the send queue is full because the peer reads too slowly.
type FullError struct {
	Process string
	Queue   int
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("send queue is full: %d frames for %s", e.Queue, e.Process)
}

// SilentError is the cause of the end of a session on which nothing was received for
// too long although the connection was not closed.
type SilentError struct {
	Process string
	Silence clock.Millis
}

// Error implements error.
func (e *SilentError) Error() string {
	return fmt.Sprintf("no message from %s for %d ms", e.Process, e.Silence)
}

// ProtocolError is returned for messages that violate the protocol.
type ProtocolError struct {
	Cause string
}

// Error implements error.
func (e *ProtocolError) Error() string { return "protocol: " + e.Cause }
