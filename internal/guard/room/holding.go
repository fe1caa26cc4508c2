package room

import "github.com/jujubescale/jujubescale/internal/base/clock"

const (
	// renewBefore is the remaining time of a lease from which its holder renews it. Several
	// requests that go unanswered fit into it.
	renewBefore = 1200 * clock.Millis(1)
	// askingWait is how long other requests wait while the owner is asked.
	askingWait = 10 * clock.Millis(1)
	// firstSilence is how long an owner that did not answer is not asked, and maxSilence
	// after several times in a row.
	firstSilence = 100 * clock.Millis(1)
	maxSilence   = 2 * clock.Second
)

// Holding is what one gateway has committed at one start of an engine, and what it has leased
// there. It is not safe for concurrent use.
type Holding struct {
	held Need
	// lease is what may be committed beyond the share until leasedUntil.
	lease       Need
	leasedUntil clock.Millis
	seq         uint64
	// asking is set while the owner is asked; sentAt is when that began.
	asking     bool
	sentAt     clock.Millis
	unanswered int
	// unsure is set while the owner may have granted what the holder does not know of.
	unsure bool
	// silentUntil is when an owner that did not answer may be asked again. Needs that
	// lack as much as refused wait until refusedUntil.
	silentUntil  clock.Millis
	refused      Need
	refusedUntil clock.Millis
}

// NewHolding returns a Holding of a gateway that has committed held already.
func NewHolding(held Need) *Holding { return &Holding{held: held} }

// Held returns what is committed.
func (h *Holding) Held() Need { return h.held }

// Lease returns what may be committed beyond the share at an instant.
func (h *Holding) Lease(now clock.Millis) Need {
	if now >= h.leasedUntil {
		return Need{}
	}
	return h.lease
}

// Adopt replaces what is committed.
func (h *Holding) Adopt(held Need) { h.held = held.Beyond(Need{}) }

// Commit commits a request if it fits into the share of this gateway and its lease. Otherwise
// it returns what is lacking.
func (h *Holding) Commit(n, share Need, now clock.Millis) (ok bool, lacking Need) {
	if h.Fits(n, share, now) {
		h.held = h.held.Plus(n)
		return true, Need{}
	}
	return false, h.lacking(n, share)
}

// Fits reports whether a request can be committed.
func (h *Holding) Fits(n, share Need, now clock.Millis) bool {
	return h.held.Plus(n).Beyond(share).Within(h.Lease(now))
}

// lacking returns what a request needs in addition to the part of the lease that is in use.
func (h *Holding) lacking(n, share Need) Need {
	return h.held.Plus(n).Beyond(share).Beyond(h.held.Beyond(share))
}

// Release takes back the commitment of a request that has ended.
func (h *Holding) Release(n Need, _ clock.Millis) { h.held = h.held.Beyond(n) }

// Wait returns the time after which a request may be committed or the owner asked for it, 0
// for now.
func (h *Holding) Wait(n, share Need, now clock.Millis) clock.Millis {
	lacking := h.lacking(n, share)
	switch {
	case h.Fits(n, share, now):
		return 0
	case h.asking:
		return max(askingWait, h.silentUntil-now)
	case now < h.silentUntil:
		return h.silentUntil - now
	case now < h.refusedUntil && (lacking.Tokens >= h.refused.Tokens && lacking.Places >= h.refused.Places):
		return h.refusedUntil - now
	}
	return 0
}

// Due reports whether the owner has to be told of the present use: the lease ends soon, does
// not cover what is in use, or the owner reserves more than is used.
func (h *Holding) Due(share Need, now clock.Millis) bool {
	used, lease := h.held.Beyond(share), h.Lease(now)
	switch {
	case h.asking || now < h.silentUntil:
		return false
	case used.IsZero():
		return h.unsure || !lease.IsZero()
	}
	return h.unsure || used != lease || h.leasedUntil-now < renewBefore
}

// Begin begins to ask the owner, and returns the number of the question and what is in use
// beyond the share. Only one question may be open. The lease shrinks to what is in use, because
// the owner takes the rest back when the question arrives.
func (h *Holding) Begin(share Need, now clock.Millis) (seq uint64, used Need) {
	used = h.held.Beyond(share)
	h.lease = h.Lease(now).lowest(used)
	h.seq++
	h.asking, h.sentAt = true, now
	return h.seq, used
}

// Apply records the answer of the owner: what is leased and for how long, and the time to wait
// if more was wanted.
func (h *Holding) Apply(granted, wanted Need, valid, wait, now clock.Millis) {
	h.asking, h.unanswered, h.silentUntil = false, 0, 0
	if valid > 0 {
		// The owner granted the lease after the question was sent.
		h.lease, h.leasedUntil, h.unsure = granted, h.sentAt+min(valid, Duration), false
	}
	if wait > 0 && !wanted.IsZero() {
		h.refused, h.refusedUntil = wanted, now+min(wait, maxSilence)
		return
	}
	h.refused, h.refusedUntil = Need{}, 0
}

// Cancel ends a question whose asker did not wait for the answer.
func (h *Holding) Cancel() { h.asking, h.unsure = false, true }

// Silent records that the owner did not answer, and returns how long it is not asked again.
func (h *Holding) Silent(now clock.Millis) clock.Millis {
	h.asking, h.unsure = false, true
	wait := min(firstSilence<<min(h.unanswered, 8), maxSilence)
	h.unanswered++
	h.silentUntil = now + wait
	return wait
}
