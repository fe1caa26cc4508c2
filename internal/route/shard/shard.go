// Package shard divides the stage engines of a large pool into shards with one owner
// each: by availability zone, with several shards in a large zone. The loss of an
// owner or a zone then stops one shard instead of the pool, and results stay in their
// zone.
package shard

import (
	"math"
	"strconv"
	"strings"

	"github.com/jujubescale/jujubescale/internal/route/owner"
)

const (
	// minPerZone is the mean number of engines per zone at which a pool is divided.
	// With fewer engines, the calls of a shard hold few pieces, and one slow engine is
	// a large part of the shard.
	minPerZone = 6.5
	// maxPerShard limits the mean number of engines of a shard, and so the work of its
	// owner.
	maxPerShard = 24
	// separator stands between the names of pool and zone, numberSeparator before the
	// number of a further shard of the zone.
	separator       = "@zone:"
	numberSeparator = "#"
)

// Engine is an engine of a pool.
type Engine struct {
	ID   string
	Zone string
}

// Shard is a part of a pool.
type Shard struct {
	// Name of the shard. It is the pool's name if the pool is not divided.
	Name string
	// Zone of all engines of the shard, "" if the pool is not divided.
	Zone string
	// Engines are the indexes of the shard's engines.
	Engines []int
}

// Split divides the engines of a pool into shards. The order of the engines determines
// the order of the shards.
func Split(pool string, engines []Engine) []Shard {
	zones := make(map[string]int)
	for _, engine := range engines {
		zones[engine.Zone]++
	}
	if len(zones) < 2 || float64(len(engines)) < minPerZone*float64(len(zones)) {
		whole := Shard{Name: pool}
		for i := range engines {
			whole.Engines = append(whole.Engines, i)
		}
		return []Shard{whole}
	}
	var shards []Shard
	byName := make(map[string]int)
	for i, engine := range engines {
		name := nameOf(pool, engine, zones[engine.Zone])
		index, found := byName[name]
		if !found {
			index = len(shards)
			byName[name] = index
			shards = append(shards, Shard{Name: name, Zone: engine.Zone})
		}
		shards[index].Engines = append(shards[index].Engines, i)
	}
	return shards
}

// nameOf returns the name of an engine's shard. Engines are assigned by rendezvous
// hashing, so that few of them move when the number of shards changes.
func nameOf(pool string, engine Engine, inZone int) string {
	name := pool + separator + engine.Zone
	parts := int(math.Ceil(float64(inZone) / maxPerShard))
	best, topWeight := 0, uint64(0)
	for part := range parts {
		if weight := owner.Weight(engine.ID, strconv.Itoa(part)); weight >= topWeight {
			best, topWeight = part, weight
		}
	}
	if best == 0 {
		return name
	}
	return name + numberSeparator + strconv.Itoa(best)
}

// PoolOf returns the pool of a shard from the shard's name.
func PoolOf(name string) string {
	if at := strings.LastIndex(name, separator); at > 0 {
		return name[:at]
	}
	return name
}
