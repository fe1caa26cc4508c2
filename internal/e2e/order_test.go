package e2e_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/serve/agent"
	"github.com/jujubescale/jujubescale/internal/share/apply"
	"github.com/jujubescale/jujubescale/internal/stand/engine"
	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

// awaitUnload waits until the last order of each engine is the unload of this
// version. It returns the orders of each engine.
func awaitUnload(t *testing.T, system *whole.Whole, version string) map[string][]engine.Order {
	t.Helper()
	all := make(map[string][]engine.Order)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, place := range system.Places {
			if place.Engine == nil {
				continue
			}
			orders := place.Engine.Orders()
			all[place.Endpoint] = orders
			if len(orders) == 0 || orders[len(orders)-1].Op != engine.OpUnload || orders[len(orders)-1].Version != version {
				return poll.Continue("orders of %s: %v", place.Endpoint, orders)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
	return all
}

func manifestWithVersion(version string, fencing manif.Fencing) *manif.Manifest {
	manifest := longDeadlineManifest()
	for i := range manifest.Pools {
		if manifest.Pools[i].Kind == manif.KindGenerate {
			manifest.Pools[i].Models[0].Version = version
			manifest.Pools[i].Fencing = fencing
		}
	}
	return manifest
}

// Guards against engines that don't load the version in the manifest. Operators
// replace the version of a model twice, and every agent is killed and replaced in
// between. Fencing numbers of orders must not decrease. The number of engines
// that load from the weight store at the same time is limited, because too many
// loads would slow each other down.
func TestEnginesFollowTheManifest(t *testing.T) {
	t.Parallel()
	system := startSystem(t, whole.WithManifest(manifestWithVersion("1", manif.FencingChecked)), whole.WithEndpoints(8),
		whole.WithWeightLoad(100*time.Millisecond))
	for _, version := range []string{"2", "3"} {
		_, err := system.Operator().Apply(t.Context(), manifestWithVersion(version, manif.FencingChecked), apply.Change{Who: "anna"})
		assert.NilError(t, err)
		awaitUnload(t, system, map[string]string{"2": "1", "3": "2"}[version])
		for _, place := range system.Places {
			if place.Engine != nil && version == "2" {
				assert.NilError(t, system.Inject(whole.Fault{Name: whole.AgentKill, Target: place.Endpoint}))
			}
		}
	}
	for endpoint, orders := range awaitUnload(t, system, "2") {
		sorted := slices.IsSortedFunc(orders, func(a, b engine.Order) int { return int(a.Fence) - int(b.Fence) })
		assert.Assert(t, sorted, "%s: %v", endpoint, orders)
		assert.Equal(t, orders[0].Fence, uint64(1))
		assert.Assert(t, orders[len(orders)-1].Fence > 1, "the new agent must have a fencing number of its own")
	}
	assert.Assert(t, system.Weights.MaxConcurrent() <= agent.DefaultWeightSlots, "%d concurrent loads", system.Weights.MaxConcurrent())
}

// Guards against engines that miss a change of the role of their pool, for
// instance to separate prefill from decode. Every engine must get exactly one
// order, with the new role, and keep its models.
func TestEnginesGetTheRoleOfTheirPool(t *testing.T) {
	t.Parallel()
	system := startSystem(t, whole.WithManifest(manifestWithVersion("1", manif.FencingChecked)), whole.WithEndpoints(2))
	next := manifestWithVersion("1", manif.FencingChecked)
	for i := range next.Pools {
		if next.Pools[i].Kind == manif.KindGenerate {
			next.Pools[i].Role = "decode"
		}
	}
	_, err := system.Operator().Apply(t.Context(), next, apply.Change{Who: "anna"})
	assert.NilError(t, err)
	for _, place := range system.Places {
		if place.Engine == nil {
			continue
		}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if len(place.Engine.Orders()) == 0 {
				return poll.Continue("no order yet")
			}
			return poll.Success()
		}, poll.WithTimeout(time.Minute))
		orders := place.Engine.Orders()
		assert.Equal(t, len(orders), 1, "%v", orders)
		assert.Equal(t, orders[0].Role, "decode")
	}
}
