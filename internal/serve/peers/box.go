package peers

import (
	"sync"

	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// EventKind tells what happened to an attempt.
type EventKind uint8

// Kinds of events.
const (
	// EventFrame: a frame of the attempt came.
	EventFrame EventKind = iota
	// EventSessionLost: the attempt's session has ended or gone silent.
	EventSessionLost
	// EventSessionRestored: there is a new session to the attempt's endpoint.
	EventSessionRestored
	// EventAgentGone: nothing listens at the address of the attempt's agent any more.
	EventAgentGone
)

// Event is something that happened to an attempt.
type Event struct {
	Kind    EventKind
	Attempt int
	Session uint64
	Frame   *wire.Frame
}

// EventQueue takes the events of one stage from the readers of several sessions to
// the one goroutine that runs the stage. Readers never wait: a slow request
// must not hold up others on the same session. What waits here is bounded by
// the size of an answer, which the stage checks.
type EventQueue struct {
	bell chan struct{}

	mu     sync.Mutex
	events []Event
}

// NewEventQueue returns an empty box.
func NewEventQueue() *EventQueue { return &EventQueue{bell: make(chan struct{}, 1)} }

// Ready gets a value when events wait.
func (b *EventQueue) Ready() <-chan struct{} { return b.bell }

// Swap returns the waiting events and keeps the given slice for new ones.
func (b *EventQueue) Swap(empty []Event) []Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	events := b.events
	b.events = empty[:0]
	return events
}

func (b *EventQueue) put(event Event) {
	b.mu.Lock()
	b.events = append(b.events, event)
	b.mu.Unlock()
	select {
	case b.bell <- struct{}{}:
	default:
	}
}
