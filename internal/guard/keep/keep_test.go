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

// Answers are not acknowledged and accumulate. Memory stays bounded, and an answer
// before its deadline is not dropped for a newer one.
func TestMemoryIsBounded(t *testing.T) {
	k := keep.New(keep.WithBound(4096), keep.WithRetention(10))
	old, next := token.Attempt{Request: "old"}, token.Attempt{Request: "late"}
	k.Open(old, "one", 100)
	_, err := k.Append(1, old, make([]byte, 2600))
	assert.NilError(t, err)
	k.Finish(old, &wire.End{})
	assert.Assert(t, !k.HasRoom("one"))
	k.Open(next, "one", 1000)
	_, err = k.Append(50, next, make([]byte, 1000))
	var full *keep.FullError
	assert.Assert(t, err != nil)
	assert.ErrorType(t, err, full)
	_, err = k.Append(101, next, make([]byte, 1000))
	assert.NilError(t, err)
	assert.Assert(t, k.Get(old) == nil)
}

// Random use: the stored bytes are the complete answer with its digest, and
// acknowledged and expired answers leave no memory in use.
func TestKeepProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := keep.New(keep.WithBound(1<<16), keep.WithRetention(10))
		now := clock.Millis(0)
		appended := map[token.Attempt][]byte{}
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
				assert.Equal(t, offset, int64(len(appended[id])))
				appended[id] = append(appended[id], part...)
			}
			end := &wire.End{}
			k.Finish(id, end)
			assert.Equal(t, end.Digest, xxhash.Sum64(appended[id]))
			assert.Assert(t, bytes.Equal(k.Get(id).Bytes, appended[id]))
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

// One organisation never acknowledges its answers, or has thousands of calls
// refused per second, and its answers fill the memory. Calls of an organisation
// that uses little memory must still be accepted.
func TestOneOrganisationCannotFillMemory(t *testing.T) {
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
	// The reserve is bounded too: many small organisations together can't exceed it.
	for range 1000 {
		number++
		open(fmt.Sprint("other", number))
	}
	assert.Assert(t, k.Used() <= 1<<20-1<<16, "%d", k.Used())
}
