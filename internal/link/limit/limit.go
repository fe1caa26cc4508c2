// Package limit limits the number of open connections of a port. Without a limit,
// callers that open connections and send nothing could use up the file descriptors of
// the process, and it could serve no other callers.
package limit

import (
	"errors"
	"net"
	"sync"
	"syscall"
)

// Listener accepts a connection only while fewer than its limit are open. Others
// wait in the kernel's queue.
type Listener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

// New returns a listener that accepts from inner and holds at most maxOpen connections
// open.
func New(inner net.Listener, maxOpen int) *Listener {
	return &Listener{Listener: inner, slots: make(chan struct{}, maxOpen), closed: make(chan struct{})}
}

// Accept waits for a free slot and then for a connection.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	inner, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &conn{Conn: inner, release: func() { <-l.slots }}, nil
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
