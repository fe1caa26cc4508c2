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

// Spans of catching up with a peer.
const (
	askLimit = 2 * clock.Second
	askAgain = 100 * clock.Millis(1)
)

// Syncer catches up with peers that showed a newer release, one at a time: a
// burst of frames with a new number leads to one request, not to one a frame.
type Syncer struct {
	clock *clock.Clock
	// number returns the release known here.
	number func() uint64
	// askFunc asks one peer and takes its answer in.
	askFunc func(ctx context.Context, s *sess.Session) error
	// stuckFunc is told that no peer could give a newer release that was shown.
	stuckFunc func()

	mu    sync.Mutex
	ahead map[*sess.Session]uint64
	kick  chan struct{}
}

// NewSyncer returns a syncer that asks with ask; stuck may be nil.
func NewSyncer(c *clock.Clock, number func() uint64, ask func(context.Context, *sess.Session) error, stuck func()) *Syncer {
	if stuck == nil {
		stuck = func() {}
	}
	return &Syncer{
		clock: c, number: number, askFunc: ask, stuckFunc: stuck,
		ahead: make(map[*sess.Session]uint64), kick: make(chan struct{}, 1),
	}
}

// NewerRelease notes that a peer has a newer release. It doesn't block.
func (c *Syncer) NewerRelease(s *sess.Session, release uint64) {
	c.mu.Lock()
	c.ahead[s] = max(release, c.ahead[s])
	c.mu.Unlock()
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// Run catches up until the context ends.
func (c *Syncer) Run(ctx context.Context) {
	for {
		select {
		case <-c.kick:
		case <-ctx.Done():
			return
		}
		for ctx.Err() == nil {
			s := c.next()
			if s == nil {
				break
			}
			if err := c.ask(ctx, s); err != nil && c.next() == nil && ctx.Err() == nil {
				c.stuckFunc()
				_ = c.clock.Sleep(ctx, askAgain)
			}
		}
	}
}

func (c *Syncer) ask(ctx context.Context, s *sess.Session) error {
	ctx, cancel := context.WithTimeout(ctx, askLimit.Duration())
	defer cancel()
	return c.askFunc(ctx, s)
}

// next takes a peer that is ahead out of the list, or returns nil.
func (c *Syncer) next() *sess.Session {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.number()
	for s, release := range c.ahead {
		delete(c.ahead, s)
		if release > now {
			return s
		}
	}
	return nil
}

// NotServedError says that a peer could not give a document.
type NotServedError struct {
	Process string
	Name    string
}

// Error implements error.
func (e *NotServedError) Error() string {
	return e.Process + " can't give " + e.Name
}

// FetchConfig asks a peer for its whole configuration and offers it to the
// learner: the head first, then the sections that are missing here.
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

// FetchPart asks a peer for an agent's part of the configuration.
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
