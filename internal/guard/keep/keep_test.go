package keep_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/guard/keep"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// Answers that nobody acknowledges pile up. The memory stays bounded, and an
// answer that is still of use is not dropped for a newer one.
func TestMemoryIsBounded(t *testing.T) {
	k := keep.New(keep.WithBound(4096), keep.WithRetention(10))
	old, late := token.Attempt{Request: "old"}, token.Attempt{Request: "late"}
	k.Open(old, "one", 100)
	_, err := k.Append(1, old, make([]byte, 2600))
	assert.NilError(t, err)
	k.Finish(old, &wire.End{})
	assert.Assert(t, !k.HasRoom("one"))
	k.Open(late, "one", 1000)
	_, err = k.Append(50, late, make([]byte, 1000))
	var full *keep.FullError
	assert.Assert(t, err != nil)
	assert.ErrorType(t, err, full)
	_, err = k.Append(101, late, make([]byte, 1000))
	assert.NilError(t, err)
	assert.Assert(t, k.Get(old) == nil)
}

// Random use: whatever the offset, the kept bytes join up to the whole answer
// with its digest; acknowledged and expired answers leave no memory behind.
func TestKeepProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := keep.New(keep.WithBound(1<<16), keep.WithRetention(10))
		now := clock.Millis(0)
		truth := map[token.Attempt][]byte{}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now++
			id := token.Attempt{Request: "r", Try: step}
			k.Open(id, "one", now+20)
			for range rapid.IntRange(0, 4).Draw(t, "parts") {
				part := rapid.SliceOfN(rapid.Byte(), 1, 200).Draw(t, "part")
				offset, err := k.Append(now, id, part)
				if err != nil {
					continue
				}
				assert.Equal(t, offset, int64(len(truth[id])))
				truth[id] = append(truth[id], part...)
			}
			end := &wire.End{}
			k.Finish(id, end)
			assert.Equal(t, end.Digest, xxhash.Sum64(truth[id]))
			assert.Assert(t, bytes.Equal(k.Get(id).Bytes, truth[id]))
			if rapid.Bool().Draw(t, "ack") {
				k.Ack(id)
				assert.Assert(t, k.Get(id) == nil)
			}
			k.Sweep(now)
			assert.Assert(t, k.Used() <= 1<<16)
		}
		k.Sweep(now + 1000)
		assert.Equal(t, k.Used(), 0)
		assert.Equal(t, k.Len(), 0)
	})
}

// One organisation's entries never acknowledge, or it has thousands of calls
// refused a second, and its answers fill the memory. Calls of another one, which
// holds hardly anything, must not be refused for that.
func TestOneOrganisationDoesNotUseUpTheMemory(t *testing.T) {
	k := keep.New(keep.WithBound(1 << 20))
	number := 0
	open := func(organisation string) bool {
		if !k.HasRoom(organisation) {
			return false
		}
		number++
		k.Open(token.Attempt{Request: organisation, Try: number}, organisation, 1000)
		return true
	}
	for open("large") {
	}
	assert.Assert(t, k.Used() <= 3<<18)
	for range 20 {
		assert.Assert(t, open("small"))
	}
	assert.Assert(t, !open("large"))
	// The reserve is bounded, too: many small ones together can't exceed it.
	for range 1000 {
		number++
		open(fmt.Sprint("other", number))
	}
	assert.Assert(t, k.Used() <= 1<<20-1<<16, "%d", k.Used())
}
