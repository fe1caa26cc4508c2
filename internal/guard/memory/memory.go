// Package memory accounts for the memory for results of one stage engine, as
// its pool's owner sees it: what lies there, what calls under way will add,
// what can be given back, and what owners before this one left behind.
//
// It answers bursts and changes of owner. Results of a stage stay at their
// maker until whoever reads them has done so. Where the account is too low,
// calls fail piece by piece for want of memory, each after its full time; where
// it is too high, engines work in small calls that take nearly as long as full
// ones. It takes numbers and returns decisions and opens no connection.
package memory

import (
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// usableShare is the part of an engine's memory that is used: sizes in the
	// configuration are approximate.
	usableShare = 0.92
	// giveFrom is the part from which results that nobody needs are given back
	// by a call; below it they expire by themselves, which costs nothing.
	giveFrom = 0.2
	// clearFrom is the part from which a call waits for results that are being
	// given back. A call that began now would be small for want of memory, and
	// take nearly as long as a full one; the memory is there within milliseconds.
	clearFrom = 0.4
	// askAgain is the pause between two requests while results of others lie at
	// an engine: their requests end one after the other.
	askAgain = 300 * clock.Millis(1)
	// leftFor is how many times the span that results are kept the results of
	// owners before may still be given back; they have expired by then.
	leftFor = 2
)

// Limits are what the configuration says of an engine's memory.
type Limits struct {
	// Capacity for results, in bytes.
	Capacity int64
	// Retention is how long a result outlives its call.
	Retention clock.Millis
}

// Result is a result that lies at the engine.
type Result struct {
	Reference string
	// Bytes is its size; 0 where it isn't known.
	Bytes int64
}

type held struct {
	bytes int64
	until clock.Millis
}

// spare is a result that is needed again only if a stage fails.
type spare struct {
	Result
	from clock.Millis
}

// Account is the account of one engine. It is not safe for use by several
// goroutines at once.
type Account struct {
	since  clock.Millis
	held   map[string]held
	own    int64 // bytes of results held, and of those that calls under way will make
	unused []Result
	spare  []spare
	giving []Result

	foreign      int64
	foreignFrom  clock.Millis // when foreign was set
	foreignUntil clock.Millis
	asked        clock.Millis
	asking       bool
	lacked       clock.Millis // when the engine last had no memory for a piece
}

// New returns the account of an engine that this process begins to use now.
func New(now clock.Millis) *Account { return &Account{since: now, held: make(map[string]held)} }

// OwnBytes returns the bytes of results that calls of this process have made or will
// make.
func (a *Account) OwnBytes() int64 { return a.own }

// ForeignBytes returns the bytes that results of others take, as far as is known.
// What an engine that lacked memory holds besides is taken to expire bit by bit:
// nothing else tells of results whose owner was killed.
func (a *Account) ForeignBytes(now clock.Millis) int64 {
	switch {
	case a.foreignUntil <= now:
		return 0
	case a.lacked == 0:
		return a.foreign
	}
	left := float64(a.foreignUntil-now) / float64(a.foreignUntil-a.foreignFrom)
	return int64(float64(a.foreign) * left)
}

// Available returns the bytes that a call may fill.
func (a *Account) Available(limits Limits, now clock.Millis) int64 {
	return max(int64(usableShare*float64(limits.Capacity))-a.own-a.ForeignBytes(now), 0)
}

// Reserve counts the result of a piece that a call will make.
func (a *Account) Reserve(bytes int64) { a.own += bytes }

// Release takes a reservation back: the piece was not made.
func (a *Account) Release(bytes int64) { a.own -= bytes }

// Add enters a result whose memory its call has reserved.
func (a *Account) Add(result Result, until clock.Millis) {
	a.held[result.Reference] = held{bytes: result.Bytes, until: until}
}

// Holds reports whether a result of this process lies at the engine.
func (a *Account) Holds(reference string) bool {
	_, holds := a.held[reference]
	return holds
}

// MayHold reports whether a result that this account doesn't know may lie at
// the engine, because an owner before this process made it.
func (a *Account) MayHold(limits Limits, now clock.Millis) bool {
	return a.asked > 0 && now-a.since <= leftFor*limits.Retention
}

// MarkUnused notes that nobody needs a result any more.
func (a *Account) MarkUnused(result Result) {
	if !contains(a.unused, result.Reference) && !contains(a.giving, result.Reference) {
		a.unused = append(a.unused, result)
	}
}

// MarkReclaimable notes that from an instant on a result is needed again only if a stage
// fails.
func (a *Account) MarkReclaimable(result Result, from clock.Millis) {
	a.spare = append(a.spare, spare{Result: result, from: from})
}

// BeginFree returns the results to give back now, nil for none. Spare ones are among
// them if a call is to fill so many bytes and there is less room than that.
// Given must follow.
func (a *Account) BeginFree(limits Limits, wanted int64, now clock.Millis) []string {
	if len(a.giving) > 0 {
		return nil
	}
	if short := wanted - a.Available(limits, now); short > 0 {
		a.useSpare(limits, short, now)
	}
	taken := a.own + a.ForeignBytes(now)
	if len(a.unused) == 0 || float64(taken) < giveFrom*float64(limits.Capacity) {
		return nil
	}
	a.giving, a.unused = a.unused, nil
	references := make([]string, 0, len(a.giving))
	for _, result := range a.giving {
		references = append(references, result.Reference)
	}
	return references
}

// useSpare counts spare results as unused until they make up for what is short,
// the oldest first. One that is given back although a piece that read it failed
// afterwards makes its request's stages run again, all of them, so that no more
// are used than needed, and none of those too small to matter.
func (a *Account) useSpare(limits Limits, short int64, now clock.Millis) {
	kept := a.spare[:0]
	for _, s := range a.spare {
		switch {
		case !a.Holds(s.Reference) && !a.MayHold(limits, now): // it is gone already
		case s.from > now || short <= 0 || s.Bytes < short/spareLeast:
			kept = append(kept, s)
		default:
			a.MarkUnused(s.Result)
			short -= s.Bytes
		}
	}
	a.spare = kept
}

// spareLeast is the part of what is short from which a spare result is worth
// being given back early.
const spareLeast = 50

// EndFree notes whether the engine took the results back that Give returned. If
// it did not they expire by themselves, and count as held until then.
func (a *Account) EndFree(taken bool) {
	if taken {
		for _, result := range a.giving {
			a.forget(result)
		}
	}
	a.giving = nil
}

// Freeing reports whether a call should wait because memory is just being
// given back.
func (a *Account) Freeing(limits Limits, now clock.Millis) bool {
	return len(a.giving) > 0 && float64(a.own+a.ForeignBytes(now)) > clearFrom*float64(limits.Capacity)
}

// forget counts a result's memory as free.
func (a *Account) forget(result Result) {
	known, own := a.held[result.Reference]
	if !own {
		a.foreign = max(a.foreign-result.Bytes, 0)
		return
	}
	a.own -= known.bytes
	delete(a.held, result.Reference)
}

// Expire forgets results that the engine has dropped by now. Those that are just
// being given back are counted when that is done.
func (a *Account) Expire(limits Limits, now clock.Millis) {
	for reference, result := range a.held {
		if result.until <= now && !contains(a.giving, reference) {
			a.forget(Result{Reference: reference})
		}
	}
	gone := func(reference string) bool { return !a.Holds(reference) && !a.MayHold(limits, now) }
	a.unused = slices.DeleteFunc(a.unused, func(r Result) bool { return gone(r.Reference) })
	a.spare = slices.DeleteFunc(a.spare, func(s spare) bool { return gone(s.Reference) })
}

func contains(results []Result, reference string) bool {
	return slices.ContainsFunc(results, func(r Result) bool { return r.Reference == reference })
}

// BeginQuery reports whether the engine is to be asked for its memory now, and notes
// that it is. Learned or NotLearned must follow.
func (a *Account) BeginQuery(now clock.Millis) bool {
	if a.asking {
		return false
	}
	again := a.ForeignBytes(now) > 0 && now-a.asked >= askAgain
	if a.asked > 0 && !again {
		return false
	}
	a.asked, a.asking = now, true
	return true
}

// NeedsReport reports whether a call has to wait for the first answer. A new owner
// knows nothing of the results that the one before had made, which lie there
// until they are given back or expire.
func (a *Account) NeedsReport() bool { return a.asked == 0 || (a.asking && a.foreignUntil == 0) }

// Report is what an engine says of its memory.
type Report struct {
	// MinFree and Most are the bounds of what is free, in bytes.
	MinFree int64
	MaxFree int64
	// Pending is what a call that it works on for another owner may still take.
	Pending int64
}

// RecordReport takes what the engine says. The most that may be free counts, so that
// no engine stands idle for a rounded figure. Once it has lacked memory, what
// followed from that counts as far as the report allows it: a small engine's
// reports are the same whether a call fits or not, and by the most that they
// allow its calls fail again and again.
func (a *Account) RecordReport(limits Limits, report Report, now clock.Millis) {
	a.asking = false
	least := max(limits.Capacity-report.MaxFree-a.own, 0)
	taken := least
	if a.lacked > 0 && now-a.lacked < limits.Retention {
		most := max(limits.Capacity-report.MinFree-a.own, 0)
		taken = min(max(a.ForeignBytes(now), least), most)
	}
	a.foreign = min(taken+report.Pending, limits.Capacity)
	a.foreignFrom = now
	if a.foreignUntil == 0 {
		a.foreignUntil = now + limits.Retention
	}
}

// RecordNoReport notes that the engine did not answer. Calls go there all the same.
func (a *Account) RecordNoReport(now clock.Millis) {
	a.asking = false
	if a.foreignUntil == 0 {
		a.foreignUntil = now
	}
}

// RequireReport has the engine asked once more before its first call.
func (a *Account) RequireReport() { a.asked, a.foreignUntil = 0, 0 }

// RecordShortage notes that an engine had no memory for a piece of so many bytes. What
// it has is taken by results that this account doesn't know of; it counts with
// them until the engine says better, which it is asked next.
func (a *Account) RecordShortage(limits Limits, bytes int64, now clock.Millis) {
	a.foreign = max(a.ForeignBytes(now), limits.Capacity-a.own-bytes, 0)
	a.foreignFrom, a.foreignUntil = now, now+limits.Retention
	a.lacked = now
	a.asked = min(a.asked, now-askAgain)
}
