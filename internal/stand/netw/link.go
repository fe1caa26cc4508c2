package netw

import (
	"net"
	"sync"
	"time"
)

// maxTransfer is the maximum number of bytes that a connection transfers over a Link
// at a time, so that other connections get their turn in between.
const maxTransfer = 8 << 10

// Link simulates the network link of a host: its connections share the bandwidth of
// each direction.
type Link struct {
	bytesPerSecond float64
	in, out        direction
}

// direction is one direction of a link. It is busy until an instant.
type direction struct {
	mu   sync.Mutex
	busy time.Time
}

// NewLink returns a link with a bandwidth in bytes per second.
func NewLink(bytesPerSecond float64) *Link { return &Link{bytesPerSecond: bytesPerSecond} }

// Attach returns a connection of the link's host that uses the link.
func (l *Link) Attach(c net.Conn) net.Conn { return &linkConn{Conn: c, link: l} }

// Listen returns a listener whose connections use the link.
func (l *Link) Listen(listener net.Listener) net.Listener {
	return &linkListener{Listener: listener, link: l}
}

// Pause lets no data pass the link for a time, as if the host were frozen.
func (l *Link) Pause(duration time.Duration) {
	until := time.Now().Add(duration)
	for _, d := range []*direction{&l.in, &l.out} {
		d.mu.Lock()
		d.busy = later(d.busy, until)
		d.mu.Unlock()
	}
}

// transfer waits until a number of bytes has passed one direction.
func (l *Link) transfer(d *direction, bytes int) {
	d.mu.Lock()
	d.busy = later(d.busy, time.Now()).Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	busy := d.busy
	d.mu.Unlock()
	time.Sleep(time.Until(busy))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

type linkListener struct {
	net.Listener
	link *Link
}

// Accept waits for the next connection.
func (l *linkListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.link.Attach(c), nil
}

type linkConn struct {
	net.Conn
	link *Link
}

// Read returns data after it has passed the link.
func (c *linkConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into[:min(len(into), maxTransfer)])
	c.link.transfer(&c.link.in, n)
	return n, err
}

// Write sends data after it has passed the link.
func (c *linkConn) Write(bytes []byte) (int, error) {
	written := 0
	for {
		part := bytes[written:min(len(bytes), written+maxTransfer)]
		c.link.transfer(&c.link.out, len(part))
		n, err := c.Conn.Write(part)
		written += n
		if err != nil || written == len(bytes) {
			return written, err
		}
	}
}
