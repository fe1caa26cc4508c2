// Package netw simulates the network between availability zones for processes
// that run on loopback. Connections between zones are delayed in each direction,
// keep the order of their data, and can start to drop all data permanently
// (silent connections).
package netw

import (
	"context"
	"net"
	"sync"
	"time"
)

// Net is a simulated network. It holds the zone of each address.
type Net struct {
	delay time.Duration

	mu    sync.Mutex
	zones map[string]string
	cut   map[string]bool
	conns map[*conn]struct{}
}

// New returns a network with a one-way delay between zones.
func New(delay time.Duration) *Net {
	return &Net{
		delay: delay, zones: make(map[string]string), cut: make(map[string]bool),
		conns: make(map[*conn]struct{}),
	}
}

// SetZone sets the zone of an address (host:port). Connections to addresses
// without a zone are not delayed.
func (n *Net) SetZone(address, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[address] = zone
}

// CutZone separates a zone from all others. Open connections become silent
// permanently, and new ones wait until the context of their dial ends.
func (n *Net) CutZone(zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[zone] = true
	n.silence(zone)
}

// HealZone ends a cut. Silent connections stay silent.
func (n *Net) HealZone(zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, zone)
}

// SilenceZone makes the open connections between a zone and the others silent
// permanently. New connections work.
func (n *Net) SilenceZone(zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silence(zone)
}

func (n *Net) silence(zone string) {
	for c := range n.conns {
		if c.from != c.to && (c.from == zone || c.to == zone) {
			c.silence()
		}
	}
}

// Dial returns the dial function of a process in a zone.
func (n *Net) Dial(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.zones[address]
		cut := from != to && (n.cut[from] || n.cut[to])
		n.mu.Unlock()
		if cut {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		inner, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil || to == "" || from == to {
			return inner, err
		}
		return n.open(inner, from, to), nil
	}
}

func (n *Net) open(inner net.Conn, from, to string) net.Conn {
	c := &conn{
		Conn: inner, from: from, to: to,
		out: newLane(n.delay), in: newLane(n.delay),
		silent: make(chan struct{}),
	}
	n.mu.Lock()
	n.conns[c] = struct{}{}
	n.mu.Unlock()
	c.untrack = func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.conns, c)
	}
	go c.pumpOut()
	go c.pumpIn()
	return c
}
