// Package netw is the network between availability zones for processes that
// run together on loopback: connections between zones are delayed one way,
// keep their order, and can go silent for good.
package netw

import (
	"context"
	"net"
	"sync"
	"time"
)

// Net knows in which zone each address stands.
type Net struct {
	between time.Duration

	mu     sync.Mutex
	zones  map[string]string
	cut    map[string]bool
	opened map[*conn]struct{}
}

// New returns a network whose zones are that far apart one way.
func New(between time.Duration) *Net {
	return &Net{
		between: between, zones: make(map[string]string), cut: make(map[string]bool),
		opened: make(map[*conn]struct{}),
	}
}

// SetZone says in which zone an address (host:port) stands.
func (n *Net) SetZone(address, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[address] = zone
}

// CutZone parts a zone from all others: open connections go silent for good,
// new ones get no answer.
func (n *Net) CutZone(zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[zone] = true
	n.silence(zone)
}

// HealZone ends a cut. Connections that went silent stay silent.
func (n *Net) HealZone(zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, zone)
}

// SilenceZone makes the open connections between a zone and the others go
// silent for good, while new ones work.
func (n *Net) SilenceZone(zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silence(zone)
}

func (n *Net) silence(zone string) {
	for c := range n.opened {
		if c.from != c.to && (c.from == zone || c.to == zone) {
			c.goSilent()
		}
	}
}

// Dial returns a dialer for a process in a zone.
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
		out: newLane(n.between), in: newLane(n.between),
		silent: make(chan struct{}),
	}
	n.mu.Lock()
	n.opened[c] = struct{}{}
	n.mu.Unlock()
	c.forget = func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.opened, c)
	}
	go c.pumpOut()
	go c.pumpIn()
	return c
}
