package affin_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jujubescale/jujubescale/internal/route/affin"
	"github.com/jujubescale/jujubescale/internal/route/pool"
)

func newPool(n int) *pool.Pool {
	p := pool.New("a")
	for i := range n {
		p.Add(pool.Identity{Pool: "p", Name: fmt.Sprintf("e%d", i), AvailabilityZone: "a"}, 0).
			SetReport(1, pool.Report{Limit: 8})
	}
	return p
}

func TestEntriesAgreeWithoutTalking(t *testing.T) {
	key := affin.NewKeys("model", []byte("the same instructions"))
	one, two := affin.New(), affin.New()
	assert.Equal(t, one.Prefer(1, newPool(9).View(), key).Name, two.Prefer(1, newPool(9).View(), key).Name)
}

// A popular prefix pulls all its work to one endpoint, which falls over while
// others idle. Affinity must yield before that.
func TestPreferredIsNeverFullerThanBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPool(rapid.IntRange(1, 10).Draw(t, "endpoints"))
		table := affin.New()
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			key := affin.NewKeys("m", []byte{rapid.Byte().Draw(t, "key")})
			chosen := table.Prefer(1, p.View(), key)
			if chosen == nil {
				continue
			}
			var sum int64
			for _, endpoint := range p.View().Near {
				sum += endpoint.Utilisation(1)
			}
			mean := sum / int64(p.View().Len())
			assert.Assert(t, chosen.Load(1) == 0 || chosen.Utilisation(1) <= mean*5/4+1)
			chosen.RecordSend()
			table.Record(key, chosen)
		}
	})
}

// The endpoint restarted and its cache is gone, but the event that says so is
// late. The epoch in its next report is enough to forget the hint; a removed
// endpoint is never preferred.
func TestLostCacheAndRemovedEndpointAreForgotten(t *testing.T) {
	p := newPool(6)
	table := affin.New()
	key := affin.NewKeys("m", []byte("42"))
	plain := table.Prefer(1, p.View(), key)
	var other *pool.Endpoint
	for _, endpoint := range p.View().Near {
		if endpoint != plain {
			other = endpoint
		}
	}
	table.Record(key, other)
	assert.Equal(t, table.Prefer(1, p.View(), key), other)
	other.SetReport(1, pool.Report{Limit: 8, PrefixEpoch: 1})
	assert.Equal(t, table.Prefer(1, p.View(), key), plain)
	table.Record(key, other)
	p.Remove(other.Name)
	assert.Equal(t, table.Prefer(1, p.View(), key), plain)
}

// Inputs are short, so that a long prefix of them already differs. The shared
// beginning must still lead them to the engine that has it cached.
func TestShortInputsShareTheirBeginning(t *testing.T) {
	p := newPool(6)
	table := affin.New()
	begin := "instructions that are shared by all, "
	other := p.View().Near[3]
	table.Record(affin.NewKeys("m", []byte(begin+"first")), other)
	assert.Equal(t, table.Prefer(1, p.View(), affin.NewKeys("m", []byte(begin+"second"))), other)
	assert.Assert(t, table.Prefer(1, p.View(), affin.NewKeys("m", nil)) != nil, "an empty input has a key too")
}

func BenchmarkPrefer(b *testing.B) {
	view := newPool(128).View()
	table := affin.New()
	b.ReportAllocs()
	keys := affin.NewKeys("m", make([]byte, 4096))
	for b.Loop() {
		table.Prefer(1, view, keys)
	}
}
