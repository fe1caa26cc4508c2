// Package decode reads a JSON document into a struct and refuses fields that the struct
// doesn't have. If a misspelt field were ignored, its default would apply unnoticed.
// The standard library stops at the first unknown field and doesn't report its path.
// This package lists all faults with their paths, and the nearest known name for an
// unknown field.
package decode

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/conf/step"
)

// Limits of a document, so that an invalid one can't exhaust the memory.
const (
	// MaxBytes is the maximum size of a document, in bytes.
	MaxBytes = 8 << 20
	// maxDepth is the maximum depth of nested objects and lists.
	maxDepth = 16
)

// Strict reads a document into a new T. It returns all faults in one
// fault.InvalidListError.
func Strict[T any](raw []byte) (*T, error) {
	if len(raw) > MaxBytes {
		return nil, invalid("", fmt.Sprintf("%d bytes", len(raw)), fmt.Sprintf("at most %d bytes", MaxBytes))
	}
	tree, err := readTree(raw)
	if err != nil {
		return nil, err
	}
	out := new(T)
	var report step.Report
	match(tree, typeOf(out), "", &report)
	if err := report.Err(); err != nil {
		return nil, err
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return nil, invalid("", err.Error(), "a document that matches the schema")
	}
	return out, nil
}

// object is a JSON object with its fields in the order of the document. It can contain
// duplicate fields.
type object []field

type field struct {
	name  string
	value any
}

func readTree(raw []byte) (any, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	tree, err := readValue(decoder, 0)
	if err != nil {
		return nil, syntaxError(raw, decoder.InputOffset(), err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, syntaxError(raw, decoder.InputOffset(), errors.New("unexpected data after the end of the document"))
	}
	return tree, nil
}

func readValue(decoder *json.Decoder, depth int) (any, error) {
	if depth > maxDepth {
		return nil, fmt.Errorf("nested more than %d levels deep", maxDepth)
	}
	token, err := decoder.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		return readObject(decoder, depth)
	case json.Delim('['):
		return readList(decoder, depth)
	default:
		return token, nil
	}
}

func readObject(decoder *json.Decoder, depth int) (any, error) {
	fields := object{}
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		value, err := readValue(decoder, depth+1)
		if err != nil {
			return nil, err
		}
		fields = append(fields, field{name: name.(string), value: value})
	}
	_, err := decoder.Token() // the closing brace
	return fields, err
}

func readList(decoder *json.Decoder, depth int) (any, error) {
	list := []any{}
	for decoder.More() {
		value, err := readValue(decoder, depth+1)
		if err != nil {
			return nil, err
		}
		list = append(list, value)
	}
	_, err := decoder.Token() // the closing bracket
	return list, err
}

// syntaxError returns an error with the line and column at which a document stops
// being valid JSON.
func syntaxError(raw []byte, offset int64, cause error) error {
	if errors.Is(cause, io.EOF) || errors.Is(cause, io.ErrUnexpectedEOF) {
		cause = errors.New("unexpected end of the document")
	}
	before := raw[:min(int(offset), len(raw))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return invalid(fmt.Sprintf("line %d column %d", line, column), cause.Error(), "one JSON document")
}

func invalid(path, value, allowed string) error {
	return &fault.InvalidListError{Faults: []fault.InvalidError{{Path: path, Value: value, Allowed: allowed}}}
}
