// Package limit bounds how many connections a port holds open at once. Without
// it, callers that open connections and send nothing would use up the
// process's file descriptors, and nobody else could be served.
package limit

import (
	"errors"
	"net"
	"sync"
	"syscall"
)

// Listener accepts a connection only while fewer than its limit are open; the
// others wait in the kernel's queue.
type Listener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

// New bounds the open connections of a listener.
func New(inner net.Listener, most int) *Listener {
	return &Listener{Listener: inner, slots: make(chan struct{}, most), closed: make(chan struct{})}
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

// SyscallConn implements syscall.Conn where the listener does.
func (l *Listener) SyscallConn() (syscall.RawConn, error) { return rawOf(l.Listener) }

// Close stops accepting. Open connections stay.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// conn gives its slot back once.
type conn struct {
	net.Conn
	once    sync.Once
	release func()
}

// SyscallConn implements syscall.Conn where the connection does.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return rawOf(c.Conn) }

func rawOf(inner any) (syscall.RawConn, error) {
	source, ok := inner.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return source.SyscallConn()
}

// Close ends the connection and frees its slot.
func (c *conn) Close() error {
	defer c.once.Do(c.release)
	return c.Conn.Close()
}
