// Package pulse decides whether a peer that sends regularly has stopped. Time in which this
// process could not receive the peer's messages doesn't count: it stood still, or a large
// transfer filled its link.
package pulse

import "github.com/jujubescale/jujubescale/internal/base/clock"

const (
	// maxGap is the longest gap between two rounds of a process that gets processor time.
	maxGap = 300 * clock.Millis(1)
	// maxLateRounds is the number of rounds in a row after such gaps that are excused. A host that
	// is short of processor all the time must notice silent peers, too.
	maxLateRounds = 3
	// maxSilence is the silence, in time-outs, that is not excused by a transfer.
	maxSilence = 3
)

// Monitor records when a process could not receive messages. It is not safe for concurrent use.
type Monitor struct {
	timeout                         clock.Millis
	roundAt, stoodStillAt, filledAt clock.Millis
	lateRounds                      int
}

// New returns a monitor for peers that are silent after a timeout.
func New(timeout clock.Millis) *Monitor { return &Monitor{timeout: timeout} }

// StartRound records a round of the process. The parameter receiving tells whether a transfer to
// this process is under way.
func (m *Monitor) StartRound(receiving bool, now clock.Millis) {
	if m.roundAt > 0 && now-m.roundAt > maxGap {
		m.lateRounds++
	} else {
		m.lateRounds = 0
	}
	if m.lateRounds > 0 && m.lateRounds <= maxLateRounds {
		m.stoodStillAt = now
	}
	if receiving {
		m.filledAt = now
	}
	m.roundAt = now
}

// IsSilent reports whether a peer is silent that sent its last message at an instant.
func (m *Monitor) IsSilent(last, now clock.Millis) bool {
	stoodStill := m.stoodStillAt > last && now-m.stoodStillAt <= maxGap
	filled := now-m.filledAt <= m.timeout && m.filledAt > last && now-last <= maxSilence*m.timeout
	return now-last > m.timeout && !stoodStill && !filled
}
