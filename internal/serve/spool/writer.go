package spool

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/guard/hold"
)

const (
	// blockBytes is the size of a block of pending data, that of the buffer of net/http.
	blockBytes = 4 << 10
	// freeBlocks is the number of blocks for which a caller is not counted as slow: one is
	// being written while another one is filled.
	freeBlocks = 2
	// roomPoll is the time after which a writer asks again for room that others take.
	roomPoll = 20 * clock.Millis(1)
	// finishGrace is the time in which a caller that keeps up receives the end of its
	// answer. After it, the caller is counted as slow.
	finishGrace = 50 * clock.Millis(1)
)

// CutError is returned for writes to a caller that was disconnected because it read its
// answer too slowly.
type CutError struct {
	Cause  hold.Cause
	Held   int64
	Unread clock.Millis
}

// Error implements error.
func (e *CutError) Error() string {
	return fmt.Sprintf("the caller read too slowly (%s): %d bytes held, nothing read for %d ms", e.Cause, e.Held, e.Unread)
}

// abortError is the state of a Writer whose handler has ended without Finish.
type abortError struct{}

// Error implements error.
func (*abortError) Error() string { return "the answer was not finished" }

// Writer passes an answer to a caller. Writes return once the data is held, so that the
// engine's answer is read on while the caller is slow; a goroutine passes the data on. One
// goroutine writes.
type Writer struct {
	book    *Book
	to      http.ResponseWriter
	control *http.ResponseController
	cancel  context.CancelCauseFunc
	request string
	raw     syscall.RawConn // nil if unknown
	queued  atomic.Int64    // what the kernel held for the caller at the last probe, -1 before
	reader  *hold.Reader

	wake chan struct{} // holds a value if the passing goroutine has work
	room chan struct{} // holds a value if a block was passed on or the caller was cut
	done chan struct{} // closed when the passing goroutine has ended

	mu      sync.Mutex
	blocks  [][]byte
	passing int // blocks that are being written, 0 or 1
	counted int // blocks that the ledger counts
	flush   bool
	ending  bool
	started bool
	err     error
}

// Header implements http.ResponseWriter.
func (w *Writer) Header() http.Header { return w.to.Header() }

// WriteHeader implements http.ResponseWriter. It must be called before Write.
func (w *Writer) WriteHeader(status int) { w.to.WriteHeader(status) }

// Write implements http.ResponseWriter. It waits while too much is held for the caller.
func (w *Writer) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		n, full, err := w.fill(p[written:])
		written += n
		if err != nil {
			return written, err
		}
		if full {
			if err := w.grow(); err != nil {
				return written, err
			}
		}
	}
	return written, nil
}

// FlushError requests that the data written so far is sent; http.ResponseController calls
// it.
func (w *Writer) FlushError() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.flush = true
	w.start()
	return w.err
}

// fill copies data to the last block and reports whether another block is needed for the
// rest.
func (w *Writer) fill(p []byte) (n int, full bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return 0, false, w.err
	}
	if last := len(w.blocks) - 1; last >= 0 {
		n = min(len(p), blockBytes-len(w.blocks[last]))
		w.blocks[last] = append(w.blocks[last], p[:n]...)
	}
	if n < len(p) && len(w.blocks)+w.passing < freeBlocks {
		more := min(len(p)-n, blockBytes)
		w.blocks = append(w.blocks, append(w.book.newBlock(), p[n:n+more]...))
		n += more
	}
	if n > 0 {
		w.start()
	}
	return n, n < len(p) && len(w.blocks)+w.passing >= freeBlocks, nil
}

// grow adds an empty block when the ledger allows it, or returns when the caller has read
// so much that it is not counted as slow.
func (w *Writer) grow() error {
	for {
		if w.keepsUp() {
			return nil
		}
		if w.book.add(w.reader, blockBytes) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.err != nil {
				return w.err
			}
			w.counted++
			w.blocks = append(w.blocks, w.book.newBlock())
			return nil
		}
		if err := w.awaitRoom(); err != nil {
			return err
		}
	}
}

// keepsUp reports whether another block may be added without the ledger.
func (w *Writer) keepsUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.blocks)+w.passing < freeBlocks
}

// awaitRoom waits until a block was passed on, the caller was cut, or others may have left
// room.
func (w *Writer) awaitRoom() error {
	due, stop := w.book.clock.After(roomPoll)
	defer stop()
	select {
	case <-w.room:
	case <-due:
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// start starts or wakes the passing goroutine; the caller holds the lock.
func (w *Writer) start() {
	if !w.started {
		w.started = true
		go w.pass()
		return
	}
	signal(w.wake)
}

// pass passes blocks on until the answer is complete or can't be written.
func (w *Writer) pass() {
	defer close(w.done)
	for {
		block, flush, ended := w.next()
		if ended {
			return
		}
		if block == nil && !flush {
			<-w.wake
			continue
		}
		var err error
		if block != nil {
			_, err = w.to.Write(block)
		}
		if err == nil && flush {
			err = w.control.Flush()
		}
		w.passed(block, err)
	}
}

// next returns the next block, whether to flush after it, and whether nothing follows.
func (w *Writer) next() (block []byte, flush, ended bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return nil, false, true
	}
	if len(w.blocks) > 0 && len(w.blocks[0]) > 0 {
		block = w.blocks[0]
		w.blocks[0] = nil
		w.blocks = w.blocks[1:]
		w.passing = 1
	}
	if len(w.blocks) == 0 && (w.flush || (w.ending && block != nil)) {
		w.flush, flush = false, true
	}
	return block, flush, w.ending && block == nil && !flush
}

// passed records that a block was written.
func (w *Writer) passed(block []byte, err error) {
	now := w.book.clock.Now()
	w.book.forwardedFunc(len(block), now)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.passing = 0
	if err != nil && w.err == nil {
		w.err = err
	}
	if block == nil {
		return
	}
	w.book.recycle(block)
	if w.counted > 0 {
		w.counted--
		w.book.ledger.Read(w.reader, blockBytes, now)
	}
	signal(w.room)
}

// finish waits until the whole answer was passed on.
func (w *Writer) finish() error {
	w.mu.Lock()
	w.ending = true
	signal(w.wake)
	started := w.started
	w.mu.Unlock()
	if !started {
		return nil
	}
	due, stop := w.book.clock.After(finishGrace)
	defer stop()
	select {
	case <-w.done:
	case <-due:
		w.countRest()
		<-w.done
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		// net/http writes the end of a chunked answer after the handler.
		_ = w.control.SetWriteDeadline(time.Now().Add(hold.Stall.Duration()))
	}
	return w.err
}

// countRest makes the ledger count all that is pending, so that a caller that does not read
// the end of its answer is cut.
func (w *Writer) countRest() {
	for {
		w.mu.Lock()
		rest := len(w.blocks) + w.passing - w.counted
		ended := w.err != nil
		w.mu.Unlock()
		if rest <= 0 || ended {
			return
		}
		if !w.book.add(w.reader, int64(rest)*blockBytes) {
			if w.awaitRoom() != nil {
				return
			}
			continue
		}
		w.mu.Lock()
		w.counted += rest
		w.mu.Unlock()
		return
	}
}

// abort ends the writer and drops what was not passed on.
func (w *Writer) abort() {
	w.fail(&abortError{})
	w.book.ledger.Close(w.reader)
	w.mu.Lock()
	started := w.started
	w.mu.Unlock()
	if !started {
		return
	}
	select {
	case <-w.done:
	default:
		_ = w.control.SetWriteDeadline(time.Unix(1, 0)) // ends a write that blocks
		<-w.done
	}
}

// cut carries out the ledger's decision to disconnect the caller. Ending the context cancels
// the work of the engine.
func (w *Writer) cut(made hold.Cut) {
	err := &CutError{Cause: made.Cause, Held: made.Held, Unread: made.Unread}
	if !w.fail(err) {
		return
	}
	w.book.RecordCut(&made, "request", w.request)
	w.cancel(err)
	_ = w.control.SetWriteDeadline(time.Unix(1, 0))
}

// fail drops what is held and reports whether the writer had not failed before.
func (w *Writer) fail(err error) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return false
	}
	w.err = err
	w.blocks, w.counted = nil, 0
	signal(w.wake)
	signal(w.room)
	return true
}

// probe returns the change of what the kernel holds for the caller since the last probe. Any
// change shows that the caller reads: what it has read makes room for more.
func (w *Writer) probe() int64 {
	if w.raw == nil {
		return 0
	}
	now, ok := queuedBytes(w.raw)
	before := w.queued.Swap(now)
	if !ok || before < 0 {
		return 0
	}
	return max(now-before, before-now)
}

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
