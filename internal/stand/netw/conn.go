package netw

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// laneCapacity is the maximum number of chunks in transit in one direction.
const laneCapacity = 4096

// chunk is the data of one write or read. A chunk with an error is the last one
// of its direction.
type chunk struct {
	due   time.Time
	bytes []byte
	err   error
}

// lane is one direction of a connection. Chunks are delivered in order, each
// after the delay or later.
type lane struct {
	delay  time.Duration
	chunks chan chunk
	closed chan struct{}
	once   sync.Once
}

func newLane(delay time.Duration) *lane {
	return &lane{delay: delay, chunks: make(chan chunk, laneCapacity), closed: make(chan struct{})}
}

// enqueue appends a copy of the data. It waits while the lane is full, and reports
// false if the lane is closed.
func (l *lane) enqueue(bytes []byte, err error) bool {
	next := chunk{due: time.Now().Add(l.delay), bytes: append([]byte(nil), bytes...), err: err}
	select {
	case l.chunks <- next:
		return true
	case <-l.closed:
		return false
	}
}

// stop makes enqueue return false. It may be called repeatedly.
func (l *lane) stop() { l.once.Do(func() { close(l.closed) }) }

// conn is the dialing side of a connection. It delays both directions.
type conn struct {
	net.Conn
	from, to string
	out, in  *lane
	// silent is closed when the connection starts to drop all data.
	silent      chan struct{}
	silenceOnce sync.Once
	untrack     func()

	// unread is data that was received and not yet read.
	unread   []byte
	readErr  error
	mu       sync.Mutex
	deadline time.Time
}

func (c *conn) silence() { c.silenceOnce.Do(func() { close(c.silent) }) }

func (c *conn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Write queues the data for delivery. It waits only if laneCapacity chunks are in
// transit.
func (c *conn) Write(bytes []byte) (int, error) {
	if !c.out.enqueue(bytes, nil) {
		return 0, net.ErrClosed
	}
	return len(bytes), nil
}

// pumpOut sends the queued chunks when they are due. Data written before Close is
// still delivered. On a silent connection, the peer receives neither data nor the
// close.
func (c *conn) pumpOut() {
	defer c.out.stop()
	for next := range c.out.chunks {
		time.Sleep(time.Until(next.due))
		if next.err != nil {
			break
		}
		if c.isSilent() {
			continue
		}
		if _, err := c.Conn.Write(next.bytes); err != nil {
			break
		}
	}
	if !c.isSilent() {
		_ = c.Conn.Close()
	}
}

// pumpIn reads from the peer and queues the data with its due time, until the
// connection ends.
func (c *conn) pumpIn() {
	defer func() { _ = c.Conn.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		got, err := c.Conn.Read(buffer)
		if c.isSilent() {
			if err != nil {
				return
			}
			continue
		}
		if got > 0 && !c.in.enqueue(buffer[:got], nil) {
			return
		}
		if err != nil {
			c.in.enqueue(nil, err)
			return
		}
	}
}

// Read returns data that has arrived, and waits for some if there is none.
func (c *conn) Read(into []byte) (int, error) {
	if len(c.unread) == 0 && c.readErr == nil {
		if err := c.receive(); err != nil {
			return 0, err
		}
	}
	if len(c.unread) == 0 {
		return 0, c.readErr
	}
	copied := copy(into, c.unread)
	c.unread = c.unread[copied:]
	return copied, nil
}

// receive waits until the next chunk is due. It returns an error at the read deadline
// or when the connection is closed.
func (c *conn) receive() error {
	c.mu.Lock()
	deadline := c.deadline
	c.mu.Unlock()
	var expired <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case next := <-c.in.chunks:
		time.Sleep(time.Until(next.due))
		c.unread, c.readErr = next.bytes, next.err
		return nil
	case <-expired:
		return os.ErrDeadlineExceeded
	case <-c.in.closed:
		return net.ErrClosed
	}
}

// SetReadDeadline sets the deadline of reads that start after this call. It
// does not affect a read in progress.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
	return nil
}

// SetWriteDeadline has no effect, because writes normally do not wait.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline sets the deadline of reads that start after this call.
func (c *conn) SetDeadline(deadline time.Time) error { return c.SetReadDeadline(deadline) }

// Close closes the connection after the written data is delivered.
func (c *conn) Close() error {
	c.untrack()
	c.in.stop()
	if !c.out.enqueue(nil, io.EOF) {
		return net.ErrClosed
	}
	return nil
}
