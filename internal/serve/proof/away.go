package proof

import (
	"sync/atomic"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
)

// peers is what peers state of the store.
type peers struct {
	// confirmedAt is the latest instant in ms for which one has a confirmation of the configuration, heardAt the
	// instant at which one last stated such an instant, 0 for none.
	confirmedAt, heardAt atomic.Int64
}

// silentShare is how long no answer may arrive at a process whose peers have no confirmation either, as a share of the
// time within which a change must be in force. All processes of a slow fleet get answers late.
const silentShare = 0.5

// RecordPeerConfirmed takes the instant for which a peer has a confirmation of the store, also of a configuration that
// this process lacks.
func (b *Book) RecordPeerConfirmed(at clock.Millis) {
	now := b.clock.Now()
	b.peers.heardAt.Store(int64(now))
	at = min(at, now)
	for known := b.peers.confirmedAt.Load(); known < int64(at); known = b.peers.confirmedAt.Load() {
		if b.peers.confirmedAt.CompareAndSwap(known, int64(at)) {
			return
		}
	}
}

// isOld reports whether a newer configuration than that of a decision must be in force by now if there is one.
func (b *Book) isOld(d *Decision) bool {
	return d.State != nil && d.Table != nil && d.Age() > b.within
}

// isStale reports whether the configuration of a decision is too old to run requests. If no process reaches the
// store, each serves by its last configuration.
func (b *Book) isStale(d *Decision) bool { return b.isOld(d) && !b.isStoreAway() }

// isStoreAway reports whether no process is known to reach the store. A process that reads slowly or has just stood
// still does not know that of itself: unless calls have been refused for longer than a request waits, either peers state that they have no confirmation,
// or no answer has arrived for as long as a change may take.
func (b *Book) isStoreAway() bool {
	if b.store.RunsForFunc() <= b.waitFor || b.sincePeer(&b.peers.confirmedAt) <= b.within {
		return false
	}
	overdue := b.store.OverdueFunc()
	refused := b.store.RefusedFunc() && b.store.AwayFunc() > b.waitFor
	return refused || overdue > b.within || overdue > b.share(silentShare) && b.sincePeer(&b.peers.heardAt) <= b.waitFor
}

// never is the time since an instant that has not been yet.
const never = 1 << 53 * clock.Millis(1)

// sincePeer returns the time since an instant of peers, in milliseconds.
func (b *Book) sincePeer(instant *atomic.Int64) clock.Millis {
	at := clock.Millis(instant.Load())
	if at == 0 {
		return never
	}
	return b.clock.Since(at)
}

// logUnconfirmed logs why a request is run although the configuration is older than changes may take.
func (b *Book) logUnconfirmed(request string, d *Decision) {
	pairs := []any{
		logs.KeyRequest, request, "configuration", d.version(), "ageMs", int64(d.Age()), "storeAwayMs", int64(b.store.AwayFunc()),
		"refused", b.store.RefusedFunc(), "answerOverdueMs", int64(b.store.OverdueFunc()),
	}
	if since := b.sincePeer(&b.peers.confirmedAt); since < never {
		pairs = append(pairs, "peerConfirmedMs", int64(since), "peerHeardMs", int64(b.sincePeer(&b.peers.heardAt)))
	}
	b.log.Info("request run by an unconfirmed configuration", pairs...)
}
