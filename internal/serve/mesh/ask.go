package mesh

import (
	"context"
	"errors"
	"fmt"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/coming"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

var (
	errReplaced = errors.New("the peer opened a newer session")
	errStopped  = errors.New("this process stops")
)

// LostError says that the owner of a pool ended, or that the session with it
// did, before it answered. Pieces may be made again, so another owner can be
// asked.
type LostError struct {
	Peer string
}

// Error implements error.
func (e *LostError) Error() string { return fmt.Sprintf("session with %s was lost", e.Peer) }

// Ask asks a peer for pieces and waits for its answer. When the context ends
// first, the question is withdrawn. Fetched is called, on the session's reader,
// when all pieces have read their inputs.
func (m *Mesh) Ask(ctx context.Context, to string, pieces *wire.Pieces, fetched func()) (*wire.Made, error) {
	pieces.Ticket = m.next.Add(1)
	answer := make(chan *wire.Made, 1)
	m.mu.Lock()
	p := m.peers[to]
	if p == nil || p.tickets == nil {
		m.mu.Unlock()
		return nil, &LostError{Peer: to}
	}
	p.tickets[pieces.Ticket] = &question{answer: answer, fetched: fetched}
	m.mu.Unlock()
	p.session.Busy(1)
	defer p.session.Busy(-1)
	if err := p.session.Send(&wire.Frame{Kind: wire.KindPieces, Pieces: pieces}); err != nil {
		m.forget(p, pieces.Ticket)
		return nil, &LostError{Peer: to}
	}
	select {
	case made := <-answer:
		if made == nil {
			return nil, &LostError{Peer: to}
		}
		return made, nil
	case <-ctx.Done():
		m.forget(p, pieces.Ticket)
		// If it can't be sent, the session is ending, and with it the question.
		_ = p.session.Send(&wire.Frame{Kind: wire.KindDropped, Dropped: &wire.Dropped{Ticket: pieces.Ticket}})
		return nil, ctx.Err()
	}
}

func (m *Mesh) forget(p *peer, ticket uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(p.tickets, ticket)
}

// GiveBack tells a peer of results that nobody needs any more. It may get
// lost; results expire by themselves.
func (m *Mesh) GiveBack(to string, unused *wire.Unused) {
	m.mu.Lock()
	p := m.peers[to]
	m.mu.Unlock()
	if p != nil {
		_ = p.session.Send(&wire.Frame{Kind: wire.KindUnused, Unused: unused}) // they expire
	}
}

// Open tells all peers that this process owns its pools from now on. A process
// that is restarted while the store is away is reached by its peers before it
// knows any endpoint; as an owner it would refuse all work of its pools.
func (m *Mesh) Open() { m.setOwns(true, &wire.Leave{Back: true}) }

// Leave tells all peers that this process owns nothing from now on.
func (m *Mesh) Leave() { m.setOwns(false, &wire.Leave{Reason: "planned stop"}) }

func (m *Mesh) setOwns(owns bool, word *wire.Leave) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.owns == owns {
		return
	}
	m.owns = owns
	m.publish()
	m.broadcast(&wire.Frame{Kind: wire.KindLeave, Leave: word})
}

// broadcast queues a frame for all peers; the caller holds the lock.
func (m *Mesh) broadcast(frame *wire.Frame) {
	for _, p := range m.peers {
		own := *frame
		_ = p.session.Send(&own) // a session that can't send is ending
	}
}

// tellLoads tells the loads with what holds at this moment: said later, an older
// word on owning pools would undo a newer one.
func (m *Mesh) tellLoads(loads *wire.Loads) {
	m.mu.Lock()
	defer m.mu.Unlock()
	loads.Leaving = !m.owns
	m.broadcast(&wire.Frame{Kind: wire.KindLoads, Loads: loads})
}

// take handles one frame of a peer.
func (m *Mesh) take(s *sess.Session, frame *wire.Frame) {
	if frame.Release > m.release() {
		m.newerFunc()
	}
	from := s.Peer().Process
	switch frame.Kind {
	case wire.KindPieces:
		m.piecesFunc(from, frame.Pieces, replyOn(s, frame.Pieces.Ticket))
	case wire.KindFetched:
		m.fetched(from, frame.Fetched.Ticket)
	case wire.KindMade:
		m.answered(from, frame.Made)
	case wire.KindDropped:
		m.droppedFunc(from, frame.Dropped.Ticket)
	case wire.KindUnused:
		m.unusedFunc(frame.Unused)
	case wire.KindLoads:
		m.heard(s, frame.Loads)
	case wire.KindLeave:
		m.leaves(s, !frame.Leave.Back)
	default:
		// Heartbeats are the session's own; a newer peer may send more.
	}
}

// replyOn answers a question on its session. If that has ended, the peer knows.
func replyOn(s *sess.Session, ticket uint64) Reply {
	return Reply{
		FetchedFunc: func() {
			_ = s.Send(&wire.Frame{Kind: wire.KindFetched, Fetched: &wire.Fetched{Ticket: ticket}})
		},
		MadeFunc: func(made *wire.Made) {
			made.Ticket = ticket
			_ = s.Send(&wire.Frame{Kind: wire.KindMade, Made: made})
		},
	}
}

func (m *Mesh) fetched(from string, ticket uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[from]; p != nil {
		if asked := p.tickets[ticket]; asked != nil {
			asked.fetched()
		}
	}
}

func (m *Mesh) answered(from string, made *wire.Made) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[from]
	if p == nil {
		return
	}
	if asked := p.tickets[made.Ticket]; asked != nil {
		delete(p.tickets, made.Ticket)
		asked.answer <- made
	}
}

func (m *Mesh) leaves(s *sess.Session, leaving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[s.Peer().Process]; p != nil && p.session == s {
		m.setLeaving(p, leaving)
	}
}

// setLeaving notes whether a peer may own pools; the caller holds the lock.
func (m *Mesh) setLeaving(p *peer, leaving bool) {
	if p.leaving != leaving {
		p.leaving = leaving
		m.publish()
	}
}

func (m *Mesh) heard(s *sess.Session, loads *wire.Loads) {
	if len(loads.Prefixes) > 0 {
		m.prefixFunc(loads.Prefixes)
	}
	if len(loads.Refused) > 0 {
		m.refusedFunc(loads.Refused)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[s.Peer().Process]; p != nil && p.session == s {
		p.loads, p.heard = loads, m.clock.Now()
		m.setLeaving(p, loads.Leaving)
		wake(m.hear)
	}
}

// Tell has the loads told at once, because others choose by them.
func (m *Mesh) Tell() { wake(m.tell) }

// wake wakes whoever waits on a channel, or leaves word for it.
func wake(waiting chan<- struct{}) {
	select {
	case waiting <- struct{}{}:
	default:
	}
}

// Run tells loads and adds up those of others until the context ends.
func (m *Mesh) Run(ctx context.Context) {
	heard := make(chan struct{})
	go func() {
		defer close(heard)
		m.listen(ctx)
	}()
	quiet, every := 0, tellEvery
	for m.pause(ctx, m.tell, every, tellGap) == nil {
		loads := m.loadsFunc()
		empty := len(loads.Endpoints) == 0 && len(loads.Pools) == 0 && len(loads.Prefixes) == 0 &&
			len(loads.Coming) == 0 && len(loads.Refused) == 0
		if !empty || quiet%quietEvery == 0 {
			m.tellLoads(loads)
		}
		quiet++
		if !empty {
			quiet = 0
		}
		every = tellEvery
		if len(loads.Pools) > 0 {
			every = ownerEvery
		}
	}
	<-heard
}

// quietEvery is how many times a process with nothing to tell keeps silent
// before it says so again.
const quietEvery = 3

// listen adds up what peers told, soon after they did and again from time to
// time, because peers end, too.
func (m *Mesh) listen(ctx context.Context) {
	for m.pause(ctx, m.hear, tellEvery, hearGap) == nil {
		m.gather()
	}
}

// pause waits until it is woken or the longest time has passed, and for the
// shortest time in any case.
func (m *Mesh) pause(ctx context.Context, woken <-chan struct{}, longest, shortest clock.Millis) error {
	if err := m.clock.Sleep(ctx, shortest); err != nil {
		return err
	}
	over, forget := m.clock.After(longest - shortest)
	defer forget()
	select {
	case <-woken:
		return nil
	case <-over:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// gather passes on what all peers told.
func (m *Mesh) gather() {
	m.mu.Lock()
	all := make([]*wire.Loads, 0, len(m.peers))
	var pools []told
	for _, p := range m.peers {
		if p.loads == nil {
			continue
		}
		all = append(all, p.loads)
		for _, load := range p.loads.Pools {
			pools = append(pools, told{load: load, at: p.heard})
		}
	}
	m.mu.Unlock()
	m.pools.Store(&pools)
	var sums []coming.Load
	for _, loads := range all {
		for _, load := range loads.Coming {
			sums = coming.Add(sums, coming.Load{Pool: load.Pool, Pieces: load.Pieces})
		}
	}
	m.coming.Store(&sums)
	m.toldFunc(all)
}

// Coming returns the pieces that requests of peers will ask for in a pool, by
// class of rank; nil for none.
func (m *Mesh) Coming(pool string) []int {
	sums := m.coming.Load()
	if sums == nil {
		return nil
	}
	return coming.Of(*sums, pool)
}

// Pool returns what peers told of a pool's queue last, false when none did. Late
// is how much older it is than what owners tell regularly.
func (m *Mesh) Pool(name string) (load wire.PoolLoad, late clock.Millis, known bool) {
	pools := m.pools.Load()
	if pools == nil {
		return wire.PoolLoad{}, 0, false
	}
	for _, pool := range *pools {
		if pool.load.Pool == name {
			return pool.load, max(m.clock.Since(pool.at)-usualAge, 0), true
		}
	}
	return wire.PoolLoad{}, 0, false
}

// usualAge is how old what an owner told may be with nothing wrong.
const usualAge = 2 * ownerEvery
