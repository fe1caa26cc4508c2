package rules_test

import (
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// reader is a call or a literal that reads until the other side ends, and what must bound it within a
// number of lines.
type reader struct {
	call, bound *regexp.Regexp
	lines       int
}

func readers() []reader {
	limited := regexp.MustCompile(`LimitReader|MaxBytesReader|bytes\.NewReader`)
	never := regexp.MustCompile(`^$`) // listed in boundElsewhere
	return []reader{
		{regexp.MustCompile(`io\.(ReadAll|Copy)\(`), limited, 1},
		{regexp.MustCompile(`(json|cbor|xml|gob)\.NewDecoder\(`), limited, 1},
		{regexp.MustCompile(`(gzip|flate|zlib)\.NewReader\(`), limited, 1},
		{regexp.MustCompile(`\.Read(String|Bytes|Line|Slice)\(`), never, 1},
		{regexp.MustCompile(`http\.Read(Response|Request)\(`), never, 1},
		{regexp.MustCompile(`bufio\.NewScanner\(`), regexp.MustCompile(`\.Buffer\(`), 2},
		{regexp.MustCompile(`http\.Transport\{`), regexp.MustCompile(`MaxResponseHeaderBytes`), 8},
		{regexp.MustCompile(`http\.Transport\{`), regexp.MustCompile(`bound\.NewTransport\(`), 8}, // heads are checked
		{regexp.MustCompile(`http\.Server\{`), regexp.MustCompile(`MaxHeaderBytes`), 8},
		{regexp.MustCompile(`http\.(DefaultClient|DefaultTransport|Get|Post|Head)\b`), never, 1},
		{regexp.MustCompile(`io\.(ReadFull|ReadAtLeast|CopyBuffer)\(`), limited, 1},
		{regexp.MustCompile(`\.(ReadMessage|NextReader|ReadJSON|ReadFrom)\(`), limited, 1},
		{regexp.MustCompile(`make\(\[\]byte, .*(ContentLength|Length|Bytes\b)`), regexp.MustCompile(`min\(`), 1},
		{regexp.MustCompile(`websocket\.Dialer\{`), regexp.MustCompile(`bound\.NewConn`), 8},
		{regexp.MustCompile(`[(,] ?(x\.)?r\.Body[,)]`), never, 1}, // bodies of callers, which serve/upload reads within its limits
	}
}

// boundElsewhere lists the readers whose bound is not beside them.
var boundElsewhere = map[string]string{
	"internal/link/sess/open.go: _, message, err := s.conn.ReadMessage()":                 "newSession limits it to maxHello",
	"internal/link/sess/sess.go: kind, message, err := s.conn.ReadMessage()":              "readHello limits it to wire.MaxMessage",
	"internal/serve/upload/upload.go: from := http.MaxBytesReader(w, r.Body, maxBytes)":   "Book.Read takes room for each part before it reads it",
	"internal/serve/upload/upload.go: _, err := io.CopyN(io.Discard, r.Body, drainBytes)": "CopyN reads at most drainBytes, within drainTime",
	"internal/base/bound/head.go: part, err := r.ReadSlice('\\n')":                        "r reads at most MaxHeadBytes after Limit",
	"internal/engine/event/event.go: part, err := r.from.ReadSlice('\\n')":                "it returns at most the buffer, and the loop ends at MaxEvent",
}

// Guards against memory that grows without a bound because of what another process sends.
func TestAllReadersAreBounded(t *testing.T) {
	found, all := 0, readers()
	for _, name := range files(t, ".go") {
		if strings.HasSuffix(name, "_test.go") || !strings.HasPrefix(name, "internal/") && !strings.HasPrefix(name, "platform/") ||
			strings.Contains(name, "/stand/") || strings.HasPrefix(name, "internal/bench/") || strings.HasPrefix(name, "internal/cli/devel/") {
			continue
		}
		lines := strings.Split(read(t, name), "\n")
		for i, line := range lines {
			for _, r := range all {
				if !r.call.MatchString(line) || strings.HasPrefix(strings.TrimSpace(line), "//") {
					continue
				}
				found++
				near := strings.Join(lines[i:min(i+r.lines, len(lines))], "\n")
				_, listed := boundElsewhere[name+": "+strings.TrimSpace(line)]
				assert.Check(t, listed || r.bound.MatchString(near), "%s:%d reads without a bound: %s", name, i+1, strings.TrimSpace(line))
			}
		}
	}
	assert.Assert(t, found > 15, "only %d readers found", found)
}
