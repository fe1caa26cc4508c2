package stage

import "github.com/cespare/xxhash/v2"

// DropReason is the reason for dropping a frame.
type DropReason string

// Reasons for dropping a frame.
const (
	// DropUnknown: the frame names an attempt that was never sent.
	DropUnknown DropReason = "unknown"
	// DropSession: the frame arrived on another session than the one of its attempt.
	DropSession DropReason = "session"
	// DropLate: the attempt has ended.
	DropLate DropReason = "late"
	// DropDuplicate: the bytes were received before.
	DropDuplicate DropReason = "doubled"
	// DropGap: the bytes before these are missing.
	DropGap DropReason = "gap"
	// DropInvalid: the frame contradicts an earlier one.
	DropInvalid DropReason = "broken"
)

// DropReasons returns all reasons.
func DropReasons() []DropReason {
	return []DropReason{DropUnknown, DropSession, DropLate, DropDuplicate, DropGap, DropInvalid}
}

// Answer collects the bytes of the answer of one attempt.
type Answer struct {
	bytes   []byte
	digest  xxhash.Digest
	started bool
}

// Bytes returns the bytes received so far.
func (a *Answer) Bytes() []byte { return a.bytes }

// Length returns the number of bytes received so far.
func (a *Answer) Length() int64 { return int64(len(a.bytes)) }

// AddPart adds bytes that start at an offset. It skips bytes that were received
// before, so that a part that arrives twice or again after a resume is harmless. It
// returns the reason if nothing was added, else "".
func (a *Answer) AddPart(offset int64, bytes []byte) DropReason {
	if !a.started {
		a.digest.Reset()
		a.started = true
	}
	received := a.Length()
	switch {
	case offset < 0:
		return DropInvalid
	case offset > received:
		return DropGap
	case offset+int64(len(bytes)) <= received:
		return DropDuplicate
	}
	added := bytes[received-offset:]
	a.bytes = append(a.bytes, added...)
	_, _ = a.digest.Write(added)
	return ""
}

// Matches reports whether the length and digest of an end frame match the received
// bytes. Without this check, an answer with a lost or swapped part would be returned
// to the caller as complete.
func (a *Answer) Matches(length int64, digest uint64) bool {
	if !a.started {
		a.digest.Reset()
		a.started = true
	}
	return length == a.Length() && digest == a.digest.Sum64()
}
