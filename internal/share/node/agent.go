package node

import (
	"context"

	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/share/avail"
	"github.com/jujubescale/jujubescale/internal/share/peer"
	"github.com/jujubescale/jujubescale/internal/share/spread"
)

// Agent is the sharing of an agent: its part of the configuration comes over
// the sessions of entries, so it spends no watch of the platform.
type Agent struct {
	base
	part *spread.PartHolder
}

// NewAgent returns the sharing of an agent at a place.
func NewAgent(place avail.Place, holder *spread.Holder, opts ...Option) *Agent {
	a := &Agent{base: newBase(collect(opts), place, holder), part: spread.NewPartHolder(holder)}
	a.catch = peer.NewSyncer(a.clock, holder.Number, a.learn, nil)
	a.peers = peer.New(holder.Number, peer.WithNewerRelease(a.catch.NewerRelease), peer.WithBeat(a.beat))
	return a
}

func (a *Agent) learn(ctx context.Context, s *sess.Session) error {
	before := a.holder.Number()
	err := a.peers.FetchPart(ctx, s, a.place.Pool, a.part)
	if err != nil {
		a.log.Warn("part of the configuration not taken", "peer", s.Peer().Process, "error", err)
	}
	if current := a.holder.Current(); current != nil && current.Number > before {
		a.accepted(current)
	}
	return err
}

// Run shares until the context ends; Done then closes.
func (a *Agent) Run(ctx context.Context) { a.run(ctx) }

// SessionOpened takes in a session of an entry.
func (a *Agent) SessionOpened(s *sess.Session) { a.opened(s) }

// SessionClosed forgets a session.
func (a *Agent) SessionClosed(s *sess.Session) { a.peers.Remove(s) }

// HandleFrame looks at each frame that arrives and reports whether it concerned the
// sharing alone.
func (a *Agent) HandleFrame(s *sess.Session, frame *wire.Frame) bool {
	return a.peers.HandleFrame(s, frame)
}
