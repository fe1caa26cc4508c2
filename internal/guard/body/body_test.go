package body_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/guard/body"
)

const (
	megabyte = 1 << 20
	// memory leaves 1 MB for first parts, 64 of them, and 3 MB for the rest.
	memory = 20 * megabyte
)

func begin(l *body.Ledger, cut *body.Cause, now clock.Millis) *body.Upload {
	return l.Begin(func(cause body.Cause) { *cut = cause }, now)
}

func ExampleLedger() {
	l := body.New(body.Limits{Memory: memory})
	first, second := l.Begin(func(body.Cause) {}, 0), l.Begin(func(body.Cause) {}, 0)
	fmt.Println(l.Reserve(first, 2*megabyte), l.Reserve(second, 2*megabyte))
	l.End(first)
	<-second.Ready()
	fmt.Println(l.Held())
	// Output:
	// true false
	// 2097152 0
}

// Guards against ordinary requests that are refused because large bodies hold all memory.
func TestFirstPartsHaveRoomBesideLargeBodies(t *testing.T) {
	l := body.New(body.Limits{Memory: memory})
	var cause body.Cause
	for range 10 {
		l.Reserve(begin(l, &cause, 0), 4*megabyte)
	}
	assert.Assert(t, l.TakeFirst(begin(l, &cause, 0), body.FirstPart))
}

// Guards against a caller that stops just short of the end of its body and keeps the room that others wait for.
func TestStalledBodyGivesWay(t *testing.T) {
	l := body.New(body.Limits{Memory: memory})
	var stalled, arriving, waiting body.Cause
	a, b := begin(l, &stalled, 0), begin(l, &arriving, 0)
	assert.Assert(t, l.Reserve(a, 2*megabyte) && l.Reserve(b, megabyte))
	l.Arrived(a, 2*megabyte-1, 10)
	assert.Equal(t, len(l.Sweep(700)), 0, "nobody waits")
	c := begin(l, &waiting, 700)
	assert.Assert(t, !l.Reserve(c, 2*megabyte))
	l.Arrived(b, 1000, 700)
	cuts := l.Sweep(800)
	assert.Equal(t, len(cuts), 1)
	cuts[0].Carry()
	assert.Equal(t, stalled, body.Crowded)
	assert.Equal(t, arriving, body.Cause(""))
	l.End(a)
	<-c.Ready()
}

// Guards against bodies that count as stalled because they are held back here, for the link or for room.
func TestBodyThatIsHeldBackIsNotStalled(t *testing.T) {
	const perSecond = 1_000_000
	l := body.New(body.Limits{Memory: memory, Link: perSecond})
	var paced, other, granted, waiting body.Cause
	a, b := begin(l, &paced, 0), begin(l, &other, 0)
	assert.Assert(t, l.Reserve(a, megabyte) && l.Reserve(b, 2*megabyte))
	wait := l.Arrived(a, perSecond, 0)
	assert.Assert(t, wait > clock.Second)
	c, d := begin(l, &granted, 0), begin(l, &waiting, 0)
	assert.Assert(t, !l.Reserve(c, 2*megabyte) && !l.Reserve(d, 2*megabyte))
	cuts := l.Sweep(700)
	assert.Equal(t, len(cuts), 1)
	assert.Equal(t, cuts[0].Upload, b, "the paced one is not stalled")
	l.End(b)
	<-c.Ready()
	assert.Equal(t, len(l.Sweep(720)), 0, "the one that has just got room is not stalled")
}

// Guards against a request that is cut although all of it has arrived.
func TestCompleteBodyNeverGivesWay(t *testing.T) {
	l := body.New(body.Limits{Memory: memory})
	var cause body.Cause
	a, b := begin(l, &cause, 0), begin(l, &cause, 0)
	assert.Assert(t, l.Reserve(a, 3*megabyte))
	l.Arrived(a, 3*megabyte, 10)
	l.Complete(a)
	assert.Assert(t, !l.Reserve(b, megabyte))
	assert.Equal(t, len(l.Sweep(60_000)), 0)
}

// Guards against a body that can never be read because it is larger than all room.
func TestBodyLargerThanTheBudgetIsReadAlone(t *testing.T) {
	l := body.New(body.Limits{Memory: memory})
	var cause body.Cause
	assert.Assert(t, l.Reserve(begin(l, &cause, 0), 16*megabyte))
	assert.Assert(t, !l.Reserve(begin(l, &cause, 0), 1))
}

// Guards against bodies that fill the link of a small host, and against one that is slowed down although nobody else sends.
func TestLargeBodiesLeaveAPartOfTheLink(t *testing.T) {
	const perSecond = 1_250_000
	l := body.New(body.Limits{Link: perSecond})
	var cause body.Cause
	a := begin(l, &cause, 0)
	l.Reserve(a, 4*megabyte)
	assert.Equal(t, l.Arrived(a, megabyte, 0), clock.Millis(0))
	b := begin(l, &cause, 0)
	l.Reserve(b, 4*megabyte)
	wait := l.Arrived(b, perSecond, 0)
	assert.Assert(t, wait > clock.Second && wait < 2*clock.Second, "%d ms", wait)
}

// Guards against room that is lost or given twice, in any order of events.
func TestRoomIsNeitherLostNorExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := body.New(body.Limits{Memory: memory})
		type known struct {
			*body.Upload
			waits bool
			cut   *body.Cause
		}
		var all []*known
		now := clock.Millis(0)
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			now += clock.Millis(rapid.IntRange(0, 400).Draw(t, "pause"))
			if len(all) == 0 || rapid.IntRange(0, 3).Draw(t, "begin") == 0 {
				u := &known{cut: new(body.Cause)}
				u.Upload = begin(l, u.cut, now)
				all = append(all, u)
				continue
			}
			i := rapid.IntRange(0, len(all)-1).Draw(t, "which")
			u := all[i]
			if u.waits {
				select {
				case <-u.Ready():
					u.waits = false
				default:
				}
			}
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				if !u.waits {
					u.waits = !l.TakeFirst(u.Upload, int64(rapid.IntRange(1, body.FirstPart).Draw(t, "bytes")))
				}
			case 1:
				if !u.waits {
					u.waits = !l.Reserve(u.Upload, int64(rapid.IntRange(1, 4*megabyte).Draw(t, "bytes")))
				}
			case 2:
				l.Arrived(u.Upload, int64(rapid.IntRange(1, 1000).Draw(t, "bytes")), now)
			case 3:
				if !u.waits {
					l.Complete(u.Upload)
				}
			case 4:
				l.End(u.Upload)
				all = append(all[:i], all[i+1:]...)
			}
			cuts := l.Sweep(now)
			for j := range cuts {
				cuts[j].Carry()
			}
			held, _ := l.Held()
			assert.Assert(t, held >= 0 && held <= int64(body.MemoryShare*memory), "%d bytes", held)
		}
		for _, u := range all {
			l.End(u.Upload)
		}
		held, waiting := l.Held()
		assert.Assert(t, held == 0 && waiting == 0, "%d bytes, %d wait", held, waiting)
	})
}
