package apply_test

import (
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/plat/client"
	"github.com/jujubescale/jujubescale/internal/share/apply"
	"github.com/jujubescale/jujubescale/internal/stand/plat"
)

// Guards against an operator's change that is given up because each read of the head is stale, although the
// conflicts show the newest one.
func TestChangeSucceedsWhileReadsAreStale(t *testing.T) {
	platform := plat.New()
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(server.Close)
	operator := apply.New(client.New(server.URL).Store())
	const changes = 5
	for weight := 1; weight <= changes; weight++ {
		if weight == 3 {
			platform.SetFaults(plat.Faults{Stale: 1})
		}
		manifest := &manif.Manifest{Organisations: []manif.Organisation{{Name: "demo", Weight: weight}}}
		_, err := operator.Apply(t.Context(), manifest, apply.Change{Who: "anna"})
		assert.NilError(t, err)
	}
	platform.SetFaults(plat.Faults{})
	config, err := operator.Current(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, config.Head.Release, uint64(changes))
}
