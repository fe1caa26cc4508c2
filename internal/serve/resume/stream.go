package resume

import (
	"slices"
	"sync"

	"github.com/jujubescale/jujubescale/internal/flow/origin"
)

// Stream is a stream that this process passes on, with the keys by which callers may name it. A
// nil Stream has not begun. It is safe for concurrent use.
type Stream struct {
	tracker *Tracker
	pool    string
	// named holds the keys of the attempts by which callers may name the stream, and others the
	// keys that it shares with other streams.
	named, others []origin.Key

	mu           sync.Mutex
	begun, ended bool
}

// NewStream returns a stream of a pool whose origin is not recorded yet. Named holds the keys of the
// attempts by which callers may name it, and others the keys that it shares with other streams.
func (t *Tracker) NewStream(pool string, named, others []origin.Key) *Stream {
	return &Stream{tracker: t, pool: pool, named: named, others: others}
}

// Begin records the origin of the stream. It may be called after the stream has ended.
func (s *Stream) Begin(o *origin.Origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun = true
	for _, key := range s.named {
		s.tracker.begin(key, o, s.pool)
	}
	for _, key := range s.others {
		s.tracker.begin(key, o, "")
	}
	if s.ended {
		s.end()
	}
}

// Begun reports whether the origin of the stream is recorded.
func (s *Stream) Begun() bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.begun
}

// End is called when this process doesn't pass the stream on any more.
func (s *Stream) End() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.end()
}

func (s *Stream) end() {
	for _, key := range slices.Concat(s.named, s.others) {
		s.tracker.End(key)
	}
}
