// Package pack compresses the objects of a large update of the store and divides them
// into chunks, so that a transfer between two processes can continue where it was
// interrupted, also with another peer, and leaves room for other messages.
package pack

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/jujubescale/jujubescale/internal/link/wire"
)

const (
	// ChunkBytes is the maximum size of a chunk. A link of 10 Mbit/s transfers one in
	// 26 ms.
	ChunkBytes = 32 << 10
	// maxPackedBytes and maxObjectBytes limit what is accepted from a peer, compressed
	// and not.
	maxPackedBytes = 16 << 20
	maxObjectBytes = 64 << 20
	digestBytes    = 16
)

// Content is a list of objects in its compressed encoding. It is immutable.
type Content struct {
	// Digest identifies the content.
	Digest string
	Data   []byte
}

// SizeError is returned for content that exceeds a limit, in bytes.
type SizeError struct {
	Bytes, Limit int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("content of %d bytes exceeds the limit of %d", e.Bytes, e.Limit)
}

// DigestError is returned for content that doesn't match its digest.
type DigestError struct {
	Want, Got string
}

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("content has digest %s, not %s", e.Got, e.Want)
}

// ChecksumError is returned for content that is not that of the update which names it.
type ChecksumError struct {
	Want, Got uint64
}

// Error implements error.
func (e *ChecksumError) Error() string {
	return fmt.Sprintf("objects have the checksum %016x, the update states %016x", e.Got, e.Want)
}

// Encode returns the content of objects. Equal objects have equal content.
func Encode(objects []wire.Stored) (*Content, error) {
	raw, err := cbor.Marshal(objects)
	if err != nil {
		return nil, err
	}
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(raw); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return &Content{Digest: digestOf(packed.Bytes()), Data: packed.Bytes()}, nil
}

func digestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:digestBytes])
}

// Chunk returns the chunk of the content at an offset in bytes, nil if there is none.
func (c *Content) Chunk(offset int) []byte {
	if offset < 0 || offset >= len(c.Data) {
		return nil
	}
	return c.Data[offset:min(offset+ChunkBytes, len(c.Data))]
}

// Transfer collects the chunks of content.
type Transfer struct {
	digest string
	size   int
	data   []byte
}

// NewTransfer returns the transfer of the content that an update names. It returns a
// SizeError if the content is too large.
func NewTransfer(packed *wire.Packed) (*Transfer, error) {
	if packed.Bytes <= 0 || packed.Bytes > maxPackedBytes {
		return nil, &SizeError{Bytes: packed.Bytes, Limit: maxPackedBytes}
	}
	return &Transfer{digest: packed.Digest, size: packed.Bytes}, nil
}

// Digest identifies the content.
func (t *Transfer) Digest() string { return t.digest }

// Offset returns the number of bytes received, which is the offset of the next chunk.
func (t *Transfer) Offset() int { return len(t.data) }

// Remaining returns the number of bytes that are not received yet.
func (t *Transfer) Remaining() int { return t.size - len(t.data) }

// Done reports whether all bytes were received.
func (t *Transfer) Done() bool { return len(t.data) == t.size }

// Add appends a chunk and reports whether it was the expected one. Other chunks,
// such as answers to a request that was repeated, change nothing.
func (t *Transfer) Add(chunk *wire.Chunk) bool {
	if chunk.Digest != t.digest || chunk.Offset != len(t.data) || len(chunk.Data) == 0 || len(t.data)+len(chunk.Data) > t.size {
		return false
	}
	t.data = append(t.data, chunk.Data...)
	return true
}

// Objects returns the objects of a complete transfer. It returns a DigestError if the
// content is damaged and a SizeError if it is too large.
func (t *Transfer) Objects() ([]wire.Stored, error) {
	if got := digestOf(t.data); got != t.digest {
		return nil, &DigestError{Want: t.digest, Got: got}
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(t.data)), maxObjectBytes+1))
	if err != nil {
		return nil, err
	}
	if len(raw) > maxObjectBytes {
		return nil, &SizeError{Bytes: len(raw), Limit: maxObjectBytes}
	}
	var objects []wire.Stored
	if err := cbor.Unmarshal(raw, &objects); err != nil {
		return nil, err
	}
	return objects, nil
}

// Complete returns the update that named the content, with the objects of the complete transfer. It returns an error of
// Objects, or a ChecksumError if the objects are those of another update.
func (t *Transfer) Complete(update *wire.Update) (*wire.Update, error) {
	objects, err := t.Objects()
	if err != nil {
		return nil, err
	}
	return Unpacked(update, objects)
}

// Unpacked returns a packed update with its objects. It returns a ChecksumError if the objects are those of another update.
func Unpacked(update *wire.Update, objects []wire.Stored) (*wire.Update, error) {
	complete := *update
	complete.Objects, complete.Packed = objects, nil
	if want := update.Packed.Checksum; want != 0 {
		if got := complete.Checksum(); got != want {
			return nil, &ChecksumError{Want: want, Got: got}
		}
	}
	return &complete, nil
}
