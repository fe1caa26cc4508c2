package admit_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/guard/admit"
	"github.com/jujubescale/jujubescale/internal/guard/fair"
	"github.com/jujubescale/jujubescale/internal/guard/ramp"
)

func newItem(id int, expires clock.Millis) fair.Item[int] {
	return fair.Item[int]{Organisation: "a", Weight: 1, Cost: 1, Expires: expires, Work: id}
}

// warmGate returns a gate with a warm limit of 4 and a service time of 100 ms.
func warmGate(queue int) *admit.Gate[int] {
	g := admit.New[int](0, admit.WithLimits(1, 4), admit.WithQueue(queue))
	g.Observe(1, admit.Report{StartID: "a", AsOf: 1})
	for range 50 {
		d := g.Offer(10, newItem(0, 1<<40))
		g.Done(110, d.Ticket, admit.OutcomeCompleted)
	}
	return g
}

// Work that can't meet its deadline takes capacity from work that can: answers
// arrive late and engine time is wasted.
func TestDeadlines(t *testing.T) {
	t.Run("work that cannot meet its deadline is refused at once", func(t *testing.T) {
		d := warmGate(4).Offer(1000, newItem(1, 1050))
		assert.Equal(t, d.Verdict, admit.Refused)
		assert.Equal(t, d.Reason, fault.DeadlineUnreachable)
	})
	t.Run("work that would wait past its deadline is refused", func(t *testing.T) {
		g := warmGate(64)
		g.MarkAlive(1000)
		for i := range 4 + 8 {
			assert.Assert(t, g.Offer(1000, newItem(i, 1<<40)).Verdict != admit.Refused)
		}
		assert.Equal(t, g.Offer(1000, newItem(1, 1250)).Reason, fault.DeadlineUnreachable)
		assert.Equal(t, g.Offer(1000, newItem(1, 2000)).Verdict, admit.Queued)
	})
	t.Run("queued work that can no longer meet its deadline is dropped", func(t *testing.T) {
		g := warmGate(64)
		g.MarkAlive(1000)
		for i := range 5 {
			g.Offer(1000, newItem(i, 1200))
		}
		var dropped []int
		g.Expire(1150, func(id int) { dropped = append(dropped, id) })
		assert.DeepEqual(t, dropped, []int{4})
	})
	t.Run("work is admitted again after a slow period", func(t *testing.T) {
		g := warmGate(4)
		refused := 0
		for g.Offer(1000, newItem(1, 1050)).Verdict == admit.Refused {
			refused++
			assert.Assert(t, refused < 100)
		}
	})
}

func TestFullQueueOfColdEndpointRefusesWithColdStart(t *testing.T) {
	g := admit.New[int](0, admit.WithLimits(1, 8), admit.WithQueue(1))
	assert.Equal(t, g.Offer(0, newItem(1, 1<<40)).Verdict, admit.Admitted)
	assert.Equal(t, g.Offer(0, newItem(2, 1<<40)).Verdict, admit.Queued)
	assert.Equal(t, g.Offer(0, newItem(3, 1<<40)).Reason, fault.ColdStart)
}

// An endpoint restarts while it is idle and then receives a burst. At its former
// limit, the burst would overload it.
func TestBurstAfterIdlePeriodWaitsForLivenessSignal(t *testing.T) {
	g := warmGate(64)
	assert.Equal(t, g.Offer(5000, newItem(1, 1<<40)).Verdict, admit.Admitted)
	d := g.Offer(5000, newItem(2, 1<<40))
	assert.Equal(t, d.Verdict, admit.Queued)
	assert.Assert(t, d.Probe)
	g.Observe(5001, admit.Report{StartID: "b", AsOf: 5001, Cold: true})
	_, _, ok := g.Next(5001, func(int) {})
	assert.Assert(t, !ok)
	assert.Equal(t, g.Limit(), 1)
}

// A stream breaks off, either because the engine restarted or because the
// connection failed.
func TestSuspectEndpointKeepsColdLimitUntilLivenessSignal(t *testing.T) {
	g := warmGate(64)
	g.MarkAlive(5000)
	g.MarkSuspect(5000)
	assert.Equal(t, g.Offer(5000, newItem(1, 1<<40)).Verdict, admit.Admitted)
	assert.Equal(t, g.Offer(5000, newItem(2, 1<<40)).Verdict, admit.Queued)
	g.MarkAlive(5001)
	_, _, ok := g.Next(5001, func(int) {})
	assert.Assert(t, ok)
}

// A new agent must count work at the endpoint that its predecessor started.
func TestForeignWorkCountsAgainstLimit(t *testing.T) {
	g := admit.New[int](0, admit.WithLimits(2, 8))
	g.SetForeign(2)
	assert.Equal(t, g.Offer(0, newItem(1, 1<<40)).Verdict, admit.Queued)
	g.SetForeign(1)
	_, _, ok := g.Next(1, func(int) {})
	assert.Assert(t, ok)
}

// Random events: the running work never exceeds the limit when an item starts, no
// item is lost or returned twice, and a closed gate starts no work.
func TestGateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := clock.Millis(0)
		drops := 0
		g := admit.New[int](0, admit.WithLimits(2, 6), admit.WithQueue(4), admit.WithOnDrop(func(ramp.Cause) { drops++ }))
		running := map[int]admit.Ticket{}
		waiting := map[int]bool{}
		removeWaiting := func(id int) {
			assert.Assert(t, waiting[id])
			delete(waiting, id)
		}
		addRunning := func(id int, ticket admit.Ticket) {
			running[id] = ticket
			assert.Assert(t, len(running) <= g.Limit())
		}
		closed := false
		for id := range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 40).Draw(t, "wait"))
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1, 2:
				offered := newItem(id, now+clock.Millis(rapid.IntRange(0, 400).Draw(t, "left")))
				d := g.Offer(now, offered)
				if d.HasEvicted {
					removeWaiting(d.Evicted)
				}
				switch d.Verdict {
				case admit.Admitted:
					assert.Assert(t, !closed)
					addRunning(id, d.Ticket)
				case admit.Queued:
					waiting[id] = true
				case admit.Refused:
					assert.Assert(t, d.Reason != "")
				}
			case 3:
				for runningID, ticket := range running {
					g.Done(now, ticket, admit.Outcome(rapid.IntRange(0, 3).Draw(t, "outcome")))
					delete(running, runningID)
					break
				}
			case 4:
				g.Expire(now, removeWaiting)
				for {
					nextID, ticket, ok := g.Next(now, removeWaiting)
					if !ok {
						break
					}
					assert.Assert(t, !closed)
					removeWaiting(nextID)
					addRunning(nextID, ticket)
				}
			case 5:
				g.Observe(now, admit.Report{
					StartID: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "start"),
					Cold:    rapid.Bool().Draw(t, "cold"), Limit: rapid.IntRange(0, 8).Draw(t, "limit"), AsOf: now,
				})
			case 6:
				if closed {
					g.Open()
				} else {
					g.Close(fault.Leaving, removeWaiting)
				}
				closed = !closed
			}
			assert.Equal(t, g.Queued(), len(waiting))
			assert.Equal(t, g.Running(), len(running))
			assert.Equal(t, g.Cost(), int64(len(running)+len(waiting)))
		}
	})
}

func BenchmarkOfferDone(b *testing.B) {
	g := warmGate(64)
	b.ReportAllocs()
	for b.Loop() {
		d := g.Offer(1000, newItem(1, 1<<40))
		g.Done(1100, d.Ticket, admit.OutcomeCompleted)
	}
}

func BenchmarkOfferQueuedNextDone(b *testing.B) {
	g := warmGate(64)
	first := g.Offer(1000, newItem(1, 1<<40)).Ticket
	for i := range 40 {
		g.Offer(1000, newItem(i, 1<<40))
	}
	b.ReportAllocs()
	for b.Loop() {
		g.Offer(1000, newItem(1, 1<<40))
		g.Done(1100, first, admit.OutcomeCompleted)
		_, first, _ = g.Next(1000, func(int) {})
	}
}
