package event_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/engine/event"
)

func ExampleReader() {
	events := event.New(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	for {
		next, err := events.Next()
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Printf("%s %q\n", next.ID, next.Raw)
	}
	// Output:
	// 1 "id: 1\ndata: a\n\n"
	// 2 "id: 2\ndata: b\n\n"
	// EOF
}

// Guards against repeated text at the caller: an engine crashes in the middle of
// an event, and the engine that continues the stream sends that event again.
func TestIncompleteEventIsNotReturned(t *testing.T) {
	for _, tail := range []string{"id: 2", "id: 2\n", "id: 2\ndata: b\n"} {
		events := event.New(iotest.OneByteReader(strings.NewReader("id: 1\ndata: a\n\n" + tail)))
		first, err := events.Next()
		assert.NilError(t, err)
		assert.Equal(t, first.ID, "1")
		_, err = events.Next()
		assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%q: %v", tail, err)
	}
}

func TestLinesMayEndWithCarriageReturns(t *testing.T) {
	next, err := event.New(strings.NewReader("id:7\r\ndata: x\r\n\r\n")).Next()
	assert.NilError(t, err)
	assert.Equal(t, next.ID, "7")
}

func TestOversizedEventIsRefused(t *testing.T) {
	_, err := event.New(io.LimitReader(endless{}, 4*event.MaxEvent)).Next()
	var size *event.SizeError
	assert.Assert(t, errors.As(err, &size))
}

type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// For any input, the concatenated events must be a prefix of the input.
func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\n"))
	f.Add([]byte("\n\n\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		events := event.New(bytes.NewReader(raw))
		var all []byte
		for {
			next, err := events.Next()
			if err != nil {
				break
			}
			all = append(all, next.Raw...)
		}
		if !bytes.HasPrefix(raw, all) {
			t.Fatalf("%q is no prefix of %q", all, raw)
		}
	})
}
