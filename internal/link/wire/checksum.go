package wire

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Checksum returns the digest of what the update says of its objects: kind, era and range of revisions, and of each object its name,
// version, hold, value and status. The store gives numbers out again after it came back from a copy, so that the numbers alone
// don't tell one content from another. The checksum doesn't cover how long objects are still held. It is never 0.
func (u *Update) Checksum() uint64 {
	w := checksumWriter{}
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

// Verifiable reports whether a receiver can tell that the packed objects are those of this update. Without eras, the store gives no
// number out twice.
func (u *Update) Verifiable() bool { return u.Packed == nil || u.Packed.Checksum != 0 || u.Era == 0 }

// checksumWriter adds values with their lengths to a digest, so that no two lists of values look alike.
type checksumWriter struct {
	digest xxhash.Digest
}

func (w *checksumWriter) numbers(all ...uint64) {
	var buffer [8]byte
	for _, number := range all {
		binary.LittleEndian.PutUint64(buffer[:], number)
		_, _ = w.digest.Write(buffer[:]) // a Digest never returns an error
	}
}

func (w *checksumWriter) text(s string) {
	w.numbers(uint64(len(s)))
	_, _ = w.digest.WriteString(s)
}

func (w *checksumWriter) bytes(b []byte) {
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
