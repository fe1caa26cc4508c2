// Package places divides the connections that an endpoint accepts among the live
// gateways. It handles a fleet whose gateways send an endpoint very different numbers
// of requests at a time, and a fleet so large that equal shares are below the minimum.
// Each gateway decides alone, from its own use and the sum of its peers' use.
//
// Three quarters of the connections are divided equally, so that a burst at one gateway
// needs no message. A twelfth is divided in proportion to use: the lowest number of
// requests that a gateway has reported in the last Window, divided by that number plus the
// sum that its peers reported. A report in force at any process is younger than Window, so
// that the sum of the lowest numbers is at most the sum that each process knows, and the
// shares add up to at most the twelfth.
//
// A gateway whose limit falls keeps the connections of running requests until they end.
// The rest covers these and gateways that are just starting: even if all gateways grow one
// after the other and none ever closes a connection, the endpoint has places for all.
package places

import (
	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// Minimum is the smallest limit of a gateway. With one connection, a request that
	// runs long would exclude all others.
	Minimum = 2
	// Window is longer than any report of a peer stays in force: a report is excluded
	// from the sums after 1.5 s and reaches all processes within 0.45 s.
	Window = 2 * clock.Second
	// PeakWindow is the time for which the largest number of live gateways divides. A
	// gateway that leaves is no longer counted and keeps its connections for up to 8 s.
	PeakWindow = 10 * clock.Second
	// startShare is the part of the accepted connections that a gateway may open before
	// it knows how many others there are: 32 that start together exceed nothing.
	startShare = 32
	// useShare is the part of the accepted connections that is divided by use.
	useShare = 12
)

// Known is what a gateway knows when it decides on its limit for an endpoint.
type Known struct {
	// Accepts is the number of connections that the endpoint accepts from all gateways.
	Accepts int
	// Gateways is the largest number of live gateways in the last PeakWindow.
	Gateways int
	// Starting is set until this gateway knows the others.
	Starting bool
	// Own is the lowest number of own requests that was reported in the last Window.
	// Peers is the sum of those that the peers reported, if PeersKnown is set.
	Own, Peers int64
	PeersKnown bool
}

// Limit returns the number of connections that a gateway may have open. The limits of
// all gateways add up to at most 7/8 of what the endpoint accepts, or to Minimum for each
// gateway if that is more. An eighth is left for gateways that are just starting.
func Limit(k Known) int {
	if k.Starting {
		return max(k.Accepts/startShare, Minimum)
	}
	divided, gateways := k.Accepts*7/8, max(k.Gateways, 1)
	base := max(k.Accepts*3/4/gateways, Minimum)
	byUse := min(k.Accepts/useShare, divided-base*gateways)
	if byUse <= 0 || !k.PeersKnown || k.Own <= 0 {
		return base
	}
	return base + int(int64(byUse)*k.Own/(k.Own+max(k.Peers, 0)))
}

// Low tracks the lowest of the values recorded in the last Window or slightly more. The
// zero value has recorded nothing. It is not safe for concurrent use.
type Low struct {
	current, previous int64
	startedAt         clock.Millis
	lastAt            clock.Millis
	// whole is set if previous covers a whole Window.
	whole bool
}

// maxPause is the longest pause between two values. Longer ones show that a value was not
// recorded, which then counts as 0.
const maxPause = clock.Second

// Record records a value that was reported to the peers.
func (l *Low) Record(value int64, now clock.Millis) {
	switch {
	case l.startedAt == 0 || now-l.lastAt > maxPause:
		*l = Low{current: value, startedAt: now}
	case now-l.startedAt >= Window:
		l.previous, l.whole = l.current, true
		l.current, l.startedAt = value, now
	default:
		l.current = min(l.current, value)
	}
	l.lastAt = now
}

// Value returns the lowest value, 0 unless values were recorded throughout the Window.
func (l *Low) Value(now clock.Millis) int64 {
	if !l.whole || now-l.lastAt > maxPause {
		return 0
	}
	return min(l.current, l.previous)
}

// Peak tracks the largest of the counts recorded in the last PeakWindow or slightly more.
// It is not safe for concurrent use.
type Peak struct {
	current, previous int
	startedAt         clock.Millis
}

// Record records a count and returns the largest.
func (p *Peak) Record(count int, now clock.Millis) int {
	if now-p.startedAt >= PeakWindow {
		p.previous = p.current
		if now-p.startedAt >= 2*PeakWindow {
			p.previous = 0
		}
		p.current, p.startedAt = 0, now
	}
	p.current = max(p.current, count)
	return max(p.current, p.previous)
}
