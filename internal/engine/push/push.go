// Package push writes the bodies of requests to endpoints. An endpoint that does not read a
// body holds the request, its memory and a connection until the request's deadline; here
// the write is given up once the endpoint has read nothing for some time, or if it is the
// slowest of all readers for which the process holds too much (guard/hold).
package push

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/guard/hold"
)

const (
	// grace is the time in which an endpoint reads a body without being counted as slow.
	grace = 100 * clock.Millis(1)
	// step is the longest time of one write to a slow endpoint, after which the progress is
	// counted.
	step = 250 * clock.Millis(1)
)

// CutError is returned if the write was given up.
type CutError struct {
	Cause  hold.Cause
	Unread clock.Millis
	// Left is the number of bytes that were not written.
	Left int64
}

// Error implements error.
func (e *CutError) Error() string {
	return fmt.Sprintf("the endpoint did not read the request (%s): nothing for %d ms, %d bytes left", e.Cause, e.Unread, e.Left)
}

// Book holds the writes to slow endpoints. A nil Book writes without limits.
type Book struct {
	clock  *clock.Clock
	ledger *hold.Ledger
	// cutFunc logs a decision.
	cutFunc func(address string, made hold.Cut)
}

// New returns a book that counts in a ledger and calls a function for each write given up.
func New(c *clock.Clock, ledger *hold.Ledger, cut func(address string, made hold.Cut)) *Book {
	return &Book{clock: c, ledger: ledger, cutFunc: cut}
}

// write is one write to an endpoint.
type write struct {
	book   *Book
	conn   net.Conn
	reader *hold.Reader
	queued atomic.Int64
	made   atomic.Pointer[hold.Cut]

	// mu guards ended, which is set once Write no longer uses the connection: a decision that
	// is carried out later must not leave a deadline on a connection that is reused.
	mu    sync.Mutex
	ended bool
}

// Write writes a request to a connection. It returns a CutError if it gives up. The function
// answered reports whether the endpoint has begun to answer; if it has not, a read from the
// connection fails too.
func (b *Book) Write(c net.Conn, answered func() bool, data net.Buffers) error {
	if b == nil {
		_, err := data.WriteTo(c)
		return err
	}
	w := &write{book: b, conn: c}
	w.queued.Store(-1)
	w.reader = hold.NewReader(hold.Engine, func(made hold.Cut) { w.cut(made, answered) }, w.probe)
	defer b.ledger.Close(w.reader)
	_ = c.SetWriteDeadline(time.Now().Add(grace.Duration()))
	_, err := data.WriteTo(c)
	for errors.Is(err, os.ErrDeadlineExceeded) && w.made.Load() == nil {
		err = w.resume(&data)
	}
	w.mu.Lock()
	w.ended = true
	w.mu.Unlock()
	if made := w.made.Load(); made != nil { // also after the last byte: the connection has a deadline
		return &CutError{Cause: made.Cause, Unread: made.Unread, Left: left(data)}
	}
	if err == nil {
		_ = c.SetWriteDeadline(time.Time{})
	}
	return err
}

// resume continues a write to an endpoint that is slow.
func (w *write) resume(data *net.Buffers) error {
	if !w.book.ledger.Holds(w.reader) {
		w.count(left(*data))
	}
	_ = w.conn.SetWriteDeadline(time.Now().Add(step.Duration()))
	if w.made.Load() != nil {
		_ = w.conn.SetWriteDeadline(time.Unix(1, 0))
	}
	written, err := data.WriteTo(w.conn)
	if written > 0 {
		w.book.ledger.Read(w.reader, written, w.book.clock.Now())
	}
	return err
}

// count adds what is left of the request to the ledger. If others leave no room, the next
// step tries again.
func (w *write) count(bytes int64) {
	_, cuts := w.book.ledger.Add(w.reader, bytes, w.book.clock.Now())
	for i := range cuts {
		cuts[i].Carry()
	}
}

// cut ends the write, and the request if the endpoint has not begun to answer.
func (w *write) cut(made hold.Cut, answered func() bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.made.Store(&made)
	w.book.cutFunc(w.conn.RemoteAddr().String(), made)
	if answered() {
		_ = w.conn.SetWriteDeadline(time.Unix(1, 0))
		return
	}
	_ = w.conn.SetDeadline(time.Unix(1, 0))
}

// probe returns the change of what the kernel holds for the endpoint since the last probe.
func (w *write) probe() int64 {
	source, ok := w.conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return 0
	}
	queued := 0
	_ = raw.Control(func(fd uintptr) { queued, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }) // 0 on errors
	before := w.queued.Swap(int64(queued))
	if before < 0 {
		return 0
	}
	return max(int64(queued)-before, before-int64(queued))
}

func left(data net.Buffers) int64 {
	var bytes int64
	for _, part := range data {
		bytes += int64(len(part))
	}
	return bytes
}
