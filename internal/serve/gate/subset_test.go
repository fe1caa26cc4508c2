package gate

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/route/view"
)

// Guards against a panic, and against a wrong subset, when the endpoints change while one is
// chosen: positions in the list before were kept for the list after.
func TestEndpointsChangeWhileOneIsChosen(t *testing.T) {
	registry := view.New()
	for i := range 3 {
		registry.Put(view.Entry{ID: fmt.Sprintf("i-%d", i), StartedAt: 1, Pool: "m", Zone: "a", Slots: 64}, 1)
	}
	registry.Publish()
	for changeAt := range 4 {
		t.Run(fmt.Sprintf("after %d reads", changeAt), func(t *testing.T) {
			g, req := newChoice(t)
			before, reads := g.View(), 0
			g.View = func() *view.Snapshot {
				if reads++; reads <= changeAt {
					return before
				}
				return registry.Snapshot()
			}
			assert.Assert(t, len(g.eligibleEndpoints(req, 1)) > 0)
			routes := table.New(table.Content{Pools: []table.Pool{*req.pool}})
			g.Table, reads = func() *table.Table { return routes }, changeAt
			assert.Equal(t, len(g.SubsetEndpoints()), 0, "the whole pool is used")
			assert.Equal(t, len(g.eligibleEndpoints(req, 1)), 3)
		})
	}
}
