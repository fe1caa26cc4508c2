package sess

import (
	"sync"

	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// maxKeptFrames is the largest capacity, in frames, that an emptied queue keeps.
// A burst makes the slice larger, and a process with many sessions must not keep that
// memory for each of them.
const maxKeptFrames = 64

// queue holds the frames for the writer. It uses memory only for queued frames,
// because an entry has sessions with many agents, most of them idle.
type queue struct {
	limit int
	// wake holds a value while frames may be queued.
	wake chan struct{}

	mu     sync.Mutex
	frames []*wire.Frame
}

func newQueue(limit int) *queue { return &queue{limit: limit, wake: make(chan struct{}, 1)} }

// put adds a frame. It returns false if the queue is full.
func (q *queue) put(frame *wire.Frame) bool {
	q.mu.Lock()
	full := len(q.frames) >= q.limit
	if !full {
		q.frames = append(q.frames, frame)
	}
	q.mu.Unlock()
	if full {
		return false
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return true
}

// swap returns all queued frames and removes them. The queue reuses the memory of
// emptied, the slice that the previous call returned.
func (q *queue) swap(emptied []*wire.Frame) []*wire.Frame {
	clear(emptied)
	if cap(emptied) > maxKeptFrames {
		emptied = nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	queued := q.frames
	q.frames = emptied[:0]
	return queued
}
