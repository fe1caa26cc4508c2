package conns

import (
	"io"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// Arrival describes a new connection whose first bytes have arrived.
type Arrival struct {
	// Wait is the time for which the bytes have waited.
	Wait clock.Millis
	// Bytes is the size of the request, 0 if the bytes don't state it.
	Bytes int
	// Open is the number of open connections.
	Open int64
}

// WithAdmit sets a function that decides whether a new connection is served. It is called once its
// first bytes have arrived and before they are read. A connection that is not served is closed unread.
func WithAdmit(admit func(Arrival) bool) Option {
	return func(o *options) { o.admitFunc = admit }
}

// admit waits for the first bytes and reports whether the connection is served. It is served
// without a decision if the wait fails; the read that follows fails as well.
func (c *conn) admit() bool {
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return true
	}
	arrived, first := false, Arrival{}
	err = raw.Read(func(fd uintptr) bool {
		var peeked [peekBytes]byte
		n, _, err := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK)
		if err == unix.EAGAIN {
			return false
		}
		if arrived = err == nil && n > 0; arrived {
			first.Wait = unreadFor(int(fd))
			first.Bytes = requestSize(peeked[:n])
		}
		return true
	})
	first.Open = int64(c.listener.numOpen())
	return err != nil || !arrived || c.listener.admitFunc(first)
}

// unreadFor returns the time since the last bytes arrived at a connection.
func unreadFor(fd int) clock.Millis {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return clock.Millis(info.Last_data_recv)
}

// errNotAdmitted is what the server sees of a connection that is closed unread.
var errNotAdmitted = io.EOF
