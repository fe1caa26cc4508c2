package canon_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/canon"
)

func ExampleDigest() {
	listed, watched := `{"routes":[1, 2],"name":"a"}`, `{"name":"\u0061","routes":[1,2.0]}`
	fmt.Println(canon.Digest([]byte(listed)) == canon.Digest([]byte(watched)))
	// Output: true
}

// Guards against different documents that count as equal, and against equal ones that are read from the store again and again
// because two messages spell them differently.
func TestDigestDependsOnTheContentAlone(t *testing.T) {
	groups := [][]string{
		{`{}`, ` { } `},
		{`[]`, "[\n]"},
		{`null`},
		{`"null"`, `"n\u0075ll"`},
		{`true`},
		{`0`},
		{`"0"`},
		{`""`},
		{``},
		{`{`},
		{`[1,2]`, `[ 1 , 2 ]`, `[1.0,2]`, `[1,2e0]`},
		{`[2,1]`},
		{`[[1],2]`},
		{`[[1,2]]`},
		{`[1,[2]]`},
		{`{"a":1,"b":2}`, `{"b":2,"a":1}`},
		{`{"a":2,"b":1}`},
		{`{"a":{"b":1}}`},
		{`{"a":1,"b":{}}`},
		{`{"a":1}{}`},
		{`{"a":1,}`},
		{`"a/b"`, `"a\/b"`},
		{`"a\\b"`},
		{`"ä"`, `"\u00e4"`},
		{`1e400`},
		{`01`},
		{strings.Repeat("[", 1200) + strings.Repeat("]", 1200)},
		{strings.Repeat("[", 1201) + strings.Repeat("]", 1201)},
	}
	seen := make(map[uint64]int)
	for i, group := range groups {
		for _, document := range group {
			digest := canon.Digest([]byte(document))
			before, found := seen[digest]
			assert.Assert(t, !found || before == i, "%.40q has the digest of %.40q", document, groups[before][0])
			seen[digest] = i
		}
	}
	assert.Equal(t, len(seen), len(groups))
}

func FuzzDigest(f *testing.F) {
	f.Add([]byte(`{"a":[1,"x\n",null]}`))
	f.Fuzz(func(t *testing.T, document []byte) {
		var compact bytes.Buffer
		digest := canon.Digest(document)
		if json.Compact(&compact, document) != nil || digest == xxhash.Sum64(document) {
			return
		}
		assert.Equal(t, canon.Digest(compact.Bytes()), digest)
	})
}

func BenchmarkDigest(b *testing.B) {
	var document bytes.Buffer
	document.WriteString("[")
	for i := range 3400 {
		fmt.Fprintf(&document, `{"name":"r-%07x","host":"orders.example","path":"/%07x/","timeoutMs":3000,"service":"orders","stages":["a","b"],"x":{"y":%d}},`, i*7919, i*104729, i)
	}
	document.WriteString("null]")
	b.SetBytes(int64(document.Len()))
	for b.Loop() {
		canon.Digest(document.Bytes())
	}
}
