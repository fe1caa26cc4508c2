package wire

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Seal returns the digest of what the update says of its objects: kind, era and range of revisions, and of each object its name,
// version, hold, value and status. The store gives numbers out again after it came back from a copy, so that the numbers alone
// don't tell one content from another. The seal doesn't cover how long objects are still held. It is never 0.
func (u *Update) Seal() uint64 {
	w := sealWriter{}
	w.digest.Reset()
	w.text(u.Kind)
	w.numbers(u.Era, u.Since, u.SinceEra, u.Changed, flags(u.Whole, u.Lost, u.EraOnly), uint64(len(u.Objects)))
	for i := range u.Objects {
		o := &u.Objects[i]
		w.text(o.Name)
		w.numbers(o.Version, flags(o.Deleted, o.Unversioned, o.Hold != nil))
		if o.Hold != nil {
			w.numbers(o.Hold.Era, o.Hold.Over)
		}
		w.bytes(o.Value)
		w.bytes(o.Status)
	}
	return max(w.digest.Sum64(), 1)
}

// Sealed reports whether a receiver can tell that the packed objects are those of this update. Without eras, the store gives no
// number out twice.
func (u *Update) Sealed() bool { return u.Packed == nil || u.Packed.Seal != 0 || u.Era == 0 }

// sealWriter adds values with their lengths to a digest, so that no two lists of values look alike.
type sealWriter struct {
	digest xxhash.Digest
}

func (w *sealWriter) numbers(all ...uint64) {
	var buffer [8]byte
	for _, number := range all {
		binary.LittleEndian.PutUint64(buffer[:], number)
		_, _ = w.digest.Write(buffer[:]) // a Digest never returns an error
	}
}

func (w *sealWriter) text(s string) {
	w.numbers(uint64(len(s)))
	_, _ = w.digest.WriteString(s)
}

func (w *sealWriter) bytes(b []byte) {
	w.numbers(uint64(len(b)))
	_, _ = w.digest.Write(b)
}

// flags packs booleans into a number.
func flags(all ...bool) (number uint64) {
	for i, set := range all {
		if set {
			number |= 1 << i
		}
	}
	return number
}
