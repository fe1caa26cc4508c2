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

// Guards against values that are decoded otherwise than encoding/json decodes them.
func FuzzDecodeAsEncodingJSON(f *testing.F) {
	type value struct {
		Name   string   `json:"name"`
		Number float64  `json:"number"`
		Set    bool     `json:"set"`
		Keys   []string `json:"keys"`
		Parts  []struct {
			After []float64 `json:"after"`
		} `json:"parts"`
		Left  *float64        `json:"left"`
		Whole uint64          `json:"whole"`
		Raw   json.RawMessage `json:"raw"`
	}
	for _, seed := range []string{
		`{"name":"a","number":1e3,"set":true,"keys":["k",null],"parts":[{"after":[0,2.0]},{}],"left":7,"whole":3,"raw":{"a":[1]}}`,
		`{"NAME":"\ud800","number":"x","set":1,"keys":{},"parts":[{"after":[1]},{"after":"x"}],"whole":-1}`,
		"{\"name\":\"\xff\",\"name\":\"b\",\"left\":null}", `null`, `[]`, `{"keys":["a","b"],"keys":["c"]}`, `{"a":tru}`, `{} x`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		if split.Depth(raw) > split.MaxDepth {
			return
		}
		var got, want value
		err, wantErr := split.Decode(raw, &got), json.Unmarshal(raw, &want)
		assert.Equal(t, err == nil, wantErr == nil, "%v, want %v", err, wantErr)
		assert.DeepEqual(t, got, want)
	})
}
