package router_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/stand/netw"
	"github.com/jujubescale/jujubescale/platform/stand"
)

// pressedLink is the bandwidth of each gateway's link towards callers, in bytes per second, and
// pressedRate the number of requests in a second, which is one and a half times what a link carries.
const (
	pressedLink     = 6e6 / 8
	pressedLinkMbps = 6
	pressedRate     = 90
)

// relay returns the address of a relay to a gateway over a link.
func relay(t *testing.T, link *netw.Link, to string) string {
	t.Helper()
	front := link.Listen(listen(t, "127.0.0.1:0"))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	t.Cleanup(func() {
		cancel()
		_ = front.Close()
		<-done
	})
	go func() {
		defer close(done)
		var group sync.WaitGroup
		defer group.Wait()
		for {
			caller, err := front.Accept()
			if err != nil {
				return
			}
			group.Go(func() { relayOne(ctx, caller, to) })
		}
	}()
	return front.Addr().String()
}

// relayOne relays a connection until the gateway closes it.
func relayOne(ctx context.Context, caller net.Conn, to string) {
	gateway, err := net.Dial("tcp", to)
	if err != nil {
		_ = caller.Close()
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = gateway.Close() })
	defer stop()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_, _ = io.Copy(gateway, caller) // ends when either side closes
	}()
	_, _ = io.Copy(caller, gateway)
	_ = caller.Close()
	_ = gateway.Close()
	<-sent
}

// Guards against a gateway whose link carries two thirds of all requests, and that reads what it
// can't serve because the balancer hands it nine of ten new connections.
func TestPressedGatewayServesWithinItsLink(t *testing.T) {
	for name, carriesAll := range map[string]bool{"callers' link": false, "one link for callers, engines and peers": true} {
		t.Run(name, func(t *testing.T) { // in turn: six gateways state three cores
			var links []*netw.Link
			c := testConfig()
			c.Services[1].ColdPerS = 200 // the engines are not cold, and the bound of cold engines would limit the load
			b := startBench(t, 6, c, &bench{admit: true, hostFunc: func(int) benchHost {
				links = append(links, netw.NewLink(pressedLink))
				return benchHost{capacity: 0.5, linkMbps: pressedLinkMbps, link: links[len(links)-1], carriesAll: carriesAll}
			}})
			for range 3 {
				b.addEngines()
			}
			var addresses []string
			for i, g := range b.gateways {
				link := links[i]
				if !carriesAll {
					link = netw.NewLink(pressedLink)
				}
				addresses = append(addresses, relay(t, link, g.address))
			}
			turn := 0
			steady := b.press(addresses, 4*time.Second, func() int { turn++; return turn % len(addresses) })
			pressed := func() int {
				if rand.Float64() < 0.9 {
					return 0
				}
				return 1 + rand.IntN(len(addresses)-1)
			}
			first := b.press(addresses, 3*time.Second, pressed)
			pressing := b.press(addresses, 5*time.Second, pressed)
			before, _, after := steady(), first(), pressing()
			t.Logf("%.3f were served, %.3f before", after, before)
			assert.Assert(t, after >= 0.9*before, "%.3f were served, %.3f before", after, before)
		})
	}
}

// press sends drafts on new connections for a time. The function that it returns waits for their
// answers and returns the share that was served by the first gateway that read them.
func (b *bench) press(addresses []string, span time.Duration, pick func() int) (share func() float64) {
	var mu sync.Mutex
	var group sync.WaitGroup
	sent, served := 0, 0
	ticker := time.NewTicker(time.Second / pressedRate)
	defer ticker.Stop()
	for until := time.Now().Add(span); time.Now().Before(until); <-ticker.C {
		to := pick()
		group.Go(func() {
			got := b.sendUnread(addresses, to)
			mu.Lock()
			defer mu.Unlock()
			sent++
			if got.Complete {
				served++
			}
		})
	}
	return func() float64 {
		group.Wait()
		return float64(served) / float64(sent)
	}
}

// sendUnread sends a draft to another gateway, up to three times, while its connection is closed
// unread.
func (b *bench) sendUnread(addresses []string, to int) (got stand.Outcome) {
	for range 4 {
		if got = b.client.DoOnce(b.t.Context(), addresses[to], draft(), time.Second); got.Status != 0 || got.Truncated {
			return got
		}
		to = rand.IntN(len(addresses))
	}
	return got
}
