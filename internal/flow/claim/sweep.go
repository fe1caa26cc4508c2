package claim

import (
	"context"
	"fmt"
	"math/rand/v2"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// namePrefixes is the number of name prefixes (two hexadecimal digits) over
	// which claims are spread.
	namePrefixes = 256
	// sweepInterval is the mean time between two sweeps of one process.
	sweepInterval = 10 * clock.Minute
	// readInterval is the pause between two reads. It keeps the rate of a sweep
	// far below the platform's limit.
	readInterval = 200 * clock.Millis(1)
)

// Sweep deletes claims older than Retention, for one random name prefix at a time,
// until ctx ends. Every entry runs it at random times. Two sweeps of the same
// prefix at once are safe, because a delete is conditional on the version that
// was read, so that no entry needs to be elected.
func (r *Registry) Sweep(ctx context.Context) {
	for ctx.Err() == nil {
		if r.clock.Sleep(ctx, sweepInterval/2+clock.Millis(rand.Int64N(int64(sweepInterval)))) != nil {
			return
		}
		r.SweepPrefix(ctx, rand.IntN(namePrefixes))
	}
}

// SweepPrefix deletes the claims older than Retention with one name prefix (0 to
// 255) and returns how many it deleted.
func (r *Registry) SweepPrefix(ctx context.Context, prefix int) int {
	objects, err := r.store.List(ctx, fmt.Sprintf("%s%02x/", Prefix, prefix))
	if err != nil {
		return 0
	}
	deleted := 0
	for _, listed := range objects {
		if r.deleteExpired(ctx, listed.Name) {
			deleted++
		}
		if r.clock.Sleep(ctx, readInterval) != nil {
			return deleted
		}
	}
	return deleted
}

// deleteExpired deletes a claim if it is older than Retention, and reports whether
// it did.
func (r *Registry) deleteExpired(ctx context.Context, name string) bool {
	object, err := r.store.Get(ctx, name)
	if err != nil || object.Version.IsZero() {
		return false
	}
	record, err := Decode(object.Value)
	if err != nil || r.wallClock().UnixMilli()-record.AtMs < int64(Retention) {
		return false
	}
	return r.store.Delete(ctx, name, object.Version) == nil
}
