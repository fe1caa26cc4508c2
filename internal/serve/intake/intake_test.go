package intake_test

import (
	"context"
	"errors"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/serve/feed"
	"github.com/jujubescale/jujubescale/internal/serve/intake"
	"github.com/jujubescale/jujubescale/internal/serve/proof"
)

const name = "config/main"

// bench is an intake whose decoder waits for the test.
type bench struct {
	*intake.Intake
	book *proof.Book
	// decoding gets each version when its decoding begins, which ends with a value of release.
	decoding chan uint64
	release  chan struct{}
	inForce  chan struct{}
}

func newBench(t *testing.T) *bench {
	t.Helper()
	now := func() clock.Millis { return 1000 }
	b := &bench{
		book:     proof.New(t.Context(), 2*clock.Second, 0, proof.WithClock(clock.New(clock.WithNow(now)))),
		decoding: make(chan uint64), release: make(chan struct{}), inForce: make(chan struct{}, 10),
	}
	decode := func(raw []byte) (*table.Table, error) {
		version, err := strconv.ParseUint(string(raw), 10, 64)
		b.decoding <- version
		<-b.release
		return table.New(table.Content{Version: version}), err
	}
	b.Intake = intake.New(name, b.book, decode, intake.WithInForce(func() { b.inForce <- struct{}{} }))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		b.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return b
}

// take hands over a version, and the proof of an instant for it.
func (b *bench) take(version uint64, confirmedAt clock.Millis) {
	b.TakeChanges([]store.Change{{Object: store.Object{Name: name, Version: store.Revision{Number: version}, Value: []byte(strconv.FormatUint(version, 10))}}})
	b.Confirm(feed.Proof{ConfirmedAt: confirmedAt})
}

// decode ends the decoding of a version.
func (b *bench) decode(t *testing.T, version uint64) {
	t.Helper()
	assert.Equal(t, <-b.decoding, version)
	b.release <- struct{}{}
	<-b.inForce
}

// Guards against versions in series that are each decoded, so that a slow host falls ever further behind.
func TestOnlyTheNewestVersionIsDecoded(t *testing.T) {
	b := newBench(t)
	b.take(1, 100)
	assert.Equal(t, <-b.decoding, uint64(1))
	for version := range uint64(5) { // while the first one is decoded
		b.take(2+version, 200+clock.Millis(version))
	}
	b.release <- struct{}{}
	<-b.inForce
	b.decode(t, 6)
	assert.Equal(t, b.book.Version(), uint64(6))
}

// Guards against a configuration that counts as confirmed by the proof of a newer one.
func TestProofIsPassedOnWithItsVersion(t *testing.T) {
	b := newBench(t)
	b.take(1, 100)
	b.decode(t, 1)
	assert.Equal(t, b.book.Age(), clock.Millis(900))
	b.Confirm(feed.Proof{ConfirmedAt: 300})
	assert.Equal(t, b.book.Age(), clock.Millis(700))

	b.take(2, 500)
	assert.Equal(t, <-b.decoding, uint64(2))
	assert.Equal(t, b.book.Age(), clock.Millis(700))
	assert.Assert(t, b.book.Outdated())
	b.Confirm(feed.Proof{ConfirmedAt: 600})
	assert.Equal(t, b.book.Age(), clock.Millis(700))
	b.release <- struct{}{}
	<-b.inForce
	assert.Equal(t, b.book.Age(), clock.Millis(400))
	assert.Assert(t, !b.book.Outdated())
}

// Guards against an unreadable configuration that is forgotten because a readable one was being decoded.
func TestUnreadableConfigurationIsRecordedAfterTheOneBefore(t *testing.T) {
	b := newBench(t)
	b.take(1, 100)
	assert.Equal(t, <-b.decoding, uint64(1))
	b.TakeUnreadable(errors.New("odd"))
	b.Confirm(feed.Proof{ConfirmedAt: 990})
	b.release <- struct{}{}
	<-b.inForce
	poll.WaitOn(t, func(poll.LogT) poll.Result { // Run takes the error next
		if b.book.Age() != 10 {
			return poll.Continue("confirmed %d ms before", b.book.Age())
		}
		return poll.Success()
	})
	assert.Assert(t, b.book.Outdated())
}
