package view

import "github.com/jujubescale/jujubescale/internal/route/shard"

// Shard is a part of a pool with its own owner.
type Shard struct {
	Name string
	// Zone of the shard's endpoints, "" if the shard is the whole pool.
	Zone      string
	Endpoints []*Endpoint
}

// Shards returns the shards of a pool. A pool without endpoints has none.
func (s *Snapshot) Shards(pool string) []Shard {
	if s == nil {
		return nil
	}
	return s.shards[pool]
}

// Shard returns a shard by its name, or nil if it has no endpoints.
func (s *Snapshot) Shard(name string) *Shard {
	if s == nil {
		return nil
	}
	return s.byShard[name]
}

// MaxShards returns the largest number of shards of any pool.
func (s *Snapshot) MaxShards() int {
	if s == nil {
		return 0
	}
	most := 0
	for _, shards := range s.shards {
		most = max(most, len(shards))
	}
	return most
}

// splitPools divides the pools into shards.
func (s *Snapshot) splitPools() {
	for pool, endpoints := range s.pools {
		engines := make([]shard.Engine, 0, len(endpoints))
		for _, e := range endpoints {
			engines = append(engines, shard.Engine{ID: e.ID, Zone: e.Zone})
		}
		for _, split := range shard.Split(pool, engines) {
			part := Shard{Name: split.Name, Zone: split.Zone}
			for _, i := range split.Engines {
				part.Endpoints = append(part.Endpoints, endpoints[i])
			}
			s.shards[pool] = append(s.shards[pool], part)
			s.byShard[part.Name] = &part
		}
	}
}
