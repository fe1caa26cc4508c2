// Package body decides which bodies of requests a gateway reads on. It handles the load of many callers that send large
// bodies at once, or stop just short of their end and stay: without a limit they use up the memory of the host, and the
// process is killed with all its requests.
//
// Memory is taken before bytes are read. The first part of each body comes from a budget of its own, so that ordinary
// requests are read beside any number of large ones. What is longer reserves its whole length first: a body that is read
// on can be read to its end. A body that has to wait costs its first part only, and the kernel's window holds its sender
// back. While one waits, those that have held most for longest without an end give way; one that is complete never does.
// The package does no I/O.
package body

import (
	"math"
	"slices"
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// FirstPart is the length of the part of a body, in bytes, that reserves nothing.
	FirstPart = 16 << 10
	// MemoryShare is the share of the process's memory that all bodies together may use, and firstShare the part of it
	// that is kept for first parts.
	MemoryShare = 0.2
	firstShare  = 0.25
	// MaxWait is how long a body waits for room, in milliseconds. Then its request is refused.
	MaxWait = clock.Second
	// stalledAfter is the time without a byte after which a body gives way to one that waits, turn the time after which
	// one that is still arriving does: 4 MB take 3.4 s on 10 Mbit/s.
	stalledAfter = 500 * clock.Millis(1)
	turn         = 5 * clock.Second
	// linkShare is the part of the link that bodies beyond their first parts may use together while several are read.
	linkShare = 0.7
)

// Cause is the reason why a body is not read to its end.
type Cause string

// Causes.
const (
	// Crowded: others waited for the room that the body has held for long. Full: no room was left for it within MaxWait.
	Crowded Cause = "crowded"
	Full    Cause = "full"
	// Late: it was not complete at the deadline of its request.
	Late Cause = "late"
)

// Limits are the limits of a Ledger; 0 means none.
type Limits struct {
	// Memory is that of the process in bytes, Link the bandwidth of the host in bytes per second.
	Memory int64
	Link   float64
}

// Upload is the body of one request. Its fields are the ledger's.
type Upload struct {
	cutFunc func(Cause)
	// first and reserved are what it has taken of the two budgets, read how many bytes have arrived.
	first, reserved, read int64
	// needs is what it waits for, of the budget for first parts or the other one; 0 while it doesn't wait. ready holds a
	// value once it has got that.
	needs      int64
	needsFirst bool
	ready      chan struct{}
	beganAt    clock.Millis
	// readAt is when bytes last arrived, or the next ones may be read. granted is set from the end of a wait to the next Sweep.
	readAt   clock.Millis
	granted  bool
	complete bool
	ended    bool
}

// Cut is the decision that a body gives way. Carry carries it out.
type Cut struct {
	Upload *Upload
	// Held is what the body has taken in bytes, For the time since it began, Idle that since its last byte.
	Held      int64
	For, Idle clock.Millis
}

// Carry carries the decision out.
func (c *Cut) Carry() { c.Upload.cutFunc(Crowded) }

// Ledger counts what all bodies hold.
type Ledger struct {
	limits Limits
	// maxFirst and maxReserved are the budgets.
	maxFirst, maxReserved int64

	mu              sync.Mutex
	first, reserved int64
	uploads         map[*Upload]struct{}
	// waiting holds the bodies that wait for room, in order.
	waiting []*Upload
	// freeAt is the instant at which the link has transferred what was paced so far, in milliseconds.
	freeAt float64
}

// New returns an empty ledger.
func New(limits Limits) *Ledger {
	l := &Ledger{limits: limits, maxFirst: math.MaxInt64, maxReserved: math.MaxInt64, uploads: make(map[*Upload]struct{})}
	if limits.Memory > 0 {
		total := MemoryShare * float64(limits.Memory)
		l.maxFirst = int64(firstShare * total)
		l.maxReserved = int64((1 - firstShare) * total)
	}
	return l
}

// Begin adds the body of a request. Cut.Carry calls cut.
func (l *Ledger) Begin(cut func(Cause), now clock.Millis) *Upload {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := &Upload{cutFunc: cut, ready: make(chan struct{}, 1), beganAt: now, readAt: now}
	l.uploads[u] = struct{}{}
	return u
}

// TakeFirst takes room for the first part of a body. If it returns false, Ready tells when there is some.
func (l *Ledger) TakeFirst(u *Upload, bytes int64) bool { return l.take(u, bytes, true) }

// Reserve takes room for all of a body that is longer than FirstPart.
func (l *Ledger) Reserve(u *Upload, bytes int64) bool {
	return l.take(u, min(bytes, l.maxReserved), false) // one that is larger than all room gets all of it
}

func (l *Ledger) take(u *Upload, bytes int64, first bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u.ended {
		return false
	}
	u.needs, u.needsFirst = bytes, first
	if !l.isBehind(u) && l.grant(u) {
		return true
	}
	l.waiting = append(l.waiting, u)
	return false
}

// isBehind reports whether others wait for the room that a body needs. The caller holds the lock.
func (l *Ledger) isBehind(u *Upload) bool {
	return slices.ContainsFunc(l.waiting, func(other *Upload) bool { return other.needsFirst == u.needsFirst })
}

// grant gives a body the room that it needs if there is enough. The caller holds the lock.
func (l *Ledger) grant(u *Upload) bool {
	switch {
	case u.needsFirst && l.first+u.needs <= l.maxFirst:
		l.first, u.first = l.first+u.needs, u.first+u.needs
	case !u.needsFirst && l.reserved+u.needs <= l.maxReserved:
		l.reserved, u.reserved = l.reserved+u.needs, u.reserved+u.needs
	default:
		return false
	}
	u.needs = 0
	return true
}

// Ready returns a channel that gets a value once a body has the room that it waits for.
func (u *Upload) Ready() <-chan struct{} { return u.ready }

// Arrived records that bytes of a body were read. It returns how long the next read of it waits, so that other callers
// have a part of the link.
func (l *Ledger) Arrived(u *Upload, bytes int64, now clock.Millis) clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	u.read, u.readAt = u.read+bytes, now
	if l.limits.Link <= 0 || u.reserved == 0 || !l.severalArrive(u) {
		return 0
	}
	start := max(l.freeAt, float64(now))
	l.freeAt = start + float64(bytes)*float64(clock.Second)/(l.limits.Link*linkShare)
	u.readAt = max(now, clock.Millis(l.freeAt)) // until then it is held back here
	return u.readAt - now
}

// severalArrive reports whether another body beyond its first part is being read. The caller holds the lock.
func (l *Ledger) severalArrive(u *Upload) bool {
	for other := range l.uploads {
		if other != u && other.reserved > 0 && !other.complete {
			return true
		}
	}
	return false
}

// Complete records that a body has arrived. It holds no more than its length from now on, and doesn't give way any more.
func (l *Ledger) Complete(u *Upload) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u.complete = true
	unused := u.first + u.reserved - u.read
	if u.ended || unused <= 0 {
		return
	}
	ofReserved := min(unused, u.reserved)
	ofFirst := min(unused-ofReserved, u.first)
	u.reserved, l.reserved = u.reserved-ofReserved, l.reserved-ofReserved
	u.first, l.first = u.first-ofFirst, l.first-ofFirst
	l.grantWaiting()
}

// End removes a body. It may be called several times.
func (l *Ledger) End(u *Upload) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u.ended {
		return
	}
	u.ended = true
	delete(l.uploads, u)
	l.first, l.reserved = l.first-u.first, l.reserved-u.reserved
	l.waiting = slices.DeleteFunc(l.waiting, func(other *Upload) bool { return other == u })
	l.grantWaiting()
}

// grantWaiting gives room to those that wait, in order. The caller holds the lock.
func (l *Ledger) grantWaiting() {
	blocked := map[bool]bool{}
	l.waiting = slices.DeleteFunc(l.waiting, func(u *Upload) bool {
		if first := u.needsFirst; blocked[first] || !l.grant(u) {
			blocked[first] = true
			return false
		}
		u.granted = true
		u.ready <- struct{}{} // it has room: a body waits for one thing at a time
		return true
	})
}

// Sweep returns the decisions on the bodies that give way to those that wait. It has to be called several times a second.
func (l *Ledger) Sweep(now clock.Millis) []Cut {
	l.mu.Lock()
	defer l.mu.Unlock()
	var cuts []Cut
	for _, first := range []bool{true, false} {
		missing := l.missing(first)
		for _, u := range l.yielding(first, now) {
			if missing <= 0 {
				break
			}
			held := u.held(first)
			missing -= held
			cuts = append(cuts, Cut{Upload: u, Held: u.first + u.reserved, For: now - u.beganAt, Idle: now - u.readAt})
		}
	}
	return cuts
}

// missing returns how many bytes more those that wait for one of the budgets need. The caller holds the lock.
func (l *Ledger) missing(first bool) int64 {
	free := l.maxReserved - l.reserved
	if first {
		free = l.maxFirst - l.first
	}
	var needed int64
	for _, u := range l.waiting {
		if u.needsFirst == first {
			needed += u.needs
		}
	}
	if needed == 0 {
		return 0
	}
	return needed - free
}

// yielding returns the bodies that may give way, those that have held most for longest first. The caller holds the lock.
func (l *Ledger) yielding(first bool, now clock.Millis) []*Upload {
	var all []*Upload
	for u := range l.uploads {
		if u.granted || u.needs > 0 { // it was not read because it waited here
			u.readAt, u.granted = now, false
		}
		idle, held := now-u.readAt >= stalledAfter, u.held(first) > 0
		if held && !u.complete && (idle || now-u.beganAt >= turn) {
			all = append(all, u)
		}
	}
	weight := func(u *Upload) float64 { return float64(u.held(first)) * float64(now-u.beganAt) }
	slices.SortFunc(all, func(a, b *Upload) int {
		switch wa, wb := weight(a), weight(b); {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		}
		return 0
	})
	return all
}

func (u *Upload) held(first bool) int64 {
	if first {
		return u.first
	}
	return u.reserved
}

// Held returns the bytes that all bodies have taken, and how many bodies wait.
func (l *Ledger) Held() (bytes int64, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.first + l.reserved, len(l.waiting)
}
