// Package peer exchanges configuration documents over the sessions between
// processes. Each frame carries the release number of its sender. A process that
// receives a higher number than its own fetches the configuration from that peer.
package peer

import (
	"context"
	"fmt"
	"sync"

	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// Set is the set of open sessions of one process. It handles the frames that
// concern the configuration and the contact to other availability zones.
type Set struct {
	number       func() uint64
	serve        func(*wire.Fetch) *wire.Section
	newerRelease func(*sess.Session, uint64)
	beat         func(*sess.Session, *wire.Beat)

	mu       sync.Mutex
	sessions map[*sess.Session]*pending
}

// pending holds the requests on one session that wait for an answer, by the name
// of the document.
type pending struct {
	waiting map[string][]chan *wire.Section
}

// Option configures a Set.
type Option func(*Set)

// WithServe sets the function that answers requests for documents.
func WithServe(serve func(*wire.Fetch) *wire.Section) Option { return func(p *Set) { p.serve = serve } }

// WithNewerRelease sets a function that is called if a peer has a newer release.
// It runs in the session's reader and must not block.
func WithNewerRelease(behind func(*sess.Session, uint64)) Option {
	return func(p *Set) { p.newerRelease = behind }
}

// WithBeat sets a function that is called for each heartbeat. It must not block.
func WithBeat(beat func(*sess.Session, *wire.Beat)) Option { return func(p *Set) { p.beat = beat } }

// New returns an empty set. The function number returns the release in force in
// this process.
func New(number func() uint64, opts ...Option) *Set {
	p := &Set{
		number:       number,
		serve:        func(fetch *wire.Fetch) *wire.Section { return &wire.Section{Name: fetch.Name} },
		newerRelease: func(*sess.Session, uint64) {},
		beat:         func(*sess.Session, *wire.Beat) {},
		sessions:     make(map[*sess.Session]*pending),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Add adds a session and sends the release in force to the peer.
func (p *Set) Add(s *sess.Session) {
	p.mu.Lock()
	p.sessions[s] = &pending{waiting: make(map[string][]chan *wire.Section)}
	p.mu.Unlock()
	SendRelease(s)
}

// Remove removes a session. Requests on it fail when the session ends.
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

// SendRelease sends the number of the release in force to a peer. It sends a
// heartbeat, as each frame carries the number, and marks it as a reply, so that
// the peer doesn't answer it.
func SendRelease(s *sess.Session) {
	_ = s.Send(&wire.Frame{Kind: wire.KindBeat, Beat: &wire.Beat{Reply: true}})
}

// HandleFrame must be called for each frame that arrives. It returns true if the
// frame concerns only documents and needs no other handling.
func (p *Set) HandleFrame(s *sess.Session, frame *wire.Frame) bool {
	if frame.Release > p.number() {
		p.newerRelease(s, frame.Release)
	}
	switch frame.Kind {
	case wire.KindBeat:
		p.beat(s, frame.Beat)
		return false
	case wire.KindFetch:
		_ = s.Send(&wire.Frame{Kind: wire.KindSection, Section: p.serve(frame.Fetch)})
		return true
	case wire.KindSection:
		p.deliver(s, frame.Section)
		return true
	default:
		return false
	}
}

func (p *Set) deliver(s *sess.Session, section *wire.Section) {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := p.sessions[s]
	if open == nil || len(open.waiting[section.Name]) == 0 {
		return // nothing waits for it any more
	}
	open.waiting[section.Name][0] <- section
	p.removeWaiting(open, section.Name)
}

func (p *Set) removeWaiting(open *pending, name string) {
	open.waiting[name] = open.waiting[name][1:]
	if len(open.waiting[name]) == 0 {
		delete(open.waiting, name)
	}
}

// ClosedError is returned for a request on a session that has ended.
type ClosedError struct {
	Process string
}

// Error implements error.
func (e *ClosedError) Error() string { return fmt.Sprintf("session with %s has ended", e.Process) }

// Fetch requests a document from a peer and waits for the answer. Answers for one
// name arrive in the order of the requests, since a session keeps the order.
func (p *Set) Fetch(ctx context.Context, s *sess.Session, fetch wire.Fetch) (*wire.Section, error) {
	answered := make(chan *wire.Section, 1)
	if err := p.sendRequest(s, &fetch, answered); err != nil {
		return nil, err
	}
	select {
	case section := <-answered:
		return section, nil
	case <-s.Done():
		return nil, &ClosedError{Process: s.Peer().Process}
	case <-ctx.Done():
		// The channel stays in the queue, so that a late answer is not taken for
		// that of the next request.
		return nil, ctx.Err()
	}
}

func (p *Set) sendRequest(s *sess.Session, fetch *wire.Fetch, answered chan *wire.Section) error {
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
