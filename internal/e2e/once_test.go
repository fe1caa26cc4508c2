package e2e_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/stand/plain"
	"github.com/jujubescale/jujubescale/internal/stand/plat"
	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

// booker sends bookings with one idempotency key to the entries of a system.
type booker struct {
	t      *testing.T
	system *whole.Whole
	load   *loadGenerator
	key    string
}

func newBooker(t *testing.T, system *whole.Whole, key string) *booker {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{}, Timeout: 30 * time.Second}
	return &booker{t: t, system: system, load: &loadGenerator{client: client}, key: key}
}

// book sends the booking to one entry and returns its outcome.
func (b *booker) book(front int) outcome {
	got := outcome{key: b.key, kind: kindBooking}
	url := "http://" + b.system.Fronts[front].Address + "/v1/services/orders/call/bookings"
	b.load.send(&got, url, fmt.Sprintf(`{"echo":%q}`, b.key), b.key)
	return got
}

// bookAsync sends the booking in the background.
func (b *booker) bookAsync(front int) <-chan outcome {
	done := make(chan outcome, 1)
	go func() { done <- b.book(front) }()
	return done
}

// awaitRun waits until the service runs the booking.
func (b *booker) awaitRun() {
	b.t.Helper()
	poll.WaitOn(b.t, func(poll.LogT) poll.Result {
		if b.system.Ledger.Runs(b.key) > 0 {
			return poll.Success()
		}
		return poll.Continue("the booking does not run yet")
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(30*time.Second))
}

// forEachOrdersEndpoint calls do for every endpoint of the plain service.
func (b *booker) forEachOrdersEndpoint(do func(*whole.Place)) {
	for _, place := range b.system.Places {
		if place.Pool == "orders" {
			do(place)
		}
	}
}

func (b *booker) slowDown() {
	b.forEachOrdersEndpoint(func(p *whole.Place) { p.Slots().SetSlow(60) })
}

func (b *booker) closeAt(at plain.CloseAt) {
	b.forEachOrdersEndpoint(func(p *whole.Place) { p.Plain.SetClose(at) })
}

// Guards against a booking that runs twice, or that runs although it was reported
// as not run. A failure happens during the first attempt, then the caller sends
// the same idempotency key through the same entry and through another one. The
// service itself counts the runs.
func TestBookingRunsAtMostOnce(t *testing.T) {
	tests := []struct {
		name string
		// first causes the failure, sends the first attempt and returns its outcome.
		first func(*booker) outcome
		// ran is the value in the refusal of the first attempt; empty if it must be
		// answered.
		ran fault.Ran
		// runs is the expected number of runs after all attempts.
		runs int
	}{
		{"no failure", func(b *booker) outcome { return b.book(0) }, "", 1},
		{"endpoint closes before running", func(b *booker) outcome {
			b.closeAt(plain.CloseBefore)
			return b.book(0)
		}, fault.MayHaveRun, 0},
		{"endpoint closes during running", func(b *booker) outcome {
			b.closeAt(plain.CloseDuring)
			return b.book(0)
		}, fault.MayHaveRun, 1},
		{"endpoint closes after running", func(b *booker) outcome {
			b.closeAt(plain.CloseAfter)
			return b.book(0)
		}, fault.MayHaveRun, 1},
		{"agents are killed while it runs", func(b *booker) outcome {
			b.slowDown()
			done := b.bookAsync(0)
			b.awaitRun()
			b.forEachOrdersEndpoint(func(p *whole.Place) {
				assert.Check(b.t, b.system.Inject(whole.Fault{Name: whole.AgentKill, Target: p.Endpoint}))
			})
			return <-done
		}, fault.MayHaveRun, 1},
		{"sessions stop delivering while it runs", func(b *booker) outcome {
			b.slowDown()
			done := b.bookAsync(0)
			b.awaitRun()
			b.system.Net.SilenceZone("za")
			b.system.Net.SilenceZone("zb")
			b.system.Net.SilenceZone("zc")
			return <-done
		}, "", 1},
		{"the platform stores the claim but its answer is lost", func(b *booker) outcome {
			b.system.Platform.SetFaults(plat.Faults{LoseAnswer: 1})
			got := b.book(0)
			b.system.Platform.SetFaults(plat.Faults{})
			return got
		}, "", 1},
		{"the platform is down", func(b *booker) outcome {
			b.system.Platform.SetFaults(plat.Faults{Down: true})
			return b.book(0)
		}, fault.MayHaveRun, 0},
		{"the platform serves stale reads and loses all answers", func(b *booker) outcome {
			b.system.Platform.SetFaults(plat.Faults{Stale: 1, LoseAnswer: 1})
			return b.book(0)
		}, fault.MayHaveRun, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			system := startSystem(t, whole.WithEntries(2))
			b := newBooker(t, system, "reel-"+t.Name())
			outcomes := []outcome{test.first(b)}
			assert.Equal(t, outcomes[0].refused.Ran, test.ran, "%+v", outcomes[0])
			outcomes = append(outcomes, b.book(0), b.book(1))
			checkRunCounts(t, outcomes, system.Ledger.Runs)
			assert.Equal(t, system.Ledger.Runs(b.key), test.runs)
		})
	}
}

// Guards against a second run of a booking whose entry was killed while it ran.
// The caller retries through another entry. Hosts store nothing, so the second
// entry can only see from the claim in the platform that the booking may have
// run.
func TestEntryIsKilledDuringBooking(t *testing.T) {
	system := startSystem(t, whole.WithEntries(2))
	b := newBooker(t, system, "reel-entry")
	b.slowDown()
	done := b.bookAsync(0)
	b.awaitRun()
	assert.NilError(t, system.Inject(whole.Fault{Name: whole.EntryKill, Target: system.Fronts[0].Name}))
	first := <-done
	second := b.book(1)
	assert.Assert(t, !second.answered())
	assert.Assert(t, second.refused.Ran != fault.NotRun)
	checkRunCounts(t, []outcome{first, second}, system.Ledger.Runs)
	assert.Equal(t, system.Ledger.Runs(b.key), 1)
}

// Guards against repeated runs when a caller sends many concurrent requests with
// the same idempotency key through both entries.
func TestSameKeyInConcurrentRequests(t *testing.T) {
	system := startSystem(t, whole.WithEntries(2))
	b := newBooker(t, system, "reel-many")
	outcomes := make([]outcome, 20)
	var group sync.WaitGroup
	for i := range outcomes {
		group.Go(func() { outcomes[i] = b.book(i % 2) })
	}
	group.Wait()
	checkRunCounts(t, outcomes, system.Ledger.Runs)
	assert.Equal(t, system.Ledger.Runs(b.key), 1)
	total := countOutcomes(outcomes)
	assert.Equal(t, total.answered+total.reasons[fault.KeyInUse], len(outcomes), "%+v", total)
}
