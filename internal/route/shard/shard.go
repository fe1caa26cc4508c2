// Package shard divides the stage engines of a large pool into shards, each with
// an owner of its own: by availability zone, and those of a large zone further.
// The end of an owner, or of a zone, then stops one shard and not the pool, and
// results stay in their zone.
package shard

import (
	"math"
	"strconv"
	"strings"

	"github.com/jujubescale/jujubescale/internal/route/owner"
)

const (
	// leastPerZone is the mean number of engines in a zone from which a pool is
	// divided. With fewer, calls of a shard hold few pieces, and one engine that is
	// slow is a large part of it.
	leastPerZone = 6.5
	// mostPerShard bounds the engines of one shard, and so the work of one owner.
	mostPerShard = 24
	// separator stands between the names of pool and zone, zoneEnd before the
	// number of a further shard.
	separator = "@zone:"
	zoneEnd   = "#"
)

// Engine is one engine of a pool.
type Engine struct {
	ID   string
	Zone string
}

// Shard is one part of a pool.
type Shard struct {
	// Name of the shard; that of the pool if it is not divided.
	Name string
	// Zone of all its engines, "" if the pool is not divided.
	Zone string
	// Engines are the positions of its engines.
	Engines []int
}

// Split divides the engines of a pool. The engines' order decides that of the
// shards.
func Split(pool string, engines []Engine) []Shard {
	zones := make(map[string]int)
	for _, engine := range engines {
		zones[engine.Zone]++
	}
	if len(zones) < 2 || float64(len(engines)) < leastPerZone*float64(len(zones)) {
		whole := Shard{Name: pool}
		for i := range engines {
			whole.Engines = append(whole.Engines, i)
		}
		return []Shard{whole}
	}
	var shards []Shard
	at := make(map[string]int)
	for i, engine := range engines {
		name := nameOf(pool, engine, zones[engine.Zone])
		index, found := at[name]
		if !found {
			index = len(shards)
			at[name] = index
			shards = append(shards, Shard{Name: name, Zone: engine.Zone})
		}
		shards[index].Engines = append(shards[index].Engines, i)
	}
	return shards
}

// nameOf returns the name of an engine's shard. Engines are assigned by hash, so
// that few of them move when the number of shards changes.
func nameOf(pool string, engine Engine, inZone int) string {
	name := pool + separator + engine.Zone
	parts := int(math.Ceil(float64(inZone) / mostPerShard))
	best, top := 0, uint64(0)
	for part := range parts {
		if weight := owner.Weight(engine.ID, strconv.Itoa(part)); weight >= top {
			best, top = part, weight
		}
	}
	if best == 0 {
		return name
	}
	return name + zoneEnd + strconv.Itoa(best)
}

// PoolOf returns the pool of a shard by its name.
func PoolOf(name string) string {
	if at := strings.LastIndex(name, separator); at > 0 {
		return name[:at]
	}
	return name
}
