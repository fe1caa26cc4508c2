// Package proof holds the configuration that decides requests together with what proves that it is the
// newest one, as one value that is replaced as a whole. A denial rests on that value alone, so that no
// decision by one configuration is confirmed by the proof of another.
package proof

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/serve/feed"
)

const (
	// LongestWatch is the longest wait of a watch for a new configuration, as a share of the time within
	// which a change must be in force.
	LongestWatch = 0.45
	// DenialShare is the highest age of a configuration that denies a request, as such a share. The
	// store may have answered a watch at its beginning, and the answer may have been on its way for
	// the rest.
	DenialShare = 1 - LongestWatch
	// firstEra is the era of a store that has not come back from a copy.
	firstEra = 1
)

// State is a configuration in force with its proof. It is immutable.
type State struct {
	// Table is the configuration, nil before the first one.
	Table *table.Table
	// Revision is the revision of the object that holds the configuration, and value what the object holds.
	Revision store.Revision
	value    []byte
	// ConfirmedAt is the instant for which the store has confirmed that there is no newer one, which may be before the start
	// of the process and then is negative, and
	// Relayed whether a peer passed that on.
	ConfirmedAt clock.Millis
	Relayed     bool
	// StoreRevision is the latest revision of the store for which there is no newer configuration, as far as the
	// confirmation goes.
	StoreRevision store.Revision
	// Era is the era of the store, and RestoredAt the instant at which it was seen to rise, 0 if it has not. The
	// store may lack what it acknowledged until that is written again, and this process may not know it.
	Era        uint64
	RestoredAt clock.Millis
	// ComparedEra is the latest era in which all peers have stated their versions, and PeerVersion the highest
	// version that a peer has stated.
	ComparedEra, PeerVersion uint64
	// Behind is set if a newer state of the store is known and not in force yet, and NotInForce if the newest
	// configuration could not be put in force.
	Behind, NotInForce bool
}

// version returns the version of the configuration, 0 before the first one.
func (s *State) version() uint64 {
	if s.Table == nil {
		return 0
	}
	return s.Table.Version
}

// Decision is the state that a request is decided by, and the instant from which on it was used.
type Decision struct {
	*State
	At clock.Millis
}

// Book holds the state of a process.
type Book struct {
	clock  *clock.Clock
	log    *log.Logger
	within clock.Millis
	// waitFor is how long a request waits for a confirmation.
	waitFor clock.Millis
	// ctx ends the waits of requests.
	ctx   context.Context
	store Store

	state   atomic.Pointer[State]
	replace sync.Mutex // serialises the replacements of the state
	peers   peers
	// denied is the wait of requests that the configuration denies, stale that of all while it is too old.
	denied, stale wait
	old           bool // whether Check has found the state too old
}

// Option configures a Book.
type Option func(*Book)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(b *Book) { b.clock = c } }

// WithLog sets the logger.
func WithLog(l *log.Logger) Option { return func(b *Book) { b.log = l } }

// Store tells how a process reaches the store.
type Store struct {
	// AwayFunc returns how long calls have failed, in milliseconds, 0 if the last one did not or a peer relays
	// changes. OverdueFunc returns for how long no part of an answer has arrived since it was due, 0 if none is.
	AwayFunc, OverdueFunc func() clock.Millis
	// RefusedFunc reports whether the last call failed otherwise than by a deadline of this process.
	RefusedFunc func() bool
	// RunsForFunc returns how long the process has run since it last stood still. Calls fail then and answers are
	// overdue although the store is not away.
	RunsForFunc func() clock.Millis
	// SourceFunc returns the peer that relays the configuration, "" for none, RoleFunc the role of this process and its plan.
	SourceFunc, RoleFunc func() string
}

// WithStore sets how the store is reached.
func WithStore(s Store) Option { return func(b *Book) { b.store = s } }

// New returns a book. A change must be in force within a time; a request waits up to waitFor for a
// confirmation, and no longer than the context lasts.
func New(ctx context.Context, within, waitFor clock.Millis, opts ...Option) *Book {
	b := &Book{
		ctx: ctx, clock: clock.New(), log: log.New(io.Discard), within: within, waitFor: waitFor,
	}
	zero := func() clock.Millis { return 0 }
	b.store = Store{AwayFunc: zero, OverdueFunc: zero, RefusedFunc: func() bool { return false }, RunsForFunc: b.clock.Now, SourceFunc: func() string { return "" }, RoleFunc: func() string { return "" }}
	b.denied.missingFunc, b.denied.neededFunc = b.Outdated, b.denialMayBeProved
	b.stale.missingFunc, b.stale.neededFunc = b.isTooOld, b.isTooOld
	for _, opt := range opts {
		opt(b)
	}
	b.state.Store(&State{ConfirmedAt: -never})
	return b
}

// Table returns the configuration in force, nil before the first one.
func (b *Book) Table() *table.Table { return b.state.Load().Table }

// Version returns the version of the configuration in force, 0 before the first one.
func (b *Book) Version() uint64 { return b.state.Load().version() }

// VersionOf returns the version of the configuration that a request was decided by, or of the one in
// force if it was decided by none.
func (b *Book) VersionOf(d *Decision) uint64 {
	if d.State == nil {
		return b.Version()
	}
	return d.version()
}

// Decide returns the state that a request is decided by from now on.
func (b *Book) Decide() Decision {
	state := b.state.Load()
	return Decision{State: state, At: b.clock.Now()} // read after the state, so that its age is not understated
}

// Put takes the newest object that holds a configuration, or the error of its decoding, and reports
// whether a new configuration is in force. Call it before the confirmation of that object.
func (b *Book) Put(object *store.Object, routes *table.Table, err error) bool {
	b.replace.Lock()
	defer b.replace.Unlock()
	previous := b.state.Load()
	next := *previous
	switch {
	case err != nil:
		b.log.Error("configuration is not usable, keeping the current one", "revision", object.Version, logs.KeyError, err)
		next.NotInForce = true
	case routes.Version < next.version():
		b.log.Warn("configuration with a lower version ignored", "revision", object.Version, "configuration", routes.Version, "inForce", next.version())
		return false // versions never go back
	case next.holds(object, routes):
		next.NotInForce = false
	default:
		next.Table, next.Revision, next.value, next.NotInForce = routes, object.Version, object.Value, false
		b.state.Store(&next)
		before := Decision{State: previous, At: b.clock.Now()}
		b.log.Info("configuration in force", "configuration", routes.Version, "revision", object.Version, "bytes", len(object.Value), "replacedAgeMs", int64(before.Age()))
		if len(routes.Odd) > 0 {
			b.log.Error("configuration has parts that can't be read", "configuration", routes.Version, "parts", len(routes.Odd), "incomplete", routes.Incomplete, "first", routes.Odd[0])
		}
		return true
	}
	b.state.Store(&next)
	return false
}

// holds reports whether the configuration of an object is in force. A writer that does not know of a version that the
// store has lost gives its number to another configuration, so that the number alone does not tell them apart.
func (s *State) holds(object *store.Object, routes *table.Table) bool {
	if s.Table == nil || s.Table.Incomplete || routes.Version != s.Table.Version {
		return false
	}
	return object.Version.Before(s.Revision) || bytes.Equal(s.value, object.Value)
}

// Confirm takes what the feed of the configuration proves, after all objects that it has read were
// passed to Put.
func (b *Book) Confirm(proof feed.Proof) {
	b.replace.Lock()
	defer b.replace.Unlock()
	next := *b.state.Load()
	if era := proof.Revision.Era; era != next.Era && era != 0 && era != firstEra { // eras only rise
		next.RestoredAt = b.clock.Now()
	}
	next.ConfirmedAt, next.Behind, next.Relayed, next.Era, next.StoreRevision = proof.ConfirmedAt, proof.Behind, proof.Relayed, proof.Revision.Era, proof.Revision
	b.state.Store(&next)
}

// RecordNewer records that a newer configuration was read, which is not in force yet. Put and Confirm follow.
func (b *Book) RecordNewer() {
	b.replace.Lock()
	defer b.replace.Unlock()
	next := *b.state.Load()
	next.Behind = true
	b.state.Store(&next)
}

// RecordPeer takes the version of the configuration that a peer has in force. One that is newer exists, also
// if the store has lost it.
func (b *Book) RecordPeer(version uint64) {
	b.replace.Lock()
	defer b.replace.Unlock()
	next := *b.state.Load()
	if version <= next.PeerVersion {
		return
	}
	next.PeerVersion = version
	b.state.Store(&next)
}

// RecordCompared takes an era of the store in which all peers have stated their versions to RecordPeer.
func (b *Book) RecordCompared(era uint64) {
	b.replace.Lock()
	defer b.replace.Unlock()
	next := *b.state.Load()
	if next.ComparedEra == era {
		return
	}
	next.ComparedEra = era
	b.state.Store(&next)
}

// Age returns the time since the store confirmed the configuration in force, in milliseconds. It is 0
// before the first one.
func (b *Book) Age() clock.Millis {
	d := b.Decide()
	return d.Age()
}

// Age returns the time from the confirmation of the configuration to the decision, in milliseconds. It is 0
// without a configuration.
func (d *Decision) Age() clock.Millis {
	if d.State == nil || d.Table == nil {
		return 0
	}
	return max(d.At-d.ConfirmedAt, 0)
}

// Claim describes what a request was decided by: the revision of the configuration, the revision of the store for
// which it was confirmed, by whom, and the role and plan of this process, separated by commas. It is "none" without a
// configuration.
func (b *Book) Claim(d *Decision) string {
	if d.State == nil || d.Table == nil {
		return "none"
	}
	return fmt.Sprintf("%v,%v,%s,%s", d.Revision, d.StoreRevision, b.source(d), b.store.RoleFunc())
}

// source returns who has confirmed the configuration of a decision: "store" or a peer.
func (b *Book) source(d *Decision) string {
	if !d.Relayed {
		return "store"
	}
	return cmp.Or(b.store.SourceFunc(), "peer")
}

// Outdated reports whether a configuration that this process lacks may have to be in force.
func (b *Book) Outdated() bool {
	d := b.Decide()
	return b.isUnproved(&d)
}

// isUnproved reports whether a newer configuration than that of a decision may have to be in force.
func (b *Book) isUnproved(d *Decision) bool {
	return d.State == nil || d.Table == nil || d.Table.Incomplete || d.Behind || d.NotInForce || d.PeerVersion > d.version() || d.Age() > b.share(DenialShare) || b.isRestored(d)
}

// Era returns the era of the store that the configuration in force is confirmed for, and whether the store has
// just come back from a copy, so that it may lack what it acknowledged.
func (b *Book) Era() (era uint64, restored bool) {
	d := b.Decide()
	return d.Era, b.isRestored(&d)
}

// isRestored reports whether the store had just come back from a copy at a decision.
func (b *Book) isRestored(d *Decision) bool { return b.restoredFor(d) > 0 }

// restoredFor returns for how long after a decision the store counts as just restored.
func (b *Book) restoredFor(d *Decision) clock.Millis {
	if d.RestoredAt == 0 || d.ComparedEra == d.Era {
		return 0
	}
	return max(d.RestoredAt+b.within-d.At, 0)
}

// share returns a share of the time within which a change must be in force.
func (b *Book) share(of float64) clock.Millis { return clock.Millis(of * float64(b.within)) }

// Check logs when the age of the configuration exceeds a limit, and when it doesn't any more.
func (b *Book) Check(limit clock.Millis) {
	d := b.Decide()
	age := d.Age()
	old := d.Table != nil && age > limit
	if old == b.old {
		return
	}
	b.old = old
	event := "configuration confirmed"
	if old {
		event = "configuration not confirmed"
	}
	b.log.Info(event, "configuration", d.version(), "ageMs", int64(age), "withinMs", int64(b.within), "storeAwayMs", int64(b.store.AwayFunc()),
		"relayed", d.Relayed, "upstream", b.store.SourceFunc())
}

// ConfirmRequest is ConfirmDenial for a request that may also run by a decision, if refused is nil. It runs only if the
// configuration is not too old; the request waits for a confirmation first, and is then told to come back.
func (b *Book) ConfirmRequest(ctx context.Context, request string, decision *Decision, refused *fault.RefusalError, again func() *fault.RefusalError) *fault.RefusalError {
	if refused == nil && b.isStale(decision) && b.await(ctx, &b.stale, request, "request waited for the configuration") {
		refused = again()
	}
	if refused == nil && b.isStale(decision) {
		refused = fault.Refuse(fault.ConfigOutdated, "the store has not confirmed the configuration in force in time")
		refused.Evidence = b.evidence(decision)
	}
	if refused == nil && b.isOld(decision) {
		b.logUnconfirmed(request, decision)
	}
	return b.ConfirmDenial(ctx, request, decision, refused, again)
}

// ConfirmDenial returns the answer to a request that was refused by a decision. A denial is given only
// if the decision is proved. Otherwise a newer configuration may allow the request, so the caller is
// told to come back. If again is set, the denial waits for a confirmation first; again decides anew,
// and decision points to its result then.
func (b *Book) ConfirmDenial(ctx context.Context, request string, decision *Decision, refused *fault.RefusalError, again func() *fault.RefusalError) *fault.RefusalError {
	if !refused.IsDenial() {
		return refused
	}
	if again != nil && b.isUnproved(decision) && b.await(ctx, &b.denied, request, "denial waited for the configuration") {
		if refused = again(); !refused.IsDenial() {
			return refused
		}
	}
	if b.isUnproved(decision) {
		refused = fault.Refuse(fault.ConfigOutdated, "denied by the configuration in force: "+string(refused.Reason))
	}
	refused.Evidence = b.evidence(decision)
	return refused
}

// evidence describes a decision and what proves it, for the log.
func (b *Book) evidence(d *Decision) string {
	if d.State == nil {
		return "no configuration"
	}
	return fmt.Sprintf("configuration %d of revision %v, confirmed for revision %v %d ms before by %s, store unreachable for %d ms, changes missing: %t, newest not in force: %t, incomplete: %t, store restored: %t, highest of a peer: %d",
		d.version(), d.Revision, d.StoreRevision, d.Age(), b.source(d), b.store.AwayFunc(), d.Behind, d.NotInForce, d.Table != nil && d.Table.Incomplete, b.isRestored(d), d.PeerVersion)
}
