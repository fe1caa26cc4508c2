package head

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubescale/jujubescale/internal/conf/manif"
)

// Names of sections.
const (
	sectionPools         = "pools"
	sectionPipelines     = "pipelines"
	sectionServices      = "services"
	sectionZones         = "zones"
	sectionOrganisations = "organisations"
)

// A change of one organisation writes one shard and the head, which refers to
// every shard. More shards make the shard smaller and the head larger. With some
// 250 bytes per organisation and 55 per reference, the sum is smallest near 16
// organisations per shard at two thousand organisations.
const (
	organisationsPerShard = 16
	maxShards             = 64
)

// Section is one encoded section of the manifest and its reference.
type Section struct {
	Ref Ref
	Raw []byte
}

// Split returns the sections of a manifest in a fixed order. It fails if one is
// too large for an object.
func Split(manifest *manif.Manifest) ([]Section, error) {
	parts := []manif.Manifest{
		{Pools: manifest.Pools},
		{Pipelines: manifest.Pipelines},
		{Services: manifest.Services},
		{AvailabilityZones: manifest.AvailabilityZones},
	}
	names := []string{sectionPools, sectionPipelines, sectionServices, sectionZones}
	for i, shard := range shards(manifest.Organisations) {
		if len(shard) == 0 {
			continue
		}
		parts = append(parts, manif.Manifest{Organisations: shard})
		names = append(names, fmt.Sprintf("%s/%02x", sectionOrganisations, i))
	}
	sections := make([]Section, 0, len(parts))
	for i := range parts {
		raw, err := encodePart(names[i], &parts[i])
		if err != nil {
			return nil, err
		}
		if !Fits(raw) {
			return nil, &DocumentError{Name: names[i], Cause: fmt.Sprintf("%d bytes are more than one object holds", len(raw))}
		}
		sections = append(sections, Section{Ref: Ref{Name: names[i], Digest: DigestOf(raw)}, Raw: raw})
	}
	return sections, nil
}

func shards(organisations []manif.Organisation) [][]manif.Organisation {
	count := 1
	for count < maxShards && count*organisationsPerShard < len(organisations) {
		count *= 2
	}
	result := make([][]manif.Organisation, count)
	for _, organisation := range organisations {
		shard := xxhash.Sum64String(organisation.Name) % uint64(count)
		result[shard] = append(result[shard], organisation)
	}
	return result
}

func encodePart(name string, part *manif.Manifest) ([]byte, error) {
	switch kind, _, _ := strings.Cut(name, "/"); kind {
	case sectionPools:
		return json.Marshal(part.Pools)
	case sectionPipelines:
		return json.Marshal(part.Pipelines)
	case sectionServices:
		return json.Marshal(part.Services)
	case sectionZones:
		return json.Marshal(part.AvailabilityZones)
	default:
		return json.Marshal(part.Organisations)
	}
}

// Join returns the manifest with the given sections, which must be in the order
// of their references. It checks each one against its digest.
func Join(refs []Ref, raws [][]byte) (*manif.Manifest, error) {
	manifest := new(manif.Manifest)
	for i, ref := range refs {
		if DigestOf(raws[i]) != ref.Digest {
			return nil, &DocumentError{Name: ref.Object(), Cause: "content and digest differ"}
		}
		if err := joinPart(manifest, ref, raws[i]); err != nil {
			return nil, err
		}
	}
	return manifest, nil
}

func joinPart(manifest *manif.Manifest, ref Ref, raw []byte) error {
	var err error
	switch kind, _, _ := strings.Cut(ref.Name, "/"); kind {
	case sectionPools:
		err = json.Unmarshal(raw, &manifest.Pools)
	case sectionPipelines:
		err = json.Unmarshal(raw, &manifest.Pipelines)
	case sectionServices:
		err = json.Unmarshal(raw, &manifest.Services)
	case sectionZones:
		err = json.Unmarshal(raw, &manifest.AvailabilityZones)
	case sectionOrganisations:
		var shard []manif.Organisation
		err = json.Unmarshal(raw, &shard)
		manifest.Organisations = append(manifest.Organisations, shard...)
	default:
		// Unknown sections are ignored: a newer client may add one. With an
		// error, this process would miss later releases that evacuate a zone.
	}
	if err != nil {
		return &DocumentError{Name: ref.Object(), Cause: err.Error()}
	}
	return nil
}
