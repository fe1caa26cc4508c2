// Package split cuts a JSON document into its members or elements without decoding them, so that one
// that can't be decoded keeps out no other. It needs the same small memory however deeply a document
// is nested.
package split

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"

	jsonv2 "github.com/go-json-experiment/json"
	jsonv1 "github.com/go-json-experiment/json/v1"
)

// MaxDepth is the deepest nesting of an element that is decoded.
const MaxDepth = 1000

// SyntaxError is returned for a document that can't be cut into its members or elements.
type SyntaxError struct {
	// Offset is the number of bytes before the fault.
	Offset int
	// Want names what was expected there.
	Want string
}

// Error implements error.
func (e *SyntaxError) Error() string { return fmt.Sprintf("no %s at byte %d", e.Want, e.Offset) }

// DepthError is returned for a value that is nested more deeply than MaxDepth.
type DepthError struct {
	Depth int
}

// Error implements error.
func (e *DepthError) Error() string {
	return fmt.Sprintf("nested %d levels deep, %d are allowed", e.Depth, MaxDepth)
}

// Members returns the values of the members of an object by their names. Of several members with one
// name the last one counts. It is nil if raw is not an object.
func Members(raw []byte) (map[string]json.RawMessage, error) {
	c := cursor{raw: raw}
	if !c.take('{') {
		return nil, &SyntaxError{Offset: c.at, Want: "object"}
	}
	members := make(map[string]json.RawMessage)
	for !c.take('}') {
		if len(members) > 0 && !c.take(',') {
			return nil, &SyntaxError{Offset: c.at, Want: "comma"}
		}
		name, err := c.value()
		var text string
		if err != nil || json.Unmarshal(name, &text) != nil {
			return nil, &SyntaxError{Offset: c.at, Want: "name of a member"}
		}
		if !c.take(':') {
			return nil, &SyntaxError{Offset: c.at, Want: "colon"}
		}
		if members[text], err = c.value(); err != nil {
			return nil, err
		}
	}
	return members, c.end()
}

// Elements returns the elements of an array.
func Elements(raw []byte) ([]json.RawMessage, error) {
	c := cursor{raw: raw}
	if !c.take('[') {
		return nil, &SyntaxError{Offset: c.at, Want: "array"}
	}
	var elements []json.RawMessage
	for !c.take(']') {
		if len(elements) > 0 && !c.take(',') {
			return nil, &SyntaxError{Offset: c.at, Want: "comma"}
		}
		element, err := c.value()
		if err != nil {
			return nil, err
		}
		elements = append(elements, element)
	}
	return elements, c.end()
}

// options make the decoder behave as encoding/json does.
var options = jsonv1.DefaultOptionsV1()

// Decode decodes a value of at most MaxDepth levels into a zero value. Fields of another type are left as they are,
// and the first of them is returned as the error.
func Decode(raw []byte, into any) error {
	if depth := Depth(raw); depth > MaxDepth {
		return &DepthError{Depth: depth}
	}
	if jsonv2.Unmarshal(raw, into, options) == nil {
		return nil
	}
	reflect.ValueOf(into).Elem().SetZero()
	return json.Unmarshal(raw, into) // goes on after a field of another type
}

// Depth returns how deeply a value is nested, 0 for one that is neither an object nor an array.
func Depth(raw []byte) int {
	deepest, depth := 0, 0
	for i := 0; i < len(raw); i++ {
		switch raw[i] {
		case '"':
			i = closingQuote(raw, i)
		case '{', '[':
			depth++
			deepest = max(deepest, depth)
		case '}', ']':
			depth--
		}
	}
	return deepest
}

// cursor is a position in a document.
type cursor struct {
	raw []byte
	at  int
}

func (c *cursor) skipSpace() {
	for c.at < len(c.raw) && bytes.IndexByte([]byte(" \t\r\n"), c.raw[c.at]) >= 0 {
		c.at++
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

// end returns an error if anything but space follows.
func (c *cursor) end() error {
	if c.skipSpace(); c.at < len(c.raw) {
		return &SyntaxError{Offset: c.at, Want: "end of the document"}
	}
	return nil
}

// value returns the next value and moves behind it. It checks only that brackets and quotes are closed.
func (c *cursor) value() (json.RawMessage, error) {
	c.skipSpace()
	from := c.at
	for c.at < len(c.raw) {
		switch c.raw[c.at] {
		case '"':
			if c.at = closingQuote(c.raw, c.at) + 1; c.at > len(c.raw) {
				return nil, c.unclosed()
			}
			return c.cut(from)
		case '{', '[':
			if c.at = closingBracket(c.raw, c.at) + 1; c.at > len(c.raw) {
				return nil, c.unclosed()
			}
			return c.cut(from)
		case '}', ']', ',', ':', ' ', '\t', '\r', '\n': // it ends the value, or what holds the value
			return c.cut(from)
		}
		c.at++
	}
	return c.cut(from)
}

// unclosed returns the error of a value whose end is missing.
func (c *cursor) unclosed() error {
	c.at = len(c.raw)
	return &SyntaxError{Offset: c.at, Want: "end of a value"}
}

func (c *cursor) cut(from int) (json.RawMessage, error) {
	if c.at == from {
		return nil, &SyntaxError{Offset: from, Want: "value"}
	}
	return c.raw[from:c.at], nil
}

// structural marks the characters that begin or end a string, an object or an array.
var structural = [256]bool{'"': true, '{': true, '[': true, '}': true, ']': true}

// closingBracket returns the position of the bracket that closes the one at a position, or the length of the document
// if there is none. It doesn't tell the two kinds of brackets apart.
func closingBracket(raw []byte, from int) int {
	depth := 0
	for i := from; i < len(raw); i++ {
		if !structural[raw[i]] {
			continue
		}
		switch raw[i] {
		case '"':
			i = closingQuote(raw, i)
		case '{', '[':
			depth++
		default:
			if depth--; depth == 0 {
				return i
			}
		}
	}
	return len(raw)
}

// closingQuote returns the position of the quote that closes the string which begins at a position, or
// the length of the document if there is none.
func closingQuote(raw []byte, from int) int {
	for i := from + 1; i < len(raw); i++ {
		switch raw[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(raw)
}
