package crash

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// Key identifies requests of one organisation with the same content, or a part of prompts. It
// is a hash that does not depend on the sender or the request ID.
type Key [16]byte

// KeyOf returns the key of a request.
func KeyOf(organisation, method, host, target string, body []byte) Key {
	return hash([]byte(organisation), []byte(method), []byte(host), []byte(target), body)
}

// PartKeyOf returns the key of a part of a prompt. Engines keep a part by its ID for each model, for
// all organisations alike, so that its place and size don't matter.
func PartKeyOf(pool, model, id string) Key {
	return hash([]byte("part"), []byte(pool), []byte(model), []byte(id))
}

// hash returns the key of a list of values.
func hash(values ...[]byte) Key {
	digest := sha256.New()
	var length [8]byte
	for _, part := range values {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = digest.Write(length[:]) // never fails
		_, _ = digest.Write(part)
	}
	return Key(digest.Sum(nil)[:len(Key{})])
}

// KeyError reports that a text is not a key.
type KeyError struct {
	Text string
}

// Error implements error.
func (e *KeyError) Error() string {
	return fmt.Sprintf("%q is no key of a request: %d hexadecimal digits are needed", e.Text, 2*len(Key{}))
}

// ParseKey parses the text form of a key that String returns. Its error is a
// *KeyError.
func ParseKey(text string) (Key, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(Key{}) {
		return Key{}, &KeyError{Text: text}
	}
	return Key(raw), nil
}

// String returns the key in hexadecimal digits.
func (k Key) String() string { return hex.EncodeToString(k[:]) }
