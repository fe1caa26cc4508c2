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

func TestEntriesPreferTheSameEndpoint(t *testing.T) {
	key := affin.NewKeys("model", []byte("the same instructions"))
	one, two := affin.New(), affin.New()
	assert.Equal(t, one.Prefer(1, newPool(9).View(), key).Name, two.Prefer(1, newPool(9).View(), key).Name)
}

// Guards against a popular prefix that sends all its requests to one endpoint, which
// is overloaded while others are idle.
func TestPreferredEndpointStaysWithinLoadBound(t *testing.T) {
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

// Guards against preferring an endpoint that restarted and lost its cache when the
// cache event is late, or one that was removed. The new epoch in its next report
// invalidates the hint.
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

// Guards against short inputs whose longest prefixes already differ: their shared
// prefix must still lead them to the engine that has it cached.
func TestShortInputsShareTheirPrefix(t *testing.T) {
	p := newPool(6)
	table := affin.New()
	prefix := "instructions that are shared by all, "
	other := p.View().Near[3]
	table.Record(affin.NewKeys("m", []byte(prefix+"first")), other)
	assert.Equal(t, table.Prefer(1, p.View(), affin.NewKeys("m", []byte(prefix+"second"))), other)
	assert.Assert(t, table.Prefer(1, p.View(), affin.NewKeys("m", nil)) != nil, "an empty input has a key")
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
