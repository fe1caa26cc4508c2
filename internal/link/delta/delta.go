// Package delta encodes the difference between two versions of a document, so that a change of
// a large one crosses a slow link in a few kilobytes.
//
// Both versions are cut into blocks at positions that depend only on the bytes around them:
// a block that is inserted, removed or moved leaves the others as they are.
package delta

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

const (
	// minBlock and maxBlock bound the length of a block in bytes; about one position in blockMask+1 ends one.
	minBlock, maxBlock, blockMask = 64, 2 << 10, 1<<8 - 1
	sumSize                       = 8
	headSize                      = binary.MaxVarintLen64 + sumSize
)

// gear holds the number that each byte adds to the rolling hash. Apply doesn't need it.
var gear = func() (table [256]uint64) {
	random := rand.New(rand.NewPCG(1, 2))
	for i := range table {
		table[i] = random.Uint64()
	}
	return table
}()

// FormatError is returned for a difference that doesn't fit the document that it is applied to, or is damaged.
type FormatError struct {
	Cause string
}

// Error implements error.
func (e *FormatError) Error() string { return "delta: " + e.Cause }

// SizeError is returned for a result above a limit, in bytes.
type SizeError struct {
	Bytes uint64
	Limit int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("delta: result of %d bytes exceeds the limit of %d", e.Bytes, e.Limit)
}

// blockLength returns the length of the first block of a document.
func blockLength(document []byte) int {
	end := min(len(document), maxBlock)
	hash := uint64(0)
	for i := range end {
		hash = hash<<1 + gear[document[i]]
		if i >= minBlock && hash>>56&blockMask == 0 {
			return i + 1
		}
	}
	return end
}

// Diff returns the difference from base to document. Its encoding is compressed: the length of the document and the digest of it,
// then for each part a number whose lowest bit tells whether bytes follow (1) or are copied from a position of the base (0), and
// whose others are their count.
func Diff(base, document []byte) []byte {
	blocks := make(map[uint64]int)
	for at := 0; at < len(base); {
		n := blockLength(base[at:])
		blocks[xxhash.Sum64(base[at:at+n])] = at
		at += n
	}
	w := writer{out: binary.AppendUvarint(nil, uint64(len(document)))}
	w.out = binary.LittleEndian.AppendUint64(w.out, xxhash.Sum64(document))
	for at := 0; at < len(document); {
		block := document[at : at+blockLength(document[at:])]
		from, found := blocks[xxhash.Sum64(block)]
		if found && bytes.HasPrefix(base[from:], block) {
			w.copied(from, len(block))
		} else {
			w.inserted(document, at, len(block))
		}
		at += len(block)
	}
	w.flush()
	return compress(w.out)
}

// writer joins adjacent parts of one kind.
type writer struct {
	out        []byte
	from, size int
	inserts    []byte // nil for a copy
}

func (w *writer) copied(from, size int) {
	if w.inserts == nil && w.from+w.size == from {
		w.size += size
		return
	}
	w.flush()
	w.from, w.size = from, size
}

func (w *writer) inserted(document []byte, at, size int) {
	if w.inserts != nil {
		w.inserts = document[at-len(w.inserts) : at+size]
		return
	}
	w.flush()
	w.inserts = document[at : at+size]
}

func (w *writer) flush() {
	switch {
	case w.inserts != nil:
		w.out = binary.AppendUvarint(w.out, uint64(len(w.inserts))<<1|1)
		w.out = append(w.out, w.inserts...)
	case w.size > 0:
		w.out = binary.AppendUvarint(w.out, uint64(w.size)<<1)
		w.out = binary.AppendUvarint(w.out, uint64(w.from))
	}
	w.from, w.size, w.inserts = 0, 0, nil
}

func compress(raw []byte) []byte {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant
	}
	_, _ = w.Write(raw) // a buffer takes all bytes
	_ = w.Close()
	return packed.Bytes()
}

// Apply returns the document whose difference from base is given. It returns a SizeError if the document would exceed a limit in
// bytes, and a FormatError if the difference is damaged or is from another base.
func Apply(base, difference []byte, limit int) ([]byte, error) {
	// Parts that copy little take more bytes than what they copy.
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(difference)), 2*int64(limit)+headSize))
	if err != nil {
		return nil, &FormatError{Cause: err.Error()}
	}
	r := reader{rest: raw}
	size := r.number()
	if size > uint64(limit) {
		return nil, &SizeError{Bytes: size, Limit: limit}
	}
	sum := r.take(sumSize)
	document := make([]byte, 0, size)
	for len(r.rest) > 0 && !r.failed {
		head := r.number()
		part := head >> 1
		if part > size-uint64(len(document)) {
			return nil, &FormatError{Cause: "part exceeds the document"}
		}
		if head&1 == 1 {
			document = append(document, r.take(part)...)
			continue
		}
		from := r.number()
		if from > uint64(len(base)) || part > uint64(len(base))-from {
			return nil, &FormatError{Cause: "part exceeds the base"}
		}
		document = append(document, base[from:from+part]...)
	}
	if r.failed || uint64(len(document)) != size || xxhash.Sum64(document) != binary.LittleEndian.Uint64(sum) {
		return nil, &FormatError{Cause: "result differs from the document"}
	}
	return document, nil
}

// reader reads a difference. After a failure it returns zeros.
type reader struct {
	rest   []byte
	failed bool
}

func (r *reader) number() uint64 {
	number, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.rest, r.failed = nil, true
		return 0
	}
	r.rest = r.rest[n:]
	return number
}

func (r *reader) take(n uint64) []byte {
	if n > uint64(len(r.rest)) {
		r.rest, r.failed = nil, true
		return make([]byte, sumSize)
	}
	taken := r.rest[:n]
	r.rest = r.rest[n:]
	return taken
}
