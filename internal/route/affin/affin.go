// Package affin prefers the endpoint that probably holds the prefix of a
// request in its cache. It only ever hints: cache events come late and with
// gaps, so a hint yields whenever the endpoint is fuller than its share.
package affin

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/route/pool"
)

// levels is the number of lengths at which a prefix is looked at.
const levels = 4

// lengths are the prefixes' lengths in bytes. One length does not fit all:
// where inputs are short, a long prefix already holds what differs between two
// requests; where instructions are long, a short one is shared by all.
func lengths() [levels]int { return [levels]int{32, 128, 512, 2048} }

// Keys stands for the prefixes of one input, the shortest first.
type Keys struct {
	hashes [levels]uint64
	count  int
}

// NewKeys returns the keys of an input for a model. An input that is shorter
// than a length has no key there, but every input has one.
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

// boundPercent is how full the preferred endpoint may be against the mean, in
// per cent (consistent hashing with bounded loads).
const boundPercent = 125

// candidates is how many endpoints in rendezvous order may take a prefix
// before affinity yields to the plain choice.
const candidates = 3

// slots is the number of prefixes whose last endpoint is remembered; a power
// of two.
const slots = 1 << 12

// Table remembers which endpoint last answered a prefix. It is bounded: a slot
// keeps the newest of the prefixes that share it.
type Table struct {
	seen [slots]atomic.Pointer[sight]
}

type sight struct {
	key      uint64
	endpoint *pool.Endpoint
	epoch    uint64
}

// New returns an empty table.
func New() *Table { return &Table{} }

// Record notes that an endpoint answered an input and so holds its prefixes for now.
func (t *Table) Record(keys Keys, endpoint *pool.Endpoint) {
	epoch := endpoint.Report().PrefixEpoch
	for _, key := range keys.hashes[:keys.count] {
		slot := &t.seen[key%slots]
		if old := slot.Load(); old != nil && old.key == key && old.endpoint == endpoint && old.epoch == epoch {
			continue
		}
		slot.Store(&sight{key: key, endpoint: endpoint, epoch: epoch})
	}
}

// Prefer returns the endpoint to try first for an input, or nil if affinity
// yields: the one that last answered its longest known prefix, else the first
// in rendezvous order with room. An endpoint that lost its cache (another
// epoch), that left the view or that is too full is passed over.
func (t *Table) Prefer(now clock.Millis, view *pool.View, keys Keys) *pool.Endpoint {
	if view.Len() == 0 || keys.count == 0 {
		return nil
	}
	bound := loadBound(now, view)
	for i := keys.count - 1; i >= 0; i-- {
		last := t.seen[keys.hashes[i]%slots].Load()
		if last == nil || last.key != keys.hashes[i] || last.epoch != last.endpoint.Report().PrefixEpoch {
			continue
		}
		if hasRoom(now, last.endpoint, bound) && holds(view, last.endpoint) {
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

// sampled bounds the endpoints whose utilisation makes the mean.
const sampled = 16

// loadBound is the mean utilisation times the bound, in thousandths, but no
// more than what endpoints bear.
func loadBound(now clock.Millis, view *pool.View) int64 {
	var sum, count int64
	step := max(view.Len()/sampled, 1)
	for i := 0; i < view.Len(); i += step {
		sum += view.At(i).Utilisation(now)
		count++
	}
	return min(sum*boundPercent/100/count, 1000)
}

// oneCall is one call in the unit of loads.
const oneCall = 1000

// hasRoom reports whether an endpoint may take one more call. An idle one may,
// however small its limit: a cold endpoint would otherwise never get the work
// that warms it.
func hasRoom(now clock.Millis, endpoint *pool.Endpoint, bound int64) bool {
	return endpoint.Utilisation(now) <= bound || endpoint.Load(now) < oneCall
}

func holds(view *pool.View, endpoint *pool.Endpoint) bool {
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

// rendezvous returns the endpoints with the highest weight for a key, the
// highest first: every entry finds the same ones without talking.
func rendezvous(view *pool.View, key uint64) [candidates]*pool.Endpoint {
	var top [candidates]*pool.Endpoint
	var weights [candidates]uint64
	consider := func(endpoint *pool.Endpoint) {
		weight := pool.Weight(key, endpoint.Hash)
		for i := range top {
			if top[i] == nil || weight > weights[i] {
				copy(top[i+1:], top[i:candidates-1])
				copy(weights[i+1:], weights[i:candidates-1])
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
