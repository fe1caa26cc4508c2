package trail_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/ops/trail"
)

// stuck is an output that takes nothing until it is opened.
type stuck struct {
	open chan struct{}
	bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.open
	return s.Buffer.Write(p)
}

// Whoever reads the log stalls while a crowd of requests is logged. A process
// that waited for its log would stop serving, and callers would see every
// request hang.
func TestStalledReaderHoldsUpNobody(t *testing.T) {
	out := &stuck{open: make(chan struct{})}
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
