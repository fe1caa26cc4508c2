// Package limit limits the number of open connections of a port. Without a limit,
// callers that open connections and send nothing could use up the file descriptors of
// the process, and it could serve no other callers.
package limit

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Listener accepts a connection only while fewer than its limit are open. Others
// wait in the kernel's queue.
type Listener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
	// fullFunc is set by OnFull.
	fullFunc atomic.Pointer[func()]
}

// fullPoll is the time after which a listener that is still full calls the function of OnFull again.
const fullPoll = 50 * time.Millisecond

// OnFull sets a function that is called while another connection waits and as many as allowed are open, to close one of them.
func (l *Listener) OnFull(full func()) { l.fullFunc.Store(&full) }

// New returns a listener that accepts from inner and holds at most maxOpen connections
// open.
func New(inner net.Listener, maxOpen int) *Listener {
	return &Listener{Listener: inner, slots: make(chan struct{}, maxOpen), closed: make(chan struct{})}
}

// Accept waits for a free slot and then for a connection.
func (l *Listener) Accept() (net.Conn, error) {
	if !l.takeSlot() {
		return nil, net.ErrClosed
	}
	inner, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &conn{Conn: inner, release: func() { <-l.slots }}, nil
}

// takeSlot waits for a free slot and takes it. It returns false if the listener is closed before.
func (l *Listener) takeSlot() bool {
	for {
		select {
		case l.slots <- struct{}{}:
			return true
		default:
		}
		if full := l.fullFunc.Load(); full != nil && Pending(l.Listener) {
			(*full)()
		}
		again := time.NewTimer(fullPoll)
		select {
		case l.slots <- struct{}{}:
			again.Stop()
			return true
		case <-again.C:
		case <-l.closed:
			again.Stop()
			return false
		}
	}
}

// Full reports whether as many connections are open as allowed, or one fewer while the next one is awaited.
func (l *Listener) Full() bool { return len(l.slots) == cap(l.slots) }

// Pending reports whether the kernel's queue of a listener holds a connection to accept.
func Pending(of net.Listener) bool {
	raw, err := rawConn(of)
	if err != nil {
		return false
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0) // on an error ready isn't positive
	})
	return err == nil && ready > 0
}

// SyscallConn implements syscall.Conn if the inner listener does.
func (l *Listener) SyscallConn() (syscall.RawConn, error) { return rawConn(l.Listener) }

// Close stops accepting connections. Open connections stay open.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// conn is a connection that frees its slot when it is first closed.
type conn struct {
	net.Conn
	once    sync.Once
	release func()
}

// SyscallConn implements syscall.Conn if the inner connection does.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return rawConn(c.Conn) }

func rawConn(inner any) (syscall.RawConn, error) {
	source, ok := inner.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return source.SyscallConn()
}

// Close closes the connection and frees its slot.
func (c *conn) Close() error {
	defer c.once.Do(c.release)
	return c.Conn.Close()
}
