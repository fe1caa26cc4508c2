package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jujubescale/jujubescale/internal/stand/netw"
)

// LinkFault is the fault that a proxy applies to its connections.
type LinkFault struct {
	// Delay is added to each chunk of bytes in both directions.
	Delay time.Duration
	// DropUpstream discards the bytes from the client, DropDownstream those from the
	// target. Each cuts one direction; both together form a partition.
	DropUpstream, DropDownstream bool
	// Refuse closes new connections at once.
	Refuse bool
}

// Proxy forwards loopback connections to a target and applies faults to them.
type Proxy struct {
	target   string
	listener net.Listener
	fault    atomic.Pointer[LinkFault]
	link     atomic.Pointer[netw.Link]
	// clientLinkFunc returns the link of the host that has opened a connection, nil for none.
	clientLinkFunc atomic.Pointer[func(client net.Conn) *netw.Link]

	mu          sync.Mutex
	connections map[*connection]bool
	group       sync.WaitGroup
}

// connection is a client's connection and the connection to the target behind it.
type connection struct {
	client, server net.Conn
	// accepted is the client's connection without links, clientLink the link of its host, nil for none.
	accepted   net.Conn
	clientLink *netw.Link
	// blackholed connections stay open and discard all bytes.
	blackholed atomic.Bool
	// severed connections are blackholed, and their ends don't show on the other side.
	severed atomic.Bool
}

// NewProxy listens on loopback; close it with Close.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, connections: make(map[*connection]bool)}
	p.fault.Store(&LinkFault{})
	p.group.Add(1)
	go func() {
		defer p.group.Done()
		p.accept()
	}()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFault replaces the fault that applies from now on.
func (p *Proxy) SetFault(fault LinkFault) { p.fault.Store(&fault) }

// SetLink makes all new connections share the link of the target's host.
func (p *Proxy) SetLink(link *netw.Link) { p.link.Store(link) }

// SetClientLink makes new connections use the links of the hosts that have opened them, too.
func (p *Proxy) SetClientLink(linkOf func(client net.Conn) *netw.Link) {
	p.clientLinkFunc.Store(&linkOf)
}

// Reset closes all open connections; clients receive a TCP reset.
func (p *Proxy) Reset() {
	p.each(func(c *connection) {
		if tcp, ok := c.accepted.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.close()
	})
}

// Blackhole makes all open connections discard their bytes; new connections work.
func (p *Proxy) Blackhole() { p.each(func(c *connection) { c.blackholed.Store(true) }) }

// Sever makes all open connections fall silent for good, as those of a host without power: the other
// side gets neither a byte nor an end.
func (p *Proxy) Sever() { p.each((*connection).sever) }

// SeverFrom severs the open connections that the host of a link has opened.
func (p *Proxy) SeverFrom(link *netw.Link) {
	p.each(func(c *connection) {
		if link != nil && c.clientLink == link {
			c.sever()
		}
	})
}

func (c *connection) sever() {
	c.blackholed.Store(true)
	c.severed.Store(true)
}

func (p *Proxy) each(visit func(*connection)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		visit(c)
	}
}

// Close stops the proxy and closes all its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.each(func(c *connection) { c.close() })
	p.group.Wait()
}

func (c *connection) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.fault.Load().Refuse {
			_ = client.Close()
			continue
		}
		server, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		p.relay(p.attach(client, server))
	}
}

// attach returns a connection that uses the links of both hosts.
func (p *Proxy) attach(client, server net.Conn) *connection {
	c := &connection{client: client, server: server, accepted: client}
	if linkOf := p.clientLinkFunc.Load(); linkOf != nil {
		if link := (*linkOf)(client); link != nil {
			c.clientLink = link
			c.server = link.Attach(server) // what the target sends arrives at the client's host
		}
	}
	if link := p.link.Load(); link != nil {
		c.client = link.Attach(client)
	}
	return c
}

func (p *Proxy) relay(c *connection) {
	p.mu.Lock()
	p.connections[c] = true
	p.mu.Unlock()
	p.group.Add(1)
	go func() {
		defer p.group.Done()
		var halves sync.WaitGroup
		halves.Add(2)
		go func() {
			defer halves.Done()
			p.copyChunks(c, c.server, c.client, func(h *LinkFault) bool { return h.DropUpstream })
		}()
		go func() {
			defer halves.Done()
			p.copyChunks(c, c.client, c.server, func(h *LinkFault) bool { return h.DropDownstream })
		}()
		halves.Wait()
		c.close()
		p.mu.Lock()
		delete(p.connections, c)
		p.mu.Unlock()
	}()
}

// copyChunks copies one direction; if one side closes, it closes the other side.
func (p *Proxy) copyChunks(c *connection, to io.Writer, from io.Reader, drops func(*LinkFault) bool) {
	const chunk = 16 << 10
	buf := make([]byte, chunk)
	lost := false // nothing arrives on a connection after bytes that were lost
	for {
		n, err := from.Read(buf)
		fault := p.fault.Load()
		time.Sleep(fault.Delay)
		lost = lost || n > 0 && (drops(fault) || c.blackholed.Load())
		if n > 0 && !lost {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil && c.severed.Load() {
			return
		}
		if err != nil {
			c.close()
			return
		}
	}
}
