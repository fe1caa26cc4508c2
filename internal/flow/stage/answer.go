package stage

import "github.com/cespare/xxhash/v2"

// DropReason says why a frame was dropped.
type DropReason string

// Reasons for dropping a frame.
const (
	// DropUnknown: the frame names an attempt that was never sent.
	DropUnknown DropReason = "unknown"
	// DropSession: the frame came on another session than the attempt's.
	DropSession DropReason = "session"
	// DropLate: the attempt is over.
	DropLate DropReason = "late"
	// DropDuplicate: the bytes are known already.
	DropDuplicate DropReason = "doubled"
	// DropGap: bytes before these are missing.
	DropGap DropReason = "gap"
	// DropInvalid: the frame contradicts what came before.
	DropInvalid DropReason = "broken"
)

// DropReasons returns every reason.
func DropReasons() []DropReason {
	return []DropReason{DropUnknown, DropSession, DropLate, DropDuplicate, DropGap, DropInvalid}
}

// Answer gathers the bytes of one attempt.
type Answer struct {
	bytes  []byte
	digest xxhash.Digest
	begun  bool
}

// Bytes returns what has come so far.
func (a *Answer) Bytes() []byte { return a.bytes }

// Length returns the number of bytes so far.
func (a *Answer) Length() int64 { return int64(len(a.bytes)) }

// AddPart adds bytes from an offset on. Bytes that are known already are passed
// over, so that a part which comes twice, or again after a resume, is harmless.
func (a *Answer) AddPart(offset int64, bytes []byte) DropReason {
	if !a.begun {
		a.digest.Reset()
		a.begun = true
	}
	have := a.Length()
	switch {
	case offset < 0:
		return DropInvalid
	case offset > have:
		return DropGap
	case offset+int64(len(bytes)) <= have:
		return DropDuplicate
	}
	fresh := bytes[have-offset:]
	a.bytes = append(a.bytes, fresh...)
	_, _ = a.digest.Write(fresh)
	return ""
}

// Matches reports whether length and digest of an end mark match what came.
// Without this check an answer with a lost or swapped part would pass for
// whole, and nobody would notice until a caller reads nonsense.
func (a *Answer) Matches(length int64, digest uint64) bool {
	if !a.begun {
		a.digest.Reset()
		a.begun = true
	}
	return length == a.Length() && digest == a.digest.Sum64()
}
