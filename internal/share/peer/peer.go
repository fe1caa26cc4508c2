// Package peer exchanges configuration documents over the sessions that a
// process has anyway: who is behind finds out from the release number on each
// frame and asks the peer that showed it.
package peer

import (
	"context"
	"fmt"
	"sync"

	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// Set is the open sessions of one process, as far as the configuration and
// the reach to other availability zones are concerned.
type Set struct {
	number func() uint64
	serve  func(*wire.Fetch) *wire.Section
	behind func(*sess.Session, uint64)
	beat   func(*sess.Session, *wire.Beat)

	mu       sync.Mutex
	sessions map[*sess.Session]*pending
}

// pending is the requests that wait for an answer on one session.
type pending struct {
	waiting map[string][]chan *wire.Section
}

// Option changes a Set while it is built.
type Option func(*Set)

// WithServe sets who answers peers that ask for a document.
func WithServe(serve func(*wire.Fetch) *wire.Section) Option { return func(p *Set) { p.serve = serve } }

// WithNewerRelease sets who is told that a peer has a newer release. It is called
// on the session's reader and must not block.
func WithNewerRelease(behind func(*sess.Session, uint64)) Option {
	return func(p *Set) { p.behind = behind }
}

// WithBeat sets who is told of heartbeats. It must not block.
func WithBeat(beat func(*sess.Session, *wire.Beat)) Option { return func(p *Set) { p.beat = beat } }

// New returns an empty set. The function number returns the release in force here.
func New(number func() uint64, opts ...Option) *Set {
	p := &Set{
		number:   number,
		serve:    func(fetch *wire.Fetch) *wire.Section { return &wire.Section{Name: fetch.Name} },
		behind:   func(*sess.Session, uint64) {},
		beat:     func(*sess.Session, *wire.Beat) {},
		sessions: make(map[*sess.Session]*pending),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Add takes in a session and shows the peer the release in force here.
func (p *Set) Add(s *sess.Session) {
	p.mu.Lock()
	p.sessions[s] = &pending{waiting: make(map[string][]chan *wire.Section)}
	p.mu.Unlock()
	SendRelease(s)
}

// Remove forgets a session. Requests on it end with the session.
func (p *Set) Remove(s *sess.Session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.sessions, s)
}

// Sessions returns the open sessions.
func (p *Set) Sessions() []*sess.Session {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := make([]*sess.Session, 0, len(p.sessions))
	for s := range p.sessions {
		open = append(open, s)
	}
	return open
}

// SendRelease shows a peer the release in force here: a heartbeat that asks for none
// back, since each frame carries the number.
func SendRelease(s *sess.Session) {
	_ = s.Send(&wire.Frame{Kind: wire.KindBeat, Beat: &wire.Beat{Reply: true}})
}

// HandleFrame looks at each frame that arrives. It returns true when the frame
// concerned documents alone.
func (p *Set) HandleFrame(s *sess.Session, frame *wire.Frame) bool {
	if frame.Release > p.number() {
		p.behind(s, frame.Release)
	}
	switch frame.Kind {
	case wire.KindBeat:
		p.beat(s, frame.Beat)
		return false
	case wire.KindFetch:
		_ = s.Send(&wire.Frame{Kind: wire.KindSection, Section: p.serve(frame.Fetch)})
		return true
	case wire.KindSection:
		p.answer(s, frame.Section)
		return true
	default:
		return false
	}
}

func (p *Set) answer(s *sess.Session, section *wire.Section) {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := p.sessions[s]
	if open == nil || len(open.waiting[section.Name]) == 0 {
		return // the asker gave up
	}
	open.waiting[section.Name][0] <- section
	p.drop(open, section.Name)
}

func (p *Set) drop(open *pending, name string) {
	open.waiting[name] = open.waiting[name][1:]
	if len(open.waiting[name]) == 0 {
		delete(open.waiting, name)
	}
}

// ClosedError says that a peer can't be asked because its session has ended.
type ClosedError struct {
	Process string
}

// Error implements error.
func (e *ClosedError) Error() string { return fmt.Sprintf("session with %s has ended", e.Process) }

// Fetch asks a peer for a document and waits for the answer. Answers of one name
// come back in the order of the requests, since a session keeps the order.
func (p *Set) Fetch(ctx context.Context, s *sess.Session, fetch wire.Fetch) (*wire.Section, error) {
	answered := make(chan *wire.Section, 1)
	if err := p.request(s, &fetch, answered); err != nil {
		return nil, err
	}
	select {
	case section := <-answered:
		return section, nil
	case <-s.Done():
		return nil, &ClosedError{Process: s.Peer().Process}
	case <-ctx.Done():
		// The place in the queue stays, so that a late answer goes there and
		// not to the next request.
		return nil, ctx.Err()
	}
}

func (p *Set) request(s *sess.Session, fetch *wire.Fetch, answered chan *wire.Section) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := p.sessions[s]
	if open == nil {
		return &ClosedError{Process: s.Peer().Process}
	}
	if err := s.Send(&wire.Frame{Kind: wire.KindFetch, Fetch: fetch}); err != nil {
		return err
	}
	open.waiting[fetch.Name] = append(open.waiting[fetch.Name], answered)
	return nil
}
