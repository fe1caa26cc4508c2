package router_test

import (
	"context"
	"net"
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/engine/conn"
)

// held holds back what a gateway does: all of it, as a host does that stands still, or its connections to
// peers or to the store. What is held back happens later.
type held struct {
	mu      sync.Mutex
	changed chan struct{}
	still   bool
	// peersIn holds back what peers send, peersOut what the gateway sends to them, and store its calls to
	// the store.
	peersIn, peersOut, store bool
}

func newHeld() *held { return &held{changed: make(chan struct{})} }

// set changes what is held back.
func (h *held) set(change func(h *held)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change(h)
	close(h.changed)
	h.changed = make(chan struct{})
}

// release holds nothing back any more.
func (h *held) release() {
	h.set(func(h *held) { h.still, h.peersIn, h.peersOut, h.store = false, false, false, false })
}

// await waits while a condition or the whole gateway is held back.
func (h *held) await(condition func(h *held) bool) {
	for {
		h.mu.Lock()
		waits, changed := h.still || condition(h), h.changed
		h.mu.Unlock()
		if !waits {
			return
		}
		<-changed
	}
}

func never(*held) bool { return false }

// clock returns a clock whose timers end late while the gateway stands still.
func (h *held) clock() *clock.Clock {
	exact := clock.New()
	return clock.New(clock.WithNow(exact.Now), clock.WithAfter(func(span clock.Millis) (<-chan struct{}, func()) {
		expired, stop := exact.After(span)
		done, stopped := make(chan struct{}), make(chan struct{})
		go func() {
			select {
			case <-expired:
				h.await(never)
				close(done)
			case <-stopped:
			}
		}()
		return done, sync.OnceFunc(func() { stop(); close(stopped) })
	}))
}

// dial wraps a function that opens connections, which are held back in each direction under a condition.
func (h *held) dial(dial conn.DialFunc, in, out func(h *held) bool) conn.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		h.await(out)
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &heldConn{Conn: c, held: h, in: in, out: out}, nil
	}
}

// listen wraps a listener like dial.
func (h *held) listen(l net.Listener, in, out func(h *held) bool) net.Listener {
	return &heldListener{Listener: l, held: h, in: in, out: out}
}

type heldListener struct {
	net.Listener
	held    *held
	in, out func(h *held) bool
}

// Accept implements net.Listener.
func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{Conn: c, held: l.held, in: l.in, out: l.out}, nil
}

type heldConn struct {
	net.Conn
	held    *held
	in, out func(h *held) bool
}

// Read implements net.Conn.
func (c *heldConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.held.await(c.in)
	return n, err
}

// Write implements net.Conn.
func (c *heldConn) Write(from []byte) (int, error) {
	c.held.await(c.out)
	return c.Conn.Write(from)
}
