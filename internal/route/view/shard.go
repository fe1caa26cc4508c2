package view

import "github.com/jujubescale/jujubescale/internal/route/shard"

// Shard is a part of a pool with an owner of its own.
type Shard struct {
	Name string
	// Zone of its endpoints, "" if they are all of the pool.
	Zone      string
	Endpoints []*Endpoint
}

// Shards returns the shards of a pool, none if it has no endpoints.
func (s *Snapshot) Shards(pool string) []Shard {
	if s == nil {
		return nil
	}
	return s.shards[pool]
}

// Shard returns a shard by its name, nil if it has no endpoints.
func (s *Snapshot) Shard(name string) *Shard {
	if s == nil {
		return nil
	}
	return s.byShard[name]
}

// MaxShards returns the number of shards of the pool that has most.
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

// split divides the pools into shards.
func (s *Snapshot) split() {
	for pool, endpoints := range s.pools {
		engines := make([]shard.Engine, 0, len(endpoints))
		for _, e := range endpoints {
			engines = append(engines, shard.Engine{ID: e.ID, Zone: e.Zone})
		}
		for _, part := range shard.Split(pool, engines) {
			own := Shard{Name: part.Name, Zone: part.Zone}
			for _, i := range part.Engines {
				own.Endpoints = append(own.Endpoints, endpoints[i])
			}
			s.shards[pool] = append(s.shards[pool], own)
			s.byShard[own.Name] = &own
		}
	}
}
