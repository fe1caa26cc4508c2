package shard_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/route/shard"
)

func engines(perZone, zones int) []shard.Engine {
	var all []shard.Engine
	for i := range perZone * zones {
		all = append(all, shard.Engine{ID: fmt.Sprint("e", i), Zone: fmt.Sprint("z", i%zones)})
	}
	return all
}

func ExampleSplit() {
	for _, s := range shard.Split("ocr", []shard.Engine{{ID: "a", Zone: "east"}, {ID: "b", Zone: "west"}}) {
		fmt.Println(s.Name, len(s.Engines))
	}
	// Output: ocr 2
}

// Guards against an owner whose work grows with the pool, and against shards too small
// to fill calls.
func TestNumberOfShardsFollowsPoolSize(t *testing.T) {
	for _, tt := range []struct{ perZone, zones, least, most int }{
		{2, 3, 1, 1}, {6, 3, 1, 1}, {9, 5, 5, 5}, {7, 5, 5, 5}, {30, 5, 10, 10}, {137, 5, 30, 30}, {600, 5, 125, 125},
	} {
		all := engines(tt.perZone, tt.zones)
		shards := shard.Split("p", all)
		assert.Assert(t, len(shards) >= tt.least && len(shards) <= tt.most, "%d per zone: %d shards", tt.perZone, len(shards))
		seen := make(map[int]bool)
		for _, s := range shards {
			assert.Equal(t, shard.PoolOf(s.Name), "p")
			assert.Assert(t, len(shards) == 1 || len(s.Engines) <= 45, "%d engines", len(s.Engines))
			for _, i := range s.Engines {
				assert.Assert(t, !seen[i])
				seen[i] = true
				assert.Assert(t, s.Zone == "" || all[i].Zone == s.Zone)
			}
		}
		assert.Equal(t, len(seen), len(all))
	}
}

// Guards against engines that all change their shard when one engine leaves.
func TestRemovedEngineMovesFewOthers(t *testing.T) {
	all := engines(49, 5)
	before, after := shardsByEngine(all), shardsByEngine(all[1:])
	moved := 0
	for id, home := range after {
		if before[id] != home {
			moved++
		}
	}
	assert.Assert(t, moved*4 < len(all), "%d of %d moved", moved, len(all))
}

func shardsByEngine(all []shard.Engine) map[string]string {
	homes := make(map[string]string)
	for _, s := range shard.Split("p", all) {
		for _, i := range s.Engines {
			homes[all[i].ID] = s.Name
		}
	}
	return homes
}

// Guards against pool names that contain parts of the separator.
func TestPoolOfUnusualNames(t *testing.T) {
	for _, pool := range []string{"p", "a@b", "@", "@zone"} {
		for _, s := range shard.Split(pool, engines(9, 5)) {
			assert.Equal(t, shard.PoolOf(s.Name), pool)
		}
	}
	assert.Equal(t, shard.PoolOf("a@b"), "a@b")
}
