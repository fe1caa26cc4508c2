package peers

import (
	"sync"

	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// EventKind is the kind of an event.
type EventKind uint8

// Kinds of events.
const (
	// EventFrame means that a frame of the attempt was received.
	EventFrame EventKind = iota
	// EventSessionLost means that the attempt's session was closed or timed out.
	EventSessionLost
	// EventSessionRestored means that a new session to the attempt's endpoint is
	// open.
	EventSessionRestored
	// EventAgentGone means that the address of the attempt's agent refuses
	// connections.
	EventAgentGone
)

// Event is something that happened to an attempt.
type Event struct {
	Kind    EventKind
	Attempt int
	Session uint64
	Frame   *wire.Frame
}

// EventQueue passes the events of one stage from the readers of several sessions
// to the goroutine that runs the stage. Adding an event never blocks, so that a
// slow request does not delay others on the same session. The length of the
// queue is limited by the size of an answer, which the stage checks.
type EventQueue struct {
	ready chan struct{}

	mu     sync.Mutex
	events []Event
}

// NewEventQueue returns an empty queue.
func NewEventQueue() *EventQueue { return &EventQueue{ready: make(chan struct{}, 1)} }

// Ready returns a channel that receives a value when the queue has events.
func (q *EventQueue) Ready() <-chan struct{} { return q.ready }

// Swap removes and returns the queued events. The queue reuses the memory of
// next for new ones.
func (q *EventQueue) Swap(next []Event) []Event {
	q.mu.Lock()
	defer q.mu.Unlock()
	events := q.events
	q.events = next[:0]
	return events
}

func (q *EventQueue) add(event Event) {
	q.mu.Lock()
	q.events = append(q.events, event)
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}
