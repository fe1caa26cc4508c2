package conns

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestRequestSizeIsWhatTheHeadStates(t *testing.T) {
	head := func(fields string) string { return "POST /a HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n" }
	for name, tt := range map[string]struct {
		first string
		want  int
	}{
		"no body":                {head(""), len(head(""))},
		"length":                 {head("Content-Length: 900\r\n") + "body", len(head("Content-Length: 900\r\n")) + 900},
		"length in other case":   {head("content-length:7\r\n"), len(head("content-length:7\r\n")) + 7},
		"long body":              {head("Content-Length: 4194304\r\n"), len(head("Content-Length: 4194304\r\n")) + 4<<20},
		"chunks":                 {head("Transfer-Encoding: chunked\r\n"), 0},
		"half a head":            {"POST /a HTTP/1.1\r\nContent-Length: 9\r\n", 0},
		"negative length":        {head("Content-Length: -9\r\n"), 0},
		"length out of range":    {head("Content-Length: 99999999999999999999\r\n"), 0},
		"not a number":           {head("Content-Length: nine\r\n"), 0},
		"length in the body":     {head("") + "Content-Length: 900\r\n\r\n", len(head(""))},
		"no bytes":               {"", 0},
		"bytes that are no head": {strings.Repeat("\r\n", 9), len("\r\n\r\n")},
	} {
		assert.Equal(t, requestSize([]byte(tt.first)), tt.want, name)
	}
}

func FuzzRequestSize(f *testing.F) {
	f.Add([]byte(fmt.Sprintf("GET / HTTP/1.1\r\nContent-Length: %d\r\n\r\n", 1<<30)))
	f.Fuzz(func(t *testing.T, first []byte) {
		size := requestSize(first)
		assert.Assert(t, size >= 0 && size <= len(first)+1<<30, "%d of %q", size, first)
	})
}
