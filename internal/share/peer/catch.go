package peer

import (
	"context"
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/share/head"
	"github.com/jujubescale/jujubescale/internal/share/spread"
)

// Timeouts and pauses of a Syncer.
const (
	fetchTimeout = 2 * clock.Second
	retryPause   = 100 * clock.Millis(1)
)

// Syncer fetches newer releases from peers, from one peer at a time. A burst of
// frames with a new release number leads to one request, not to one per frame.
type Syncer struct {
	clock *clock.Clock
	// number returns the newest release known here.
	number func() uint64
	// fetchFunc fetches the configuration from one peer and applies it.
	fetchFunc func(ctx context.Context, s *sess.Session) error
	// failedFunc is called if no peer could send a newer release that one of them
	// has.
	failedFunc func()

	mu    sync.Mutex
	ahead map[*sess.Session]uint64
	wake  chan struct{}
}

// NewSyncer returns a syncer. The function fetch fetches the configuration from
// one peer. The function failed is called if no peer could send a newer release;
// it may be nil.
func NewSyncer(c *clock.Clock, number func() uint64, fetch func(context.Context, *sess.Session) error, failed func()) *Syncer {
	if failed == nil {
		failed = func() {}
	}
	return &Syncer{
		clock: c, number: number, fetchFunc: fetch, failedFunc: failed,
		ahead: make(map[*sess.Session]uint64), wake: make(chan struct{}, 1),
	}
}

// NewerRelease records that a peer has a newer release. It doesn't block.
func (c *Syncer) NewerRelease(s *sess.Session, release uint64) {
	c.mu.Lock()
	c.ahead[s] = max(release, c.ahead[s])
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run fetches newer releases until the context ends.
func (c *Syncer) Run(ctx context.Context) {
	for {
		select {
		case <-c.wake:
		case <-ctx.Done():
			return
		}
		for ctx.Err() == nil {
			s := c.next()
			if s == nil {
				break
			}
			if err := c.fetch(ctx, s); err != nil && c.next() == nil && ctx.Err() == nil {
				c.failedFunc()
				_ = c.clock.Sleep(ctx, retryPause)
			}
		}
	}
}

func (c *Syncer) fetch(ctx context.Context, s *sess.Session) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancel()
	return c.fetchFunc(ctx, s)
}

// next removes a peer with a newer release from the list and returns it, or nil.
func (c *Syncer) next() *sess.Session {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.number()
	for s, release := range c.ahead {
		delete(c.ahead, s)
		if release > current {
			return s
		}
	}
	return nil
}

// NotServedError is returned if a peer doesn't have a requested document.
type NotServedError struct {
	Process string
	Name    string
}

// Error implements error.
func (e *NotServedError) Error() string {
	return e.Process + " doesn't have " + e.Name
}

// FetchConfig fetches the configuration of a peer and offers it to the learner. It
// fetches the head first, then the sections that are missing here.
func (p *Set) FetchConfig(ctx context.Context, s *sess.Session, learner *spread.Learner) error {
	answer, err := p.Fetch(ctx, s, wire.Fetch{Name: spread.HeadName})
	if err != nil {
		return err
	}
	if !answer.Found {
		return &NotServedError{Process: s.Peer().Process, Name: head.Object}
	}
	_, err = learner.Offer(ctx, spread.FromPeer, answer.Bytes, func(ctx context.Context, ref head.Ref) ([]byte, error) {
		section, err := p.Fetch(ctx, s, wire.Fetch{Name: ref.Name, Digest: uint64(ref.Digest)})
		if err != nil {
			return nil, err
		}
		if !section.Found {
			return nil, &NotServedError{Process: s.Peer().Process, Name: ref.Name}
		}
		return section.Bytes, nil
	})
	return err
}

// FetchPart fetches an agent's part of the configuration from a peer.
func (p *Set) FetchPart(ctx context.Context, s *sess.Session, pool string, part *spread.PartHolder) error {
	answer, err := p.Fetch(ctx, s, part.Request(pool))
	if err != nil {
		return err
	}
	if !answer.Found {
		return &NotServedError{Process: s.Peer().Process, Name: spread.PartName(pool)}
	}
	_, err = part.Accept(answer)
	return err
}
