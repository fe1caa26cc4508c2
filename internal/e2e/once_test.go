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

// booker makes bookings under one key through the entries of a system.
type booker struct {
	t      *testing.T
	system *whole.Whole
	crowd  *crowd
	key    string
}

func newBooker(t *testing.T, system *whole.Whole, key string) *booker {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{}, Timeout: 30 * time.Second}
	return &booker{t: t, system: system, crowd: &crowd{client: client}, key: key}
}

// book calls one entry and returns what the caller learned.
func (b *booker) book(front int) outcome {
	got := outcome{key: b.key, kind: kindBooking}
	url := "http://" + b.system.Fronts[front].Address + "/v1/services/orders/call/bookings"
	b.crowd.call(&got, url, fmt.Sprintf(`{"echo":%q}`, b.key), b.key)
	return got
}

// bookSoon books in the background.
func (b *booker) bookSoon(front int) <-chan outcome {
	done := make(chan outcome, 1)
	go func() { done <- b.book(front) }()
	return done
}

// runs waits until the service began the call.
func (b *booker) awaitRun() {
	b.t.Helper()
	poll.WaitOn(b.t, func(poll.LogT) poll.Result {
		if b.system.Ledger.Runs(b.key) > 0 {
			return poll.Success()
		}
		return poll.Continue("the service has not begun the call")
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(30*time.Second))
}

// eachOrder does something to every endpoint of the plain service.
func (b *booker) eachOrder(do func(*whole.Place)) {
	for _, place := range b.system.Places {
		if place.Pool == "orders" {
			do(place)
		}
	}
}

func (b *booker) slow() {
	b.eachOrder(func(p *whole.Place) { p.Slots().SetSlow(60) })
}

func (b *booker) closeAt(at plain.CloseAt) {
	b.eachOrder(func(p *whole.Place) { p.Plain.SetClose(at) })
}

// A caller books a reel under a key, something breaks at the worst moment, and
// the caller repeats the key through the same and through another entry. A
// user notices a fault as a doubled booking, or as one that was called not run
// and is there all the same. Runs are counted at the service itself.
func TestBookingRunsAtMostOnce(t *testing.T) {
	tests := []struct {
		name string
		// first breaks things around the first try and returns its outcome.
		first func(*booker) outcome
		// ran is what the first try's refusal says; empty if it must be answered.
		ran fault.Ran
		// runs that must be counted at the end.
		runs int
	}{
		{"nothing breaks", func(b *booker) outcome { return b.book(0) }, "", 1},
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
		{"agents die while it runs", func(b *booker) outcome {
			b.slow()
			done := b.bookSoon(0)
			b.awaitRun()
			b.eachOrder(func(p *whole.Place) {
				assert.Check(b.t, b.system.Inject(whole.Fault{Name: whole.AgentKill, Target: p.Endpoint}))
			})
			return <-done
		}, fault.MayHaveRun, 1},
		{"sessions go silent while it runs", func(b *booker) outcome {
			b.slow()
			done := b.bookSoon(0)
			b.awaitRun()
			b.system.Net.SilenceZone("za")
			b.system.Net.SilenceZone("zb")
			b.system.Net.SilenceZone("zc")
			return <-done
		}, "", 1},
		{"the platform takes the claim but its answer is lost", func(b *booker) outcome {
			b.system.Platform.SetFaults(plat.Faults{LoseAnswer: 1})
			got := b.book(0)
			b.system.Platform.SetFaults(plat.Faults{})
			return got
		}, "", 1},
		{"the platform is down", func(b *booker) outcome {
			b.system.Platform.SetFaults(plat.Faults{Down: true})
			return b.book(0)
		}, fault.MayHaveRun, 0},
		{"the platform shows old versions and loses all answers", func(b *booker) outcome {
			b.system.Platform.SetFaults(plat.Faults{Stale: 1, LoseAnswer: 1})
			return b.book(0)
		}, fault.MayHaveRun, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			system := started(t, whole.WithEntries(2))
			b := newBooker(t, system, "reel-"+t.Name())
			outcomes := []outcome{test.first(b)}
			assert.Equal(t, outcomes[0].refused.Ran, test.ran, "%+v", outcomes[0])
			outcomes = append(outcomes, b.book(0), b.book(1))
			checkOnce(t, outcomes, system.Ledger.Runs)
			assert.Equal(t, system.Ledger.Runs(b.key), test.runs)
		})
	}
}

// The entry dies with a booking in its hands, and the caller comes back through
// another one. Nothing is kept on hosts, so only the claim in the platform
// tells the second entry that the booking may have run.
func TestEntryDiesWithBooking(t *testing.T) {
	system := started(t, whole.WithEntries(2))
	b := newBooker(t, system, "reel-entry")
	b.slow()
	done := b.bookSoon(0)
	b.awaitRun()
	assert.NilError(t, system.Inject(whole.Fault{Name: whole.EntryKill, Target: system.Fronts[0].Name}))
	first := <-done
	second := b.book(1)
	assert.Assert(t, !second.answered())
	assert.Assert(t, second.refused.Ran != fault.NotRun)
	checkOnce(t, []outcome{first, second}, system.Ledger.Runs)
	assert.Equal(t, system.Ledger.Runs(b.key), 1)
}

// An impatient caller sends the same key many times at once, through both
// entries.
func TestSameKeyManyTimesAtOnce(t *testing.T) {
	system := started(t, whole.WithEntries(2))
	b := newBooker(t, system, "reel-many")
	outcomes := make([]outcome, 20)
	var group sync.WaitGroup
	for i := range outcomes {
		group.Go(func() { outcomes[i] = b.book(i % 2) })
	}
	group.Wait()
	checkOnce(t, outcomes, system.Ledger.Runs)
	assert.Equal(t, system.Ledger.Runs(b.key), 1)
	total := sum(outcomes)
	assert.Equal(t, total.answered+total.reasons[fault.KeyInUse], len(outcomes), "%+v", total)
}
