// Package spool passes answers on to callers that read them at their own pace. A gateway
// that writes an answer itself stops reading from the engine while the caller reads nothing:
// the engine keeps a slot for it and aborts the answer after some seconds. Here the data is
// held in memory within the limits of guard/hold, and a caller that reads too slowly is
// disconnected, so that its answer never looks complete.
package spool

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sys/unix"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/guard/hold"
)

// KernelBytes is the most that the kernel holds for the data sent to one caller, in bytes.
// Without it, the kernel holds up to 4 MB for each. It transfers 3 MB a second to a caller
// that is 20 ms away.
const KernelBytes = 64 << 10

// connKey is the key of a caller's connection in the context of its requests.
type connKey struct{}

// Book holds the writers of all callers. A nil Book holds no data: answers are written as
// they are read.
type Book struct {
	clock         *clock.Clock
	log           *log.Logger
	ledger        *hold.Ledger
	forwardedFunc func(bytes int, now clock.Millis)
	pool          sync.Pool
	cuts          *prometheus.CounterVec
}

// Option configures a Book.
type Option func(*Book)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(b *Book) { b.clock = c } }

// WithLog sets the logger.
func WithLog(l *log.Logger) Option { return func(b *Book) { b.log = l } }

// WithForwarded sets a function that is called with the size of data written to a caller.
func WithForwarded(forwarded func(bytes int, now clock.Millis)) Option {
	return func(b *Book) { b.forwardedFunc = forwarded }
}

// New returns a book whose writers share the limits of a ledger. It registers the metrics.
func New(ledger *hold.Ledger, r prometheus.Registerer, opts ...Option) *Book {
	b := &Book{
		clock: clock.New(), log: log.Default(), ledger: ledger, forwardedFunc: func(int, clock.Millis) {},
		cuts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jujubescale_slow_readers_cut_total",
			Help: "Slow readers for which nothing more was held, by kind (caller, engine) and cause (stalled, crowded).",
		}, []string{"kind", "cause"}),
	}
	for _, opt := range opts {
		opt(b)
	}
	b.pool.New = func() any { return new([blockBytes]byte) }
	r.MustRegister(b.cuts,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "jujubescale_slow_readers", Help: "Callers and engines that read more slowly than data arrives for them.",
		}, func() float64 { return float64(ledger.Readers()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "jujubescale_held_bytes", Help: "Data held for slow readers, including the buffers of the kernel, in bytes.",
		}, func() float64 { return float64(ledger.Total()) }))
	return b
}

// ConnContext is the ConnContext function of the callers' http.Server. It limits what the
// kernel holds for the connection.
func (b *Book) ConnContext(ctx context.Context, c net.Conn) context.Context {
	if b == nil {
		return ctx
	}
	if wrapped, ok := c.(*tls.Conn); ok {
		c = wrapped.NetConn()
	}
	raw := rawConn(c)
	if raw == nil {
		return ctx
	}
	_ = raw.Control(func(fd uintptr) {
		// The kernel doubles the value. If it fails, the kernel holds more.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, KernelBytes/2)
	})
	return context.WithValue(ctx, connKey{}, raw)
}

// Wrap returns the writer of the answer to a request, and a context that ends if the caller
// is cut, with a CutError as its cause. The handler must call the function that it returns
// before it ends; it drops what Finish has not passed on. A nil Book returns its arguments.
func (b *Book) Wrap(ctx context.Context, w http.ResponseWriter, request string) (context.Context, http.ResponseWriter, func()) {
	if b == nil {
		return ctx, w, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	out := &Writer{
		book: b, to: w, control: http.NewResponseController(w), cancel: cancel, request: request,
		wake: make(chan struct{}, 1), room: make(chan struct{}, 1), done: make(chan struct{}),
	}
	out.raw, _ = ctx.Value(connKey{}).(syscall.RawConn)
	out.queued.Store(-1)
	out.reader = hold.NewReader(hold.Caller, out.cut, out.probe)
	_ = out.control.SetWriteDeadline(time.Time{}) // the end of the previous answer set one
	return ctx, out, func() {
		out.abort()
		cancel(nil)
	}
}

// Err returns the error with which the caller was cut, nil for one that was not.
func Err(w http.ResponseWriter) *CutError {
	var cut *CutError
	if out, ok := w.(*Writer); ok {
		out.mu.Lock()
		defer out.mu.Unlock()
		errors.As(out.err, &cut)
	}
	return cut
}

// Finish waits until the whole answer was passed on, and returns the error that prevented
// it. It does nothing for other writers.
func Finish(w http.ResponseWriter) error {
	if out, ok := w.(*Writer); ok {
		return out.finish()
	}
	return nil
}

// Sweep cuts the readers that read nothing. It must be called several times a second.
func (b *Book) Sweep() {
	if b == nil {
		return
	}
	for _, made := range b.ledger.Sweep(b.clock.Now()) {
		made.Carry()
	}
}

// add asks the ledger to hold more bytes, and carries out its decisions.
func (b *Book) add(r *hold.Reader, bytes int64) bool {
	ok, cuts := b.ledger.Add(r, bytes, b.clock.Now())
	for i := range cuts {
		cuts[i].Carry()
	}
	return ok
}

// RecordCut logs and counts a cut; the pair names the reader.
func (b *Book) RecordCut(made *hold.Cut, key, value string) {
	b.cuts.WithLabelValues(string(made.Kind), string(made.Cause)).Inc()
	b.log.Info("slow reader cut", key, value, "kind", string(made.Kind), "cause", string(made.Cause),
		"heldBytes", made.Held, "unreadMs", int64(made.Unread), "totalBytes", made.Total)
}

func (b *Book) newBlock() []byte { return b.pool.Get().(*[blockBytes]byte)[:0] }

func (b *Book) recycle(block []byte) { b.pool.Put((*[blockBytes]byte)(block[:blockBytes])) }

// rawConn returns the socket of a connection, or nil if it has none.
func rawConn(c net.Conn) syscall.RawConn {
	source, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// queuedBytes returns the number of bytes that the kernel holds because the other side has
// not acknowledged them.
func queuedBytes(raw syscall.RawConn) (int64, bool) {
	var queued int
	var failed error
	err := raw.Control(func(fd uintptr) { queued, failed = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return int64(queued), err == nil && failed == nil
}
