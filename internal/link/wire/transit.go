package wire

import "github.com/jujubescale/jujubescale/internal/base/clock"

// Stamp lets the receiver of a frame bound the time that the frame was on its way. The clocks
// of two processes have an unknown offset, so that it takes measurements of both directions.
type Stamp struct {
	_ struct{} `cbor:",toarray"`
	// SentAt is the instant for which the ages in the frame hold, or when the sender queued it, on the sender's clock.
	SentAt clock.Millis
	// Shortest is the shortest difference between the sender's clock at the arrival of a
	// frame and that frame's SentAt. It is valid if Measured is set.
	Shortest clock.Millis
	Measured bool
}

// AsOf returns the instant for which the ages in the frame hold, on the clock of the process that made it, or now if
// that is not known.
func (f *Frame) AsOf(now clock.Millis) clock.Millis {
	switch {
	case f.Update != nil && f.Update.AsOf > 0:
		return f.Update.AsOf
	case f.Sums != nil && f.Sums.AsOf > 0:
		return f.Sums.AsOf
	}
	return now
}

// SetArrival sets the instant for which the ages in the frame hold to that of its arrival, on the receiver's clock.
// AddTransit makes them hold for it.
func (f *Frame) SetArrival(now clock.Millis) {
	if f.Update != nil {
		f.Update.AsOf = now
	}
	if f.Sums != nil {
		f.Sums.AsOf = now
	}
}

// StatesAge reports whether the frame states how old something is.
func (f *Frame) StatesAge() bool { return f.Sums != nil || f.Update != nil || f.Handover != nil }

// AddTransit adds the time that the frame was on its way, in milliseconds, to the ages of the
// store's answers that it relays. Ages below 0 are invalid and stay.
func (f *Frame) AddTransit(transit clock.Millis) {
	if f.Update != nil && f.Update.Age >= 0 {
		f.Update.Age += transit
	}
	if f.Sums != nil {
		for i := range f.Sums.Progress {
			if progress := &f.Sums.Progress[i]; progress.Age >= 0 {
				progress.Age += transit
			}
		}
	}
}
