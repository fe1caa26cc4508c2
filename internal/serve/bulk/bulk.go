// Package bulk sends chunks of bulk data to peers, and requests for them, when the pacer of
// the link allows it. A chunk that a process requests uses its link as much as one that it
// sends.
package bulk

import (
	"context"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/pacer"
)

// Key identifies a message. A peer requests a chunk again if it does not arrive in time; it
// is sent once nevertheless.
type Key struct {
	Session uint64
	Digest  string
	Offset  int
	// Request is set for the request for a chunk, which Peer gets.
	Request bool
	Peer    string
}

// Sender sends messages. A nil Sender sends them at once, like one without a pacer.
type Sender struct {
	clock *clock.Clock
	pacer *pacer.Pacer
	waits prometheus.Counter

	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu      sync.Mutex
	waiting map[Key]struct{}
}

// New returns a sender for a pacer, which is nil if the bandwidth of the link is unknown. It
// registers the metrics. Messages that still wait when the context ends are not sent.
func New(ctx context.Context, c *clock.Clock, p *pacer.Pacer, r prometheus.Registerer) *Sender {
	s := &Sender{clock: c, pacer: p, waiting: make(map[Key]struct{})}
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.waits = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "jujubescale_bulk_wait_seconds_total",
		Help: "Time that chunks of large updates waited so that they use at most their share of the link.",
	})
	r.MustRegister(s.waits)
	return s
}

// Send sends a message of a number of bytes when the pacer allows it, unless a message with
// its key already waits. It returns after how long the message is sent.
func (s *Sender) Send(key Key, bytes int, send func()) clock.Millis {
	if s == nil || s.pacer == nil {
		send()
		return 0
	}
	wait, waits := s.grant(key, bytes)
	switch {
	case waits:
		return 0
	case wait == 0:
		send()
		return 0
	}
	go func() {
		defer s.group.Done()
		err := s.clock.Sleep(s.ctx, wait)
		s.mu.Lock()
		delete(s.waiting, key)
		s.mu.Unlock()
		if err == nil {
			send()
		}
	}()
	return wait
}

// grant returns how long a message waits, and whether one with its key already waits. If the
// message has to wait, its key and its goroutine are registered.
func (s *Sender) grant(key Key, bytes int) (wait clock.Millis, waits bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, waits := s.waiting[key]; waits {
		return 0, true
	}
	if wait = s.pacer.Grant(bytes, s.clock.Now()); wait > 0 {
		s.waits.Add(float64(wait) / float64(clock.Second))
		s.waiting[key] = struct{}{}
		s.group.Add(1)
	}
	return wait, false
}

// Close drops the messages that wait and returns once their goroutines have ended.
func (s *Sender) Close() {
	if s == nil {
		return
	}
	s.cancel()
	s.group.Wait()
}
