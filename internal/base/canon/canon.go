// Package canon computes digests of JSON documents that don't depend on their spelling, so that
// two processes can compare documents which they got from different messages.
package canon

import (
	"bytes"
	"encoding/json"
	"math/bits"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// maxDepth is the deepest nesting that is read. Deeper documents are compared byte by byte.
const maxDepth = 1000

// Digest returns the digest of a JSON value. White space, the order of an object's members, escapes in
// strings and the spelling of numbers don't change it. The digest of anything else is that of its bytes.
func Digest(document []byte) uint64 {
	c := cursor{raw: document}
	if digest, ok := c.value(0); ok {
		if c.skipSpace(); c.at == len(c.raw) {
			return digest
		}
	}
	return xxhash.Sum64(document)
}

// Kinds of values, which keep "1" apart from 1 and {} from [].
const (
	kindObject = iota + 1
	kindArray
	kindString
	kindNumber
	kindLiteral
)

// Mix combines two digests. The order counts.
func Mix(a, b uint64) uint64 {
	high, low := bits.Mul64(a^0x9e3779b97f4a7c15, b^0xc2b2ae3d27d4eb4f)
	return high ^ low ^ bits.RotateLeft64(a, 32)
}

// cursor is a position in a document.
type cursor struct {
	raw []byte
	at  int
}

func (c *cursor) skipSpace() {
	for c.at < len(c.raw) {
		switch c.raw[c.at] {
		case ' ', '\t', '\r', '\n':
			c.at++
		default:
			return
		}
	}
}

// take reports whether the next character is the given one, and moves behind it then.
func (c *cursor) take(character byte) bool {
	c.skipSpace()
	if c.at >= len(c.raw) || c.raw[c.at] != character {
		return false
	}
	c.at++
	return true
}

// value returns the digest of the next value and moves behind it. It reports false if there is none.
func (c *cursor) value(depth int) (uint64, bool) {
	c.skipSpace()
	switch {
	case c.at >= len(c.raw) || depth > maxDepth:
		return 0, false
	case c.raw[c.at] == '{':
		return c.object(depth)
	case c.raw[c.at] == '[':
		return c.array(depth)
	case c.raw[c.at] == '"':
		return c.text()
	}
	return c.word()
}

func (c *cursor) object(depth int) (uint64, bool) {
	c.at++
	sum, members := uint64(0), uint64(0)
	for !c.take('}') {
		if members > 0 && !c.take(',') {
			return 0, false
		}
		if c.skipSpace(); c.at >= len(c.raw) || c.raw[c.at] != '"' {
			return 0, false
		}
		name, ok := c.text()
		if !ok || !c.take(':') {
			return 0, false
		}
		value, ok := c.value(depth + 1)
		if !ok {
			return 0, false
		}
		sum += Mix(name, value) // a sum, as the order of members doesn't count
		members++
	}
	return Mix(kindObject, Mix(members, sum)), true
}

func (c *cursor) array(depth int) (uint64, bool) {
	c.at++
	sum := uint64(0)
	for elements := 0; !c.take(']'); elements++ {
		if elements > 0 && !c.take(',') {
			return 0, false
		}
		value, ok := c.value(depth + 1)
		if !ok {
			return 0, false
		}
		sum = Mix(sum, value)
	}
	return Mix(kindArray, sum), true
}

// text returns the digest of the string that begins here.
func (c *cursor) text() (uint64, bool) {
	begin, escaped := c.at, false
	for c.at++; c.at < len(c.raw) && c.raw[c.at] != '"'; c.at++ {
		if c.raw[c.at] == '\\' {
			escaped = true
			c.at++
		}
	}
	if c.at >= len(c.raw) {
		return 0, false
	}
	c.at++
	raw := c.raw[begin:c.at]
	if !escaped {
		return Mix(kindString, xxhash.Sum64(raw[1:len(raw)-1])), true
	}
	var decoded string
	if json.Unmarshal(raw, &decoded) != nil {
		return 0, false
	}
	return Mix(kindString, xxhash.Sum64String(decoded)), true
}

// word returns the digest of the number or literal that begins here.
func (c *cursor) word() (uint64, bool) {
	begin := c.at
	for c.at < len(c.raw) && bytes.IndexByte([]byte(" \t\r\n,:]}[{\""), c.raw[c.at]) < 0 {
		c.at++
	}
	word := c.raw[begin:c.at]
	switch {
	case len(word) == 0:
		return 0, false
	case string(word) == "true", string(word) == "false", string(word) == "null":
		return Mix(kindLiteral, xxhash.Sum64(word)), true
	case !json.Valid(word):
		return 0, false
	case bytes.ContainsAny(word, ".eE"):
		number, err := strconv.ParseFloat(string(word), 64)
		if err != nil {
			return 0, false
		}
		return Mix(kindNumber, xxhash.Sum64(strconv.AppendFloat(nil, number, 'f', -1, 64))), true
	}
	return Mix(kindNumber, xxhash.Sum64(word)), true
}
