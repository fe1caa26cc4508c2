package view_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/route/view"
)

func entry(id string, startedAt int64) view.Entry {
	return view.Entry{ID: id, StartedAt: startedAt, Address: "10.0.0.1:80", Pool: "orders", Zone: "a", Slots: 4}
}

func ids(endpoints []*view.Endpoint) []string {
	var all []string
	for _, e := range endpoints {
		all = append(all, e.ID)
	}
	return all
}

// Guards against an endpoint that has ended but still counts for seconds, because
// another one was started at its address under a new ID. Requests sent to it are
// refused, and a pool that appears to have twice its engines is divided into other
// shards.
func TestLaterEndpointReplacesEarlierOneAtTheSameAddress(t *testing.T) {
	r := view.New()
	first := entry("x", 1)
	r.Sync([]view.Entry{first}, 10, 0)
	r.Publish()
	old := r.Snapshot().Find("x")
	other := entry("y", 1)
	other.Address = "10.0.0.2:80"
	r.Put(other, 15)
	later := entry("z", 2)
	changes := r.Put(later, 20)
	assert.Equal(t, changes[0].Kind, view.Gone)
	assert.Equal(t, changes[0].Endpoint, old)
	assert.Assert(t, old.Gone())
	r.Publish()
	assert.DeepEqual(t, ids(r.Snapshot().Pool("orders")), []string{"y", "z"})
	// An entry with an earlier start replaces no endpoint.
	r.Put(entry("v", 1), 30)
	r.Publish()
	assert.Assert(t, !r.Snapshot().Find("z").Gone())
}

func TestLeavingAndEvacuatedEndpointsGetNoNewWork(t *testing.T) {
	r := view.New()
	r.Sync([]view.Entry{entry("x", 1), entry("y", 1)}, 10, 0)
	r.Publish()
	assert.Assert(t, r.Snapshot().Complete())
	assert.DeepEqual(t, ids(r.Snapshot().Pool("orders")), []string{"x", "y"})
	leaving := entry("x", 1)
	leaving.Leaving = true
	changes := r.Put(leaving, 20)
	assert.Equal(t, changes[0].Kind, view.Leaving)
	assert.Assert(t, changes[0].Endpoint.Unavailable())
	r.Publish()
	assert.DeepEqual(t, ids(r.Snapshot().Pool("orders")), []string{"y"})
	r.SetEvacuated([]string{"a"})
	r.Publish()
	assert.Equal(t, len(r.Snapshot().Pool("orders")), 0)
	assert.Assert(t, r.Snapshot().Evacuated("a"))
}

// Guards against dropping all endpoints after an outage of the store, in which entries
// expired although their endpoints were running. Callers would have no endpoint for two
// seconds.
func TestExpiredEntriesMayReturn(t *testing.T) {
	r := view.New()
	r.Sync([]view.Entry{entry("x", 1), entry("y", 1)}, 10, 0)
	assert.Equal(t, len(r.Sync(nil, 100, 1500)), 0)
	r.Put(entry("x", 1), 900)
	assert.Equal(t, len(r.Expire(1599)), 0)
	changes := r.Expire(1600)
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0].Endpoint.ID, "y")
	r.Publish()
	assert.DeepEqual(t, ids(r.Snapshot().Pool("orders")), []string{"x"})
}

// Guards against an endpoint that crashes and restarts under the same ID and is taken
// for its earlier start. Work meant for the earlier start would reach a cold endpoint
// that has lost its memory.
func TestRestartUnderTheSameIDIsANewEndpoint(t *testing.T) {
	r := view.New()
	r.Put(entry("x", 1), 10)
	r.Publish()
	old := r.Snapshot().Find("x")
	again := entry("x", 2)
	again.Cold = 3000
	changes := r.Put(again, 20)
	assert.Equal(t, changes[0].Kind, view.Restarted)
	assert.Assert(t, old.Gone())
	r.Publish()
	assert.Assert(t, r.Snapshot().Find("x").Cold(3019))
	assert.Assert(t, !r.Snapshot().Find("x").Cold(3020))
	// The wall clock of a host may step back between two starts, so that the order in
	// the store decides, not the start time in the entry.
	assert.Equal(t, r.Put(entry("x", 1), 30)[0].Kind, view.Restarted)
}

func TestRemoveWithoutGraceIsImmediate(t *testing.T) {
	r := view.New()
	r.Put(entry("x", 1), 10)
	assert.Equal(t, r.Remove("x", 20, 0)[0].Kind, view.Gone)
	assert.Equal(t, len(r.Remove("x", 20, 0)), 0)
}

// Guards against requests for an endpoint that has ended and whose address another one uses: its entry stays until the
// platform notices, and lists hold it before or after the later one.
func TestEntryOfAnEndpointWhoseAddressIsTakenIsNotUsed(t *testing.T) {
	ended, later := entry("orders-1", 100), entry("orders-2", 200)
	for name, list := range map[string][]view.Entry{"before": {ended, later}, "after": {later, ended}} {
		t.Run(name, func(t *testing.T) {
			r := view.New()
			for range 2 { // it is read again after an outage
				r.Sync(list, 0, 0)
				r.Publish()
				assert.Assert(t, r.Snapshot().Find("orders-1") == nil)
				assert.Equal(t, r.Snapshot().Find("orders-2").Address, later.Address)
			}
			r.Put(ended, 10)
			r.Publish()
			assert.Equal(t, len(r.Snapshot().Pool("orders")), 1)
		})
	}
}
