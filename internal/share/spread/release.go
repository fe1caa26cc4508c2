// Package spread keeps the configuration release that is in force in this
// process, and fetches newer ones from the platform and from peers. An older
// release never replaces a newer one.
package spread

import (
	"sync/atomic"

	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/share/head"
)

// ZoneState is the state that operators set for an availability zone.
type ZoneState = head.ZoneState

// States of an availability zone.
const (
	ZoneIn        = head.ZoneIn
	ZoneEvacuated = head.ZoneEvacuated
	ZoneReturning = head.ZoneReturning
)

// Zone is the state of an availability zone, with the operator who set it.
type Zone = head.Zone

// Release is one accepted configuration. It is immutable: a request uses the
// same release from start to end.
type Release struct {
	// Number grows with each accepted change. A rollback also gets a new number.
	Number   uint64
	Manifest *manif.Manifest
	Zones    []Zone
	// DisabledEndpoints are the endpoints that operators have disabled by a
	// command. The pools of the manifest list further ones.
	DisabledEndpoints []head.Endpoint

	services      map[string]*manif.Service
	pipelines     map[string]*manif.Pipeline
	pools         map[string]*manif.Pool
	organisations map[string]*manif.Organisation
	byTokenHash   map[string]*manif.Organisation
	evacuated     map[string]bool
}

// Option configures a Release.
type Option func(*Release)

// WithDisabledEndpoints sets the endpoints that operators have disabled by a command.
func WithDisabledEndpoints(disabled []head.Endpoint) Option {
	return func(r *Release) { r.DisabledEndpoints = disabled }
}

// New returns a release with indexes over a manifest that passed the checks.
func New(number uint64, manifest *manif.Manifest, zones []Zone, opts ...Option) *Release {
	r := &Release{
		Number: number, Manifest: manifest, Zones: zones,
		services:      make(map[string]*manif.Service, len(manifest.Services)),
		pipelines:     make(map[string]*manif.Pipeline, len(manifest.Pipelines)),
		pools:         make(map[string]*manif.Pool, len(manifest.Pools)),
		organisations: make(map[string]*manif.Organisation, len(manifest.Organisations)),
		byTokenHash:   make(map[string]*manif.Organisation, len(manifest.Organisations)),
		evacuated:     make(map[string]bool),
	}
	for i := range manifest.Services {
		r.services[manifest.Services[i].Name] = &manifest.Services[i]
	}
	for i := range manifest.Pipelines {
		r.pipelines[manifest.Pipelines[i].Name] = &manifest.Pipelines[i]
	}
	for i := range manifest.Pools {
		r.pools[manifest.Pools[i].Name] = &manifest.Pools[i]
	}
	r.indexOrganisations()
	for _, zone := range zones {
		if zone.State == ZoneEvacuated {
			r.evacuated[zone.Name] = true
		}
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

func (r *Release) indexOrganisations() {
	for i := range r.Manifest.Organisations {
		organisation := &r.Manifest.Organisations[i]
		r.organisations[organisation.Name] = organisation
		for _, hash := range organisation.TokenHashes {
			r.byTokenHash[hash] = organisation
		}
	}
}

// Service returns the business service of that name, or nil.
func (r *Release) Service(name string) *manif.Service { return r.services[name] }

// Pipeline returns the pipeline of that name, or nil.
func (r *Release) Pipeline(name string) *manif.Pipeline { return r.pipelines[name] }

// Pool returns the pool of that name, or nil.
func (r *Release) Pool(name string) *manif.Pool { return r.pools[name] }

// Organisation returns the organisation of that name, or nil.
func (r *Release) Organisation(name string) *manif.Organisation { return r.organisations[name] }

// ByTokenHash returns the organisation whose token has this SHA-256 hash, or nil.
func (r *Release) ByTokenHash(hash string) *manif.Organisation { return r.byTokenHash[hash] }

// ZoneEvacuated reports whether operators have evacuated the availability zone.
func (r *Release) ZoneEvacuated(zone string) bool { return r.evacuated[zone] }

// EndpointDisabled reports whether operators have disabled the endpoint, by a
// command or in the manifest.
func (r *Release) EndpointDisabled(pool, endpoint string) bool {
	for i := range r.DisabledEndpoints {
		if r.DisabledEndpoints[i].Pool == pool && r.DisabledEndpoints[i].Endpoint == endpoint {
			return true
		}
	}
	p := r.pools[pool]
	if p == nil {
		return false
	}
	for _, name := range p.LeftEndpoints {
		if name == endpoint {
			return true
		}
	}
	return false
}

// Holder publishes the release in force. Readers take no lock, since each
// request reads it.
type Holder struct {
	current atomic.Pointer[Release]
}

// Current returns the release in force, or nil if there is none yet.
func (h *Holder) Current() *Release { return h.current.Load() }

// Number returns the number of the release in force, or 0 if there is none yet.
func (h *Holder) Number() uint64 {
	if r := h.current.Load(); r != nil {
		return r.Number
	}
	return 0
}

// Accept puts a release in force if its number is higher than the current one,
// and reports whether it did. Stale reads, late watch events, peers that are
// behind and a store restored from a backup all offer old releases. Accepting
// one could send work to an evacuated zone again.
func (h *Holder) Accept(next *Release) bool {
	for {
		current := h.current.Load()
		if current != nil && next.Number <= current.Number {
			return false
		}
		if h.current.CompareAndSwap(current, next) {
			return true
		}
	}
}
