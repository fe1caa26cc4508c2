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

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

const (
	defaultQueue = 4096
	// An entry holds some three hundred sessions, mostly idle, and may spend
	// 10 KB a second on control: at 220 bytes a heartbeat with its reply, one in
	// 8 s takes 8 KB.
	defaultBeatIdle     = 8 * clock.Second
	defaultBeatBusy     = 250
	defaultWriteTimeout = 10 * clock.Second
	defaultHelloTimeout = 3 * clock.Second
	silentBeats         = 3
	batchBytes          = 64 << 10
	bufferBytes         = 4 << 10
)

// writeBuffers lends a buffer for the length of one write: a session that is
// idle holds none.
var writeBuffers sync.Pool

type options struct {
	clock        *clock.Clock
	hello        func() wire.Hello
	handler      Handler
	opened       func(*Session)
	release      func() uint64
	load         func() *wire.Load
	outside      func() clock.Millis
	dropped      func(reason string)
	tls          *tls.Config
	dial         func(ctx context.Context, network, address string) (net.Conn, error)
	queue        int
	beatIdle     clock.Millis
	beatBusy     clock.Millis
	writeTimeout clock.Millis
	opening      clock.Millis
}

// Option changes how a session is opened.
type Option func(*options)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(o *options) { o.clock = c } }

// WithHello sets what this process says of itself.
func WithHello(hello func() wire.Hello) Option { return func(o *options) { o.hello = hello } }

// WithHandler sets who takes the frames.
func WithHandler(handler Handler) Option { return func(o *options) { o.handler = handler } }

// WithAccepted sets who is told of an accepted session before the process that
// dialed it hears the hello. From then on that process may refer to the session
// on another one, and a reader there must find it entered already. The session
// ends later, also when its hello could not be sent.
func WithAccepted(opened func(*Session)) Option { return func(o *options) { o.opened = opened } }

// WithRelease sets the source of the release number that each frame carries.
func WithRelease(release func() uint64) Option { return func(o *options) { o.release = release } }

// WithLoad sets the load that heartbeats carry.
func WithLoad(load func() *wire.Load) Option { return func(o *options) { o.load = load } }

// WithOutside sets what heartbeats say of the reach beyond the availability zone.
func WithOutside(outside func() clock.Millis) Option {
	return func(o *options) { o.outside = outside }
}

// WithDropped sets who counts dropped frames.
func WithDropped(dropped func(reason string)) Option { return func(o *options) { o.dropped = dropped } }

// WithTLS dials with TLS.
func WithTLS(config *tls.Config) Option { return func(o *options) { o.tls = config } }

// WithDial replaces the TCP dialer.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(o *options) { o.dial = dial }
}

// WithHeartbeats sets the spans between heartbeats without and with calls in flight.
func WithHeartbeats(idle, busy clock.Millis) Option {
	return func(o *options) { o.beatIdle, o.beatBusy = idle, busy }
}

// WithOpenTimeout bounds how long a dialed session may take to open, connecting
// included.
func WithOpenTimeout(timeout clock.Millis) Option { return func(o *options) { o.opening = timeout } }

// WithQueue sets how many frames may wait for the peer.
func WithQueue(frames int) Option { return func(o *options) { o.queue = frames } }

func collect(opts []Option) options {
	o := options{
		clock:        clock.New(),
		hello:        func() wire.Hello { return wire.Hello{Version: wire.Version} },
		handler:      func(*Session, *wire.Frame) {},
		opened:       func(*Session) {},
		release:      func() uint64 { return 0 },
		load:         func() *wire.Load { return nil },
		outside:      func() clock.Millis { return 0 },
		dropped:      func(string) {},
		dial:         (&net.Dialer{}).DialContext,
		queue:        defaultQueue,
		beatIdle:     defaultBeatIdle,
		beatBusy:     defaultBeatBusy,
		writeTimeout: defaultWriteTimeout,
		opening:      defaultHelloTimeout,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// VersionError says that the peer speaks another protocol version.
type VersionError struct {
	Process string
	Version int
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("%s speaks protocol version %d; allowed: %d", e.Process, e.Version, wire.Version)
}

// Dial opens a session to the process at an address (host:port). The session
// lives until the context ends, either side closes it or it goes silent.
func Dial(ctx context.Context, address string, opts ...Option) (*Session, error) {
	o := collect(opts)
	dialer := websocket.Dialer{
		NetDialContext:   o.dial,
		TLSClientConfig:  o.tls,
		HandshakeTimeout: o.opening.Duration(),
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
	s := newSession(conn, o, true)
	s.number = rand.Uint64() | 1
	if err := s.sayHello(); err != nil {
		_ = conn.Close()
		return nil, err
	}
	if err := s.hearHello(); err != nil {
		_ = conn.Close()
		return nil, err
	}
	s.run(ctx)
	return s, nil
}

// Accept answers a request to open a session. It returns after the hellos; the
// session then lives on until the context ends or it closes. With an error it
// returns a session that has ended if that was entered already, else nil.
func Accept(ctx context.Context, w http.ResponseWriter, r *http.Request, opts ...Option) (*Session, error) {
	o := collect(opts)
	upgrader := websocket.Upgrader{
		HandshakeTimeout: defaultHelloTimeout.Duration(),
		ReadBufferSize:   0, // the HTTP server's own buffer goes on being used
		WriteBufferSize:  bufferBytes,
		WriteBufferPool:  &writeBuffers,
	}
	conn, err := upgrader.Upgrade(w, r, nil)
	if err != nil {
		return nil, err
	}
	s := newSession(conn, o, false)
	if err := s.hearHello(); err != nil {
		s.sayBye(err)
		return nil, err
	}
	s.heard.Store(int64(o.clock.Now()))
	s.opts.opened(s)
	if err := s.sayHello(); err != nil {
		s.fail(err)
		return s, err
	}
	s.run(ctx)
	return s, nil
}

// fail ends a session that never began to run.
func (s *Session) fail(cause error) {
	s.Close(cause)
	_ = s.conn.Close()
	close(s.done)
}

func newSession(conn *websocket.Conn, o options, dialed bool) *Session {
	conn.SetReadLimit(wire.MaxMessage)
	return &Session{
		conn:    conn,
		opts:    o,
		dialed:  dialed,
		out:     newQueue(o.queue),
		closing: make(chan struct{}),
		hurry:   make(chan struct{}, 1),
		done:    make(chan struct{}),
	}
}

func (s *Session) sayHello() error {
	hello := s.opts.hello()
	hello.Version = wire.Version
	frame := &wire.Frame{Kind: wire.KindHello, Session: s.number, Release: s.opts.release(), Hello: &hello}
	buf, err := wire.Append(nil, frame)
	if err != nil {
		return err
	}
	return s.flush(buf)
}

func (s *Session) sayBye(cause error) {
	message := websocket.FormatCloseMessage(websocket.ClosePolicyViolation, cause.Error())
	_ = s.conn.WriteControl(websocket.CloseMessage, message, time.Now().Add(time.Second))
	_ = s.conn.Close()
}

func (s *Session) hearHello() error {
	deadline := time.Now().Add(s.opts.opening.Duration())
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
		return &ProtocolError{Cause: "no hello"}
	}
	if first.Hello.Version != wire.Version {
		return &VersionError{Process: first.Hello.Process, Version: first.Hello.Version}
	}
	s.number = first.Session
	s.peer = *first.Hello
	return s.conn.SetReadDeadline(time.Time{})
}
