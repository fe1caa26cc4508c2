package whole

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/jujubescale/jujubescale/internal/conf/manif"
)

// SampleToken is the bearer token of the sample's organisation.
const SampleToken = "demo-token"

// Sample returns a small manifest: a pipeline of four stages that one business
// service uses, and one plain service with a call that must not be repeated.
func Sample() *manif.Manifest {
	hash := sha256.Sum256([]byte(SampleToken))
	return &manif.Manifest{
		AvailabilityZones: []string{"za", "zb", "zc"},
		Pools: []manif.Pool{
			{Name: "encoders", Kind: manif.KindEncode, Limit: 16, ColdLimit: 4},
			{Name: "retrievers", Kind: manif.KindRetrieve, Limit: 16, ColdLimit: 4},
			{Name: "rerankers", Kind: manif.KindRerank, Limit: 16, ColdLimit: 4},
			{
				Name: "engines", Kind: manif.KindGenerate, Limit: 8, ColdLimit: 2, Fencing: manif.FencingChecked,
				Models: []manif.ModelVersion{{Model: "sheet", Version: "1"}},
			},
			{Name: "orders", Kind: manif.KindPlain, Limit: 16, ColdLimit: 4},
		},
		Pipelines: []manif.Pipeline{{
			Name: "setup-sheet", DeadlineMs: 3000,
			Stages: []manif.Stage{
				{Name: "encode", Kind: manif.KindEncode, Pool: "encoders", Cost: 1},
				{Name: "retrieve", Kind: manif.KindRetrieve, Pool: "retrievers", Cost: 1},
				{Name: "rerank", Kind: manif.KindRerank, Pool: "rerankers", Cost: 1},
				{Name: "generate", Kind: manif.KindGenerate, Pool: "engines", Model: "sheet", Cost: 10},
			},
		}},
		Services: []manif.Service{
			{Name: "setup-sheets", Pipeline: "setup-sheet"},
			{Name: "orders", Pool: "orders", DeadlineMs: 3000, Calls: []manif.PlainCall{
				{Method: "POST", Path: "/bookings", NotIdempotent: true},
				{Method: "GET", Path: "/stock/*"},
			}},
		},
		Organisations: []manif.Organisation{
			{Name: "demo", Weight: 1, TokenHashes: []string{hex.EncodeToString(hash[:])}},
		},
	}
}
