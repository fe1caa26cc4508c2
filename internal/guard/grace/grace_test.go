package grace_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/guard/grace"
)

// The planned stop of the tests begins at stopAt and cuts at cutAt. Requests may take ownTime.
const (
	stopAt  = 100 * clock.Second
	cutAt   = stopAt + 3400
	ownTime = 6 * clock.Second
)

func kind(step grace.Step) grace.Kind { return grace.Kind{Route: "book", Pool: "orders", Step: step} }

// book returns a Book whose requests took the given times before the stop, and whose stop has begun.
func book(took ...clock.Millis) *grace.Book {
	b := &grace.Book{}
	for _, one := range took {
		b.Record(kind(grace.Chosen), one, stopAt-clock.Second)
	}
	b.Start(cutAt)
	return b
}

func times(count int, took clock.Millis) []clock.Millis {
	all := make([]clock.Millis, count)
	for i := range all {
		all[i] = took
	}
	return all
}

// Guards against requests that a planned stop cuts, because they were begun although they could not be expected to end
// before, and against requests that are refused although they end in time.
func TestOnlyRequestsThatEndInTimeAreBegun(t *testing.T) {
	cases := map[string]struct {
		book     *grace.Book
		after    clock.Millis // since the begin of the stop
		own      clock.Millis
		onceOnly bool
		begun    bool
	}{
		"takes 2.5 s, 3.4 s left":                       {book(times(8, 2500)...), 0, ownTime, false, true},
		"takes 2.5 s, 2.9 s left":                       {book(times(8, 2500)...), 500, ownTime, false, false},
		"takes 2.5 s, 3.4 s left, once only":            {book(times(8, 2500)...), 0, ownTime, true, false},
		"takes 1 s, 2 s left, once only":                {book(times(8, 1000)...), 1400, ownTime, true, true},
		"takes 1 s, 1.9 s left, once only":              {book(times(8, 1000)...), 1500, ownTime, true, false},
		"one of many took 3 s":                          {book(append(times(50, 10), 3000)...), 0, ownTime, false, false},
		"not measured":                                  {book(), 0, ownTime, false, false},
		"hardly measured":                               {book(times(7, 10)...), 0, ownTime, false, false},
		"not measured, its own time ends at the cut":    {book(), 400, 3000, true, true},
		"not measured, its own time ends after the cut": {book(), 401, 3000, true, false},
		"takes long, its own time ends before":          {book(times(8, 5000)...), 0, 2500, true, true},
		"the cut has passed":                            {book(times(8, 0)...), 3401, ownTime, false, false},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			now := stopAt + tt.after
			work := grace.Work{Kind: kind(grace.Chosen), EndsBy: now + tt.own, OnceOnly: tt.onceOnly}
			assert.Equal(t, tt.book.MayBegin(work, now), tt.begun)
		})
	}
}

// Guards against requests that are refused although no planned stop will cut them.
func TestRequestsAreBegunWithoutACut(t *testing.T) {
	work := grace.Work{Kind: kind(grace.Arrived), EndsBy: stopAt + ownTime, OnceOnly: true}
	var b grace.Book
	assert.Assert(t, b.MayBegin(work, stopAt) && !b.Draining())
	b.Start(0)
	assert.Assert(t, b.MayBegin(work, stopAt) && b.Draining())
}

// Guards against requests that arrive at the end of the balancer's lag and never let the stop end, and against queued
// ones that are given back although they end in time.
func TestArrivingRequestsAreRefusedAfterTheLag(t *testing.T) {
	b := book(times(8, 10)...)
	b.RefuseNew()
	assert.Assert(t, !b.MayBegin(grace.Work{Kind: kind(grace.Arrived), EndsBy: stopAt + 100}, stopAt))
	assert.Assert(t, b.MayBegin(grace.Work{Kind: kind(grace.Chosen), EndsBy: stopAt + ownTime}, stopAt))
}

// Guards against times that count for other requests, or after the pool has changed.
func TestTimesCountForTheirKindAndForAWhile(t *testing.T) {
	const before = stopAt - 40*clock.Second
	record := func(b *grace.Book, k grace.Kind, took, now clock.Millis) {
		for range 8 {
			b.Record(k, took, now)
		}
	}
	mayBegin := func(b *grace.Book) bool {
		b.Start(cutAt)
		return b.MayBegin(grace.Work{Kind: kind(grace.Chosen), EndsBy: stopAt + ownTime}, stopAt)
	}
	var others, replaced, old grace.Book
	for _, k := range []grace.Kind{kind(grace.Arrived), {Route: "look", Pool: "orders", Step: grace.Chosen}, {Route: "book", Pool: "stock", Step: grace.Chosen}} {
		record(&others, k, 10, stopAt)
	}
	assert.Assert(t, !mayBegin(&others))
	record(&replaced, kind(grace.Chosen), 5000, before)
	record(&replaced, kind(grace.Chosen), 10, before+30*clock.Second)
	assert.Assert(t, !mayBegin(&replaced), "the last window counts")
	record(&replaced, kind(grace.Chosen), 10, before+70*clock.Second)
	replaced.Start(cutAt + 70*clock.Second)
	work := grace.Work{Kind: kind(grace.Chosen), EndsBy: stopAt + 80*clock.Second}
	assert.Assert(t, replaced.MayBegin(work, stopAt+70*clock.Second), "it does not count any more")
	record(&old, kind(grace.Chosen), 10, stopAt-70*clock.Second)
	assert.Assert(t, !mayBegin(&old))
}

// Guards against a planned stop that ends before its requests, or waits for requests that don't end.
func TestOpenRequestsAreAwaitedAndCut(t *testing.T) {
	fake := clock.NewFake(1)
	o := grace.NewOpen(fake.Clock())
	end := o.Begin()
	assert.Equal(t, o.Count(), int64(1))
	ended := make(chan int64, 1)
	go func() { ended <- o.Wait(t.Context()) }()
	end()
	assert.Equal(t, <-ended, int64(0))
	assert.NilError(t, o.Context().Err())

	end = o.Begin()
	over, cancel := context.WithCancel(t.Context())
	cancel()
	go func() { ended <- o.Wait(over) }()
	<-o.Context().Done()
	end()
	assert.Equal(t, <-ended, int64(1))
}
