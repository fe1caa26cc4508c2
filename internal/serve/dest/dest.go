// Package dest holds the state of the reports that a process sends on a session, and decides
// what a report repeats.
package dest

import (
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/sums"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// membersInterval is the interval at which an unchanged list of processes is sent again.
const membersInterval = clock.Second

// State is the state of the reports that are sent on a session.
type State struct {
	Kind        wire.Kind
	Cursor      sums.Cursor
	membersSent clock.Millis
	// LastRegular is when all changes were last sent.
	LastRegular clock.Millis
	// interest is the list that was sent last; it is valid if hasInterest is set.
	interest    []string
	hasInterest bool
	// HoldsTold is what the process has last been told of the objects that the store has lost.
	HoldsTold uint64
}

// Withdraw withdraws the sums that were sent on a session, unless they continue on
// another session.
func (t *State) Withdraw(s *sess.Session, continues bool) {
	if !continues && (t.Kind == wire.KindReport || t.Kind == wire.KindGroup) {
		_ = s.Send(&wire.Frame{Kind: t.Kind, Sums: &wire.Sums{Ended: true}}) // a session that can't send is ending
	}
}

// Reset makes the next message complete.
func (t *State) Reset() {
	t.Cursor.Reset()
	t.membersSent, t.LastRegular, t.hasInterest = 0, 0, false
}

// AddInterest adds the endpoints that this process normally uses, if they changed.
func (t *State) AddInterest(message *wire.Sums, interest []string) {
	if t.hasInterest && slices.Equal(t.interest, interest) {
		return
	}
	message.HasInterest, message.Interest = true, interest
	t.interest, t.hasInterest = interest, true
}

// MembersDue reports whether the list of processes has to be sent: it changed or
// membersInterval has passed.
func (t *State) MembersDue(changed, now clock.Millis) bool {
	if t.membersSent > changed && now-t.membersSent < membersInterval {
		return false
	}
	t.membersSent = now
	return true
}
