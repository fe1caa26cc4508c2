package view_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/route/view"
)

func versioned(id, version string, born int64) view.Entry {
	e := entry(id, born)
	e.Version, e.Address = version, "10.0.0."+id+":80"
	return e
}

func TestRolloutsDecideWhichVersionsGetWork(t *testing.T) {
	for _, tt := range []struct {
		name                   string
		rollouts               []view.Rollout
		inForce                string
		endpoints, atCandidate []string
	}{
		{"no order", nil, "v1", []string{"a"}, nil},
		{"not begun", []view.Rollout{{Pool: "orders", Version: "v2"}}, "v1", []string{"a"}, nil},
		{"running", []view.Rollout{{Pool: "orders", Version: "v2", Previous: "v1", Canary: true}}, "v1", []string{"a"}, []string{"b"}},
		{"completed", []view.Rollout{{Pool: "orders", Version: "v2", Previous: "v1", Completed: true}}, "v2", []string{"b"}, nil},
		{"rolled back", []view.Rollout{{Pool: "orders", Version: "v2", Previous: "v1"}}, "v1", []string{"a"}, nil},
		{"of another pool", []view.Rollout{{Pool: "models", Version: "v2", Previous: "v1", Completed: true}}, "v1", []string{"a"}, nil},
	} {
		b := view.New(view.WithVersions())
		b.SetRollouts(tt.rollouts)
		b.Sync([]view.Entry{versioned("a", "v1", 5), versioned("b", "v2", 9), versioned("c", "v3", 7)}, 10, 0)
		b.Publish()
		assert.Equal(t, b.Snapshot().Version("orders"), tt.inForce, tt.name)
		assert.DeepEqual(t, ids(b.Snapshot().Pool("orders")), tt.endpoints)
		assert.DeepEqual(t, ids(b.Snapshot().Candidates("orders")), tt.atCandidate)
	}
}

// Guards against a version that comes into force because the endpoints of the one
// before were restarted, or because its order was removed.
func TestVersionInForceStays(t *testing.T) {
	b := view.New(view.WithVersions())
	b.SetRollouts(nil)
	b.Sync([]view.Entry{versioned("a", "v1", 5), versioned("b", "v2", 9)}, 10, 0)
	b.Publish()
	b.SetRollouts([]view.Rollout{{Pool: "orders", Version: "v2", Previous: "v1", Canary: true}})
	b.Put(versioned("a", "v1", 30), 20)
	b.Publish()
	b.SetRollouts(nil)
	b.Publish()
	assert.DeepEqual(t, ids(b.Snapshot().Pool("orders")), []string{"a"})
	b.Remove("a", 30, 0)
	b.Publish()
	assert.Equal(t, len(b.Snapshot().Pool("orders")), 0, "an endpoint that no order allows gets nothing")
}

// Guards against a process that serves before it knows of the rollouts.
func TestBookIsIncompleteWithoutRollouts(t *testing.T) {
	b := view.New(view.WithVersions())
	b.Sync([]view.Entry{versioned("a", "v1", 5)}, 10, 0)
	b.Publish()
	assert.Assert(t, !b.Snapshot().Complete())
	b.SetRollouts(nil)
	b.Publish()
	assert.Assert(t, b.Snapshot().Complete())
}

// Guards against an endpoint that is updated in place and goes on as what it was.
func TestAnotherVersionIsAnotherEndpoint(t *testing.T) {
	b := view.New(view.WithVersions())
	b.SetRollouts(nil)
	b.Sync([]view.Entry{versioned("a", "v1", 5)}, 10, 0)
	b.Publish()
	old := b.Snapshot().Find("a")
	b.Put(versioned("a", "v2", 5), 20)
	b.Publish()
	assert.Assert(t, old.Gone())
	assert.Equal(t, len(b.Snapshot().Pool("orders")), 0)
}
