package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	redialFirst = 100 * clock.Millis(1)
	redialMost  = 5 * clock.Second
)

// Links keeps one session to each wanted address.
type Links struct {
	clock *clock.Clock
	// dialFunc holds a session to an address until it ends, and fails when it
	// could not be opened.
	dialFunc func(ctx context.Context, address string) error

	mu    sync.Mutex
	base  context.Context
	open  map[string]context.CancelFunc
	group sync.WaitGroup
}

// NewLinks returns links that dial with dial.
func NewLinks(c *clock.Clock, dial func(ctx context.Context, address string) error) *Links {
	return &Links{clock: c, dialFunc: dial, open: make(map[string]context.CancelFunc)}
}

// SetAddresses replaces the wanted addresses. The context of the first call ends all.
func (l *Links) SetAddresses(ctx context.Context, addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.base == nil {
		l.base = ctx
	}
	for address, stop := range l.open {
		if !slices.Contains(addresses, address) {
			stop()
			delete(l.open, address)
		}
	}
	for _, address := range addresses {
		if l.open[address] != nil || l.base.Err() != nil {
			continue
		}
		ctx, stop := context.WithCancel(l.base)
		l.open[address] = stop
		l.group.Go(func() { l.keep(ctx, address) })
	}
}

// Wait waits until all have ended after the context.
func (l *Links) Wait() { l.group.Wait() }

func (l *Links) keep(ctx context.Context, address string) {
	pause := redialFirst
	for ctx.Err() == nil {
		if err := l.dialFunc(ctx, address); err == nil {
			pause = redialFirst
		}
		_ = l.clock.Sleep(ctx, pause/2+rand.N(pause/2+1))
		pause = min(2*pause, redialMost)
	}
}
