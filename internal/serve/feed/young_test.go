package feed_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/serve/feed"
)

// Guards against a process that has just started and takes the copy of a peer for confirmed since its own start, however old
// that copy is, and passes that on to all that follow it.
func TestCopyFromBeforeTheStartKeepsItsAge(t *testing.T) {
	const uptime, age = 270, 2500
	fake := clock.NewFake(uptime)
	var proof feed.Proof
	young := feed.New("config", &store.Store{}, feed.WithClock(fake.Clock()), feed.WithProof(func(p feed.Proof) { proof = p }))
	snapshot := &wire.Update{
		Kind: "config", Era: 1, Revision: 5, Changed: 5, Whole: true, Age: age,
		Objects: []wire.Stored{{Name: "config/main", Value: []byte("{}"), Version: 5}},
	}
	assert.Assert(t, !young.Apply(snapshot, fake.Clock().Now()))
	assert.Equal(t, fake.Clock().Now()-proof.ConfirmedAt, clock.Millis(age))
	assert.Equal(t, young.Progress().Age, clock.Millis(age))
	assert.Equal(t, young.Snapshot().Age, clock.Millis(age))
	fake.Advance(100)
	assert.Assert(t, !young.Confirm(wire.Progress{Kind: "config", Era: 1, Revision: 5, Changed: 5, Age: 2000}, fake.Clock().Now()))
	assert.Equal(t, young.Progress().Age, clock.Millis(2000))
}
