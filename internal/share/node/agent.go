package node

import (
	"context"

	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/share/avail"
	"github.com/jujubescale/jujubescale/internal/share/peer"
	"github.com/jujubescale/jujubescale/internal/share/spread"
)

// Agent is the node of an agent. It gets its part of the configuration over the
// sessions that entries open, so it needs no watch of the platform.
type Agent struct {
	base
	part *spread.PartHolder
}

// NewAgent returns the node of an agent at a place.
func NewAgent(place avail.Place, holder *spread.Holder, opts ...Option) *Agent {
	a := &Agent{base: newBase(newOptions(opts), place, holder), part: spread.NewPartHolder(holder)}
	a.syncer = peer.NewSyncer(a.clock, holder.Number, a.fetchPart, nil)
	a.peers = peer.New(holder.Number, peer.WithNewerRelease(a.syncer.NewerRelease), peer.WithBeat(a.handleBeat))
	return a
}

func (a *Agent) fetchPart(ctx context.Context, s *sess.Session) error {
	before := a.holder.Number()
	err := a.peers.FetchPart(ctx, s, a.place.Pool, a.part)
	if err != nil {
		a.log.Warn("part of the configuration not accepted", "peer", s.Peer().Process, "error", err)
	}
	if current := a.holder.Current(); current != nil && current.Number > before {
		a.accepted(current)
	}
	return err
}

// Run starts the node. It stops when the context ends; see Done.
func (a *Agent) Run(ctx context.Context) { a.run(ctx) }

// SessionOpened adds a session of an entry.
func (a *Agent) SessionOpened(s *sess.Session) { a.sessionOpened(s) }

// SessionClosed removes a session.
func (a *Agent) SessionClosed(s *sess.Session) { a.peers.Remove(s) }

// HandleFrame must be called for each frame that arrives. It reports whether the
// frame needs no other handling.
func (a *Agent) HandleFrame(s *sess.Session, frame *wire.Frame) bool {
	return a.peers.HandleFrame(s, frame)
}
