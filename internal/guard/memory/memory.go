// Package memory tracks the result memory of one stage engine for the owner of
// its pool: stored results, results that running calls will add, results that can
// be freed, and results that previous owners left behind.
//
// The results of a stage stay at the engine that computed them until they have been
// read. If the account underestimates the used memory, calls run out of memory
// and fail piece by piece, each after its full time; if it overestimates it,
// engines work in small calls that take nearly as long as full ones. Both matter
// in bursts and after a change of owner. The package does no I/O.
package memory

import (
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// usableShare is the share of an engine's memory that calls may fill, because the
	// result sizes in the configuration are approximate.
	usableShare = 0.92
	// freeThreshold is the used share of memory from which unused results are freed
	// with a call. Below it they are left to expire, which costs nothing.
	freeThreshold = 0.2
	// waitThreshold is the used share of memory from which a call waits for results
	// that are being freed. A call sent at once would be small for lack of memory,
	// and take nearly as long as a full one; freeing takes only milliseconds.
	waitThreshold = 0.4
	// queryInterval is the time between two queries of an engine's memory while it
	// stores foreign results, which are released one after the other.
	queryInterval = 300 * clock.Millis(1)
	// predecessorSpans is for how many retention times after a change of owner an
	// engine may still store results of a previous owner. All have expired by then.
	predecessorSpans = 2
)

// Limits are the configured limits of an engine's memory.
type Limits struct {
	// Capacity is the memory for results, in bytes.
	Capacity int64
	// Retention is how long an engine stores a result after the call that computed it.
	Retention clock.Millis
}

// Result is a result that an engine stores.
type Result struct {
	Reference string
	// Bytes is the size; 0 if unknown.
	Bytes int64
}

type storedResult struct {
	bytes int64
	until clock.Millis
}

// reclaimable is a result that, from an instant on, is needed again only if a stage
// fails.
type reclaimable struct {
	Result
	from clock.Millis
}

// Account tracks the memory of one engine. It is not safe for concurrent use.
type Account struct {
	since       clock.Millis // when this process began to use the engine
	stored      map[string]storedResult
	ownBytes    int64 // bytes of stored results and of those that running calls will compute
	unused      []Result
	reclaimable []reclaimable
	freeing     []Result

	foreignBytes int64
	foreignSetAt clock.Millis // when foreignBytes was set
	foreignUntil clock.Millis
	queriedAt    clock.Millis
	querying     bool
	shortageAt   clock.Millis // when the engine last had too little memory for a piece
}

// New returns the account of an engine that this process uses from now on.
func New(now clock.Millis) *Account {
	return &Account{since: now, stored: make(map[string]storedResult)}
}

// OwnBytes returns the size of the results that calls of this process have computed
// or will compute.
func (a *Account) OwnBytes() int64 { return a.ownBytes }

// ForeignBytes returns the estimated size of the results of other owners. After
// a memory shortage the estimate falls linearly to zero over the retention time,
// because nothing reports the results of an owner that was killed.
func (a *Account) ForeignBytes(now clock.Millis) int64 {
	switch {
	case a.foreignUntil <= now:
		return 0
	case a.shortageAt == 0:
		return a.foreignBytes
	}
	remaining := float64(a.foreignUntil-now) / float64(a.foreignUntil-a.foreignSetAt)
	return int64(float64(a.foreignBytes) * remaining)
}

// Available returns the bytes that a new call may fill.
func (a *Account) Available(limits Limits, now clock.Millis) int64 {
	return max(int64(usableShare*float64(limits.Capacity))-a.ownBytes-a.ForeignBytes(now), 0)
}

// Reserve reserves memory for the result of a piece that a call will compute.
func (a *Account) Reserve(bytes int64) { a.ownBytes += bytes }

// Release cancels the reservation for a piece that was not computed.
func (a *Account) Release(bytes int64) { a.ownBytes -= bytes }

// Add records a result whose memory was reserved with Reserve. The engine stores
// it until the given instant.
func (a *Account) Add(result Result, until clock.Millis) {
	a.stored[result.Reference] = storedResult{bytes: result.Bytes, until: until}
}

// Holds reports whether the engine stores this result of this process.
func (a *Account) Holds(reference string) bool {
	_, holds := a.stored[reference]
	return holds
}

// MayHold reports whether the engine may store results of calls of a previous owner
// that this account does not contain.
func (a *Account) MayHold(limits Limits, now clock.Millis) bool {
	return a.queriedAt > 0 && now-a.since <= predecessorSpans*limits.Retention
}

// MarkUnused records that a result is no longer needed.
func (a *Account) MarkUnused(result Result) {
	if !contains(a.unused, result.Reference) && !contains(a.freeing, result.Reference) {
		a.unused = append(a.unused, result)
	}
}

// MarkReclaimable records that from an instant on a result is needed again only
// if a stage fails.
func (a *Account) MarkReclaimable(result Result, from clock.Millis) {
	a.reclaimable = append(a.reclaimable, reclaimable{Result: result, from: from})
}

// BeginFree returns the references of the results to free now, nil for none. It
// includes reclaimable results if the next call needs more bytes than are
// available. If it returns any, the caller must call EndFree.
func (a *Account) BeginFree(limits Limits, needed int64, now clock.Millis) []string {
	if len(a.freeing) > 0 {
		return nil
	}
	if shortfall := needed - a.Available(limits, now); shortfall > 0 {
		a.reclaim(limits, shortfall, now)
	}
	usedBytes := a.ownBytes + a.ForeignBytes(now)
	if len(a.unused) == 0 || float64(usedBytes) < freeThreshold*float64(limits.Capacity) {
		return nil
	}
	a.freeing, a.unused = a.unused, nil
	references := make([]string, 0, len(a.freeing))
	for _, result := range a.freeing {
		references = append(references, result.Reference)
	}
	return references
}

// reclaim marks reclaimable results as unused, oldest first, until they cover the
// shortfall. If a piece that read such a result fails afterwards, all stages of
// its request run again. Therefore no more results are reclaimed than needed,
// and none that are too small to matter.
func (a *Account) reclaim(limits Limits, shortfall int64, now clock.Millis) {
	kept := a.reclaimable[:0]
	for _, s := range a.reclaimable {
		switch {
		case !a.Holds(s.Reference) && !a.MayHold(limits, now): // it has expired
		case s.from > now || shortfall <= 0 || s.Bytes < shortfall/minReclaimDivisor:
			kept = append(kept, s)
		default:
			a.MarkUnused(s.Result)
			shortfall -= s.Bytes
		}
	}
	a.reclaimable = kept
}

// minReclaimDivisor bounds which results are reclaimed: those of at least this
// fraction, 1/50, of the shortfall.
const minReclaimDivisor = 50

// EndFree records whether the engine freed the results that BeginFree returned. If
// it did not, they count as stored until they expire.
func (a *Account) EndFree(freed bool) {
	if freed {
		for _, result := range a.freeing {
			a.release(result)
		}
	}
	a.freeing = nil
}

// Freeing reports whether a call should wait for memory that is being freed.
func (a *Account) Freeing(limits Limits, now clock.Millis) bool {
	return len(a.freeing) > 0 && float64(a.ownBytes+a.ForeignBytes(now)) > waitThreshold*float64(limits.Capacity)
}

// release counts the memory of a result as free.
func (a *Account) release(result Result) {
	known, isOwn := a.stored[result.Reference]
	if !isOwn {
		a.foreignBytes = max(a.foreignBytes-result.Bytes, 0)
		return
	}
	a.ownBytes -= known.bytes
	delete(a.stored, result.Reference)
}

// Expire removes the results that the engine has dropped by now. Those that are
// being freed stay until EndFree.
func (a *Account) Expire(limits Limits, now clock.Millis) {
	for reference, result := range a.stored {
		if result.until <= now && !contains(a.freeing, reference) {
			a.release(Result{Reference: reference})
		}
	}
	expired := func(reference string) bool { return !a.Holds(reference) && !a.MayHold(limits, now) }
	a.unused = slices.DeleteFunc(a.unused, func(r Result) bool { return expired(r.Reference) })
	a.reclaimable = slices.DeleteFunc(a.reclaimable, func(s reclaimable) bool { return expired(s.Reference) })
}

func contains(results []Result, reference string) bool {
	return slices.ContainsFunc(results, func(r Result) bool { return r.Reference == reference })
}

// BeginQuery reports whether the caller must query the engine's memory now. If it
// returns true, the caller must call RecordReport or RecordNoReport.
func (a *Account) BeginQuery(now clock.Millis) bool {
	if a.querying {
		return false
	}
	due := a.ForeignBytes(now) > 0 && now-a.queriedAt >= queryInterval
	if a.queriedAt > 0 && !due {
		return false
	}
	a.queriedAt, a.querying = now, true
	return true
}

// NeedsReport reports whether a call has to wait for the first report. Until then,
// a new owner has no record of the results of its predecessor, which the engine
// stores until they are freed or expire.
func (a *Account) NeedsReport() bool { return a.queriedAt == 0 || (a.querying && a.foreignUntil == 0) }

// Report is an engine's report of its memory, in bytes.
type Report struct {
	// MinFree and MaxFree are the bounds of the free memory; reports are rounded.
	MinFree int64
	MaxFree int64
	// Pending is the memory that a running call of another owner may still take.
	Pending int64
}

// RecordReport updates the estimate of foreign bytes from a report. It uses
// MaxFree, so that no engine stays idle because of a rounded value. For one
// retention time after a memory shortage it keeps the estimate that followed from
// the shortage, within the bounds of the report: on a small engine the report
// is the same whether a call fits or not, and calls sized by MaxFree would fail
// repeatedly.
func (a *Account) RecordReport(limits Limits, report Report, now clock.Millis) {
	a.querying = false
	minForeign := max(limits.Capacity-report.MaxFree-a.ownBytes, 0)
	foreign := minForeign
	if a.shortageAt > 0 && now-a.shortageAt < limits.Retention {
		maxForeign := max(limits.Capacity-report.MinFree-a.ownBytes, 0)
		foreign = min(max(a.ForeignBytes(now), minForeign), maxForeign)
	}
	a.foreignBytes = min(foreign+report.Pending, limits.Capacity)
	a.foreignSetAt = now
	if a.foreignUntil == 0 {
		a.foreignUntil = now + limits.Retention
	}
}

// RecordNoReport records that the query failed. Calls are sent to the engine
// nevertheless.
func (a *Account) RecordNoReport(now clock.Millis) {
	a.querying = false
	if a.foreignUntil == 0 {
		a.foreignUntil = now
	}
}

// RequireReport makes the next call wait for another report.
func (a *Account) RequireReport() { a.queriedAt, a.foreignUntil = 0, 0 }

// RecordShortage records that an engine had too little memory for a piece of the
// given size. Until the next report the account assumes that less than this size
// is free and that foreign results, of which it has no record, take the rest. The
// engine's memory is queried next.
func (a *Account) RecordShortage(limits Limits, bytes int64, now clock.Millis) {
	a.foreignBytes = max(a.ForeignBytes(now), limits.Capacity-a.ownBytes-bytes, 0)
	a.foreignSetAt, a.foreignUntil = now, now+limits.Retention
	a.shortageAt = now
	a.queriedAt = min(a.queriedAt, now-queryInterval)
}
