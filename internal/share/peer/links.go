package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	minRedialPause = 100 * clock.Millis(1)
	maxRedialPause = 5 * clock.Second
)

// Links keeps one session to each of a set of addresses.
type Links struct {
	clock *clock.Clock
	// dialFunc opens a session to an address and waits until it ends. It fails if
	// the session could not be opened.
	dialFunc func(ctx context.Context, address string) error

	mu      sync.Mutex
	base    context.Context
	cancels map[string]context.CancelFunc
	group   sync.WaitGroup
}

// NewLinks returns links without addresses. The function dial opens a session and
// waits until it ends.
func NewLinks(c *clock.Clock, dial func(ctx context.Context, address string) error) *Links {
	return &Links{clock: c, dialFunc: dial, cancels: make(map[string]context.CancelFunc)}
}

// SetAddresses replaces the addresses. The context of the first call ends all
// sessions.
func (l *Links) SetAddresses(ctx context.Context, addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.base == nil {
		l.base = ctx
	}
	for address, stop := range l.cancels {
		if !slices.Contains(addresses, address) {
			stop()
			delete(l.cancels, address)
		}
	}
	for _, address := range addresses {
		if l.cancels[address] != nil || l.base.Err() != nil {
			continue
		}
		ctx, stop := context.WithCancel(l.base)
		l.cancels[address] = stop
		l.group.Go(func() { l.maintain(ctx, address) })
	}
}

// Wait waits until all sessions have ended. The context must have ended before.
func (l *Links) Wait() { l.group.Wait() }

func (l *Links) maintain(ctx context.Context, address string) {
	pause := minRedialPause
	for ctx.Err() == nil {
		if err := l.dialFunc(ctx, address); err == nil {
			pause = minRedialPause
		}
		_ = l.clock.Sleep(ctx, pause/2+rand.N(pause/2+1))
		pause = min(2*pause, maxRedialPause)
	}
}
