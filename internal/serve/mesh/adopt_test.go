package mesh_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/serve/mesh"
)

// Guards against processes that each own all pools alone after all were killed: the list of the
// store holds only ended incarnations then, and their successors were not used until they were
// listed.
func TestRestartedProcessIsUsedBeforeItIsListed(t *testing.T) {
	for name, owns := range map[string]bool{"may own pools": true, "has read no routes yet": false} {
		t.Run(name, func(t *testing.T) {
			m, self := startMesh(t, "a")
			restarted, member := startMesh(t, "b")
			if !owns {
				restarted.StopOwning()
			}
			stale := member
			stale.Incarnation = token.NewIncarnation()
			m.SetMembers([]mesh.Member{self, stale})
			assert.Assert(t, m.TakesHandovers(t.Context(), "b"), "the session is not used")
			assert.Equal(t, slices.Contains(m.LiveProcesses(), "b"), owns)
			m.SetMembers([]mesh.Member{self, stale}) // an older list must not bring the ended incarnation back
			assert.Equal(t, slices.Contains(m.LiveProcesses(), "b"), owns)
			m.SetMembers([]mesh.Member{self, member})
			assert.Assert(t, m.TakesHandovers(t.Context(), "b"))
			m.SetMembers([]mesh.Member{self})
			assert.Assert(t, !slices.Contains(m.LiveProcesses(), "b"))
		})
	}
}

// Guards against a run that stays unused for good because its session was open before the list was read, which still held the run
// before.
func TestRunThatWasSeenBeforeTheListIsUsedOnceItIsListed(t *testing.T) {
	m, self := startMesh(t, "a")
	restarted, member := startMesh(t, "b")
	restarted.SetMembers([]mesh.Member{self})
	assert.Assert(t, restarted.TakesHandovers(t.Context(), "a"), "the session is not used")
	assert.Equal(t, m.Incarnation("b"), member.Incarnation)
	ended := member
	ended.Incarnation = token.NewIncarnation()
	m.SetMembers([]mesh.Member{self, ended})
	m.SetMembers([]mesh.Member{self, member})
	assert.Equal(t, m.Incarnation("b"), member.Incarnation)
	assert.Assert(t, m.TakesHandovers(t.Context(), "b"))
}
