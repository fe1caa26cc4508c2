package claim

import (
	"context"
	"fmt"
	"math/rand/v2"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// shards is the number of name prefixes that claims spread over.
	shards = 256
	// sweepPause is the mean time between two looks at a shard by one process.
	sweepPause = 10 * clock.Minute
	// readPause keeps a sweep far below the platform's rate of reads.
	readPause = 200 * clock.Millis(1)
)

// Sweep deletes claims that have been kept long enough, one shard now and
// then, until the context ends. Every entry does it, at random times and
// shards: nobody has to be elected, and two at once do no harm, since a
// delete is conditional on the version that was read.
func (b *Registry) Sweep(ctx context.Context) {
	for ctx.Err() == nil {
		if b.clock.Sleep(ctx, sweepPause/2+clock.Millis(rand.Int64N(int64(sweepPause)))) != nil {
			return
		}
		b.SweepPrefix(ctx, rand.IntN(shards))
	}
}

// SweepPrefix deletes the claims of one shard that have been kept long enough,
// and returns how many.
func (b *Registry) SweepPrefix(ctx context.Context, shard int) int {
	objects, err := b.store.List(ctx, fmt.Sprintf("%s%02x/", Prefix, shard))
	if err != nil {
		return 0
	}
	deleted := 0
	for _, listed := range objects {
		if b.sweepOne(ctx, listed.Name) {
			deleted++
		}
		if b.clock.Sleep(ctx, readPause) != nil {
			return deleted
		}
	}
	return deleted
}

func (b *Registry) sweepOne(ctx context.Context, name string) bool {
	object, err := b.store.Get(ctx, name)
	if err != nil || object.Version == 0 {
		return false
	}
	record, err := Decode(object.Value)
	if err != nil || b.wall().UnixMilli()-record.AtMs < int64(Retention) {
		return false
	}
	return b.store.Delete(ctx, name, object.Version) == nil
}
