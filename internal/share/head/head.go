// Package head defines the documents of a configuration in the platform's object
// API: one small head object with the release number, and immutable sections of
// the manifest that are named by their content. A change writes the head and the
// sections that it changes.
package head

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubescale/jujubescale/internal/plat/store"
)

// Names of the objects in the platform's object API.
const (
	// Object is the head. It is the only configuration object that is ever
	// updated, so it is the only one to watch.
	Object        = "config/head"
	sectionPrefix = "config/section/"
	// HistoryPrefix is followed by the release number in 20 digits, so that
	// the names sort by release.
	HistoryPrefix = "config/history/"
)

// Action is the operator's action that created a release.
type Action string

// Actions of operators.
const (
	ActionApply          Action = "apply"
	ActionRollback       Action = "rollback"
	ActionZoneLeave      Action = "zoneLeave"
	ActionZoneReturn     Action = "zoneReturn"
	ActionZoneIn         Action = "zoneIn"
	ActionEndpointLeave  Action = "endpointLeave"
	ActionEndpointReturn Action = "endpointReturn"
)

// ZoneState is the state that operators set for an availability zone.
type ZoneState string

// States of an availability zone.
const (
	ZoneIn        ZoneState = "in"
	ZoneEvacuated ZoneState = "left"
	// ZoneReturning is the state after a return. Work grows in steps, and
	// endpoints load models one after another. Otherwise it is like ZoneIn.
	ZoneReturning ZoneState = "returning"
)

// Zone is the state of an availability zone, with the operator who set it.
type Zone struct {
	Name      string    `json:"name"`
	State     ZoneState `json:"state"`
	ChangedBy string    `json:"changedBy,omitempty"`
	Reason    string    `json:"reason,omitempty"`
	// Release is the release that set this state.
	Release uint64 `json:"release,omitempty"`
}

// Endpoint is an endpoint that an operator has disabled.
type Endpoint struct {
	Pool      string `json:"pool"`
	Endpoint  string `json:"endpoint"`
	ChangedBy string `json:"changedBy,omitempty"`
	Reason    string `json:"reason,omitempty"`
}

// Ref refers to a section by its name and the digest of its content.
type Ref struct {
	Name   string `json:"name"`
	Digest Digest `json:"digest"`
}

// Digest is the xxhash of a section. Hash collisions are detected on writing: if
// the object already exists, its bytes are compared.
type Digest uint64

// DigestOf returns the digest of a section's bytes.
func DigestOf(raw []byte) Digest { return Digest(xxhash.Sum64(raw)) }

// String returns the digest as 16 hexadecimal digits.
func (d Digest) String() string { return fmt.Sprintf("%016x", uint64(d)) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	parsed, err := strconv.ParseUint(string(text), 16, 64)
	*d = Digest(parsed)
	return err
}

// Object returns the name of the section's object.
func (r Ref) Object() string { return sectionPrefix + r.Name + "/" + r.Digest.String() }

// Head is the content of the head object. Configurations are ordered by Release.
// A rollback is a new release with old sections.
type Head struct {
	Release uint64 `json:"release"`
	// Nonce identifies the action that wrote this release. A writer that got no
	// answer reads the head and compares the nonce, to find out whether its
	// write took effect.
	Nonce     string `json:"nonce"`
	ChangedBy string `json:"changedBy"`
	// ChangedAt is the writer's wall clock time in RFC 3339. It is only displayed.
	ChangedAt string `json:"changedAt,omitempty"`
	Action    Action `json:"action"`
	// Subject is the availability zone, endpoint or release that was changed or
	// rolled back to.
	Subject string `json:"subject,omitempty"`
	Reason  string `json:"reason,omitempty"`
	// ManifestRelease is the release that last changed the manifest. A change of
	// zones doesn't set it, so it doesn't conflict with an apply.
	ManifestRelease uint64 `json:"manifestRelease"`
	// Sections of the manifest.
	Sections []Ref `json:"sections"`
	// Zones holds the zones whose state is not ZoneIn.
	Zones []Zone `json:"zones,omitempty"`
	// DisabledEndpoints are the endpoints that operators have disabled by a
	// command. The pools of the manifest list further ones.
	DisabledEndpoints []Endpoint `json:"leftEndpoints,omitempty"`
}

// Encode returns the head as JSON.
func (h *Head) Encode() ([]byte, error) { return json.Marshal(h) }

// Decode parses and checks a head. It returns a DocumentError for a document that
// an operator's client would not write, so that it never takes effect.
func Decode(raw []byte) (*Head, error) {
	h := new(Head)
	if err := json.Unmarshal(raw, h); err != nil {
		return nil, &DocumentError{Name: Object, Cause: err.Error()}
	}
	if h.Release == 0 || h.Nonce == "" || len(h.Sections) == 0 {
		return nil, &DocumentError{Name: Object, Cause: "release, nonce and sections must be set"}
	}
	for _, zone := range h.Zones {
		switch zone.State {
		case ZoneIn, ZoneEvacuated, ZoneReturning:
		default:
			return nil, &DocumentError{Name: Object, Cause: fmt.Sprintf("zone %q has unknown state %q", zone.Name, zone.State)}
		}
	}
	return h, nil
}

// ReleaseOf returns the release number of a head document, even if this version
// of the program can't use the rest of it, or 0 if it is no head.
func ReleaseOf(raw []byte) uint64 {
	var number struct {
		Release uint64 `json:"release"`
	}
	if err := json.Unmarshal(raw, &number); err != nil {
		return 0
	}
	return number.Release
}

// DocumentError is returned if an object of the configuration is invalid.
type DocumentError struct {
	Name  string
	Cause string
}

// Error implements error.
func (e *DocumentError) Error() string {
	return fmt.Sprintf("object %q is not usable: %s", e.Name, e.Cause)
}

// HistoryObject returns the name of the object with the head of a release.
func HistoryObject(release uint64) string { return fmt.Sprintf("%s%020d", HistoryPrefix, release) }

// HistoryRelease returns the release of the history object with that name, or
// false if it is another object.
func HistoryRelease(name string) (uint64, bool) {
	digits, found := strings.CutPrefix(name, HistoryPrefix)
	if !found {
		return 0, false
	}
	release, err := strconv.ParseUint(digits, 10, 64)
	return release, err == nil
}

// ZoneState returns the state of a zone.
func (h *Head) ZoneState(name string) ZoneState {
	for i := range h.Zones {
		if h.Zones[i].Name == name {
			return h.Zones[i].State
		}
	}
	return ZoneIn
}

// SetZone replaces the state of a zone.
func (h *Head) SetZone(zone Zone) {
	kept := slices.DeleteFunc(slices.Clone(h.Zones), func(z Zone) bool { return z.Name == zone.Name })
	if zone.State != ZoneIn {
		kept = append(kept, zone)
	}
	h.Zones = kept
}

// EndpointDisabled reports whether an operator has disabled the endpoint.
func (h *Head) EndpointDisabled(pool, endpoint string) bool {
	return slices.ContainsFunc(h.DisabledEndpoints, func(e Endpoint) bool {
		return e.Pool == pool && e.Endpoint == endpoint
	})
}

// SetEndpoint records whether an endpoint is disabled.
func (h *Head) SetEndpoint(endpoint Endpoint, disabled bool) {
	kept := slices.DeleteFunc(slices.Clone(h.DisabledEndpoints), func(e Endpoint) bool {
		return e.Pool == endpoint.Pool && e.Endpoint == endpoint.Endpoint
	})
	if disabled {
		kept = append(kept, endpoint)
	}
	h.DisabledEndpoints = kept
}

// Fits reports whether the encoded document fits into one object.
func Fits(raw []byte) bool { return len(raw) <= store.MaxValue }
