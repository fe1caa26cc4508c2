package delta_test

import (
	"fmt"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/conf/check"
	"github.com/jujubescale/jujubescale/internal/conf/delta"
	"github.com/jujubescale/jujubescale/internal/conf/manif"
)

func sample(t *testing.T) *manif.Manifest {
	t.Helper()
	raw, err := os.ReadFile("../../../samples/papierveda.json")
	assert.NilError(t, err)
	m, err := check.Manifest(raw)
	assert.NilError(t, err)
	return m
}

// Reviewers read the listed differences instead of two long documents, so the list
// must be complete and must not contain moved entries whose order has no effect.
func TestCompare(t *testing.T) {
	cases := map[string]struct {
		edit func(*manif.Manifest)
		want []string
	}{
		"no change": {func(*manif.Manifest) {}, nil},
		"order of pools": {
			func(m *manif.Manifest) { m.Pools[0], m.Pools[1] = m.Pools[1], m.Pools[0] }, nil,
		},
		"a changed field": {
			func(m *manif.Manifest) { m.Pipelines[0].DeadlineMs = 2500 },
			[]string{"~ pipelines[setup-sheets-v1].deadlineMs: 3000 -> 2500"},
		},
		"a field that was absent": {
			func(m *manif.Manifest) { m.Organisations[1].MaxOpen = 9 },
			[]string{"+ organisations[tatra-paper].maxOpen: 9"},
		},
		"a disabled endpoint": {
			func(m *manif.Manifest) { m.Pools[3].LeftEndpoints = []string{"e-1"} },
			[]string{`+ pools[setup-engines].leftEndpoints[e-1]: "e-1"`},
		},
		"a removed zone": {
			func(m *manif.Manifest) { m.AvailabilityZones = m.AvailabilityZones[1:] },
			[]string{`- availabilityZones[za-1]: "za-1"`},
		},
		"order of stages": {
			func(m *manif.Manifest) {
				s := m.Pipelines[1].Stages
				s[0], s[1] = s[1], s[0]
			},
			[]string{`~ pipelines[shift-summaries-v1].stages order: ["encode","retrieve","rerank","draft"] -> ["retrieve","encode","rerank","draft"]`},
		},
		"a field of a call": {
			func(m *manif.Manifest) { m.Services[3].Calls[0].NotIdempotent = false },
			[]string{"- services[orders].calls[POST /v1/bookings].notIdempotent: true"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			edited := sample(t)
			c.edit(edited)
			changes, err := delta.Compare(sample(t), edited)
			assert.NilError(t, err)
			var got []string
			for _, change := range changes {
				got = append(got, fmt.Sprint(change))
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}

func TestFirstManifestIsAllAdded(t *testing.T) {
	changes, err := delta.Compare(nil, sample(t))
	assert.NilError(t, err)
	assert.Equal(t, len(changes), 3+4+8+5+3)
	for _, change := range changes {
		assert.Equal(t, change.Kind, delta.Added)
	}
}
