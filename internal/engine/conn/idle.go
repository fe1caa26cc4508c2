package conn

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// outlasts reports whether a connection that another margin allows to be idle for longer
// stays open for a request.
func (c *conn) outlasts(request *Request, now clock.Millis) bool {
	return c.closesAt == 0 || c.expiresAt <= now || c.closesAt-request.margin() > now
}

// margin returns the part of a stated idle timeout in which the request is not sent.
func (r *Request) margin() clock.Millis {
	if r.IdleMargin > 0 {
		return r.IdleMargin
	}
	return idleMargin
}

// pendingInput reports whether an idle connection has received bytes that belong to
// no request, or has ended.
func pendingInput(c *conn) (surplus, ended bool) {
	if c.reader.Buffered() > 0 {
		return true, false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false, false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false, true
	}
	err = control.Read(func(fd uintptr) bool {
		var probe [1]byte
		count, _, peeked := unix.Recvfrom(int(fd), probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		surplus, ended = count > 0, count <= 0 && !errors.Is(peeked, unix.EAGAIN)
		return true
	})
	return surplus, ended || err != nil
}

// Causes of a distrustPeriod.
const (
	causeSurplus   = "bytes that belong to no request"
	causeDuplicate = "duplicate answer"
	causeMalformed = "malformed answer"
)

// distrust ends the reuse of connections by verified requests for distrustPeriod.
func (g *Group) distrust(cause string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.startDistrust(cause, g.clock.Now())
}

// startDistrust is distrust for a caller that holds g.mu.
func (g *Group) startDistrust(cause string, now clock.Millis) {
	if now >= g.distrustUntil {
		g.distrusted(cause)
	}
	g.distrustUntil = now + distrustPeriod
}

const (
	// MaxReuseIdle and maxReuseIdleUnsafe bound how long a connection may have been idle
	// before it is reused, for idempotent routes and for others. If the endpoint closes the
	// connection just as the request is sent, it is unknown whether the request ran, and a
	// request that must not be repeated gets no answer.
	MaxReuseIdle       = 4 * clock.Second
	maxReuseIdleUnsafe = 300 * clock.Millis(1)
	// idempotentMargin is the part of an idle timeout stated by an endpoint in which no
	// idempotent request is sent to endpoints whose connections are reused. It covers two round
	// trips and one throttling period of a small host, 100 ms, on either side; a request that
	// loses the race all the same is sent to another endpoint.
	idempotentMargin = 300 * clock.Millis(1)
)

// ReuseIdle returns Request.MaxIdle and Request.IdleMargin for requests of a route.
func ReuseIdle(idempotent, reuses bool) (maxIdle, margin clock.Millis) {
	switch {
	case !idempotent:
		return maxReuseIdleUnsafe, 0
	case reuses:
		return MaxReuseIdle, idempotentMargin
	}
	return MaxReuseIdle, 0
}
