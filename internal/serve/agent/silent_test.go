package agent_test

import (
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/stand/engine"
)

// lossyRelay forwards bytes between connections. Connections are numbered from 1 in
// order of opening; the bytes of those up to droppedUpTo are discarded without an
// error.
type lossyRelay struct {
	listener    net.Listener
	target      string
	droppedUpTo atomic.Int64
	opened      atomic.Int64
}

func startLossyRelay(t *testing.T, target string) *lossyRelay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &lossyRelay{listener: listener, target: target}
	t.Cleanup(func() { assert.Check(t, listener.Close()) })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				_ = client.Close()
				return
			}
			number := r.opened.Add(1)
			go r.forward(client, server, number)
			go r.forward(server, client, number)
		}
	}()
	return r
}

func (r *lossyRelay) forward(from, to net.Conn, number int64) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if number <= r.droppedUpTo.Load() {
			if err != nil {
				return
			}
			continue
		}
		if _, writeErr := to.Write(buf[:n]); err != nil || writeErr != nil {
			_ = to.Close()
			return
		}
	}
}

// A device between entry and agent drops all bytes of an open connection, and
// neither side gets an error. The test guards against a caller that waits until its
// deadline: the session must end after a few heartbeats, and the stream must resume
// on a new session at its last offset.
func TestSilentConnectionIsReplaced(t *testing.T) {
	e := engine.New(engine.WithTimes(0, 0, 5*time.Millisecond), engine.WithTokens(100))
	_, address := startAgent(t, manif.KindGenerate, startServer(t, e.Handler()))
	r := startLossyRelay(t, address)
	old := dial(t, r.listener.Addr().String(), sess.WithHeartbeats(50, 20)).awaitReady()
	old.s.AddInFlight(1)
	id := old.send(wire.Call{Idempotent: true})
	var got strings.Builder
	for range 10 {
		got.Write(old.receive(id, wire.KindPart).Part.Bytes)
	}
	r.droppedUpTo.Store(r.opened.Load())
	select {
	case <-old.s.Done():
	case <-time.After(testTimeout):
		t.Fatal("the silent session did not end")
	}
	var silent *sess.SilentError
	assert.Assert(t, errors.As(old.s.Err(), &silent))

	fresh := dial(t, r.listener.Addr().String())
	fresh.ask(id, fresh.s.Peer().Incarnation, int64(got.Len()))
	for {
		f := fresh.receive(id, wire.KindPart, wire.KindEnd)
		if f.Kind == wire.KindEnd {
			assert.Equal(t, f.End.Length, int64(got.Len()))
			assert.Equal(t, f.End.Digest, xxhash.Sum64String(got.String()))
			break
		}
		assert.Equal(t, f.Part.Offset, int64(got.Len()))
		got.Write(f.Part.Bytes)
	}
	assert.Equal(t, len(e.Slots.TakeUsage()), 1)
}
