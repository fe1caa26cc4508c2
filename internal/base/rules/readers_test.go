package rules_test

import (
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// readers are the calls that read until the other side ends, and what a line with one of them, or one
// of the nine lines after it, must contain to bound that.
var readers = map[string]*regexp.Regexp{
	`io\.ReadAll\(`:              regexp.MustCompile(`LimitReader|MaxBytesReader`),
	`io\.Copy\(`:                 regexp.MustCompile(`LimitReader|MaxBytesReader`),
	`json\.NewDecoder\(`:         regexp.MustCompile(`LimitReader|MaxBytesReader|bytes\.NewReader`),
	`http\.Transport\{`:          regexp.MustCompile(`MaxResponseHeaderBytes`),
	`http\.Server\{`:             regexp.MustCompile(`MaxHeaderBytes`),
	`http\.ReadResponse\(`:       nil,
	`bufio\.NewScanner\(`:        regexp.MustCompile(`\.Buffer\(`),
	`websocket\.(Dialer|Conn)\{`: regexp.MustCompile(`HandshakeTimeout`),
}

// boundElsewhere lists the readers whose bound is not beside them.
var boundElsewhere = map[string]string{
	"internal/serve/gate/accept.go: req.body, err = io.ReadAll(reader)":                   "reader is a MaxBytesReader, a few lines above",
	"internal/base/bound/bound.go: response, err := http.ReadResponse(r.Reader, request)": "r.Reader reads at most MaxHeadBytes after Limit",
	"internal/serve/gate/pass.go: _, err = io.Copy(w, reply.Body)":                        "the answer is passed on as it arrives, and not kept",
}

// Guards against memory that grows without a bound because of what another process sends.
func TestAllReadersAreBounded(t *testing.T) {
	found := 0
	for _, name := range files(t, ".go") {
		if strings.HasSuffix(name, "_test.go") || !strings.HasPrefix(name, "internal/") && !strings.HasPrefix(name, "platform/") ||
			strings.Contains(name, "/stand/") || strings.HasPrefix(name, "internal/bench/") || strings.HasPrefix(name, "internal/cli/devel/") {
			continue
		}
		lines := strings.Split(read(t, name), "\n")
		for i, line := range lines {
			for call, bound := range readers {
				if !regexp.MustCompile(call).MatchString(line) {
					continue
				}
				found++
				near := strings.Join(lines[i:min(i+10, len(lines))], "\n")
				_, listed := boundElsewhere[name+": "+strings.TrimSpace(line)]
				assert.Check(t, listed || bound != nil && bound.MatchString(near), "%s:%d reads without a bound: %s", name, i+1, strings.TrimSpace(line))
			}
		}
	}
	assert.Assert(t, found > 15, "only %d readers found", found)
}
