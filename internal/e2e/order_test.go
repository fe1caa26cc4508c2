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

// lastOrders waits until each engine's orders end with the unload of an old
// version, and returns them.
func lastOrders(t *testing.T, system *whole.Whole, version string) map[string][]engine.Order {
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
				return poll.Continue("%s has %v", place.Endpoint, orders)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
	return all
}

func withVersion(version string, fencing manif.Fencing) *manif.Manifest {
	manifest := patient()
	for i := range manifest.Pools {
		if manifest.Pools[i].Kind == manif.KindGenerate {
			manifest.Pools[i].Models[0].Version = version
			manifest.Pools[i].Fencing = fencing
		}
	}
	return manifest
}

// Operators replace a model's version, and between two replacements every
// agent dies and is started anew. Engines must follow the manifest, get no
// order with an older number than one before, and not all load at once from the
// weight store, which would slow down for all of them.
func TestEnginesFollowTheManifest(t *testing.T) {
	t.Parallel()
	system := started(t, whole.WithManifest(withVersion("1", manif.FencingChecked)), whole.WithEndpoints(8),
		whole.WithWeightLoad(100*time.Millisecond))
	for _, version := range []string{"2", "3"} {
		_, err := system.Operator().Apply(t.Context(), withVersion(version, manif.FencingChecked), apply.Change{Who: "anna"})
		assert.NilError(t, err)
		lastOrders(t, system, map[string]string{"2": "1", "3": "2"}[version])
		for _, place := range system.Places {
			if place.Engine != nil && version == "2" {
				assert.NilError(t, system.Inject(whole.Fault{Name: whole.AgentKill, Target: place.Endpoint}))
			}
		}
	}
	for endpoint, orders := range lastOrders(t, system, "2") {
		sorted := slices.IsSortedFunc(orders, func(a, b engine.Order) int { return int(a.Fence) - int(b.Fence) })
		assert.Assert(t, sorted, "%s: %v", endpoint, orders)
		assert.Equal(t, orders[0].Fence, uint64(1))
		assert.Assert(t, orders[len(orders)-1].Fence > 1, "the new agent has a number of its own")
	}
	assert.Assert(t, system.Weights.MaxConcurrent() <= agent.DefaultWeightSlots, "%d loads at once", system.Weights.MaxConcurrent())
}

// Operators change the role of a pool's engines, for instance to split prefill
// from decode. Every engine must get that order once, and keep its models.
func TestEnginesTakeTheRoleOfTheirPool(t *testing.T) {
	t.Parallel()
	system := started(t, whole.WithManifest(withVersion("1", manif.FencingChecked)), whole.WithEndpoints(2))
	next := withVersion("1", manif.FencingChecked)
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
