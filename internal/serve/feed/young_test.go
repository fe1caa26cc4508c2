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
	young := newCopy(fake, age, feed.WithProof(func(p feed.Proof) { proof = p }))
	assert.Equal(t, fake.Clock().Now()-proof.ConfirmedAt, clock.Millis(age))
	assert.Equal(t, young.Progress().Age, clock.Millis(age))
	assert.Equal(t, young.Snapshot().Age, clock.Millis(age))
	fake.Advance(100)
	assert.Assert(t, !young.Confirm(wire.Progress{Kind: "config", Era: 1, Revision: 5, Changed: 5, Age: 2000}, fake.Clock().Now()))
	assert.Equal(t, young.Progress().Age, clock.Millis(2000))
}

// Guards against a process that knows how old its copy is, and takes it for fresh again because one that has just started has
// got that copy from it and confirms it.
func TestRestartedPeerDoesNotConfirmTheCopyThatItWasGiven(t *testing.T) {
	const uptime, age = 60_000, 5500
	old := newCopy(clock.NewFake(uptime), age)
	young := newCopy(clock.NewFake(270), old.Snapshot().Age)
	assert.Assert(t, !old.Confirm(young.Progress(), uptime))
	assert.Assert(t, old.Progress().Age >= age, "%d ms", old.Progress().Age)
}

// newCopy returns a feed that holds a copy which a peer had for a time.
func newCopy(fake *clock.Fake, age clock.Millis, opts ...feed.Option) *feed.Feed {
	f := feed.New("config", &store.Store{}, append(opts, feed.WithClock(fake.Clock()))...)
	f.Apply(&wire.Update{
		Kind: "config", Era: 1, Revision: 5, Changed: 5, Whole: true, Age: age,
		Objects: []wire.Stored{{Name: "config/main", Value: []byte("{}"), Version: 5}},
	}, fake.Clock().Now())
	return f
}
