package front

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
)

func TestCallerInput(t *testing.T) {
	tests := []struct {
		name, body, detail string
	}{
		{"valid", `{"input": {"a": 1}, "stream": true}`, ""},
		{"no input", `{}`, `body.input: "" is not allowed; allowed: any JSON value but null`},
		{"null input", `{"input": null}`, `body.input: "" is not allowed; allowed: any JSON value but null`},
		{"unknown field", `{"input": 1, "steam": true}`, `unknown field`},
		{"two values", `{"input": 1} {}`, `more than one JSON value`},
		{"truncated", `{"input": `, `unexpected EOF`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, refused := decodeRun([]byte(test.body))
			if test.detail == "" {
				assert.Assert(t, refused == nil)
				return
			}
			assert.Equal(t, refused.Reason, fault.BadRequest)
			assert.Assert(t, strings.Contains(refused.Detail, test.detail), refused.Detail)
		})
	}
}

func TestDeadlineHeader(t *testing.T) {
	tests := []struct {
		name, value string
		want        clock.Millis
		bad         bool
	}{
		{"default", "", 3000, false},
		{"shorter", "200", 200, false},
		{"longer than the limit", "99999999", 3000, false},
		{"zero", "0", 0, true},
		{"negative", "-5", 0, true},
		{"not a number", "1s", 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			header := http.Header{}
			if test.value != "" {
				header.Set(headerDeadline, test.value)
			}
			got, refused := timeoutOf(header, 3000)
			assert.Equal(t, refused != nil, test.bad)
			assert.Equal(t, got, test.want)
		})
	}
}

func TestStreamSendsNoPartialCharacter(t *testing.T) {
	text := []byte("aŽ€😀")
	for cut := range len(text) {
		complete := completeRunesLen(text[:cut])
		assert.Assert(t, complete <= cut && cut-complete < 4)
		assert.Assert(t, strings.ToValidUTF8(string(text[:complete]), "?") == string(text[:complete]))
	}
	assert.Equal(t, completeRunesLen(text), len(text))
	assert.Equal(t, completeRunesLen([]byte{0xff, 0xff}), 2)
}

func FuzzCallerInput(f *testing.F) {
	f.Add([]byte(`{"input": {"a": 1}, "stream": true}`), "100", "key-1")
	f.Add([]byte(`{"input": null}`), "-1", "with space")
	f.Add([]byte(`[`), "99999999999999999999", "")
	f.Fuzz(func(t *testing.T, body []byte, deadline, key string) {
		decoded, refused := decodeRun(body)
		if refused == nil && len(decoded.Input) == 0 {
			t.Fatal("accepted without input")
		}
		header := http.Header{headerDeadline: {deadline}, headerKey: {key}}
		timeout, refused := timeoutOf(header, 3000)
		if refused == nil && (timeout <= 0 || timeout > 3000) {
			t.Fatalf("timeout %d is not in 1 to 3000", timeout)
		}
		got, refused := idempotencyKey(header)
		if refused == nil && (got == "" || len(got) > maxKey) {
			t.Fatalf("accepted the key %q", got)
		}
	})
}
