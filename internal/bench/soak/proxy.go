package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Harm is what a proxy does to the connections through it.
type Harm struct {
	// Delay of each chunk of bytes in both directions.
	Delay time.Duration
	// Deaf swallows what the caller sends, Mute what the other end sends: a cut
	// in one direction. Both together are a partition.
	Deaf, Mute bool
	// Refuse closes new connections at once.
	Refuse bool
}

// Proxy passes connections on loopback to a target and harms them.
type Proxy struct {
	target   string
	listener net.Listener
	harm     atomic.Pointer[Harm]

	mu    sync.Mutex
	pairs map[*pair]bool
	group sync.WaitGroup
}

// pair is one connection and its other half.
type pair struct {
	client, server net.Conn
	// silenced connections carry nothing any more, though they stay open.
	silenced atomic.Bool
}

// NewProxy listens on loopback; close it with Close.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, pairs: make(map[*pair]bool)}
	p.harm.Store(&Harm{})
	p.group.Add(1)
	go func() {
		defer p.group.Done()
		p.accept()
	}()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes what the proxy does from now on.
func (p *Proxy) Set(harm Harm) { p.harm.Store(&harm) }

// Reset breaks all connections.
func (p *Proxy) Reset() {
	p.each(func(c *pair) {
		if tcp, ok := c.client.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.close()
	})
}

// Silence makes all open connections carry nothing any more; new ones work.
func (p *Proxy) Silence() { p.each(func(c *pair) { c.silenced.Store(true) }) }

func (p *Proxy) each(visit func(*pair)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		visit(c)
	}
}

// Close ends the proxy with all its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.each(func(c *pair) { c.close() })
	p.group.Wait()
}

func (c *pair) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.harm.Load().Refuse {
			_ = client.Close()
			continue
		}
		server, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		p.begin(&pair{client: client, server: server})
	}
}

func (p *Proxy) begin(c *pair) {
	p.mu.Lock()
	p.pairs[c] = true
	p.mu.Unlock()
	p.group.Add(1)
	go func() {
		defer p.group.Done()
		var halves sync.WaitGroup
		halves.Add(2)
		go func() {
			defer halves.Done()
			p.pass(c, c.server, c.client, func(h *Harm) bool { return h.Deaf })
		}()
		go func() {
			defer halves.Done()
			p.pass(c, c.client, c.server, func(h *Harm) bool { return h.Mute })
		}()
		halves.Wait()
		c.close()
		p.mu.Lock()
		delete(p.pairs, c)
		p.mu.Unlock()
	}()
}

// pass copies one direction; the end of one side ends the other.
func (p *Proxy) pass(c *pair, to io.Writer, from io.Reader, lost func(*Harm) bool) {
	const chunk = 16 << 10
	buf := make([]byte, chunk)
	for {
		n, err := from.Read(buf)
		harm := p.harm.Load()
		time.Sleep(harm.Delay)
		if n > 0 && !lost(harm) && !c.silenced.Load() {
			if _, failed := to.Write(buf[:n]); failed != nil {
				err = failed
			}
		}
		if err != nil {
			c.close()
			return
		}
	}
}
