package split_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/split"
)

func ExampleElements() {
	elements, err := split.Elements([]byte(`[{"a": [1, 2]}, "x,y", 7]`))
	for _, element := range elements {
		fmt.Println(string(element))
	}
	fmt.Println(err)
	// Output:
	// {"a": [1, 2]}
	// "x,y"
	// 7
	// <nil>
}

func ExampleMembers() {
	members, err := split.Members([]byte(`{"name": "i-1", "more": {"b": "}"}}`))
	fmt.Println(string(members["name"]), string(members["more"]), err)
	// Output: "i-1" {"b": "}"} <nil>
}

// Guards against one element that is nested so deeply that the whole list can't be read.
func TestDeepElementKeepsOutNoOther(t *testing.T) {
	const depth = 2_000_000
	deep := strings.Repeat("[", depth) + strings.Repeat("]", depth)
	elements, err := split.Elements([]byte(`[1,` + deep + `,{"a":2}]`))
	assert.NilError(t, err)
	assert.Equal(t, len(elements), 3)
	assert.Equal(t, string(elements[2]), `{"a":2}`)
	var into any
	var tooDeep *split.DepthError
	assert.Assert(t, errors.As(split.Decode(elements[1], &into), &tooDeep))
	assert.Equal(t, tooDeep.Depth, depth)
}

func TestBrokenDocumentsAreRefused(t *testing.T) {
	for _, raw := range []string{"", " ", "7", "[", "[1", "[1,", "[1 2]", "[,]", `["a]`, `["a\"]`, "[{]", "[1]x", "{}"} {
		_, err := split.Elements([]byte(raw))
		var syntax *split.SyntaxError
		assert.Check(t, errors.As(err, &syntax), "%q: %v", raw, err)
	}
	for _, raw := range []string{"", "[]", "{", `{"a"`, `{"a":`, `{"a":}`, `{"a":1`, `{a:1}`, `{"a":1 "b":2}`, `{"a":1}}`, `{"a":1,}`, `{1:2}`} {
		_, err := split.Members([]byte(raw))
		assert.Check(t, err != nil, "%q", raw)
	}
}

// FuzzElements compares with the decoder of the standard library for all that it accepts.
func FuzzElements(f *testing.F) {
	for _, raw := range []string{`[]`, `[1,"a",[2],{"b":null}]`, ` [ "\"" , "\\" ]`, `{"a":[1,{"b":"]"}],"c":-1e9}`, `[1 2]`, `[[]`, "[\"\\u00e9\"]"} {
		f.Add([]byte(raw))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		elements, err := split.Elements(raw)
		var want []json.RawMessage
		if json.Valid(raw) && json.Unmarshal(raw, &want) == nil && want != nil {
			assert.NilError(t, err)
			assert.Equal(t, len(elements), len(want))
			for i := range want {
				assert.Assert(t, bytes.Equal(bytes.TrimSpace(elements[i]), bytes.TrimSpace(want[i])), "%q, want %q", elements[i], want[i])
			}
		}
		members, err := split.Members(raw)
		var object map[string]json.RawMessage
		if json.Valid(raw) && json.Unmarshal(raw, &object) == nil && object != nil {
			assert.NilError(t, err)
			assert.Equal(t, len(members), len(object))
			for name := range object {
				assert.Assert(t, bytes.Equal(members[name], bytes.TrimSpace(object[name])), "%q: %q, want %q", name, members[name], object[name])
			}
		}
		_ = split.Depth(raw)
	})
}
