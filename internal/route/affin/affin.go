// Package affin prefers the endpoint that probably has the prefix of a request in its
// cache. The result is only a hint: cache events arrive late or not at all, and an
// endpoint with more than its share of the load is not preferred.
package affin

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/route/pool"
)

// prefixLengths is the number of prefix lengths that are compared.
const prefixLengths = 4

// lengths returns the prefix lengths in bytes. No single length fits all: with short
// inputs, a long prefix includes what differs between two requests; with long
// instructions, all requests share a short prefix.
func lengths() [prefixLengths]int { return [prefixLengths]int{32, 128, 512, 2048} }

// Keys holds the hashes of an input's prefixes, shortest first.
type Keys struct {
	hashes [prefixLengths]uint64
	count  int
}

// NewKeys returns the keys of an input for a model. It omits lengths that exceed the
// input, but returns at least one key.
func NewKeys(model string, input []byte) Keys {
	var keys Keys
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(model)
	from := 0
	for _, length := range lengths() {
		if keys.count > 0 && length > len(input) {
			break
		}
		to := min(length, len(input))
		_, _ = digest.Write(input[from:to])
		from = to
		keys.hashes[keys.count] = digest.Sum64()
		keys.count++
	}
	return keys
}

// loadBoundPercent is the highest utilisation of a preferred endpoint, in per cent of
// the mean (consistent hashing with bounded loads).
const loadBoundPercent = 125

// maxCandidates is how many endpoints in rendezvous order are considered for a prefix.
const maxCandidates = 3

// tableSize is the number of prefixes whose last endpoint is remembered. It is a power
// of two.
const tableSize = 1 << 12

// Table records which endpoint last answered a prefix. Its size is fixed; prefixes
// with the same slot replace each other.
type Table struct {
	entries [tableSize]atomic.Pointer[entry]
}

type entry struct {
	key      uint64
	endpoint *pool.Endpoint
	epoch    uint64
}

// New returns an empty table.
func New() *Table { return &Table{} }

// Record records that an endpoint answered an input, so that it has the input's
// prefixes cached.
func (t *Table) Record(keys Keys, endpoint *pool.Endpoint) {
	epoch := endpoint.Report().PrefixEpoch
	for _, key := range keys.hashes[:keys.count] {
		slot := &t.entries[key%tableSize]
		if old := slot.Load(); old != nil && old.key == key && old.endpoint == endpoint && old.epoch == epoch {
			continue
		}
		slot.Store(&entry{key: key, endpoint: endpoint, epoch: epoch})
	}
}

// Prefer returns the endpoint to try first for an input: the one that last answered
// its longest known prefix, otherwise the first in rendezvous order that has room.
// Endpoints that lost their cache (their epoch changed), that are not in the view or
// that are too loaded are skipped. It returns nil if none is left.
func (t *Table) Prefer(now clock.Millis, view *pool.View, keys Keys) *pool.Endpoint {
	if view.Len() == 0 || keys.count == 0 {
		return nil
	}
	bound := loadBound(now, view)
	for i := keys.count - 1; i >= 0; i-- {
		last := t.entries[keys.hashes[i]%tableSize].Load()
		if last == nil || last.key != keys.hashes[i] || last.epoch != last.endpoint.Report().PrefixEpoch {
			continue
		}
		if hasRoom(now, last.endpoint, bound) && contains(view, last.endpoint) {
			return last.endpoint
		}
	}
	for _, endpoint := range rendezvous(view, keys.hashes[0]) {
		if endpoint != nil && hasRoom(now, endpoint, bound) {
			return endpoint
		}
	}
	return nil
}

// maxSampled is about how many endpoints are sampled for the mean utilisation of a
// large pool.
const maxSampled = 16

// loadBound returns the highest utilisation of a preferred endpoint in thousandths:
// loadBoundPercent of the mean, but at most the endpoint's limit.
func loadBound(now clock.Millis, view *pool.View) int64 {
	var sum, count int64
	step := max(view.Len()/maxSampled, 1)
	for i := 0; i < view.Len(); i += step {
		sum += view.At(i).Utilisation(now)
		count++
	}
	return min(sum*loadBoundPercent/100/count, 1000)
}

// callUnit is one call in the unit of Endpoint.Load.
const callUnit = 1000

// hasRoom reports whether an endpoint may get one more call. An idle endpoint may,
// however small its limit: otherwise a cold endpoint would never get the work that
// warms it up.
func hasRoom(now clock.Millis, endpoint *pool.Endpoint, bound int64) bool {
	return endpoint.Utilisation(now) <= bound || endpoint.Load(now) < callUnit
}

func contains(view *pool.View, endpoint *pool.Endpoint) bool {
	for _, known := range view.Near {
		if known == endpoint {
			return true
		}
	}
	for _, known := range view.Far {
		if known == endpoint {
			return true
		}
	}
	return false
}

// rendezvous returns the endpoints with the highest weights for a key, highest first.
// Every entry computes the same ones without communicating.
func rendezvous(view *pool.View, key uint64) [maxCandidates]*pool.Endpoint {
	var top [maxCandidates]*pool.Endpoint
	var weights [maxCandidates]uint64
	consider := func(endpoint *pool.Endpoint) {
		weight := pool.Weight(key, endpoint.Hash)
		for i := range top {
			if top[i] == nil || weight > weights[i] {
				copy(top[i+1:], top[i:maxCandidates-1])
				copy(weights[i+1:], weights[i:maxCandidates-1])
				top[i], weights[i] = endpoint, weight
				return
			}
		}
	}
	for _, endpoint := range view.Near {
		consider(endpoint)
	}
	for _, endpoint := range view.Far {
		consider(endpoint)
	}
	return top
}
