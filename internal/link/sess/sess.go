// Package sess keeps one WebSocket session between two of jujubescale's own
// processes: hello exchange, a bounded send queue whose frames are batched
// into one message, heartbeats, and detection of connections that went silent.
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

// Path is where a process accepts sessions.
const Path = "/v1/session"

// Handler takes each frame that arrives, in order, on the session's reader.
// It must not block.
type Handler func(*Session, *wire.Frame)

// Session is one connection to a peer that has said hello.
type Session struct {
	conn    *websocket.Conn
	opts    options
	number  uint64
	dialed  bool
	peer    wire.Hello
	out     *queue
	closing chan struct{}
	done    chan struct{}
	once    sync.Once
	cause   error
	heard   atomic.Int64
	busy    atomic.Int64
	batch   []*wire.Frame // the writer's own
	hurry   chan struct{} // wakes the writer when the first call is in flight
	asked   clock.Millis  // when the writer last asked for a sign of life
	resumed clock.Millis  // when the writer last got processor time late
}

// Peer returns what the other side said of itself.
func (s *Session) Peer() wire.Hello { return s.peer }

// Number identifies the session on both sides.
func (s *Session) Number() uint64 { return s.number }

// Done closes once the session has ended and its goroutines are gone.
func (s *Session) Done() <-chan struct{} { return s.done }

// Err returns why the session ended. Read it after Done.
func (s *Session) Err() error { return s.cause }

// LastReceived returns the instant of the newest message from the peer.
func (s *Session) LastReceived() clock.Millis { return clock.Millis(s.heard.Load()) }

// AddInFlight changes the count of calls in flight. While it is above zero the
// heartbeat is fast, so that a silent connection is noticed while it matters.
func (s *Session) AddInFlight(change int64) {
	if s.busy.Add(change) != change || change <= 0 {
		return
	}
	select {
	case s.hurry <- struct{}{}:
	default:
	}
}

// Send queues a frame. A full queue or an ended session is an error, never a
// wait: a slow peer must not hold up the requests of others.
func (s *Session) Send(frame *wire.Frame) error {
	frame.Session = s.number
	frame.Release = s.opts.release()
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

// Close ends the session. Frames already queued are still written.
func (s *Session) Close(cause error) {
	s.once.Do(func() {
		s.cause = cause
		close(s.closing)
	})
}

// run starts reader and writer; the reader closes done after both have ended.
// The writer closes the connection, which ends the reader too.
func (s *Session) run(ctx context.Context) {
	s.heard.Store(int64(s.opts.clock.Now()))
	writeEnd := make(chan struct{})
	go func() {
		defer close(writeEnd)
		s.Close(s.write(ctx))
		_ = s.conn.Close()
	}()
	go func() {
		defer close(s.done)
		s.Close(s.read())
		<-writeEnd
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
		s.heard.Store(int64(s.opts.clock.Now()))
		if err := wire.Decode(message, s.take); err != nil {
			return err
		}
	}
}

func (s *Session) take(frame *wire.Frame) {
	if frame.Session != s.number {
		// A frame of another session on this connection can only come from a
		// mixed-up peer; its answer would reach the wrong request.
		s.opts.dropped("session")
		return
	}
	if frame.Kind == wire.KindBeat && !frame.Beat.Reply {
		_ = s.Send(&wire.Frame{Kind: wire.KindBeat, Beat: &wire.Beat{Reply: true, Mark: frame.Beat.Mark, Load: s.opts.load(), Outside: s.opts.outside()}})
	}
	s.opts.handler(s, frame)
}

func (s *Session) write(ctx context.Context) error {
	var buf []byte
	due, stop := s.opts.clock.After(s.pause())
	expected := s.opts.clock.Now() + s.pause()
	defer func() { stop() }()
	for {
		select {
		case <-s.out.wake:
			var err error
			if buf, err = s.writeWaiting(buf); err != nil {
				return err
			}
			// The heartbeat's timer goes on: if sending put it off, a session
			// that is always sending would never find out that it is silent.
			continue
		case <-due:
			if now := s.opts.clock.Now(); now-expected >= s.pause() {
				s.resumed = now
			}
			if err := s.heartbeat(); err != nil {
				return err
			}
		case <-s.hurry:
			stop()
		case <-s.closing:
			return s.writeLast(buf)
		case <-ctx.Done():
			return errors.Join(ctx.Err(), s.writeLast(buf))
		}
		due, stop = s.opts.clock.After(s.pause())
		expected = s.opts.clock.Now() + s.pause()
	}
}

// heartbeat asks the peer for a sign of life when nothing was heard for a
// while, and ends the session when a sign that was asked for does not come.
// Silence counts from the request and not from the last message: a session
// that was idle has heard nothing for long, and that proves nothing. Neither does
// silence while this process got no processor time: the peer's messages may have
// arrived, and be read in a moment.
func (s *Session) heartbeat() error {
	now, heard := s.opts.clock.Now(), max(s.LastReceived(), s.resumed)
	if !s.dialed {
		if silence := now - heard; silence > silentBeats*s.opts.beatIdle {
			return &SilentError{Process: s.peer.Process, Silence: silence}
		}
		return nil
	}
	if s.asked > heard {
		if now-s.asked >= (silentBeats-1)*s.pause() {
			return &SilentError{Process: s.peer.Process, Silence: now - heard}
		}
		return nil
	}
	if now-heard >= s.pause() {
		s.asked = now
		_ = s.Send(&wire.Frame{Kind: wire.KindBeat, Beat: &wire.Beat{Load: s.opts.load(), Outside: s.opts.outside()}})
	}
	return nil
}

func (s *Session) pause() clock.Millis {
	if s.busy.Load() > 0 {
		return s.opts.beatBusy
	}
	return s.opts.beatIdle
}

// writeWaiting writes all frames that wait, up to a bound in one message: one
// system call carries many small frames under load.
func (s *Session) writeWaiting(buf []byte) ([]byte, error) {
	s.batch = s.out.swap(s.batch)
	buf = buf[:0]
	var err error
	for _, frame := range s.batch {
		if buf, err = wire.Append(buf, frame); err != nil {
			return buf, err
		}
		if len(buf) < batchBytes {
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

func (s *Session) writeLast(buf []byte) error {
	if _, err := s.writeWaiting(buf); err != nil {
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

// ClosedError says that the session has ended.
type ClosedError struct {
	Process string
	Cause   error
}

// Error implements error.
func (e *ClosedError) Error() string {
	return fmt.Sprintf("session with %s has ended: %v", e.Process, e.Cause)
}

// Unwrap returns why it ended.
func (e *ClosedError) Unwrap() error { return e.Cause }

// FullError says that the peer takes frames too slowly.
type FullError struct {
	Process string
	Queue   int
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("%d frames already wait for %s", e.Queue, e.Process)
}

// SilentError says that nothing came from the peer for too long, although the
// connection was never closed.
type SilentError struct {
	Process string
	Silence clock.Millis
}

// Error implements error.
func (e *SilentError) Error() string {
	return fmt.Sprintf("nothing from %s for %d ms", e.Process, e.Silence)
}

// ProtocolError says that the peer does not speak this protocol.
type ProtocolError struct {
	Cause string
}

// Error implements error.
func (e *ProtocolError) Error() string { return "protocol: " + e.Cause }
