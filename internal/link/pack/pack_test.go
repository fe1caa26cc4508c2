package pack_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/pack"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

func ExampleEncode() {
	content, err := pack.Encode([]wire.Stored{{Name: "config/main", Version: 7, Value: []byte("routes")}})
	if err != nil {
		fmt.Println(err)
		return
	}
	transfer, err := pack.NewTransfer(&wire.Packed{Digest: content.Digest, Bytes: len(content.Data)})
	if err != nil {
		fmt.Println(err)
		return
	}
	for !transfer.Done() {
		transfer.Add(&wire.Chunk{Digest: content.Digest, Offset: transfer.Offset(), Data: content.Chunk(transfer.Offset())})
	}
	objects, err := transfer.Objects()
	fmt.Println(objects[0].Name, string(objects[0].Value), err)
	// Output: config/main routes <nil>
}

// incompressible returns an object whose content has several chunks.
func incompressible(t *testing.T) *pack.Content {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 2))
	value := make([]byte, 3*pack.ChunkBytes)
	for i := range value {
		value[i] = byte(random.Uint32())
	}
	content, err := pack.Encode([]wire.Stored{{Name: "config/main", Version: 7, Value: value}})
	assert.NilError(t, err)
	return content
}

func newTransfer(t *testing.T, content *pack.Content) *pack.Transfer {
	t.Helper()
	transfer, err := pack.NewTransfer(&wire.Packed{Digest: content.Digest, Bytes: len(content.Data)})
	assert.NilError(t, err)
	return transfer
}

func chunkOf(content *pack.Content, offset int) *wire.Chunk {
	return &wire.Chunk{Digest: content.Digest, Offset: offset, Data: content.Chunk(offset)}
}

// Guards against content that is put together wrongly from repeated, missing or foreign
// chunks.
func TestOnlyExpectedChunksAreAdded(t *testing.T) {
	content := incompressible(t)
	transfer := newTransfer(t, content)
	foreign := chunkOf(content, 0)
	foreign.Digest = "other"
	tooLong := chunkOf(content, 0)
	tooLong.Data = bytes.Repeat([]byte{1}, len(content.Data)+1)
	for name, chunk := range map[string]*wire.Chunk{
		"foreign": foreign, "after a gap": chunkOf(content, pack.ChunkBytes), "empty": {Digest: content.Digest}, "too long": tooLong,
	} {
		assert.Assert(t, !transfer.Add(chunk), name)
	}
	for !transfer.Done() {
		chunk := chunkOf(content, transfer.Offset())
		assert.Assert(t, transfer.Add(chunk))
		assert.Assert(t, !transfer.Add(chunk), "the same chunk again")
	}
	objects, err := transfer.Objects()
	assert.NilError(t, err)
	assert.Equal(t, objects[0].Version, uint64(7))
}

// Guards against damaged content that is put in force.
func TestDamagedContentIsRejected(t *testing.T) {
	content := incompressible(t)
	transfer := newTransfer(t, content)
	for !transfer.Done() {
		chunk := chunkOf(content, transfer.Offset())
		chunk.Data = bytes.Clone(chunk.Data)
		chunk.Data[3] ^= 1
		assert.Assert(t, transfer.Add(chunk))
	}
	_, err := transfer.Objects()
	var damaged *pack.DigestError
	assert.Assert(t, errors.As(err, &damaged), "%v", err)
	assert.Assert(t, strings.Contains(err.Error(), content.Digest))
}

// Guards against a peer that makes a process reserve memory without a limit.
func TestContentSizeIsLimited(t *testing.T) {
	for _, bytes := range []int{-1, 0, 17 << 20} {
		_, err := pack.NewTransfer(&wire.Packed{Digest: "d", Bytes: bytes})
		var size *pack.SizeError
		assert.Assert(t, errors.As(err, &size), "%d bytes", bytes)
	}
}

func TestChunksOutsideTheContentAreEmpty(t *testing.T) {
	content := incompressible(t)
	for _, offset := range []int{-1, len(content.Data), len(content.Data) + 1} {
		assert.Equal(t, len(content.Chunk(offset)), 0)
	}
}

// FuzzObjects guards against content of a faulty peer that ends the process.
func FuzzObjects(f *testing.F) {
	f.Add([]byte{1, 2, 3})
	content, err := pack.Encode([]wire.Stored{{Name: "config/main", Version: 7, Value: []byte("routes")}})
	assert.NilError(f, err)
	f.Add(content.Data)
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) == 0 {
			return
		}
		transfer, err := pack.NewTransfer(&wire.Packed{Digest: pack.Digest(data), Bytes: len(data)})
		assert.NilError(t, err)
		assert.Assert(t, transfer.Add(&wire.Chunk{Digest: pack.Digest(data), Data: data}))
		_, _ = transfer.Objects() // any error is fine, a panic is not
	})
}

// routes returns an object of about 0.75 MB that compresses as a configuration does.
func routes() []wire.Stored {
	random := rand.New(rand.NewPCG(1, 2))
	var value bytes.Buffer
	for value.Len() < 750_000 {
		fmt.Fprintf(&value, `{"name":"r-%07x","host":"orders.example","path":"/%07x/","kind":"safe","timeoutMs":3000,"objectiveMs":300,"attempts":1,"service":"orders"},`, random.Uint32(), random.Uint32())
	}
	return []wire.Stored{{Name: "config/main", Version: 7, Value: value.Bytes()}}
}

func BenchmarkEncode(b *testing.B) {
	objects := routes()
	for b.Loop() {
		content, err := pack.Encode(objects)
		assert.NilError(b, err)
		b.ReportMetric(float64(len(content.Data)), "bytes")
	}
}

func BenchmarkObjects(b *testing.B) {
	content, err := pack.Encode(routes())
	assert.NilError(b, err)
	for b.Loop() {
		transfer, err := pack.NewTransfer(&wire.Packed{Digest: content.Digest, Bytes: len(content.Data)})
		assert.NilError(b, err)
		for !transfer.Done() {
			transfer.Add(chunkOf(content, transfer.Offset()))
		}
		_, err = transfer.Objects()
		assert.NilError(b, err)
	}
}

// configUpdate returns an update of one large object.
func configUpdate(era, version uint64, fill string) *wire.Update {
	return &wire.Update{
		Kind: "config", Era: era, Since: version - 1, Revision: version, Changed: version,
		Objects: []wire.Stored{{Name: "config/main", Version: version, Value: []byte(strings.Repeat(fill, 5000))}},
	}
}

// transferred returns the update that a peer gets of a packed one.
func transferred(t *testing.T, cache *pack.Cache, packed *wire.Update) (*wire.Update, error) {
	t.Helper()
	transfer, err := pack.NewTransfer(packed.Packed)
	assert.NilError(t, err)
	for !transfer.Done() {
		chunk := cache.Chunk(&wire.ChunkRequest{Digest: transfer.Digest(), Offset: transfer.Offset()})
		assert.Assert(t, transfer.Add(chunk))
	}
	return transfer.Complete(packed)
}

// Guards against contents of a version that a restored store has lost, sent to peers under the same number of the next era.
func TestPackedContentsBelongToOneEra(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(*wire.Update)
	}{
		{name: "changes", change: func(*wire.Update) {}},
		{name: "whole", change: func(u *wire.Update) { u.Whole, u.Since = true, 0 }},
		{name: "hold", change: func(u *wire.Update) { u.Objects[0].Hold = &wire.Hold{Era: 2, Over: u.Era} }},
		{name: "status", change: func(u *wire.Update) { u.Objects[0].Value, u.Objects[0].Status = nil, u.Objects[0].Value }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var cache pack.Cache
			lost, current := configUpdate(2, 7, "lost"), configUpdate(3, 7, "current")
			for _, update := range []*wire.Update{lost, current} {
				tt.change(update)
				packed, err := cache.Pack(update)
				assert.NilError(t, err)
				got, err := transferred(t, &cache, packed)
				assert.NilError(t, err)
				assert.DeepEqual(t, got.Objects, update.Objects)
			}
		})
	}
}

// Guards against objects that a peer announces under the numbers of others, and that a receiver can't tell from them.
func TestObjectsOfAnotherUpdateAreRefused(t *testing.T) {
	var cache pack.Cache
	packed, err := cache.Pack(configUpdate(3, 7, "current"))
	assert.NilError(t, err)
	foreign, err := cache.Pack(configUpdate(2, 7, "lost"))
	assert.NilError(t, err)
	mistaken := *packed.Packed
	mistaken.Digest, mistaken.Bytes = foreign.Packed.Digest, foreign.Packed.Bytes
	packed.Packed = &mistaken
	_, err = transferred(t, &cache, packed)
	var mismatch *pack.ChecksumError
	assert.Assert(t, errors.As(err, &mismatch), "%v", err)
	assert.Assert(t, packed.Verifiable())
	mistaken.Checksum = 0
	assert.Assert(t, !packed.Verifiable(), "a peer of the previous version, in an era")
}

// Guards against contents that are packed again for each peer that requests them, and that are no longer kept when a peer requests
// the next chunk: the time for which objects are still held falls from message to message.
func TestHeldObjectsArePackedOnce(t *testing.T) {
	var cache pack.Cache
	var digests []string
	for left := clock.Millis(1800); left > 1790; left-- {
		update := configUpdate(3, 7, "held")
		update.Whole, update.Objects[0].Hold = true, &wire.Hold{Era: 2, Left: left}
		packed, err := cache.Pack(update)
		assert.NilError(t, err)
		digests = append(digests, packed.Packed.Digest)
	}
	assert.Equal(t, len(slices.Compact(digests)), 1)
	assert.Assert(t, len(cache.Chunk(&wire.ChunkRequest{Digest: digests[0]}).Data) > 0, "not kept")
}
