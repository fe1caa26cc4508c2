package sess

import (
	"net"
	"sync/atomic"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// meteredConn is a connection that records when bytes have arrived.
type meteredConn struct {
	net.Conn
	clock *clock.Clock
	at    atomic.Int64
}

// Read implements net.Conn.
func (c *meteredConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if n > 0 {
		c.at.Store(int64(c.clock.Now()))
	}
	return n, err
}
