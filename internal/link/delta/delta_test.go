package delta_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jujubescale/jujubescale/internal/link/delta"
)

func ExampleDiff() {
	before, after := []byte(`{"routes":["a"]}`), []byte(`{"routes":["a","b"]}`)
	document, err := delta.Apply(before, delta.Diff(before, after), 1000)
	fmt.Println(string(document), err)
	// Output: {"routes":["a","b"]} <nil>
}

// routes returns a configuration of n routes, all of which differ.
func routes(n int) [][]byte {
	random := rand.New(rand.NewPCG(1, 2))
	all := make([][]byte, n)
	for i := range all {
		all[i] = fmt.Appendf(nil, `{"name":"r-%07x","host":"orders.example","path":"/%07x/","kind":"safe","timeoutMs":3000,"objectiveMs":300,"attempts":1,"service":"orders"},`, random.Uint32(), random.Uint32())
	}
	return all
}

// Guards against a version of 750 KB that crosses links as a whole because one route in it has changed, come or gone.
func TestChangedRoutesAreAFewKilobytes(t *testing.T) {
	before := routes(5000)
	base := bytes.Join(before, nil)
	for name, test := range map[string]struct {
		change func(all [][]byte) [][]byte
		bytes  int
	}{
		"one changed":    {func(all [][]byte) [][]byte { all[2000] = []byte(`{"name":"changed"},`); return all }, 1 << 10},
		"one added":      {func(all [][]byte) [][]byte { return append(all, []byte(`{"name":"added"},`)) }, 1 << 10},
		"first removed":  {func(all [][]byte) [][]byte { return all[1:] }, 1 << 10},
		"30 changed":     {func(all [][]byte) [][]byte { return everyNth(all, 160) }, 8 << 10},
		"halves swapped": {func(all [][]byte) [][]byte { return append(all[2500:len(all):len(all)], all[:2500]...) }, 2 << 10},
		"none":           {func(all [][]byte) [][]byte { return all }, 100},
	} {
		t.Run(name, func(t *testing.T) {
			document := bytes.Join(test.change(append([][]byte(nil), before...)), nil)
			difference := delta.Diff(base, document)
			assert.Assert(t, len(difference) < test.bytes, "%d bytes", len(difference))
			got, err := delta.Apply(base, difference, 1<<20)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, document))
		})
	}
}

func everyNth(all [][]byte, n int) [][]byte {
	for i := 0; i < len(all); i += n {
		all[i] = bytes.Replace(all[i], []byte("orders\"}"), []byte("billing\"}"), 1)
	}
	return all
}

// Guards against documents that are put together wrongly, whatever the difference.
func TestAnyDocumentIsRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		blocks := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 1, 300), 1, 20).Draw(t, "blocks")
		order := func(label string) []byte {
			var document []byte
			for _, i := range rapid.SliceOfN(rapid.IntRange(0, len(blocks)-1), 0, 40).Draw(t, label) {
				document = append(document, blocks[i]...)
			}
			return document
		}
		base, document := order("base"), order("document")
		got, err := delta.Apply(base, delta.Diff(base, document), len(document))
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, document))
	})
}

// Guards against a version that is put together from another one than its sender's.
func TestDifferenceFromAnotherBaseIsRejected(t *testing.T) {
	all := routes(1000)
	base := bytes.Join(all, nil)
	all[10] = []byte(`{"name":"changed"},`)
	difference := delta.Diff(base, bytes.Join(all, nil))
	other := bytes.Clone(base)
	other[len(other)-20] ^= 1
	for name, base := range map[string][]byte{"empty": nil, "shorter": base[:100], "one bit": other} {
		_, err := delta.Apply(base, difference, 1<<20)
		var format *delta.FormatError
		assert.Assert(t, errors.As(err, &format), "%s: %v", name, err)
	}
}

// Guards against a peer that makes a process reserve memory without a limit.
func TestResultIsLimited(t *testing.T) {
	_, err := delta.Apply(nil, delta.Diff(nil, make([]byte, 1001)), 1000)
	var size *delta.SizeError
	assert.Assert(t, errors.As(err, &size))
	assert.Error(t, err, "delta: result of 1001 bytes exceeds the limit of 1000")
}

// FuzzApply guards against differences of a faulty peer that end the process.
func FuzzApply(f *testing.F) {
	f.Add([]byte("base"), []byte{1, 2, 3})
	f.Add([]byte("base"), delta.Diff([]byte("base"), []byte("document")))
	f.Fuzz(func(_ *testing.T, base, difference []byte) {
		_, _ = delta.Apply(base, difference, 1<<20) // any error is fine, a panic is not
	})
}

func BenchmarkDiff(b *testing.B) {
	all := routes(5000)
	base := bytes.Join(all, nil)
	document := bytes.Join(everyNth(all, 1000), nil)
	for b.Loop() {
		b.ReportMetric(float64(len(delta.Diff(base, document))), "bytes")
	}
}

func BenchmarkApply(b *testing.B) {
	all := routes(5000)
	base := bytes.Join(all, nil)
	difference := delta.Diff(base, bytes.Join(everyNth(all, 1000), nil))
	for b.Loop() {
		_, err := delta.Apply(base, difference, 1<<20)
		assert.NilError(b, err)
	}
}
