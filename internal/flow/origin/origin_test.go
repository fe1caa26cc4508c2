package origin_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/origin"
	"github.com/jujubescale/jujubescale/internal/route/view"
)

func of(endpoint, version string, until clock.Millis) *origin.Origin {
	return &origin.Origin{Endpoint: endpoint, StartedAt: 5, Version: version, Until: until}
}

// Guards against streams of other organisations, routes and pools that a caller could name by
// a guessed request id.
func TestKeysDifferByOrganisationRouteAndPool(t *testing.T) {
	keys := make(map[origin.Key]bool)
	for _, parts := range [][4]string{
		{"one", "draft", "models", "5f"},
		{"two", "draft", "models", "5f"},
		{"one", "sum", "models", "5f"},
		{"one", "draft", "others", "5f"},
		{"one", "draft", "models", "60"},
		{"oned", "raft", "models", "5f"},
		{"", "one", "draft", "models5f"},
	} {
		keys[origin.KeyOf(parts[0], parts[1], parts[2], parts[3])] = true
	}
	keys[origin.ContentKeyOf("one", "draft", "models", "5f")] = true
	assert.Equal(t, len(keys), 8)
}

func TestEndpointsOfTheSameVersionMayResume(t *testing.T) {
	for _, tt := range []struct {
		name    string
		origin  *origin.Origin
		entry   view.Entry
		allowed bool
	}{
		{"same endpoint", of("e", "v1", 9), view.Entry{ID: "e", StartedAt: 5, Version: "v1"}, true},
		{"another endpoint", of("e", "v1", 9), view.Entry{ID: "f", StartedAt: 7, Version: "v1"}, true},
		{"another version", of("e", "v1", 9), view.Entry{ID: "f", StartedAt: 7, Version: "v1.1"}, false},
		{"same endpoint with another version", of("e", "v1", 9), view.Entry{ID: "e", StartedAt: 7, Version: "v1.1"}, false},
		{"no version now", of("e", "v1", 9), view.Entry{ID: "f", StartedAt: 7}, false},
		{"no version then", of("e", "", 9), view.Entry{ID: "f", StartedAt: 7, Version: "v1"}, false},
		{"no version, another endpoint", of("e", "", 9), view.Entry{ID: "f", StartedAt: 7}, false},
		{"no version, started again", of("e", "", 9), view.Entry{ID: "e", StartedAt: 7}, false},
		{"no version, same start", of("e", "", 9), view.Entry{ID: "e", StartedAt: 5}, true},
	} {
		r := view.New()
		r.Sync([]view.Entry{tt.entry}, 1, 0)
		r.Publish()
		assert.Equal(t, tt.origin.Allows(r.Snapshot().Find(tt.entry.ID)), tt.allowed, tt.name)
	}
}

// Guards against a stream that goes on at the version in an entry which was older than the
// process at its address.
func TestChangedVersionOfTheFirstEndpointIsDoubtful(t *testing.T) {
	r := view.New()
	r.Sync([]view.Entry{{ID: "e", StartedAt: 5, Version: "v1"}}, 1, 0)
	r.Publish()
	assert.Assert(t, !of("e", "v1", 9).Doubtful(r.Snapshot()))
	assert.Assert(t, !of("gone", "v1", 9).Doubtful(r.Snapshot()))
	r.Put(view.Entry{ID: "e", StartedAt: 8, Version: "v2"}, 2)
	r.Publish()
	assert.Assert(t, of("e", "v1", 9).Doubtful(r.Snapshot()))
}

func TestBookKeepsOriginsUntilTheyExpire(t *testing.T) {
	b := origin.New()
	key := origin.KeyOf("one", "draft", "models", "5f")
	assert.Assert(t, b.Put(key, of("e", "v1", 100), 10))
	found, verdict := b.Find(key, 99)
	assert.Equal(t, verdict, origin.Known)
	assert.Equal(t, found.Version, "v1")
	_, verdict = b.Find(key, 100)
	assert.Equal(t, verdict, origin.Unknown)
	assert.Assert(t, b.Put(key, of("f", "v2", 200), 150), "an expired origin doesn't contradict")
	found, _ = b.Find(key, 160)
	assert.Equal(t, found.Version, "v2")
	b.Prune(5000)
	assert.Equal(t, b.Len(), 0)
}

// Guards against a stream that is resumed at the version of another one with the same request
// id.
func TestContradictoryOriginsAreNotUsed(t *testing.T) {
	b := origin.New()
	key := origin.KeyOf("one", "draft", "models", "5f")
	b.Put(key, of("e", "v1", 100), 10)
	b.Put(key, of("f", "v1", 300), 20)
	_, verdict := b.Find(key, 200)
	assert.Equal(t, verdict, origin.Known, "the same version extends the time")
	b.Put(key, of("g", "v2", 100), 30)
	_, verdict = b.Find(key, 40)
	assert.Equal(t, verdict, origin.Contradictory)
	b.Put(key, of("e", "v1", 400), 50)
	_, verdict = b.Find(key, 60)
	assert.Equal(t, verdict, origin.Contradictory, "a contradiction stays")
}

// Guards against memory that grows with a flood of streams.
func TestFullBookKeepsWhatItHas(t *testing.T) {
	b := origin.New()
	keys := make([]origin.Key, 0, 40_000)
	for i := range cap(keys) {
		keys = append(keys, origin.KeyOf("one", "draft", "models", fmt.Sprint(i)))
		b.Put(keys[i], of("e", "v1", 60_000), 10)
	}
	assert.Assert(t, b.Len() < 33_000)
	_, verdict := b.Find(keys[0], 20)
	assert.Equal(t, verdict, origin.Known)
	_, verdict = b.Find(keys[len(keys)-1], 20)
	assert.Equal(t, verdict, origin.Unknown)
	assert.Assert(t, b.Put(keys[len(keys)-1], of("e", "v1", 90_000), 70_000), "expired origins make room")
}

// Guards against origins that nobody finds after a process has ended: most keepers stay.
func TestKeepersStayWhenOtherProcessesEnd(t *testing.T) {
	var processes []string
	for i := range 20 {
		processes = append(processes, fmt.Sprintf("gateway-%d", i))
	}
	counts := make(map[string]int)
	for i := range 2000 {
		key := origin.KeyOf("one", "draft", "models", fmt.Sprint(i))
		before := origin.Keepers(key, processes)
		assert.Equal(t, len(before), 3)
		for _, name := range before {
			counts[name]++
		}
		asked := origin.Asked(key, processes[2:]) // two processes have ended
		left := 0
		for _, name := range before {
			for _, other := range asked {
				if name == other {
					left++
				}
			}
		}
		assert.Assert(t, left >= 1, "keepers %v, asked %v", before, asked)
	}
	for name, count := range counts {
		assert.Assert(t, count > 200 && count < 400, "%s keeps %d of 2000, 300 are its share", name, count)
	}
	assert.Equal(t, len(origin.Keepers(origin.Key{}, nil)), 0)
	assert.Equal(t, len(origin.Keepers(origin.Key{}, processes[:2])), 2)
}
