// Package upload reads the bodies of callers' requests within the limits of guard/body.
package upload

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/guard/body"
)

const (
	// blockBytes is the size of the blocks in which a long body arrives.
	blockBytes = 64 << 10
	// probeSize is the size of the first read: nothing more is allocated for a body before bytes of it have come.
	probeSize = 512
	// defaultMaxBytes is the largest body if the configuration states no limit.
	defaultMaxBytes = 16 << 20
	// drainBytes and drainTime bound what is read of a body that is not used, so that the connection can go on.
	drainBytes = 256 << 10
	drainTime  = 500 * time.Millisecond
	// retryAfter is the time after which a refused caller may return.
	retryAfter = 2 * clock.Second
	// logInterval is the shortest time between two log lines about bodies that were cut.
	logInterval = clock.Second
)

// Book reads the bodies of all callers.
type Book struct {
	clock  *clock.Clock
	log    *log.Logger
	ledger *body.Ledger
	blocks sync.Pool
	// joining is held while a long body is copied into one piece.
	joining  sync.Mutex
	cuts     *prometheus.CounterVec
	loggedAt atomic.Int64
}

// Option configures a Book.
type Option func(*Book)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(b *Book) { b.clock = c } }

// WithLog sets the logger.
func WithLog(l *log.Logger) Option { return func(b *Book) { b.log = l } }

// New returns a book whose bodies share the limits of a ledger. It registers the metrics.
func New(ledger *body.Ledger, r prometheus.Registerer, opts ...Option) *Book {
	b := &Book{
		clock: clock.New(), log: log.New(io.Discard), ledger: ledger,
		cuts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jujubescale_bodies_cut_total",
			Help: "Bodies of requests that were not read to their end, by cause (crowded, full, late).",
		}, []string{"cause"}),
	}
	b.blocks.New = func() any { return new([blockBytes]byte) }
	for _, opt := range opts {
		opt(b)
	}
	r.MustRegister(b.cuts,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "jujubescale_body_bytes", Help: "Memory that the bodies of open requests have taken, in bytes."},
			func() float64 { held, _ := ledger.Held(); return float64(held) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "jujubescale_bodies_waiting", Help: "Requests whose body waits for memory."},
			func() float64 { _, waiting := ledger.Held(); return float64(waiting) }))
	return b
}

// Body is the body of a request. Its zero value is empty.
type Body struct {
	Bytes  []byte
	upload *body.Upload
	book   *Book
}

// Release gives back what the body has taken. It may be called several times.
func (b *Body) Release() {
	b.Bytes = nil
	if b.upload != nil {
		b.book.ledger.End(b.upload)
	}
}

// Read reads the complete body of a request, of at most maxBytes, until an instant. The body must be released, also if it is
// refused.
func (b *Book) Read(w http.ResponseWriter, r *http.Request, maxBytes int64, until clock.Millis) (Body, *fault.RefusalError) {
	if maxBytes <= 0 {
		maxBytes = defaultMaxBytes
	}
	if r.ContentLength > maxBytes {
		w.Header().Set("Connection", "close")
		return Body{}, fault.Deny(fault.BodyTooLarge, "")
	}
	if r.ContentLength == 0 {
		return Body{}, nil
	}
	from := http.MaxBytesReader(w, r.Body, maxBytes)
	in := &reading{book: b, request: r, control: http.NewResponseController(w), from: from, max: maxBytes, stopped: make(chan struct{})}
	in.upload = b.ledger.Begin(in.stop, b.clock.Now())
	read := Body{upload: in.upload, book: b}
	timer := time.AfterFunc((until - b.clock.Now()).Duration(), func() { in.stop(body.Late) })
	bytes, err := in.read()
	timer.Stop()
	if cause := in.finish(); cause != "" {
		w.Header().Set("Connection", "close")
		return read, b.refuse(in, cause)
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		w.Header().Set("Connection", "close")
		return read, fault.Deny(fault.BodyTooLarge, "")
	case err != nil:
		return read, fault.Refuse(fault.Cancelled, "reading the request body: "+err.Error())
	}
	b.ledger.Complete(in.upload)
	read.Bytes = bytes
	return read, nil
}

// refuse counts and logs that a body was not read to its end.
func (b *Book) refuse(in *reading, cause body.Cause) *fault.RefusalError {
	b.cuts.WithLabelValues(string(cause)).Inc()
	now := b.clock.Now()
	if last := b.loggedAt.Load(); last == 0 || int64(now)-last >= int64(logInterval) {
		if b.loggedAt.CompareAndSwap(last, int64(now)) {
			held, waiting := b.ledger.Held()
			b.log.Info("body cut", "caller", in.request.RemoteAddr, "cause", cause, "readBytes", in.bytes, "announcedBytes", in.request.ContentLength,
				"heldBytes", held, "waiting", waiting)
		}
	}
	if cause == body.Late {
		return fault.Refuse(fault.DeadlineUnreachable, fmt.Sprintf("the body was not complete at the deadline: %d bytes had arrived", in.bytes))
	}
	refused := fault.Refuse(fault.Overloaded, fmt.Sprintf("no memory for the body (%s): %d bytes had arrived", cause, in.bytes))
	refused.RetryAfter = retryAfter
	return refused
}

// Sweep makes bodies give way to those that wait. It must be called several times a second.
func (b *Book) Sweep() {
	cuts := b.ledger.Sweep(b.clock.Now())
	for i := range cuts {
		cuts[i].Carry()
	}
}

// Drain reads the rest of a body that is not used, so that the connection can carry another request, or has the connection
// closed after the answer if the rest is long or late.
func Drain(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	if r.ContentLength > drainBytes {
		w.Header().Set("Connection", "close") // net/http reads none of it
		return
	}
	control := http.NewResponseController(w)
	timer := time.AfterFunc(drainTime, func() { _ = control.SetReadDeadline(longAgo) })
	_, err := io.CopyN(io.Discard, r.Body, drainBytes)
	if timer.Stop() && errors.Is(err, io.EOF) {
		return
	}
	w.Header().Set("Connection", "close")
	_ = control.SetReadDeadline(longAgo) // net/http would read on before it closes
}

// longAgo is a deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

// reading is the state of Book.Read.
type reading struct {
	book    *Book
	request *http.Request
	control *http.ResponseController
	from    io.Reader
	upload  *body.Upload
	max     int64
	bytes   int64
	parts   [][]byte // full blocks, but for the last one

	mu       sync.Mutex
	why      body.Cause
	finished bool
	stopped  chan struct{}
}

// stop ends the reading for a cause. Only the first one counts, and none after the body was read.
func (in *reading) stop(cause body.Cause) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.why != "" || in.finished {
		return
	}
	in.why = cause
	close(in.stopped)
	_ = in.control.SetReadDeadline(longAgo)
}

// finish ends the reading and returns the cause if it was stopped.
func (in *reading) finish() body.Cause {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.finished = true
	return in.why
}

// read returns the whole body.
func (in *reading) read() ([]byte, error) {
	defer in.recycle()
	probe := make([]byte, probeSize)
	n, err := in.from.Read(probe)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	if err != nil {
		in.bytes = int64(n)
		return probe[:n:n], in.checkLength()
	}
	first := min(in.length(), body.FirstPart)
	if err := in.take(in.book.ledger.TakeFirst, first); err != nil {
		return nil, err
	}
	part := make([]byte, first)
	copy(part, probe[:n])
	in.arrived(n)
	for n < len(part) && err == nil {
		var more int
		more, err = in.from.Read(part[n:])
		n += more
		in.arrived(more)
	}
	if err == nil && int64(n) == in.request.ContentLength {
		err = in.end()
	}
	switch {
	case errors.Is(err, io.EOF):
		return part[:n], in.checkLength()
	case err != nil:
		return nil, err
	}
	return in.readRest(part)
}

// end reads the end of a body that has its length, which leaves the connection ready for the next request.
func (in *reading) end() error {
	var none [1]byte
	_, err := in.from.Read(none[:])
	return err
}

// length returns the announced length, or the largest one for a body in chunks.
func (in *reading) length() int64 {
	if in.request.ContentLength > 0 {
		return in.request.ContentLength
	}
	return in.max
}

// readRest reads what is longer than the first part, in blocks, and returns all of it in one piece.
func (in *reading) readRest(first []byte) ([]byte, error) {
	if err := in.take(in.book.ledger.Reserve, in.length()); err != nil {
		return nil, err
	}
	for {
		block := in.book.blocks.Get().(*[blockBytes]byte)[:0]
		in.parts = append(in.parts, block)
		for len(block) < blockBytes {
			n, err := in.from.Read(block[len(block):blockBytes])
			block = block[:len(block)+n]
			in.parts[len(in.parts)-1] = block
			in.arrived(n)
			if errors.Is(err, io.EOF) {
				return in.join(first), in.checkLength()
			}
			if err != nil {
				return nil, err
			}
		}
	}
}

// join copies the parts of the body into one piece.
func (in *reading) join(first []byte) []byte {
	in.book.joining.Lock()
	defer in.book.joining.Unlock()
	all := make([]byte, 0, in.bytes)
	all = append(all, first...)
	for _, part := range in.parts {
		all = append(all, part...)
	}
	in.recycle()
	return all
}

func (in *reading) recycle() {
	for _, part := range in.parts {
		in.book.blocks.Put((*[blockBytes]byte)(part[:blockBytes]))
	}
	in.parts = nil
}

// checkLength reports a body that is shorter than announced.
func (in *reading) checkLength() error {
	if in.request.ContentLength >= 0 && in.bytes < in.request.ContentLength {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// take takes room, and waits for it.
func (in *reading) take(take func(*body.Upload, int64) bool, bytes int64) error {
	if take(in.upload, bytes) {
		return nil
	}
	wait := time.NewTimer(body.MaxWait.Duration())
	defer wait.Stop()
	select {
	case <-in.upload.Ready():
		return nil
	case <-wait.C:
		in.stop(body.Full)
	case <-in.stopped:
	case <-in.request.Context().Done():
		return context.Cause(in.request.Context())
	}
	return errStopped
}

var errStopped = errors.New("the body is not read on")

// arrived counts bytes, and waits if others need the link.
func (in *reading) arrived(n int) {
	in.bytes += int64(n)
	wait := in.book.ledger.Arrived(in.upload, int64(n), in.book.clock.Now())
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-in.stopped:
	}
}
