package router

import (
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/serve/host"
)

const (
	// deliveredMaxAge is how long results that were sent to a peer are remembered:
	// about as long as engines keep them.
	deliveredMaxAge = 5 * clock.Second
	// maxDeliveredPerPeer bounds the number of recorded deliveries to one peer.
	maxDeliveredPerPeer = 4096
)

// deliveredResults records which results were sent to which peer, so that the
// results of a peer that was killed can be freed.
type deliveredResults struct {
	mu     sync.Mutex
	byPeer map[string][]delivery
}

// delivery holds the results of one request.
type delivery struct {
	at     clock.Millis
	unused *wire.Unused
}

// add remembers the results of a request. A failed request has none.
func (d *deliveredResults) add(peer string, request *wire.Pieces, outcome host.Outcome, now clock.Millis) {
	if outcome.Reason != "" {
		return
	}
	bytes := make([]int64, len(outcome.References))
	for i := range bytes {
		bytes[i] = request.Bytes
	}
	added := delivery{at: now, unused: &wire.Unused{
		Pool: request.Pool, References: outcome.References, Endpoints: outcome.Endpoints, Bytes: bytes,
	}}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byPeer == nil {
		d.byPeer = make(map[string][]delivery)
	}
	d.byPeer[peer] = append(recent(d.byPeer[peer], now), added)
}

// recent returns the deliveries without those whose results engines have dropped by
// now, and without the oldest ones beyond maxDeliveredPerPeer.
func recent(all []delivery, now clock.Millis) []delivery {
	first := max(len(all)-maxDeliveredPerPeer, 0)
	for first < len(all) && now-all[first].at > deliveredMaxAge {
		first++
	}
	return all[first:]
}

// remove removes the deliveries to a peer and returns their results.
func (d *deliveredResults) remove(peer string, now clock.Millis) []*wire.Unused {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []*wire.Unused
	for _, recentDelivery := range recent(d.byPeer[peer], now) {
		all = append(all, recentDelivery.unused)
	}
	delete(d.byPeer, peer)
	return all
}
