package front

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
)

const (
	headerDeadline  = "X-Deadline-Ms"
	headerRequestID = "X-Request-Id"
	headerKey       = "Idempotency-Key"
	headerReplayed  = "Idempotency-Replayed"
	eventStream     = "text/event-stream"
	contentTypeJSON = "application/json"
	maxKey          = 255
)

// runBody is the body of a request to a pipeline.
type runBody struct {
	Input  json.RawMessage `json:"input"`
	Stream bool            `json:"stream"`
}

func invalid(path, value, allowed string) *fault.RefusalError {
	const shown = 64
	if len(value) > shown {
		value = value[:shown]
	}
	problem := fault.InvalidError{Path: path, Value: value, Allowed: allowed}
	return fault.Refuse(fault.BadRequest, problem.Error())
}

// decodeRun decodes and checks the body of a request to a pipeline.
func decodeRun(raw []byte) (runBody, *fault.RefusalError) {
	var body runBody
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return body, invalid("body", err.Error(), `a JSON object {"input": ..., "stream": true or false}`)
	}
	if decoder.More() {
		return body, invalid("body", "more than one JSON value", "one JSON object")
	}
	if len(body.Input) == 0 || string(body.Input) == "null" {
		return body, invalid("body.input", "", "any JSON value but null")
	}
	return body, nil
}

// timeoutOf returns the time until the deadline that the caller requested, at
// most limit. Without the header it returns limit.
func timeoutOf(header http.Header, limit clock.Millis) (clock.Millis, *fault.RefusalError) {
	text := header.Get(headerDeadline)
	if text == "" {
		return limit, nil
	}
	requested, err := strconv.ParseInt(text, 10, 64)
	if err != nil || requested <= 0 {
		return 0, invalid(headerDeadline, text, "a whole number of milliseconds from 1 on")
	}
	return min(limit, clock.Millis(requested)), nil
}

// idempotencyKey returns the caller's idempotency key, or "" if there is none.
func idempotencyKey(header http.Header) (string, *fault.RefusalError) {
	values := header.Values(headerKey)
	if len(values) == 0 {
		return "", nil
	}
	key := values[0]
	ok := len(values) == 1 && key != "" && len(key) <= maxKey
	for i := range len(key) {
		ok = ok && key[i] > ' ' && key[i] <= '~'
	}
	if !ok {
		return "", invalid(headerKey, strings.Join(values, ","), "once, 1 to 255 printable ASCII characters without spaces")
	}
	return key, nil
}
