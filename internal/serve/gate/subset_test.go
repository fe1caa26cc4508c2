package gate

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/fault"
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
			g.Config, reads = inForce(routes), changeAt
			assert.Equal(t, len(g.SubsetEndpoints()), 0, "the whole pool is used")
			assert.Equal(t, len(g.eligibleEndpoints(req, 1)), 3)
		})
	}
}

// Guards against requests that a process serves by the restored copy, because it waited for its lists
// for so long that the requests wait no longer for its peers.
func TestUninformedProcessServesNoRequest(t *testing.T) {
	g, req := newChoice(t)
	registry := view.New()
	registry.Sync(nil, 1, 0)
	registry.Publish()
	g.View, g.Config = registry.Snapshot, inForce(table.New(table.Content{}))
	g.Informed = func() bool { return false }
	refused := g.resolveRoute(req, httptest.NewRequest(http.MethodGet, "/", nil))
	assert.Assert(t, refused != nil && refused.Reason == fault.NotReady, "%v", refused)
}
