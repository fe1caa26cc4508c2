// Package head holds the documents that make up a configuration in the
// platform's object API: one small head object that orders everything, and
// immutable sections of the manifest named by their content. A change moves
// the head and the sections it touches, nothing else.
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
	// Object is the head: the only configuration object that is ever updated,
	// and so the only one that is worth a watch.
	Object        = "config/head"
	sectionPrefix = "config/section/"
	// HistoryPrefix is followed by the release number in 20 digits, so that
	// the names sort by release.
	HistoryPrefix = "config/history/"
)

// Action is what an operator did to make a release.
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

// ZoneState is what operators want of an availability zone.
type ZoneState string

// States of an availability zone.
const (
	ZoneIn   ZoneState = "in"
	ZoneLeft ZoneState = "left"
	// ZoneReturning is set by a return: work grows in steps and loads of
	// models are staggered; agents and entries treat it as in otherwise.
	ZoneReturning ZoneState = "returning"
)

// Zone is the operators' decision on one availability zone.
type Zone struct {
	Name      string    `json:"name"`
	State     ZoneState `json:"state"`
	ChangedBy string    `json:"changedBy,omitempty"`
	Reason    string    `json:"reason,omitempty"`
	// Release that made this decision.
	Release uint64 `json:"release,omitempty"`
}

// Endpoint is an endpoint that an operator took out.
type Endpoint struct {
	Pool      string `json:"pool"`
	Endpoint  string `json:"endpoint"`
	ChangedBy string `json:"changedBy,omitempty"`
	Reason    string `json:"reason,omitempty"`
}

// Ref names one section by its content.
type Ref struct {
	Name   string `json:"name"`
	Digest Digest `json:"digest"`
}

// Digest is the xxhash of a section. Who writes a section compares its bytes
// when an object of that name exists already, so a collision is found there.
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

// Head is the head object. Release orders all configurations; a rollback is a
// new release with old sections.
type Head struct {
	Release uint64 `json:"release"`
	// Nonce is drawn for each write. A writer that got no answer reads back
	// and compares it, to learn whether the write took effect.
	Nonce     string `json:"nonce"`
	ChangedBy string `json:"changedBy"`
	// ChangedAt is the writer's wall clock in RFC 3339, for people only.
	ChangedAt string `json:"changedAt,omitempty"`
	Action    Action `json:"action"`
	// Subject is the availability zone, endpoint or release acted upon.
	Subject string `json:"subject,omitempty"`
	Reason  string `json:"reason,omitempty"`
	// ManifestRelease is the release that last changed the manifest. A change
	// of zones alone leaves it, so that it doesn't collide with an apply.
	ManifestRelease uint64 `json:"manifestRelease"`
	// Sections of the manifest.
	Sections []Ref `json:"sections"`
	// Zones holds the zones that are not simply in.
	Zones []Zone `json:"zones,omitempty"`
	// LeftEndpoints are taken out by operators, besides those in the manifest.
	LeftEndpoints []Endpoint `json:"leftEndpoints,omitempty"`
}

// Encode returns the head as JSON.
func (h *Head) Encode() ([]byte, error) { return json.Marshal(h) }

// Decode reads a head. A document that could never have been written by an
// operator's client is refused here and so never takes effect.
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
		case ZoneIn, ZoneLeft, ZoneReturning:
		default:
			return nil, &DocumentError{Name: Object, Cause: fmt.Sprintf("zone %q has unknown state %q", zone.Name, zone.State)}
		}
	}
	return h, nil
}

// ReleaseOf returns the release number of a head document, however strange the
// rest of it is to this version of the program; 0 when it is no head at all.
func ReleaseOf(raw []byte) uint64 {
	var number struct {
		Release uint64 `json:"release"`
	}
	if err := json.Unmarshal(raw, &number); err != nil {
		return 0
	}
	return number.Release
}

// DocumentError says that an object of the configuration can't be used.
type DocumentError struct {
	Name  string
	Cause string
}

// Error implements error.
func (e *DocumentError) Error() string {
	return fmt.Sprintf("object %q is not usable: %s", e.Name, e.Cause)
}

// HistoryObject returns the name of the object that keeps a release's head.
func HistoryObject(release uint64) string { return fmt.Sprintf("%s%020d", HistoryPrefix, release) }

// HistoryRelease returns the release that a history object keeps; false when
// the name is of another kind.
func HistoryRelease(name string) (uint64, bool) {
	digits, found := strings.CutPrefix(name, HistoryPrefix)
	if !found {
		return 0, false
	}
	release, err := strconv.ParseUint(digits, 10, 64)
	return release, err == nil
}

// ZoneState returns the operators' decision on a zone.
func (h *Head) ZoneState(name string) ZoneState {
	for i := range h.Zones {
		if h.Zones[i].Name == name {
			return h.Zones[i].State
		}
	}
	return ZoneIn
}

// SetZone replaces the decision on a zone.
func (h *Head) SetZone(zone Zone) {
	kept := slices.DeleteFunc(slices.Clone(h.Zones), func(z Zone) bool { return z.Name == zone.Name })
	if zone.State != ZoneIn {
		kept = append(kept, zone)
	}
	h.Zones = kept
}

// EndpointDisabled reports whether an operator took the endpoint out.
func (h *Head) EndpointDisabled(pool, endpoint string) bool {
	return slices.ContainsFunc(h.LeftEndpoints, func(e Endpoint) bool {
		return e.Pool == pool && e.Endpoint == endpoint
	})
}

// SetEndpoint records whether an endpoint is taken out.
func (h *Head) SetEndpoint(endpoint Endpoint, left bool) {
	kept := slices.DeleteFunc(slices.Clone(h.LeftEndpoints), func(e Endpoint) bool {
		return e.Pool == endpoint.Pool && e.Endpoint == endpoint.Endpoint
	})
	if left {
		kept = append(kept, endpoint)
	}
	h.LeftEndpoints = kept
}

// Fits reports whether the encoded document fits into one object.
func Fits(raw []byte) bool { return len(raw) <= store.MaxValue }
