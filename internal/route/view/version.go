package view

import (
	"cmp"
	"slices"
)

// Rollout is what an operator ordered for a pool, as far as it decides which
// endpoints get work.
type Rollout struct {
	Pool string
	// Version that the pool goes to, and Previous the one in force before, "" where
	// that isn't recorded.
	Version  string
	Previous string
	// Completed has only Version get work. Otherwise the previous version does,
	// and, if Canary is set, a part of the work goes to Version.
	Completed bool
	Canary    bool
}

// poolVersions is which versions of a pool's endpoints get work.
type poolVersions struct {
	inForce, candidate string
	// candidates are the endpoints of the candidate version, in the order of
	// their ids.
	candidates []*Endpoint
}

// Version returns the version of a pool that is in force, "" where it isn't known.
func (s *Snapshot) Version(pool string) string {
	if s == nil {
		return ""
	}
	return s.versions[pool].inForce
}

// Candidates returns the endpoints of the version that a pool's rollout goes to,
// in the order of their ids; none if the version gets no work.
func (s *Snapshot) Candidates(pool string) []*Endpoint {
	if s == nil {
		return nil
	}
	return s.versions[pool].candidates
}

// SetRollouts takes all rollouts. Publish puts them in force.
func (b *Registry) SetRollouts(rollouts []Rollout) {
	b.rollouts = make(map[string]Rollout, len(rollouts))
	for _, rollout := range rollouts {
		b.rollouts[rollout.Pool] = rollout
	}
}

// selectVersions takes the endpoints out of a snapshot's pools whose version gets
// no work, and sets those of candidates apart.
func (b *Registry) selectVersions(s *Snapshot) {
	s.versions = make(map[string]poolVersions)
	for _, pool := range b.poolNames() {
		rollout, ordered := b.rollouts[pool]
		own := poolVersions{inForce: b.versionInForce(pool, rollout, ordered)}
		if ordered && rollout.Canary && !rollout.Completed && rollout.Version != own.inForce {
			own.candidate = rollout.Version
		}
		var usable []*Endpoint
		for _, e := range s.pools[pool] {
			switch {
			case e.Version == own.inForce:
				usable = append(usable, e)
			case own.candidate != "" && e.Version == own.candidate:
				own.candidates = append(own.candidates, e)
			}
		}
		s.pools[pool], s.versions[pool] = usable, own
	}
}

// poolNames returns the pools that have endpoints.
func (b *Registry) poolNames() []string {
	var names []string
	for _, e := range b.byID {
		names = append(names, e.Pool)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// versionInForce returns the version that gets work, and remembers it: without
// an order, the version that was in force goes on, whatever joins.
func (b *Registry) versionInForce(pool string, rollout Rollout, ordered bool) string {
	known, found := b.inForce[pool]
	switch {
	case ordered && rollout.Completed:
		known = rollout.Version
	case ordered && rollout.Previous != "":
		known = rollout.Previous
	case ordered && !found:
		known = b.oldestVersion(pool, rollout.Version)
	case !found:
		known = b.oldestVersion(pool, "")
	}
	b.inForce[pool] = known
	return known
}

// oldestVersion returns the version of the endpoint of a pool that started first,
// among those of another version than one; that one if there is no other.
func (b *Registry) oldestVersion(pool, except string) string {
	var oldest *Endpoint
	for _, e := range b.byID {
		if e.Pool != pool || (except != "" && e.Version == except) {
			continue
		}
		if oldest == nil || cmp.Or(cmp.Compare(e.StartedAt, oldest.StartedAt), cmp.Compare(e.ID, oldest.ID)) < 0 {
			oldest = e
		}
	}
	if oldest == nil {
		return except
	}
	return oldest.Version
}
