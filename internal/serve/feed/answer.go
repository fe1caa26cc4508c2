package feed

import (
	"context"
	"sync/atomic"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/plat/store"
)

// answer is the answer to the present call to the store.
type answer struct {
	begun atomic.Bool
	// long holds a value once the answer is longer than the list.
	long chan struct{}
	// catchingUp is set from a long answer, or the second of two slow ones in succession, until a list of one object brings nothing
	// new, or a peer relays changes. While one version follows the other, an answer to a watch brings all that were written during
	// the transfer before.
	catchingUp bool
	// slowAt is the instant at which the last slow answer that brought something new was complete, 0 without one.
	slowAt clock.Millis
	// headAt is the instant in ms at which the head of the answer arrived, 0 if that is not known.
	headAt atomic.Int64
	// listedAt is when the last list of the store was read, and idle counts the answers in a row that came before the wait was
	// over and brought nothing new.
	listedAt clock.Millis
	idle     int
}

const (
	// answerGrace is how long a call for changes is still waited for after a peer has shown a newer state. The
	// store answers it at about the same time.
	answerGrace = 150 * clock.Millis(1)
	// maxRefusal is the greatest size of an answer that refuses a call, in bytes.
	maxRefusal = 4 << 10
	// minLongAnswer is the least number of bytes of changes that are given up for the list.
	minLongAnswer = 64 << 10
	// listInterval is the time after which a list of at most maxListed bytes is read again although the store has answered all
	// calls for changes: an answer may have left out one of several changes.
	listInterval = 30 * clock.Second
	maxListed    = 64 << 10
	// freeAnswers is how many answers in a row may bring nothing new early before the feed pauses, and maxIdleShift bounds the
	// pause, as a power of two of minWait.
	freeAnswers, maxIdleShift = 4, 5
	// slowTransfer is the time that the transfer of a version takes on a slow link. Of two that end within overtakenInterval, the
	// next version was probably written during the transfer of the second one.
	slowTransfer      = 100 * clock.Millis(1)
	overtakenInterval = clock.Second
	// awaitedHead is the time until the head of an answer from which on the call has waited for a change, and not for the store.
	awaitedHead = 100 * clock.Millis(1)
)

// isOvertaken reports whether versions of the only object follow each other so fast that the next answer to a watch would hold
// several of them. A list holds the newest one, and confirms it.
func (f *Feed) isOvertaken(changes *store.Changes, fresh int) bool {
	if !f.oneObject || fresh == 0 || !changes.Partial || !f.isSlow() {
		return false
	}
	before, now := f.answer.slowAt, f.clock.Now()
	f.answer.slowAt = now
	return before > 0 && now-before < overtakenInterval
}

// isSlow reports whether the answer that has just arrived was on its way for long after its head.
func (f *Feed) isSlow() bool {
	headAt := clock.Millis(f.answer.headAt.Load())
	return headAt > 0 && f.clock.Since(headAt) >= slowTransfer
}

// headAfter returns the time from the start of a call to the head of its answer, which arrived by now.
func (a *answer) headAfter(sentAt, now clock.Millis) clock.Millis {
	if headAt := clock.Millis(a.headAt.Load()); headAt > 0 {
		now = headAt
	}
	return now - sentAt
}

// idlePause returns the pause after an answer to a call that waited. A store that ends waits early, or repeats changes, would
// be called without end.
func (f *Feed) idlePause(fresh int, took, wait clock.Millis) clock.Millis {
	if fresh > 0 || took >= wait {
		f.answer.idle = 0
		return 0
	}
	if f.answer.idle++; f.answer.idle <= freeAnswers {
		return 0
	}
	return min(wait-took, minWait<<min(f.answer.idle-freeAnswers, maxIdleShift))
}

// listIsDue reports whether the list is to be read again after listInterval.
func (f *Feed) listIsDue() bool {
	if f.answer.listedAt == 0 { // a peer has sent the list
		f.answer.listedAt = f.clock.Now()
	}
	return f.clock.Since(f.answer.listedAt) > listInterval && f.listBytes() <= maxListed
}

// beginCall records that the answer to a call is due at an instant. It returns the context of the call.
func (f *Feed) beginCall(ctx context.Context, dueAt clock.Millis) context.Context {
	f.dueAt.CompareAndSwap(0, int64(dueAt))
	f.answer.begun.Store(false)
	f.answer.headAt.Store(0)
	select {
	case <-f.answer.long:
	default:
	}
	list, sentAt := f.listBytes(), f.clock.Now()
	return store.WithProgress(ctx, func(p store.Progress) {
		if f.answer.headAt.CompareAndSwap(0, int64(f.clock.Now())); p.Received == 0 {
			return
		}
		f.answer.begun.Store(true)
		if p.Received > maxRefusal {
			f.refused.Store(false)
		}
		if due, now := f.dueAt.Load(), int64(f.clock.Now()); due > 0 && due < now {
			f.dueAt.Store(now) // an answer that arrives, however slowly, is not overdue
		}
		if f.olderPause > 0 || !isLong(p, list) {
			return // a list that was older than the known state may be so again
		}
		if f.answer.headAfter(sentAt, f.clock.Now()) >= awaitedHead && f.oneObject {
			return // it holds the version that has ended the wait, and the list would hold the same
		}
		select {
		case f.answer.long <- struct{}{}:
		default:
		}
	})
}

// newestVersion returns the highest version of the known objects.
func (f *Feed) newestVersion() store.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	var newest store.Revision
	for _, object := range f.state.objects {
		newest = store.Latest(newest, object.Version)
	}
	return newest
}

// isLong reports whether an answer is so much longer than the list that this is to be read instead. Of an answer whose
// length is not stated that shows only once a whole list has arrived.
func isLong(p store.Progress, list int64) bool {
	return p.Total > max(list*3/2, minLongAnswer) || p.Total < 0 && p.Received > max(list*9/8, minLongAnswer)
}

// listBytes returns the size of the known objects.
func (f *Feed) listBytes() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := 0
	for _, object := range f.state.objects {
		total += len(object.Value) + len(object.Status)
	}
	return int64(total)
}

// answerBegins reports whether the answer to the present call has begun to arrive, or begins within answerGrace.
func (f *Feed) answerBegins(done <-chan struct{}) bool {
	if !f.answer.begun.Load() {
		expired, stopTimer := f.clock.After(answerGrace)
		defer stopTimer()
		select {
		case <-expired:
		case <-done:
		}
	}
	return f.answer.begun.Load()
}
