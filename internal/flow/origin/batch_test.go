package origin_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/origin"
)

func keyOf(i int) origin.Key { return origin.Key{byte(i >> 8), byte(i)} }

func TestPoolIsMixedAsLongAsStreamsOfAnotherVersionMayBeResumed(t *testing.T) {
	for _, tt := range []struct {
		name     string
		versions [][]string // one second apart, the last at the time of the question
		mixed    bool
	}{
		{"one version", [][]string{{"v1"}, {"v1"}}, false},
		{"two versions", [][]string{{"v1", "v2"}}, true},
		{"replaced", [][]string{{"v1"}, {"v2"}}, true},
		{"replaced longer ago than streams last", [][]string{{"v1"}, {"v2"}, {"v2"}, {"v2"}, {"v2"}}, false},
		{"without endpoints for a second", [][]string{{"v1"}, {}, {"v1"}}, false},
		{"replaced while there were no endpoints", [][]string{{"v1"}, {}, {"v2"}}, true},
	} {
		var m origin.Mix
		m.Begin(2 * clock.Second)
		now := clock.Millis(0)
		for i, versions := range tt.versions {
			now = clock.Millis(i) * clock.Second
			m.See(versions, now)
		}
		assert.Equal(t, m.Mixed(now), tt.mixed, tt.name)
	}
}

func TestObjectsInTheStoreAreUsedAgainOnceTheirOriginsHaveExpired(t *testing.T) {
	b := origin.NewBatches()
	for i := range origin.MaxBatch + 1 {
		assert.Assert(t, b.Add(keyOf(i), &origin.Origin{Endpoint: "e", Until: 1000}, 0))
		assert.Assert(t, b.Add(keyOf(i), &origin.Origin{Endpoint: "e", Until: 1000}, 0), "a copy of it")
	}
	for number, count := range []int{origin.MaxBatch, 1} {
		batch, changed := b.Unwritten(0)
		assert.Assert(t, changed)
		assert.Equal(t, batch.Number, number)
		assert.Equal(t, len(batch.Origins), count)
		b.MarkWritten(&batch)
	}
	_, changed := b.Unwritten(0)
	assert.Assert(t, !changed)
	for i := range origin.MaxBatch {
		assert.Assert(t, b.Add(keyOf(1000+i), &origin.Origin{Endpoint: "e", Until: 3000}, 2000))
	}
	for number, count := range []int{1, origin.MaxBatch - 1} {
		batch, changed := b.Unwritten(2000)
		assert.Assert(t, changed)
		assert.Equal(t, batch.Number, number)
		assert.Equal(t, len(batch.Origins), count)
		b.MarkWritten(&batch)
	}
}

// Guards against an origin that is taken for written although it was added while the write was
// under way.
func TestOriginAddedDuringAWriteIsWrittenNext(t *testing.T) {
	b := origin.NewBatches()
	b.Add(keyOf(1), &origin.Origin{Endpoint: "e", Until: 1000}, 0)
	batch, _ := b.Unwritten(0)
	b.Add(keyOf(2), &origin.Origin{Endpoint: "e", Until: 1000}, 0)
	b.MarkWritten(&batch)
	batch, changed := b.Unwritten(0)
	assert.Assert(t, changed)
	assert.Equal(t, len(batch.Origins), 2)
}

func TestFewProcessesWriteToTheStore(t *testing.T) {
	for keepers, writers := range map[int]int{1: 1, 5: 1, 6: 1, 7: 2, 17: 3} {
		var names []string
		for i := range keepers {
			names = append(names, keyName(i))
		}
		chosen := make(map[string]bool)
		for i := range 1000 {
			chosen[origin.Writer(keyOf(i), names)] = true
		}
		assert.Equal(t, len(chosen), writers, "of %d", keepers)
	}
	assert.Equal(t, origin.Writer(keyOf(1), nil), "")
}

func keyName(i int) string { return "gateway-" + string(rune('a'+i)) }

// Guards against a caller that uses an id twice: after all processes were killed, the store would know
// the first of two versions only, and its stream would go on at that.
func TestContradictoryOriginsAreWritten(t *testing.T) {
	b, kept := origin.NewBatches(), origin.New()
	b.Add(keyOf(1), &origin.Origin{Endpoint: "e", Version: "v1", Until: 1000}, 0)
	b.Add(keyOf(1), &origin.Origin{Endpoint: "f", Version: "v2", Until: 900}, 0)
	batch, _ := b.Unwritten(0)
	for i := range batch.Origins {
		kept.Put(batch.Origins[i].Key, &batch.Origins[i].Origin, 0)
	}
	_, verdict := kept.Find(keyOf(1), 1)
	assert.Equal(t, verdict, origin.Contradictory)
}
