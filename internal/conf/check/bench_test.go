package check_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/conf/check"
	"github.com/jujubescale/jujubescale/internal/conf/manif"
)

// largeManifest returns a manifest of the size that the system is designed for.
func largeManifest(b *testing.B) *manif.Manifest {
	b.Helper()
	m := &manif.Manifest{}
	for i := range 19 {
		m.AvailabilityZones = append(m.AvailabilityZones, fmt.Sprintf("zone-%d", i))
	}
	m.Pools = []manif.Pool{{Name: "encoders", Kind: manif.KindEncode}}
	for i := range 8 {
		m.Pools = append(m.Pools, manif.Pool{
			Name: fmt.Sprintf("engines-%d", i), Kind: manif.KindGenerate, Models: []manif.ModelVersion{{Model: "m", Version: "1"}},
		})
	}
	for i := range 34 {
		p := manif.Pipeline{Name: fmt.Sprintf("pipeline-%d", i), DeadlineMs: 3000}
		for j := range 5 {
			p.Stages = append(p.Stages, manif.Stage{Name: fmt.Sprintf("encode-%d", j), Kind: manif.KindEncode, Pool: "encoders"})
		}
		p.Stages = append(p.Stages, manif.Stage{Name: "draft", Kind: manif.KindGenerate, Pool: fmt.Sprintf("engines-%d", i%8), Model: "m"})
		m.Pipelines = append(m.Pipelines, p)
		m.Services = append(m.Services, manif.Service{Name: fmt.Sprintf("service-%d", i), Pipeline: p.Name})
	}
	for i := range 1700 {
		hash := sha256.Sum256([]byte(fmt.Sprint(i)))
		m.Organisations = append(m.Organisations, manif.Organisation{
			Name: fmt.Sprintf("organisation-%d", i), TokenHashes: []string{hex.EncodeToString(hash[:])},
			Services: []string{fmt.Sprintf("service-%d", i%34)},
		})
	}
	return m
}

// Each daemon checks each release before it takes effect.
func BenchmarkFill(b *testing.B) {
	m := largeManifest(b)
	for b.Loop() {
		assert.NilError(b, check.Fill(m))
	}
}

// Only jujubectl reads manifests that users or their build wrote.
func BenchmarkManifest(b *testing.B) {
	raw, err := json.Marshal(largeManifest(b))
	assert.NilError(b, err)
	b.SetBytes(int64(len(raw)))
	for b.Loop() {
		_, err := check.Manifest(raw)
		assert.NilError(b, err)
	}
}
