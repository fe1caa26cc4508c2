package trail_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/ops/trail"
)

// blockedOutput is an output whose writes block until open is closed.
type blockedOutput struct {
	open chan struct{}
	bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.open
	return b.Buffer.Write(p)
}

// The reader of the log stalls while many requests are logged. Guards against a
// process that blocks on its log, because all its requests would hang.
func TestStalledReaderDoesNotBlock(t *testing.T) {
	out := &blockedOutput{open: make(chan struct{})}
	ctx, cancel := context.WithCancel(t.Context())
	w := trail.New(ctx, out)
	const lines = 100_000
	for range lines {
		_, err := w.Write([]byte("event=request\n"))
		assert.NilError(t, err)
	}
	close(out.open)
	cancel()
	<-w.Done()
	written := strings.Count(out.String(), "event=request")
	assert.Assert(t, written < 5000, written)
	assert.Equal(t, int64(written)+w.Dropped(), int64(lines))
	assert.Assert(t, strings.Contains(out.String(), "log lines dropped"))
}

func TestLinesArriveInOrder(t *testing.T) {
	var out bytes.Buffer
	ctx, cancel := context.WithCancel(t.Context())
	w := trail.New(ctx, &out)
	_, _ = w.Write([]byte("one\n"))
	_, _ = w.Write([]byte("two\n"))
	cancel()
	<-w.Done()
	assert.Equal(t, out.String(), "one\ntwo\n")
	assert.Equal(t, w.Dropped(), int64(0))
}
