package origin_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/origin"
)

// Guards against a process that takes what it keeps of a stream's request for all there is, although
// others kept it before.
func TestStreamsAreKeptSinceTheProcessIsTheirKeeper(t *testing.T) {
	key := origin.KeyOf("one", "draft", "models", "5f")
	all := []string{"a", "b", "c", "d", "e"}
	others := make([]string, 0, len(all))
	keepers := origin.Keepers(key, all)
	for _, name := range all {
		if name != keepers[0] {
			others = append(others, name)
		}
	}
	next := origin.Keepers(key, others)[2] // keeps the streams once the first keeper has ended
	h := origin.NewHistory(next)
	h.See(all, 1000, clock.Minute)
	assert.Equal(t, h.Kept(key, 5000), clock.Millis(0))
	h.See(others, 6000, clock.Minute)
	assert.Equal(t, h.Kept(key, 9000), clock.Millis(3000))
	h.See(all, 10_000, clock.Minute)
	assert.Equal(t, h.Kept(key, 11_000), clock.Millis(0))

	stays := origin.NewHistory(keepers[1])
	stays.See(all, 1000, clock.Minute)
	stays.See(others, 6000, clock.Minute)
	assert.Equal(t, stays.Kept(key, 9000), clock.Millis(8000), "it kept them before and after")
	stays.See(all, 70_000, clock.Minute)
	stays.See(others, 70_001, clock.Minute)
	assert.Equal(t, stays.Kept(key, 70_002), clock.Millis(64_002), "the first view has ended long ago")
	assert.Equal(t, origin.NewHistory("a").Kept(key, 5), clock.Millis(0))
}

// Guards against streams that can't be resumed after a rolling restart, although each process has
// handed over what it kept.
func TestStreamsStayKeptOverHandovers(t *testing.T) {
	key := origin.KeyOf("one", "draft", "models", "5f")
	all := []string{"a", "b", "c", "d", "e"}
	without := func(name string) []string {
		return slices.DeleteFunc(slices.Clone(all), func(other string) bool { return other == name })
	}
	histories := make(map[string]*origin.History)
	for _, name := range all {
		histories[name] = origin.NewHistory(name)
		histories[name].See(all, 0, clock.Minute)
	}
	now := 20 * clock.Second
	for _, stopped := range all {
		left := without(stopped)
		handovers := histories[stopped].HandOver(left, now)
		for _, name := range left {
			histories[name].Take(handovers)
			histories[name].See(left, now+100, clock.Minute)
		}
		now += clock.Second
		histories[stopped] = origin.NewHistory(stopped)
		for _, name := range all {
			histories[name].See(all, now, clock.Minute)
		}
		now += clock.Second
		most := clock.Millis(0)
		for _, name := range all {
			most = max(most, histories[name].Kept(key, now))
		}
		assert.Equal(t, most, now, "after the restart of %s", stopped)
	}
	killed := make(map[string]*origin.History)
	for _, name := range all {
		killed[name] = origin.NewHistory(name)
		killed[name].See(all, now, clock.Minute)
		assert.Equal(t, killed[name].Kept(key, now+clock.Second) <= clock.Second, true, name)
	}
}

// Guards against a process that takes what it keeps for all there is although it has dropped origins.
func TestNothingIsCompleteBeforeADroppedOrigin(t *testing.T) {
	key := origin.KeyOf("one", "draft", "models", "5f")
	h, next := origin.NewHistory("a"), origin.NewHistory("b")
	h.See([]string{"a"}, 0, clock.Minute)
	h.Lose(4000)
	assert.Equal(t, h.Kept(key, 9000), clock.Millis(5000))
	next.Take(h.HandOver([]string{"b"}, 10_000))
	next.See([]string{"b"}, 10_100, clock.Minute)
	assert.Equal(t, next.Kept(key, 12_000), clock.Millis(8000), "since the loss of the process before it")
	next.Lose(10_050)
	assert.Equal(t, next.Kept(key, 12_000), clock.Millis(1900), "a handover before a loss proves nothing")
}
