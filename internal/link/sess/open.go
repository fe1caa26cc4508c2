package sess

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/websocket"

	"github.com/jujubescale/jujubescale/internal/base/bound"
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

const (
	defaultQueue = 4096
	// An entry has about 300 sessions, most of them idle, and may use 10 KB/s for
	// control messages. A heartbeat and its reply take 220 bytes, so that one per
	// session every 8 s uses 8 KB/s.
	defaultIdleInterval = 8 * clock.Second
	defaultBusyInterval = 250
	defaultWriteTimeout = 10 * clock.Second
	defaultHelloTimeout = 3 * clock.Second
	silentIntervals     = 3
	maxBatchBytes       = 64 << 10
	bufferBytes         = 4 << 10
	// maxHello is the largest first message, in bytes: until then nothing is known of the sender.
	maxHello = 64 << 10
)

// writeBuffers provides a buffer for the duration of a write, so that idle sessions
// hold none.
var writeBuffers sync.Pool

type options struct {
	clock        *clock.Clock
	hello        func() wire.Hello
	handler      Handler
	accepted     func(*Session)
	release      func() uint64
	load         func() *wire.Load
	outside      func() clock.Millis
	dropped      func(reason string)
	tls          *tls.Config
	dial         func(ctx context.Context, network, address string) (net.Conn, error)
	queue        int
	idleInterval clock.Millis
	busyInterval clock.Millis
	writeTimeout clock.Millis
	openTimeout  clock.Millis
}

// Option changes how a session is opened.
type Option func(*options)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(o *options) { o.clock = c } }

// WithHello sets the source of the hello that this process sends.
func WithHello(hello func() wire.Hello) Option { return func(o *options) { o.hello = hello } }

// WithHandler sets the handler of received frames.
func WithHandler(handler Handler) Option { return func(o *options) { o.handler = handler } }

// WithAccepted sets a function that Accept calls before it answers the hello of the
// dialing process. After the answer that process may refer to this session on another
// one, so the session must be registered by then. The session's Done channel is closed
// later, even if the hello could not be sent.
func WithAccepted(accepted func(*Session)) Option { return func(o *options) { o.accepted = accepted } }

// WithRelease sets the source of the release number that each frame carries.
func WithRelease(release func() uint64) Option { return func(o *options) { o.release = release } }

// WithLoad sets the load that heartbeats carry.
func WithLoad(load func() *wire.Load) Option { return func(o *options) { o.load = load } }

// WithOutside sets the source of the field Outside of heartbeats; see wire.Beat.
func WithOutside(outside func() clock.Millis) Option {
	return func(o *options) { o.outside = outside }
}

// WithDropped sets a function that is called with the reason for each dropped frame.
func WithDropped(dropped func(reason string)) Option { return func(o *options) { o.dropped = dropped } }

// WithTLS makes Dial use TLS.
func WithTLS(config *tls.Config) Option { return func(o *options) { o.tls = config } }

// WithDial replaces the TCP dialer.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(o *options) { o.dial = dial }
}

// WithHeartbeats sets the intervals between heartbeats without and with calls in
// flight.
func WithHeartbeats(idle, busy clock.Millis) Option {
	return func(o *options) { o.idleInterval, o.busyInterval = idle, busy }
}

// WithOpenTimeout sets the timeout of connecting with the WebSocket handshake, and
// again that of the peer's hello after it. Accept uses it only for the hello.
func WithOpenTimeout(timeout clock.Millis) Option {
	return func(o *options) { o.openTimeout = timeout }
}

// WithQueue sets the maximum number of queued frames.
func WithQueue(frames int) Option { return func(o *options) { o.queue = frames } }

func newOptions(opts []Option) options {
	o := options{
		clock:        clock.New(),
		hello:        func() wire.Hello { return wire.Hello{Version: wire.Version} },
		handler:      func(*Session, *wire.Frame) {},
		accepted:     func(*Session) {},
		release:      func() uint64 { return 0 },
		load:         func() *wire.Load { return nil },
		outside:      func() clock.Millis { return 0 },
		dropped:      func(string) {},
		dial:         (&net.Dialer{}).DialContext,
		queue:        defaultQueue,
		idleInterval: defaultIdleInterval,
		busyInterval: defaultBusyInterval,
		writeTimeout: defaultWriteTimeout,
		openTimeout:  defaultHelloTimeout,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// VersionError is returned if the peer uses another protocol version.
type VersionError struct {
	Process string
	Version int
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("%s uses protocol version %d; supported: %d", e.Process, e.Version, wire.Version)
}

// Dial opens a session to the process at an address (host:port). The session
// ends when the context ends, when either side closes it, or when nothing has
// arrived from the peer for too long.
func Dial(ctx context.Context, address string, opts ...Option) (*Session, error) {
	o := newOptions(opts)
	var received *meteredConn
	var head *bound.Conn                // until the peer has answered
	keep := func() bool { return true } // reports whether the context has not ended
	defer func() { keep() }()
	dialer := websocket.Dialer{
		NetDialContext: func(dialing context.Context, network, address string) (net.Conn, error) {
			opened, err := o.dial(dialing, network, address)
			if err != nil {
				return nil, err
			}
			received = &meteredConn{Conn: opened, clock: o.clock}
			head = bound.NewConn(received)
			// A peer that stands still answers neither the request nor the hello.
			keep = context.AfterFunc(ctx, func() { _ = opened.Close() })
			return head, nil
		},
		TLSClientConfig:  o.tls,
		HandshakeTimeout: o.openTimeout.Duration(),
		ReadBufferSize:   bufferBytes,
		WriteBufferSize:  bufferBytes,
		WriteBufferPool:  &writeBuffers,
	}
	scheme := "ws://"
	if o.tls != nil {
		scheme = "wss://"
	}
	conn, response, err := dialer.DialContext(ctx, scheme+address+Path, nil)
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		return nil, err
	}
	if err := bound.CheckResponse(response); err != nil {
		_ = conn.Close()
		return nil, err
	}
	head.Unlimit()
	s := newSession(conn, o, true)
	s.received = received
	s.number = rand.Uint64() | 1
	if err := s.sendHello(); err != nil {
		_ = conn.Close()
		return nil, err
	}
	if err := s.readHello(); err != nil {
		_ = conn.Close()
		return nil, err
	}
	if !keep() {
		return nil, ctx.Err()
	}
	s.run(ctx)
	return s, nil
}

// Accept answers a request to open a session. It returns after both hellos; the
// session then stays open until the context ends or it is closed. On an error, Accept
// returns the ended session if the function of WithAccepted was called with it, else
// nil.
func Accept(ctx context.Context, w http.ResponseWriter, r *http.Request, opts ...Option) (*Session, error) {
	o := newOptions(opts)
	upgrader := websocket.Upgrader{
		HandshakeTimeout: defaultHelloTimeout.Duration(),
		ReadBufferSize:   0, // reuse the buffer of the HTTP server
		WriteBufferSize:  bufferBytes,
		WriteBufferPool:  &writeBuffers,
	}
	conn, err := upgrader.Upgrade(w, r, nil)
	if err != nil {
		return nil, err
	}
	s := newSession(conn, o, false)
	if err := s.readHello(); err != nil {
		s.reject(err)
		return nil, err
	}
	s.lastReceived.Store(int64(o.clock.Now()))
	s.opts.accepted(s)
	if err := s.sendHello(); err != nil {
		s.closeUnstarted(err)
		return s, err
	}
	s.run(ctx)
	return s, nil
}

// closeUnstarted ends a session whose reader and writer were not started.
func (s *Session) closeUnstarted(cause error) {
	s.Close(cause)
	_ = s.conn.Close()
	close(s.done)
}

func newSession(conn *websocket.Conn, o options, dialed bool) *Session {
	conn.SetReadLimit(maxHello)
	return &Session{
		transit:   transitMeter{openedAt: o.clock.Now()},
		conn:      conn,
		opts:      o,
		dialed:    dialed,
		received:  &meteredConn{},
		out:       newQueue(o.queue),
		closing:   make(chan struct{}),
		firstCall: make(chan struct{}, 1),
		done:      make(chan struct{}),
	}
}

func (s *Session) sendHello() error {
	hello := s.opts.hello()
	hello.Version = wire.Version
	frame := &wire.Frame{Kind: wire.KindHello, Session: s.number, Release: s.opts.release(), Hello: &hello}
	buf, err := wire.Append(nil, frame)
	if err != nil {
		return err
	}
	return s.flush(buf)
}

func (s *Session) reject(cause error) {
	message := websocket.FormatCloseMessage(websocket.ClosePolicyViolation, cause.Error())
	_ = s.conn.WriteControl(websocket.CloseMessage, message, time.Now().Add(time.Second))
	_ = s.conn.Close()
}

func (s *Session) readHello() error {
	deadline := time.Now().Add(s.opts.openTimeout.Duration())
	if err := s.conn.SetReadDeadline(deadline); err != nil {
		return err
	}
	_, message, err := s.conn.ReadMessage()
	if err != nil {
		return err
	}
	var first *wire.Frame
	if err := wire.Decode(message, func(f *wire.Frame) { first = f }); err != nil {
		return err
	}
	if first == nil || first.Kind != wire.KindHello {
		return &ProtocolError{Cause: "first frame is not a hello"}
	}
	if first.Hello.Version != wire.Version {
		return &VersionError{Process: first.Hello.Process, Version: first.Hello.Version}
	}
	s.number = first.Session
	s.peer = *first.Hello
	s.conn.SetReadLimit(wire.MaxMessage)
	return s.conn.SetReadDeadline(time.Time{})
}
