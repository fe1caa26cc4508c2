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

// Names of documents in a wire.Fetch.
const (
	// HeadName is the name of the head document.
	HeadName = ""
	// partPrefix is followed by a pool. The document is the Part for its agents.
	partPrefix = "part/"
)

// PartName returns the name of the document with the Part for a pool.
func PartName(pool string) string { return partPrefix + pool }

// Part is the part of a configuration that the agents of one pool need. Most
// releases don't change it. Then the answer to an agent holds only the release
// and the digest, a few bytes.
type Part struct {
	Manifest          manif.Manifest  `json:"manifest"`
	Zones             []Zone          `json:"zones,omitempty"`
	DisabledEndpoints []head.Endpoint `json:"leftEndpoints,omitempty"`
}

// newPart returns the part of a release that the agents of a pool need: their
// pool, the zones, and the organisations whose weight or priority is not the
// default.
func newPart(release *Release, pool string) *Part {
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
	for _, endpoint := range release.DisabledEndpoints {
		if endpoint.Pool == pool {
			part.DisabledEndpoints = append(part.DisabledEndpoints, endpoint)
		}
	}
	return part
}

// SamePart reports whether both releases have the same Part for a pool.
func SamePart(old, next *Release, pool string) bool {
	if old == nil || next == nil {
		return old == next
	}
	return bytes.Equal(partBytes(old, pool), partBytes(next, pool))
}

// Serve returns the document that a peer requested, from the newest
// configuration accepted here.
func (l *Learner) Serve(fetch *wire.Fetch) *wire.Section {
	answer := &wire.Section{Name: fetch.Name}
	l.mu.Lock()
	current := l.newest
	l.mu.Unlock()
	if current == nil {
		return answer
	}
	answer.Release = current.head.Release
	var raw []byte
	switch pool, isPart := strings.CutPrefix(fetch.Name, partPrefix); {
	case fetch.Name == HeadName:
		raw = current.raw
	case isPart:
		raw = current.part(pool)
	default:
		raw, _ = current.section(head.Ref{Name: fetch.Name, Digest: head.Digest(fetch.Digest)})
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

// part returns the encoded part for a pool. It is computed once per release,
// since each agent of the pool requests the same one.
func (d *document) part(pool string) []byte {
	raw, found := d.parts.Load(pool)
	if !found {
		raw, _ = d.parts.LoadOrStore(pool, partBytes(d.release, pool))
	}
	return raw.([]byte)
}

func partBytes(release *Release, pool string) []byte {
	raw, err := json.Marshal(newPart(release, pool))
	if err != nil {
		return nil // can't happen: the data was decoded from JSON
	}
	return raw
}

// PartHolder keeps the part that is in force in an agent. As in a Learner, only
// a newer release takes effect.
type PartHolder struct {
	holder *Holder

	mu     sync.Mutex
	part   *Part
	digest uint64
}

// NewPartHolder returns a part holder that publishes releases to a holder.
func NewPartHolder(holder *Holder) *PartHolder { return &PartHolder{holder: holder} }

// Request returns the request to a peer for the part for a pool.
func (p *PartHolder) Request(pool string) wire.Fetch {
	p.mu.Lock()
	defer p.mu.Unlock()
	return wire.Fetch{Name: PartName(pool), Digest: p.digest}
}

// Accept puts the part in a peer's answer in force if its release is newer.
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
	p.holder.Accept(New(answer.Release, &p.part.Manifest, p.part.Zones, WithDisabledEndpoints(p.part.DisabledEndpoints)))
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
