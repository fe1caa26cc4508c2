package view_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/route/view"
)

func versioned(id, version string, startedAt int64) view.Entry {
	e := entry(id, startedAt)
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
		{"no rollout", nil, "v1", []string{"a"}, nil},
		{"not started", []view.Rollout{{Pool: "orders", Version: "v2"}}, "v1", []string{"a"}, nil},
		{"running", []view.Rollout{{Pool: "orders", Version: "v2", Previous: "v1", Canary: true}}, "v1", []string{"a"}, []string{"b"}},
		{"completed", []view.Rollout{{Pool: "orders", Version: "v2", Previous: "v1", Completed: true}}, "v2", []string{"b"}, nil},
		{"rolled back", []view.Rollout{{Pool: "orders", Version: "v2", Previous: "v1"}}, "v1", []string{"a"}, nil},
		{"of another pool", []view.Rollout{{Pool: "models", Version: "v2", Previous: "v1", Completed: true}}, "v1", []string{"a"}, nil},
	} {
		r := view.New(view.WithVersions())
		r.SetRollouts(tt.rollouts)
		r.Sync([]view.Entry{versioned("a", "v1", 5), versioned("b", "v2", 9), versioned("c", "v3", 7)}, 10, 0)
		r.Publish()
		assert.Equal(t, r.Snapshot().Version("orders"), tt.inForce, tt.name)
		assert.DeepEqual(t, ids(r.Snapshot().Pool("orders")), tt.endpoints)
		assert.DeepEqual(t, ids(r.Snapshot().Candidates("orders")), tt.atCandidate)
	}
}

// Guards against a version that comes into force because the endpoints of the previous
// version were restarted or because its rollout was deleted.
func TestVersionInForceStays(t *testing.T) {
	r := view.New(view.WithVersions())
	r.SetRollouts(nil)
	r.Sync([]view.Entry{versioned("a", "v1", 5), versioned("b", "v2", 9)}, 10, 0)
	r.Publish()
	r.SetRollouts([]view.Rollout{{Pool: "orders", Version: "v2", Previous: "v1", Canary: true}})
	r.Put(versioned("a", "v1", 30), 20)
	r.Publish()
	r.SetRollouts(nil)
	r.Publish()
	assert.DeepEqual(t, ids(r.Snapshot().Pool("orders")), []string{"a"})
	r.Remove("a", 30, 0)
	r.Publish()
	assert.Equal(t, len(r.Snapshot().Pool("orders")), 0, "an endpoint of a version that is not in force gets no work")
}

// Guards against a process that serves before it has read the rollouts.
func TestSnapshotIsIncompleteWithoutRollouts(t *testing.T) {
	r := view.New(view.WithVersions())
	r.Sync([]view.Entry{versioned("a", "v1", 5)}, 10, 0)
	r.Publish()
	assert.Assert(t, !r.Snapshot().Complete())
	r.SetRollouts(nil)
	r.Publish()
	assert.Assert(t, r.Snapshot().Complete())
}

// Guards against an endpoint that is updated in place and keeps the state of its old
// version.
func TestNewVersionIsANewEndpoint(t *testing.T) {
	r := view.New(view.WithVersions())
	r.SetRollouts(nil)
	r.Sync([]view.Entry{versioned("a", "v1", 5)}, 10, 0)
	r.Publish()
	old := r.Snapshot().Find("a")
	r.Put(versioned("a", "v2", 5), 20)
	r.Publish()
	assert.Assert(t, old.Gone())
	assert.Equal(t, len(r.Snapshot().Pool("orders")), 0)
}
