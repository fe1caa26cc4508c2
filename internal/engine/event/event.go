// Package event reads the events of a stream, each of them whole or not at
// all. An engine may break off in the middle of an event; half an event that
// was passed on could be neither taken back nor completed by another engine.
package event

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// MaxEvent bounds one event, in bytes: far above the few hundred of a real one.
const MaxEvent = 1 << 20

// Event is one event of a stream.
type Event struct {
	// Raw is the bytes as they came, with the blank line that ends the event.
	// They are valid until the next call.
	Raw []byte
	// ID of the event; empty when it has none.
	ID string
}

// SizeError says that an event is larger than MaxEvent.
type SizeError struct {
	Bytes int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("event of %d bytes and more; allowed: %d", e.Bytes, MaxEvent)
}

// Reader cuts a stream into events.
type Reader struct {
	from *bufio.Reader
	buf  []byte
}

// bufferBytes holds several events of a usual stream, so that those which
// arrive together cost one read.
const bufferBytes = 2 << 10

// New returns a reader of events.
func New(from io.Reader) *Reader { return &Reader{from: bufio.NewReaderSize(from, bufferBytes)} }

// Next returns the next whole event. It returns io.EOF at a clean end between
// two events and io.ErrUnexpectedEOF at one within an event.
func (r *Reader) Next() (Event, error) {
	r.buf = r.buf[:0]
	var id []byte
	for {
		start := len(r.buf)
		if err := r.readLine(); err != nil {
			return Event{}, r.endOf(err)
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

func (r *Reader) endOf(err error) error {
	if errors.Is(err, io.EOF) && len(r.buf) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// More reports whether another event, or its beginning, has already arrived.
func (r *Reader) More() bool { return r.from.Buffered() > 0 }
