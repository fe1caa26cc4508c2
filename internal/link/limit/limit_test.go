package limit_test

import (
	"errors"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/link/limit"
)

func listen(t *testing.T, maxOpen int) *limit.Listener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := limit.New(inner, maxOpen)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func dial(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

type accepted struct {
	conn net.Conn
	err  error
}

func accept(l net.Listener) <-chan accepted {
	out := make(chan accepted, 1)
	go func() {
		c, err := l.Accept()
		out <- accepted{conn: c, err: err}
	}()
	return out
}

// Guards against more open connections than allowed when a caller opens ever more of
// them, and against slots that are not freed, or freed twice, when one is closed.
func TestConnectionsBeyondTheLimitWait(t *testing.T) {
	l := listen(t, 1)
	dial(t, l)
	first := <-accept(l)
	assert.NilError(t, first.err)
	dial(t, l)
	next := accept(l)
	select {
	case <-next:
		t.Fatal("a second connection was accepted")
	default:
	}
	assert.NilError(t, first.conn.Close())
	_ = first.conn.Close() // a second Close must not free another slot
	second := <-next
	assert.NilError(t, second.err)
	third := accept(l)
	assert.NilError(t, l.Close())
	assert.Assert(t, errors.Is((<-third).err, net.ErrClosed))
}
