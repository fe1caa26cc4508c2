// Package hold decides for which slow readers a gateway keeps data in memory. It handles
// the load of callers that read their answers more slowly than the engines produce them,
// and of engines that do not read the body of a request. Without a limit, a few hundred of
// them use up the memory of a small host, and a process that exceeds its memory is killed
// with all its requests. The package does no I/O.
package hold

import (
	"math"
	"sync"
	"sync/atomic"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// PerReader is the largest amount of data that is held for one caller, in bytes.
	PerReader = 256 << 10
	// Stall is the time after which a reader that reads nothing is cut while data is
	// pending for it. An engine aborts an answer that is unread for some seconds, so that
	// nothing may wait for a caller for longer.
	Stall = 2 * clock.Second
	// MemoryShare is the share of the process's memory that all readers together may use.
	MemoryShare = 0.25
	// judgeAfter is the time for which data must be pending before a reader can be the
	// slowest. It is half of the time within which an event has to be forwarded: a reader
	// that has just got its data is not slow, and another writer waits no longer than this
	// for room.
	judgeAfter = 100 * clock.Millis(1)
	// probeAfter is the time without a read after which a reader is probed: what it reads
	// from the buffers of the kernel becomes visible as room for the next write only after
	// many reads.
	probeAfter = Stall / 4
	// halfLife is the half-life of the bytes by which readers are compared. It is half of
	// Stall, so that a reader that has stopped is slower than one that still reads.
	halfLife = float64(Stall) / 2
)

// Kind is the kind of a reader, for logs and metrics.
type Kind string

// Kinds of readers.
const (
	Caller Kind = "caller"
	Engine Kind = "engine"
)

// Cause is the reason why a reader is cut.
type Cause string

// Causes of a cut.
const (
	// Stalled: the reader has read nothing for Stall while data was pending.
	Stalled Cause = "stalled"
	// Crowded: the readers together held more than their limit, and this one was the
	// slowest.
	Crowded Cause = "crowded"
)

// Limits are the limits of a Ledger, in bytes.
type Limits struct {
	// PerReader is the limit for one caller, and Total that for all readers. The body for
	// an engine arrived as a whole and has a limit of its own.
	PerReader, Total int64
	// Overhead counts for each reader with pending data in addition to them: the part that
	// the kernel holds for its connection.
	Overhead int64
}

// LimitsOf returns the limits of a process with an amount of memory in bytes; 0 limits only
// what is held for one caller.
func LimitsOf(memory, overhead int64) Limits {
	total := int64(MemoryShare * float64(memory))
	if memory <= 0 {
		total = math.MaxInt64
	}
	return Limits{PerReader: PerReader, Total: total, Overhead: overhead}
}

// Reader is one caller or engine. Its fields are the ledger's.
type Reader struct {
	kind      Kind
	cutFunc   func(Cut)
	probeFunc func() int64

	held   int64        // pending bytes and, while there are any, the overhead
	since  clock.Millis // when data began to be pending
	readAt clock.Millis // when the reader last read something, since at first
	// recent is the number of bytes read, decayed with halfLife to recentAt.
	recent   float64
	recentAt clock.Millis
	ended    bool
}

// Cut is the decision that nothing more is held for a reader.
type Cut struct {
	Reader *Reader
	Kind   Kind
	Cause  Cause
	// Held is what was held for it in bytes, and Unread the time since it read something.
	Held   int64
	Unread clock.Millis
	// Total is what was held for all readers.
	Total int64
}

// Carry carries the decision out.
func (c *Cut) Carry() { c.Reader.cutFunc(*c) }

// Ledger counts what is held for each reader with pending data. Readers that keep up are
// not in it.
type Ledger struct {
	limits Limits
	total  atomic.Int64
	count  atomic.Int64

	mu      sync.Mutex
	readers map[*Reader]struct{}
}

// New returns an empty ledger.
func New(limits Limits) *Ledger {
	return &Ledger{limits: limits, readers: make(map[*Reader]struct{})}
}

// NewReader returns a reader for which nothing is held. Cut.Carry calls cut. The function
// probe returns how many bytes the reader has read since its last call from what the kernel
// holds for it; it is called while the ledger is locked.
func NewReader(kind Kind, cut func(Cut), probe func() int64) *Reader {
	return &Reader{kind: kind, cutFunc: cut, probeFunc: probe}
}

// Total returns the bytes that are held for all readers.
func (l *Ledger) Total() int64 { return l.total.Load() }

// Readers returns the number of readers with pending data.
func (l *Ledger) Readers() int64 { return l.count.Load() }

// Full reports whether the readers hold so much that one more could not hold its part.
func (l *Ledger) Full() bool { return l.total.Load() > l.limits.Total-l.limits.Overhead }

// Add records that more bytes are to be held for a reader and reports whether they may be.
// If not, the writer waits and adds them again. The decisions that it returns have to be
// carried out: the slowest readers are cut until the rest has room. Their data counts as
// free at once.
func (l *Ledger) Add(r *Reader, bytes int64, now clock.Millis) (ok bool, cuts []Cut) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.ended {
		return false, nil
	}
	grow := bytes
	if r.held == 0 {
		grow += l.limits.Overhead
	}
	if r.kind == Caller && r.held+grow > l.limits.PerReader {
		return false, nil
	}
	for l.total.Load()+grow > l.limits.Total {
		slowest := l.slowest(now)
		if slowest == nil {
			return false, cuts
		}
		cuts = append(cuts, l.cut(slowest, Crowded, now))
		if slowest == r {
			return false, cuts
		}
	}
	if r.held == 0 {
		r.since, r.readAt, r.recent, r.recentAt = now, now, 0, now
		l.readers[r] = struct{}{}
		l.count.Add(1)
	}
	r.held += grow
	l.total.Add(grow)
	return true, cuts
}

// Holds reports whether data is held for a reader.
func (l *Ledger) Holds(r *Reader) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return r.held > 0
}

// Read records that a reader has read bytes that were held for it.
func (l *Ledger) Read(r *Reader, bytes int64, now clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.ended || r.held == 0 {
		return
	}
	bytes = min(bytes, r.held-l.limits.Overhead)
	r.read(bytes, now)
	r.held -= bytes
	l.total.Add(-bytes)
	if r.held <= l.limits.Overhead {
		l.remove(r)
	}
}

// Close removes a reader.
func (l *Ledger) Close(r *Reader) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.ended = true
	l.remove(r)
}

// Sweep returns the decisions on the readers that have read nothing for Stall. It probes
// those that seem to read nothing and has to be called several times within Stall.
func (l *Ledger) Sweep(now clock.Millis) []Cut {
	if l.count.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var cuts []Cut
	for r := range l.readers {
		if now-r.readAt < probeAfter {
			continue
		}
		if read := r.probeFunc(); read > 0 {
			r.read(read, now)
			continue
		}
		if now-r.readAt >= Stall {
			cuts = append(cuts, l.cut(r, Stalled, now))
		}
	}
	return cuts
}

// slowest returns the reader with the lowest pace among those that can be judged, the one
// that has read nothing for longest among equals, or nil. The caller holds the lock.
func (l *Ledger) slowest(now clock.Millis) *Reader {
	var found *Reader
	lowest := math.Inf(1)
	for r := range l.readers {
		if now-r.since < judgeAfter {
			continue
		}
		// The decayed bytes of a short time are divided by the decayed time, so that a
		// reader is not slower only because it has read for less time.
		pace := r.pace(now) / (1 - math.Exp2(-float64(now-r.since)/halfLife))
		if found == nil || pace < lowest || (pace == lowest && r.readAt < found.readAt) {
			found, lowest = r, pace
		}
	}
	return found
}

func (r *Reader) read(bytes int64, now clock.Millis) {
	r.recent = r.pace(now) + float64(bytes)
	r.recentAt, r.readAt = now, now
}

// pace returns the bytes that the reader has read, decayed with halfLife.
func (r *Reader) pace(now clock.Millis) float64 {
	return r.recent * math.Exp2(-float64(now-r.recentAt)/halfLife)
}

// cut ends a reader; the caller holds the lock.
func (l *Ledger) cut(r *Reader, cause Cause, now clock.Millis) Cut {
	made := Cut{Reader: r, Kind: r.kind, Cause: cause, Held: r.held, Unread: now - r.readAt, Total: l.total.Load()}
	r.ended = true
	l.remove(r)
	return made
}

// remove removes what is held for a reader; the caller holds the lock.
func (l *Ledger) remove(r *Reader) {
	if _, found := l.readers[r]; !found {
		return
	}
	delete(l.readers, r)
	l.count.Add(-1)
	l.total.Add(-r.held)
	r.held = 0
}
