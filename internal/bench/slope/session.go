package slope

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// sessionSet holds open sessions with both ends in this process.
type sessionSet struct {
	server *httptest.Server
	stop   context.CancelFunc
	open   []*sess.Session
	bytes  atomic.Int64
}

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(into []byte) (int, error) {
	got, err := c.Conn.Read(into)
	c.bytes.Add(int64(got))
	return got, err
}

// Write implements net.Conn.
func (c *countingConn) Write(bytes []byte) (int, error) {
	c.bytes.Add(int64(len(bytes)))
	return c.Conn.Write(bytes)
}

func typicalLoad() *wire.Load {
	return &wire.Load{Running: 5, Queued: 2, Limit: 8, Cost: 40, ServiceTime: 540, PrefixEpoch: 1 << 40}
}

func openSessions(ctx context.Context, count int, opts ...sess.Option) (*sessionSet, error) {
	ctx, stop := context.WithCancel(ctx)
	s := &sessionSet{stop: stop}
	hello := func() wire.Hello {
		return wire.Hello{
			Process: "agent-setup-engines-3", Role: "agent", Host: "host-setup-engines-3",
			AvailabilityZone: "za-2", Pool: "setup-engines", Endpoint: "setup-engines-3",
		}
	}
	opts = append(opts, sess.WithHello(hello), sess.WithLoad(typicalLoad), sess.WithRelease(func() uint64 { return 31_000 }))
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if accepted, err := sess.Accept(ctx, w, r, opts...); err == nil {
			<-accepted.Done()
		}
	}))
	address := strings.TrimPrefix(s.server.URL, "http://")
	dial := sess.WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &countingConn{Conn: conn, bytes: &s.bytes}, err
	})
	for range count {
		opened, err := sess.Dial(ctx, address, append(opts, dial)...)
		if err != nil {
			s.close()
			return nil, err
		}
		s.open = append(s.open, opened)
	}
	return s, nil
}

func (s *sessionSet) close() {
	s.stop()
	for _, one := range s.open {
		<-one.Done()
	}
	s.server.Close()
}

func sessionMemory() Probe {
	return Probe{
		Name: "memory of a session, both ends", X: "sessions", Y: "bytes", Sizes: []int{50, 100, 200, 400},
		MeasureFunc: func(ctx context.Context, size int) (float64, error) {
			before := heap()
			s, err := openSessions(ctx, size)
			if err != nil {
				return 0, err
			}
			after := heap()
			runtime.KeepAlive(s)
			s.close()
			return after - before, nil
		},
	}
}

// sessionBytes measures the bytes of a heartbeat and its reply with frequent heartbeats.
// The bytes a second of an idle session are this number divided by the heartbeat interval.
func sessionBytes() Probe {
	const every, beats = 200 * clock.Millis(1), 10
	return Probe{
		Name: "bytes of a heartbeat and its reply", X: "heartbeats", Y: "bytes", Sizes: []int{50, 100, 200},
		MeasureFunc: func(ctx context.Context, size int) (float64, error) {
			s, err := openSessions(ctx, size, sess.WithHeartbeats(every, every))
			if err != nil {
				return 0, err
			}
			defer s.close()
			before := s.bytes.Load()
			time.Sleep(beats * every.Duration())
			return float64(s.bytes.Load()-before) / beats, nil
		},
	}
}

// heartbeatTime measures the processor time of a heartbeat and its reply. Heartbeats are
// frequent so that their share of the processor time is measurable.
func heartbeatTime() Probe {
	const every, span = 10 * clock.Millis(1), 2 * time.Second
	return Probe{
		Name: "processor time of a heartbeat and its reply, both ends", X: "heartbeats", Y: "microseconds",
		Sizes: []int{20, 50, 100, 200},
		MeasureFunc: func(ctx context.Context, size int) (float64, error) {
			s, err := openSessions(ctx, size, sess.WithHeartbeats(every, every))
			if err != nil {
				return 0, err
			}
			defer s.close()
			before, err := processorTime()
			if err != nil {
				return 0, err
			}
			time.Sleep(span)
			after, err := processorTime()
			beats := span.Seconds() * 1000 / float64(every)
			return float64((after - before).Microseconds()) / beats, err
		},
	}
}
