package resume

import (
	"sync"

	"github.com/jujubescale/jujubescale/internal/flow/origin"
)

// Stream is a stream that this process passes on, with the keys by which callers may name it. A
// nil Stream has not begun. It is safe for concurrent use.
type Stream struct {
	tracker *Tracker
	keys    []origin.Key

	mu           sync.Mutex
	begun, ended bool
}

// NewStream returns a stream whose origin is not recorded yet.
func (t *Tracker) NewStream(keys []origin.Key) *Stream { return &Stream{tracker: t, keys: keys} }

// Begin records the origin of the stream. It may be called after the stream has ended.
func (s *Stream) Begin(o *origin.Origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun = true
	for _, key := range s.keys {
		s.tracker.Begin(key, o)
		if s.ended {
			s.tracker.End(key)
		}
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
	for _, key := range s.keys {
		s.tracker.End(key)
	}
}
