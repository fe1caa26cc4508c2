package pack_test

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/delta"
	"github.com/jujubescale/jujubescale/internal/link/pack"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// drawObject draws an object of any form that a feed sends.
func drawObject(t *rapid.T) wire.Stored {
	content := rapid.OneOf(rapid.Just([]byte(nil)), rapid.Just([]byte{}), rapid.SliceOfN(rapid.Byte(), 1, 40))
	o := wire.Stored{
		Name: rapid.String().Draw(t, "name"), Version: rapid.Uint64().Draw(t, "version"), Value: content.Draw(t, "value"), Status: content.Draw(t, "status"),
		Deleted: rapid.Bool().Draw(t, "deleted"), Unversioned: rapid.IntRange(0, 4).Draw(t, "unversioned") == 0, Digest: rapid.Uint64().Draw(t, "digest"),
	}
	if rapid.IntRange(0, 3).Draw(t, "held") == 0 {
		o.Hold = &wire.Hold{Era: rapid.Uint64Range(0, 3).Draw(t, "held era"), Over: rapid.Uint64Range(0, 3).Draw(t, "over"), Left: clock.Millis(rapid.IntRange(0, 2000).Draw(t, "left"))}
	}
	return o
}

// drawUpdate draws an update of at least one object that is large enough to be packed.
func drawUpdate(t *rapid.T) *wire.Update {
	u := &wire.Update{
		Kind: rapid.String().Draw(t, "kind"), Era: rapid.Uint64Range(0, 4).Draw(t, "era"), Since: rapid.Uint64().Draw(t, "since"), SinceEra: rapid.Uint64Range(0, 4).Draw(t, "sinceEra"),
		Revision: rapid.Uint64().Draw(t, "revision"), Changed: rapid.Uint64().Draw(t, "changed"), Whole: rapid.Bool().Draw(t, "whole"), Lost: rapid.Bool().Draw(t, "lost"), EraOnly: rapid.Bool().Draw(t, "eraOnly"),
	}
	for range rapid.IntRange(1, 4).Draw(t, "objects") {
		u.Objects = append(u.Objects, drawObject(t))
	}
	large := &u.Objects[len(u.Objects)-1]
	large.Value = append(bytes.Repeat(append(large.Value, 'x'), 9<<10/(len(large.Value)+1)), make([]byte, 100)...)
	return u
}

// sameObjects compares objects as peers get them: empty contents are like none.
func sameObjects(t *rapid.T, got, want []wire.Stored) {
	plain := func(all []wire.Stored) []wire.Stored {
		out := make([]wire.Stored, len(all))
		for i, o := range all {
			o.Digest, o.Previous = 0, nil
			o.Value, o.Status = append([]byte{}, o.Value...), append([]byte{}, o.Status...)
			out[i] = o
		}
		return out
	}
	assert.Assert(t, reflect.DeepEqual(plain(got), plain(want)), "%+v is not %+v", got, want)
}

// Guards against a sound update that its receiver refuses because of its checksum.
func TestEachPackedUpdateIsAcceptedAsItWasSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var cache pack.Cache
		for range 2 {
			update := drawUpdate(t)
			if len(update.Objects) == 1 && rapid.Bool().Draw(t, "with the version before") {
				update.Objects[0].Previous = &wire.Previous{Version: 3, Value: append(bytes.Clone(update.Objects[0].Value[:8<<10]), "before"...)}
			}
			announced, err := cache.Pack(update)
			assert.NilError(t, err)
			raw, err := cbor.Marshal(announced)
			assert.NilError(t, err)
			var packed wire.Update
			assert.NilError(t, cbor.Unmarshal(raw, &packed))
			assert.Assert(t, packed.Packed != nil && packed.Verifiable())
			transfer, err := pack.NewTransfer(packed.Packed)
			assert.NilError(t, err)
			for !transfer.Done() {
				assert.Assert(t, transfer.Add(cache.Chunk(&wire.ChunkRequest{Digest: transfer.Digest(), Offset: transfer.Offset()})))
			}
			complete, err := transfer.Complete(&packed)
			assert.NilError(t, err)
			sameObjects(t, complete.Objects, update.Objects)
			patch := packed.Packed.Patch
			if patch == nil || len(patch.Delta) == 0 {
				continue
			}
			assert.Equal(t, patch.BaseDigest, pack.ValueDigest(update.Objects[0].Previous.Value))
			object := patch.Object
			object.Value, err = delta.Apply(update.Objects[0].Previous.Value, patch.Delta, 16<<20)
			assert.NilError(t, err)
			complete, err = pack.Unpacked(&packed, []wire.Stored{object})
			assert.NilError(t, err)
			sameObjects(t, complete.Objects, update.Objects)
		}
	})
}
