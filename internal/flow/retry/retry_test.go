package retry_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/flow/retry"
)

// A pool fails or is full and every entry retries each call several times. The pool would
// get a multiple of its load while its capacity is lowest and would not recover. For any
// share of failed calls, the attempts must stay below 1.1 times the offered calls plus the
// initial budget.
func TestRetriesAddAtMostATenth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := retry.NewBudget()
		offered := rapid.IntRange(1, 2000).Draw(t, "offered")
		failShare := rapid.IntRange(0, 100).Draw(t, "failPercent")
		reason := rapid.SampledFrom([]fault.Reason{fault.EndpointFailed, fault.QueueFull, fault.ColdStart}).Draw(t, "reason")
		coin := rapid.IntRange(0, 99)
		attempts := 0
		for range offered {
			for attempt := 1; ; attempt++ {
				attempts++
				if coin.Draw(t, "coin") >= failShare {
					budget.Earn()
					break
				}
				f := retry.Failure{Reason: reason, Ran: fault.NotRun, Attempts: attempt, Left: 1000, HasAlternative: true}
				if !retry.Decide(f, budget).Retry {
					break
				}
			}
		}
		assert.Assert(t, float64(attempts) <= 1.1*float64(offered)+10)
	})
}

// Guards against a second run of a non-idempotent call that may have run, such as a booking
// made twice, and against attempts after the deadline, which waste engine time.
func TestNoRetryOfUnprovenWorkOrPastDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := retry.Failure{
			Reason:         rapid.SampledFrom(fault.Reasons()).Draw(t, "reason"),
			Ran:            rapid.SampledFrom([]fault.Ran{fault.NotRun, fault.MayHaveRun, fault.DidRun}).Draw(t, "ran"),
			Idempotent:     rapid.Bool().Draw(t, "idempotent"),
			Attempts:       rapid.IntRange(1, 6).Draw(t, "tries"),
			Left:           clock.Millis(rapid.Int64Range(-10, 100).Draw(t, "left")),
			Need:           clock.Millis(rapid.Int64Range(0, 100).Draw(t, "need")),
			HasAlternative: rapid.Bool().Draw(t, "elsewhere"),
		}
		d := retry.Decide(f, retry.NewBudget())
		if d.Retry {
			assert.Assert(t, f.Idempotent || f.Ran == fault.NotRun)
			assert.Assert(t, f.Left > 0 && f.Left >= f.Need)
			assert.Assert(t, f.Attempts < retry.MaxAttempts && f.HasAlternative)
		}
		if d.Ran == fault.NotRun {
			assert.Equal(t, f.Ran, fault.NotRun)
		}
	})
}

func TestDecide(t *testing.T) {
	base := retry.Failure{Ran: fault.NotRun, Attempts: 1, Left: 500, Need: 100, HasAlternative: true}
	tests := []struct {
		name   string
		change func(*retry.Failure)
		want   retry.Decision
	}{
		{
			"leaving endpoint is retried elsewhere",
			func(f *retry.Failure) { f.Reason = fault.Leaving },
			retry.Decision{Retry: true, Class: retry.ClassMoved, Reason: fault.Leaving, Ran: fault.NotRun},
		},
		{
			"failed endpoint is retried in another zone",
			func(f *retry.Failure) { f.Reason, f.Ran, f.Idempotent = fault.EndpointFailed, fault.MayHaveRun, true },
			retry.Decision{Retry: true, AvoidZone: true, Class: retry.ClassFailed, Reason: fault.EndpointFailed, Ran: fault.MayHaveRun},
		},
		{
			"non-idempotent call that may have run",
			func(f *retry.Failure) { f.Reason, f.Ran = fault.EndpointFailed, fault.MayHaveRun },
			retry.Decision{AvoidZone: true, Class: retry.ClassFailed, Reason: fault.OutcomeUnknown, Ran: fault.MayHaveRun},
		},
		{
			"too little time for another attempt",
			func(f *retry.Failure) { f.Reason, f.Left = fault.QueueFull, 50 },
			retry.Decision{Class: retry.ClassFull, Reason: fault.DeadlineUnreachable, Ran: fault.NotRun},
		},
		{
			"rejected by the back end",
			func(f *retry.Failure) { f.Reason, f.Ran = fault.BackendRejected, fault.DidRun },
			retry.Decision{Class: retry.ClassFinal, Reason: fault.BackendRejected, Ran: fault.DidRun},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := base
			test.change(&f)
			assert.Equal(t, retry.Decide(f, retry.NewBudget()), test.want)
		})
	}
}

func BenchmarkDecide(b *testing.B) {
	budget := retry.NewBudget()
	f := retry.Failure{Reason: fault.QueueFull, Ran: fault.NotRun, Attempts: 1, Left: 500, HasAlternative: true}
	b.ReportAllocs()
	for b.Loop() {
		retry.Decide(f, budget)
	}
}
