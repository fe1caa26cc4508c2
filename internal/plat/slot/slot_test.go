package slot_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/plat/client"
	"github.com/jujubescale/jujubescale/internal/plat/slot"
	"github.com/jujubescale/jujubescale/internal/stand/plat"
)

// Guards against overload of the weight store when a zone returns and all its
// engines load weights at once: no more processes than slots may load at a time.
func TestConcurrencyIsLimitedToTheSlots(t *testing.T) {
	const slotCount, processes = 2, 8
	server := httptest.NewServer(plat.New().Handler())
	defer server.Close()
	platform := client.New(server.URL).Store()
	var running, most atomic.Int64
	var group sync.WaitGroup
	for i := range processes {
		group.Go(func() {
			slots := slot.New(platform, "slots/weights", slotCount, fmt.Sprint("p", i))
			assert.Check(t, slots.Do(t.Context(), func(context.Context) error {
				now := running.Add(1)
				for seen := most.Load(); now > seen && !most.CompareAndSwap(seen, now); seen = most.Load() {
				}
				running.Add(-1)
				return nil
			}))
		})
	}
	group.Wait()
	assert.Assert(t, most.Load() >= 1 && most.Load() <= slotCount, "%d at once", most.Load())
}
