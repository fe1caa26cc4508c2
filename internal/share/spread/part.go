package spread

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"

	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/share/head"
)

// Names that a peer can ask for.
const (
	// HeadName asks for the head document.
	HeadName = ""
	// partPrefix is followed by a pool: what an agent of that pool needs.
	partPrefix = "part/"
)

// PartName returns the name under which an agent asks for its part.
func PartName(pool string) string { return partPrefix + pool }

// Part is what an agent needs of the configuration. Most changes leave it as
// it is, so an agent that asks for a newer release mostly gets a few bytes
// that say so.
type Part struct {
	Manifest      manif.Manifest  `json:"manifest"`
	Zones         []Zone          `json:"zones,omitempty"`
	LeftEndpoints []head.Endpoint `json:"leftEndpoints,omitempty"`
}

// partOf cuts out the part of a release that agents of a pool need:
// their pool, the zones, and the organisations whose share or priority is not
// the default.
func partOf(release *Release, pool string) *Part {
	part := &Part{Zones: release.Zones}
	part.Manifest.AvailabilityZones = release.Manifest.AvailabilityZones
	if p := release.Pool(pool); p != nil {
		part.Manifest.Pools = []manif.Pool{*p}
	}
	for _, organisation := range release.Manifest.Organisations {
		if organisation.Weight > 1 || organisation.Priority != 0 {
			part.Manifest.Organisations = append(part.Manifest.Organisations, manif.Organisation{
				Name: organisation.Name, Weight: organisation.Weight, Priority: organisation.Priority,
			})
		}
	}
	for _, left := range release.LeftEndpoints {
		if left.Pool == pool {
			part.LeftEndpoints = append(part.LeftEndpoints, left)
		}
	}
	return part
}

// SamePart reports that the agents of a pool need the same of both releases.
func SamePart(old, next *Release, pool string) bool {
	if old == nil || next == nil {
		return old == next
	}
	return bytes.Equal(partBytes(old, pool), partBytes(next, pool))
}

// Serve answers a peer from the configuration in force here.
func (l *Learner) Serve(fetch *wire.Fetch) *wire.Section {
	answer := &wire.Section{Name: fetch.Name}
	l.mu.Lock()
	held := l.newest
	l.mu.Unlock()
	if held == nil {
		return answer
	}
	answer.Release = held.head.Release
	var raw []byte
	switch pool, isPart := strings.CutPrefix(fetch.Name, partPrefix); {
	case fetch.Name == HeadName:
		raw = held.raw
	case isPart:
		raw = held.part(pool)
	default:
		raw, _ = held.section(head.Ref{Name: fetch.Name, Digest: head.Digest(fetch.Digest)})
	}
	if raw == nil {
		return answer
	}
	answer.Found = true
	answer.Digest = uint64(head.DigestOf(raw))
	if answer.Digest != fetch.Digest || !strings.HasPrefix(fetch.Name, partPrefix) {
		answer.Bytes = raw
	}
	return answer
}

// part returns the part of a pool, worked out once a release: each agent of
// the pool asks for the same.
func (d *document) part(pool string) []byte {
	raw, known := d.parts.Load(pool)
	if !known {
		raw, _ = d.parts.LoadOrStore(pool, partBytes(d.release, pool))
	}
	return raw.([]byte)
}

func partBytes(release *Release, pool string) []byte {
	raw, err := json.Marshal(partOf(release, pool))
	if err != nil {
		return nil // plain data that came from JSON always encodes
	}
	return raw
}

// PartHolder keeps an agent's part in force, under the same rule as a Learner:
// only a strictly newer release changes anything.
type PartHolder struct {
	holder *Holder

	mu     sync.Mutex
	part   *Part
	digest uint64
}

// NewPartHolder returns a part holder that publishes to a holder.
func NewPartHolder(holder *Holder) *PartHolder { return &PartHolder{holder: holder} }

// Request returns what to ask a peer for.
func (p *PartHolder) Request(pool string) wire.Fetch {
	p.mu.Lock()
	defer p.mu.Unlock()
	return wire.Fetch{Name: PartName(pool), Digest: p.digest}
}

// Accept puts a peer's answer in force.
func (p *PartHolder) Accept(answer *wire.Section) (Verdict, error) {
	if !answer.Found || answer.Release == 0 {
		return Incomplete, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if answer.Release <= p.holder.Number() {
		return Older, nil
	}
	if answer.Digest != p.digest || p.part == nil {
		part, err := decodePart(answer)
		if err != nil {
			return Invalid, err
		}
		p.part, p.digest = part, answer.Digest
	}
	p.holder.Accept(New(answer.Release, &p.part.Manifest, p.part.Zones, WithLeftEndpoints(p.part.LeftEndpoints)))
	return Accepted, nil
}

func decodePart(answer *wire.Section) (*Part, error) {
	if uint64(head.DigestOf(answer.Bytes)) != answer.Digest {
		return nil, &head.DocumentError{Name: answer.Name, Cause: "content and digest differ"}
	}
	part := new(Part)
	if err := json.Unmarshal(answer.Bytes, part); err != nil {
		return nil, &head.DocumentError{Name: answer.Name, Cause: err.Error()}
	}
	return part, nil
}
