// Package event reads complete events from a stream. An engine may fail in the
// middle of an event. A partial event that was passed on could neither be revoked
// nor be completed by another engine, so partial events are never returned.
package event

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// MaxEvent is the maximum size of an event in bytes. Usual events have a few
// hundred bytes.
const MaxEvent = 1 << 20

// Event is one event of a stream.
type Event struct {
	// Raw is the event as received, including the blank line that ends it. It is
	// valid until the next call of Next.
	Raw []byte
	// ID is the id of the event, empty if it has none.
	ID string
}

// SizeError is returned when an event is larger than MaxEvent.
type SizeError struct {
	Bytes int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("event has at least %d bytes; allowed: %d", e.Bytes, MaxEvent)
}

// Reader splits a stream into events.
type Reader struct {
	from *bufio.Reader
	buf  []byte
}

// bufferBytes is large enough for several usual events, so that events that arrive
// together need only one read.
const bufferBytes = 2 << 10

// New returns a Reader of the events in a stream.
func New(from io.Reader) *Reader { return &Reader{from: bufio.NewReaderSize(from, bufferBytes)} }

// Next returns the next complete event. It returns io.EOF if the stream ends after
// an event and io.ErrUnexpectedEOF if it ends within one.
func (r *Reader) Next() (Event, error) {
	r.buf = r.buf[:0]
	var id []byte
	for {
		start := len(r.buf)
		if err := r.readLine(); err != nil {
			return Event{}, r.endError(err)
		}
		line := bytes.TrimRight(r.buf[start:], "\r\n")
		if len(line) == 0 {
			return Event{Raw: r.buf, ID: string(id)}, nil
		}
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id = append([]byte(nil), bytes.TrimSpace(value)...)
		}
	}
}

func (r *Reader) readLine() error {
	for {
		part, err := r.from.ReadSlice('\n')
		r.buf = append(r.buf, part...)
		if len(r.buf) > MaxEvent {
			return &SizeError{Bytes: len(r.buf)}
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

func (r *Reader) endError(err error) error {
	if errors.Is(err, io.EOF) && len(r.buf) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// More reports whether bytes of another event are already buffered.
func (r *Reader) More() bool { return r.from.Buffered() > 0 }
