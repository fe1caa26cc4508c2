package slots

import (
	"encoding/json"
	"errors"
	"net/http"
)

// Input holds the fields of a caller's input that the stand-ins use. All fields
// are optional, and any other input is accepted.
type Input struct {
	// Echo is repeated in the output of each stage and in the answer.
	Echo string `json:"echo"`
	// Tokens is the number of tokens to generate.
	Tokens int `json:"tokens"`
	// Size is the size of the request relative to a typical one; 0 means
	// typical.
	Size float64 `json:"size"`
	// Prefix is the key of the prompt's prefix in the prefix cache.
	Prefix string `json:"prefix"`
}

// ParseInput decodes an input. The result is empty if the input has another
// form.
func ParseInput(raw json.RawMessage) Input {
	var input Input
	if err := json.Unmarshal(raw, &input); err != nil {
		return Input{}
	}
	return input
}

// EchoOf returns the echo mark of an input.
func EchoOf(raw json.RawMessage) string { return ParseInput(raw).Echo }

// Refuse answers a call for which Begin returned an error: 503 from a full
// endpoint, an aborted connection from one that crashed.
func Refuse(w http.ResponseWriter, err error) {
	if errors.Is(err, ErrFull) {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	panic(http.ErrAbortHandler)
}
