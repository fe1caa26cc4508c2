// Package trail writes log lines without ever holding up who logs: lines wait
// in a bounded queue, and beyond the queue or the allowed rate they are counted
// and dropped. What was dropped is said in a line of its own.
package trail

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// defaultLines is how many lines a second are written in the long run, and
	// defaultBurst how many at once. A process serves some 30 requests a second
	// at four to six lines each; the bound holds under several times that load.
	defaultLines = 600
	defaultBurst = 1200
	// queueLines is how many lines wait for a reader that stalls.
	queueLines = 1024
)

// Writer is an io.Writer that never blocks. Each Write is one line.
type Writer struct {
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	total   atomic.Int64
	done    chan struct{}
}

// New starts a writer to out that ends with the context, after it has written
// what still waits.
func New(ctx context.Context, out io.Writer) *Writer {
	w := &Writer{
		lines: make(chan []byte, queueLines), done: make(chan struct{}),
		limit: rate.NewLimiter(defaultLines, defaultBurst),
	}
	go func() {
		defer close(w.done)
		w.run(ctx, out)
	}()
	return w
}

// Done closes once the writer has ended.
func (w *Writer) Done() <-chan struct{} { return w.done }

// Dropped returns how many lines were dropped since the start.
func (w *Writer) Dropped() int64 { return w.total.Load() }

// Write implements io.Writer. It always succeeds.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limit.Allow() {
		w.drop()
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.drop()
	}
	return len(line), nil
}

func (w *Writer) drop() {
	w.dropped.Add(1)
	w.total.Add(1)
}

func (w *Writer) run(ctx context.Context, out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			w.put(out, line)
		case <-ctx.Done():
			w.rest(out)
			return
		}
	}
}

func (w *Writer) rest(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			w.put(out, line)
		default:
			return
		}
	}
}

// put writes a line. A log that can't be written has nowhere to say so.
func (w *Writer) put(out io.Writer, line []byte) {
	_, _ = out.Write(line)
	if dropped := w.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(out, "level=warn msg=\"log lines dropped\" lines=%d\n", dropped)
	}
}
