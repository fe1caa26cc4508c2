package permit_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/engine/spell"
	"github.com/jujubescale/jujubescale/internal/route/view"
)

// replaceEngine makes an engine that has not answered yet take the place of the present one.
func (f *roomFleet) replaceEngine(id string) {
	for i := range f.engines {
		f.engines[i] = &view.Endpoint{ID: id, StartedAt: 20, Pool: "models"}
	}
}

// Guards against engines that are sent more than they have memory for because all others of their
// pool, which had stated that they share their hosts, have ended.
func TestPoolSharesItsHostsAfterAllItsEnginesWereReplaced(t *testing.T) {
	f := newRoomFleet(t, 2)
	f.replaceEngine("i-2")
	f.state()
	f.replaceEngine("i-3")
	f.settleQuietly(t)
	f.fill(t, 0)
	f.fill(t, 1)
	assert.Equal(t, f.held(), engineLimits.Tokens)
}

// settleQuietly lets time pass without an answer of the engine.
func (f *roomFleet) settleQuietly(t *testing.T) {
	t.Helper()
	for i := range f.books {
		f.try(t, i)
	}
	for range 25 {
		for _, b := range f.books {
			b.Renew(t.Context())
		}
		f.clock.Advance(100)
	}
}

// Guards against engines that crash again and again before they can state that they share their
// hosts.
func TestEngineThatBreaksOffBeforeAnyAnswerIsReserved(t *testing.T) {
	f := newRoomFleet(t, 2)
	f.replaceEngine("i-2")
	for i, b := range f.books {
		b.ObserveBreak(f.engines[i])
	}
	f.replaceEngine("i-3")
	f.settleQuietly(t)
	f.fill(t, 0)
	f.fill(t, 1)
	assert.Equal(t, f.held(), engineLimits.Tokens)
}

// Guards against reservations at engines that don't share their hosts because one of them crashed.
func TestAnswerWithoutAStatementEndsTheSuspicion(t *testing.T) {
	f := newRoomFleet(t, 2)
	f.replaceEngine("i-2")
	b := f.books[0]
	b.ObserveBreak(f.engines[0])
	f.try(t, 0)
	assert.Equal(t, b.Shared(), int64(2), "this engine and the one before")
	b.Observe(f.engines[0], http.StatusOK, spell.ResponseInfo{HasLoad: true}, "r", f.clock.Clock().Now())
	b.Sweep(func(string) *view.Endpoint { return f.engines[0] })
	assert.Equal(t, b.Shared(), int64(0))
	b.ObserveBreak(f.engines[0])
	f.try(t, 0)
	assert.Equal(t, b.Shared(), int64(0), "the pool has answered")
	b.Observe(f.engines[0], http.StatusOK, spell.ResponseInfo{LoadFault: "1,0,64,-100"}, "r", f.clock.Clock().Now())
	assert.DeepEqual(t, b.SharedPools(), []string{""}) // the pool of the engine before
}

// Guards against a fleet that has forgotten which engines share their hosts after all its processes
// were killed.
func TestPoolsThatOtherProcessesStateAreReserved(t *testing.T) {
	f := newRoomFleet(t, 2)
	f.replaceEngine("i-2")
	b := f.newBook(0, 2)
	b.TakeSharedPools([]string{"models", "others"})
	assert.DeepEqual(t, b.SharedPools(), []string{"models", "others"})
	f.books[0] = b
	f.try(t, 0)
	assert.Equal(t, b.Shared(), int64(1))
	b.Observe(f.engines[0], http.StatusOK, spell.ResponseInfo{HasLoad: true}, "r", f.clock.Clock().Now())
	assert.DeepEqual(t, b.SharedPools(), []string{"others"})
}
