package view_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/route/view"
)

func entry(id string, born int64) view.Entry {
	return view.Entry{ID: id, StartedAt: born, Address: "10.0.0.1:80", Pool: "orders", Zone: "a", Slots: 4}
}

func ids(endpoints []*view.Endpoint) []string {
	var all []string
	for _, e := range endpoints {
		all = append(all, e.ID)
	}
	return all
}

// Guards against endpoints that have ended and count on for seconds, because others
// were started at their addresses under new ids: requests sent there are refused, and
// a pool that seems to have twice its engines is divided anew.
func TestLaterEndpointAtAnAddressReplacesTheOneBefore(t *testing.T) {
	b := view.New()
	first := entry("x", 1)
	b.Sync([]view.Entry{first}, 10, 0)
	b.Publish()
	old := b.Snapshot().Find("x")
	other := entry("y", 1)
	other.Address = "10.0.0.2:80"
	b.Put(other, 15)
	later := entry("z", 2)
	changes := b.Put(later, 20)
	assert.Equal(t, changes[0].Kind, view.Gone)
	assert.Equal(t, changes[0].Endpoint, old)
	assert.Assert(t, old.Gone())
	b.Publish()
	assert.DeepEqual(t, ids(b.Snapshot().Pool("orders")), []string{"y", "z"})
	// An entry that claims to have started earlier replaces nobody.
	b.Put(entry("v", 1), 30)
	b.Publish()
	assert.Assert(t, !b.Snapshot().Find("z").Gone())
}

func TestLeavingAndEmptiedGetNothingNew(t *testing.T) {
	b := view.New()
	b.Sync([]view.Entry{entry("x", 1), entry("y", 1)}, 10, 0)
	b.Publish()
	assert.Assert(t, b.Snapshot().Complete())
	assert.DeepEqual(t, ids(b.Snapshot().Pool("orders")), []string{"x", "y"})
	leaving := entry("x", 1)
	leaving.Leaving = true
	changes := b.Put(leaving, 20)
	assert.Equal(t, changes[0].Kind, view.Leaving)
	assert.Assert(t, changes[0].Endpoint.Unavailable())
	b.Publish()
	assert.DeepEqual(t, ids(b.Snapshot().Pool("orders")), []string{"y"})
	b.SetEvacuated([]string{"a"})
	b.Publish()
	assert.Equal(t, len(b.Snapshot().Pool("orders")), 0)
	assert.Assert(t, b.Snapshot().Evacuated("a"))
}

// The store was away and entries lapsed meanwhile although their endpoints
// live. Dropping all of them at its return would leave callers without any
// endpoint for two seconds.
func TestLapsedEntriesMayReturn(t *testing.T) {
	b := view.New()
	b.Sync([]view.Entry{entry("x", 1), entry("y", 1)}, 10, 0)
	assert.Equal(t, len(b.Sync(nil, 100, 1500)), 0)
	b.Put(entry("x", 1), 900)
	assert.Equal(t, len(b.Expire(1599)), 0)
	changes := b.Expire(1600)
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0].Endpoint.ID, "y")
	b.Publish()
	assert.DeepEqual(t, ids(b.Snapshot().Pool("orders")), []string{"x"})
}

// An endpoint crashes and starts again under its old id. Whoever still holds
// the old one must see that it is gone, or work meant for it reaches one that
// is cold and knows nothing of what lay there.
func TestRestartUnderOneIDIsAnotherEndpoint(t *testing.T) {
	b := view.New()
	b.Put(entry("x", 1), 10)
	b.Publish()
	old := b.Snapshot().Find("x")
	again := entry("x", 2)
	again.Cold = 3000
	changes := b.Put(again, 20)
	assert.Equal(t, changes[0].Kind, view.Restarted)
	assert.Assert(t, old.Gone())
	b.Publish()
	assert.Assert(t, b.Snapshot().Find("x").Cold(3019))
	assert.Assert(t, !b.Snapshot().Find("x").Cold(3020))
	// The wall clock of a host may have stepped back between two starts: the
	// order in the store decides, not the time that an entry claims.
	assert.Equal(t, b.Put(entry("x", 1), 30)[0].Kind, view.Restarted)
}

func TestRemovedAtOnceInCalm(t *testing.T) {
	b := view.New()
	b.Put(entry("x", 1), 10)
	assert.Equal(t, b.Remove("x", 20, 0)[0].Kind, view.Gone)
	assert.Equal(t, len(b.Remove("x", 20, 0)), 0)
}
