package view

import (
	"cmp"
	"slices"
)

// Rollout is the part of an operator's rollout that decides which endpoints of a pool
// get work.
type Rollout struct {
	Pool string
	// Version is the version that the pool moves to, and Previous the version in force
	// before, "" if it was not recorded.
	Version  string
	Previous string
	// Completed sends all work to Version. Before that, work goes to the previous
	// version and, if Canary is set, a share of it to Version.
	Completed bool
	Canary    bool
}

// poolVersions holds the versions of one pool that get work.
type poolVersions struct {
	inForce, candidate string
	// candidates are the endpoints of the candidate version, in the order of their
	// IDs.
	candidates []*Endpoint
}

// Version returns the version of a pool that is in force, "" if it is unknown.
func (s *Snapshot) Version(pool string) string {
	if s == nil {
		return ""
	}
	return s.versions[pool].inForce
}

// Candidates returns the endpoints of the version that a pool's rollout moves to, in
// the order of their IDs. It returns none if that version gets no work.
func (s *Snapshot) Candidates(pool string) []*Endpoint {
	if s == nil {
		return nil
	}
	return s.versions[pool].candidates
}

// SetRollouts replaces all rollouts. Publish applies them.
func (r *Registry) SetRollouts(rollouts []Rollout) {
	r.rollouts = make(map[string]Rollout, len(rollouts))
	for _, rollout := range rollouts {
		r.rollouts[rollout.Pool] = rollout
	}
}

// selectVersions removes endpoints whose version gets no work from the pools of a
// snapshot, and moves those of candidate versions to a separate list.
func (r *Registry) selectVersions(s *Snapshot) {
	s.versions = make(map[string]poolVersions)
	for _, pool := range r.poolNames() {
		rollout, ordered := r.rollouts[pool]
		versions := poolVersions{inForce: r.versionInForce(pool, rollout, ordered)}
		if ordered && rollout.Canary && !rollout.Completed && rollout.Version != versions.inForce {
			versions.candidate = rollout.Version
		}
		var usable []*Endpoint
		for _, e := range s.pools[pool] {
			switch {
			case e.Version == versions.inForce:
				usable = append(usable, e)
			case versions.candidate != "" && e.Version == versions.candidate:
				versions.candidates = append(versions.candidates, e)
			}
		}
		s.pools[pool], s.versions[pool] = usable, versions
	}
}

// poolNames returns the pools that have endpoints.
func (r *Registry) poolNames() []string {
	var names []string
	for _, e := range r.byID {
		names = append(names, e.Pool)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// versionInForce returns the version of a pool that gets work, and remembers it:
// without a rollout, the version that was last in force stays in force, whichever
// endpoints join.
func (r *Registry) versionInForce(pool string, rollout Rollout, ordered bool) string {
	known, found := r.inForce[pool]
	switch {
	case ordered && rollout.Completed:
		known = rollout.Version
	case ordered && rollout.Previous != "":
		known = rollout.Previous
	case ordered && !found:
		known = r.oldestVersion(pool, rollout.Version)
	case !found:
		known = r.oldestVersion(pool, "")
	}
	r.inForce[pool] = known
	return known
}

// oldestVersion returns the version of the pool's endpoint that started first,
// ignoring those of the excluded version. It returns the excluded version if there is
// no other.
func (r *Registry) oldestVersion(pool, excluded string) string {
	var oldest *Endpoint
	for _, e := range r.byID {
		if e.Pool != pool || (excluded != "" && e.Version == excluded) {
			continue
		}
		if oldest == nil || cmp.Or(cmp.Compare(e.StartedAt, oldest.StartedAt), cmp.Compare(e.ID, oldest.ID)) < 0 {
			oldest = e
		}
	}
	if oldest == nil {
		return excluded
	}
	return oldest.Version
}
