// Package trail writes log lines without blocking the code that logs. Lines wait
// in a bounded queue. Lines that exceed the queue or the allowed rate are dropped
// and counted, and the count is written as a log line.
package trail

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// defaultLines is the sustained rate in lines per second, and defaultBurst the
	// number of lines that may be written at once. A process serves about 30
	// requests per second with four to six lines each; the limit is several times
	// that load.
	defaultLines = 600
	defaultBurst = 1200
	// queueLines is the number of lines that are queued while the output blocks.
	queueLines = 1024
)

// Writer is an io.Writer that never blocks. Each call of Write writes one line.
type Writer struct {
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	total   atomic.Int64
	done    chan struct{}
}

// New starts a writer to out. When the context ends, the writer writes the queued
// lines and stops.
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

// Done returns a channel that closes once the writer has stopped.
func (w *Writer) Done() <-chan struct{} { return w.done }

// Dropped returns the number of lines dropped since the start.
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
			w.writeLine(out, line)
		case <-ctx.Done():
			w.flush(out)
			return
		}
	}
}

func (w *Writer) flush(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(out, line)
		default:
			return
		}
	}
}

// writeLine writes a line and the count of lines dropped before it. It ignores
// errors, because there is no other place to report them.
func (w *Writer) writeLine(out io.Writer, line []byte) {
	_, _ = out.Write(line)
	if dropped := w.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(out, "level=warn msg=\"log lines dropped\" lines=%d\n", dropped)
	}
}
