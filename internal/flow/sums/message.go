package sums

import (
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/inflow"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// Cursor is the position of one destination in the changes and events. With the zero
// value, the next message is a full one.
type Cursor struct {
	changed  uint64
	urgentAt uint64
	events   uint64
	crashes  uint64
	limits   uint64
	started  bool
	// outsideChanged is like changed, for the endpoints outside the destination's
	// interest. outsideAt is when they were last sent.
	outsideChanged uint64
	outsideAt      clock.Millis
	// interestAt is the step of the last change of the destination's interest.
	interestAt uint64
	// trialsAt is when trials were last sent, trials whether there were any.
	trialsAt clock.Millis
	trials   bool
	// speeds is the step up to which speeds were sent, and speedsAt when; speedsSent is set
	// once they were.
	speeds uint64
	// fewSpeeds is like speeds, for endpoints with few samples.
	fewSpeeds  uint64
	speedsAt   clock.Millis
	speedsSent bool
}

const (
	// outsideInterval is the shortest time between two messages with the work at endpoints
	// outside the interest of a process. With many such endpoints, the time is
	// outsidePerEndpoint for each of them, so that the bytes for one process do not grow
	// with the number of endpoints.
	outsideInterval    = 400 * clock.Millis(1)
	outsidePerEndpoint = 2 * clock.Millis(1)
)

// trialsInterval is the shortest time between two messages with trials.
const trialsInterval = 250 * clock.Millis(1)

// Reset makes the next message a full one, after a message was lost. The next message
// also contains the crashes of the last seconds, which may be sent twice.
func (c *Cursor) Reset() { *c = Cursor{events: c.events} }

// ForAggregator returns the sums of the group for another aggregator, or nil if nothing
// has changed. A regular message contains all changes, another one only urgent changes.
func (t *Totals) ForAggregator(c *Cursor, regular bool, now clock.Millis) *wire.Sums {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advance(now)
	local := func(from Source) bool { return !from.OtherGroup }
	message := t.message(c, regular, now, nil, func(endpoint string, e *entry) wire.Work {
		work := e.group
		work.Endpoint = endpoint
		return work
	})
	t.addEvents(message, c, local, now)
	t.addLimits(message, c, local, now)
	if regular {
		t.addLoads(message, local, now)
		t.addTrials(message, c, local, now)
	}
	if regular || message.Whole {
		t.addSpeeds(message, c, nil, func(_ speedKey, e *speedEntry) speedSum { return e.group }, now)
	}
	return nilIfEmpty(message)
}

// ForProcess returns, for a process that reports here, the sums without its own work, or
// nil if nothing has changed. A regular message contains all changes, another one only
// urgent changes.
func (t *Totals) ForProcess(process string, c *Cursor, regular bool, now clock.Millis) *wire.Sums {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advance(now)
	own := t.ownWork(process)
	others := func(from Source) bool { return from != (Source{Process: process}) }
	var interest map[string]bool
	if state := t.sources[Source{Process: process}]; state != nil {
		if interest = state.interest; c.interestAt != state.interestAt {
			// Work at endpoints outside the previous interest may not have been sent yet.
			*c = Cursor{events: c.events, crashes: c.crashes, limits: c.limits, interestAt: state.interestAt}
		}
	}
	message := t.message(c, regular, now, interest, func(endpoint string, e *entry) wire.Work { return e.without(own, endpoint) })
	t.addEvents(message, c, others, now)
	t.addLimits(message, c, others, now)
	if regular {
		t.addLoads(message, others, now)
		t.addTrials(message, c, others, now)
	}
	if regular || message.Whole {
		t.addSpeeds(message, c, interest, t.speedsExcept(process, now), now)
	}
	return nilIfEmpty(message)
}

// nilIfEmpty returns nil for a message that contains nothing and need not be sent.
func nilIfEmpty(message *wire.Sums) *wire.Sums {
	events := len(message.Prefixes) + len(message.Refused) + len(message.Crashes) + len(message.Parts) + len(message.Limits)
	if !message.Regular && !message.Whole && len(message.Work) == 0 && events == 0 {
		return nil
	}
	return message
}

// message returns a message with the work that was not sent to a destination yet. With
// an interest, the work at other endpoints is only included from time to time. The
// caller must hold t.mu.
func (t *Totals) message(c *Cursor, regular bool, now clock.Millis, interest map[string]bool, work func(string, *entry) wire.Work) *wire.Sums {
	message := &wire.Sums{Whole: !c.started, Regular: regular, Urgent: !regular}
	regular = regular || !c.started
	pause := max(outsideInterval, outsidePerEndpoint*clock.Millis(len(t.entries)-len(interest)))
	outsideDue := regular && (!c.started || interest == nil || now-c.outsideAt >= pause)
	for endpoint, e := range t.entries {
		sentStep, due := c.changed, regular
		if interest != nil && !interest[endpoint] {
			if sentStep, due = c.outsideChanged, outsideDue; !due {
				continue
			}
		}
		sent := e.urgentAt <= max(c.urgentAt, sentStep)
		if due {
			sent = e.changed <= sentStep
		}
		if sent {
			continue
		}
		if w := work(endpoint, e); c.started || !w.IsZero() {
			message.Work = append(message.Work, w)
		}
	}
	if regular {
		c.changed = t.step
	}
	if outsideDue {
		c.outsideChanged, c.outsideAt = t.step, now
	}
	c.urgentAt, c.started = t.step, true
	return message
}

// addEvents adds the events that were not sent to a destination yet. The caller must
// hold t.mu.
func (t *Totals) addEvents(message *wire.Sums, c *Cursor, include func(Source) bool, now clock.Millis) {
	crashes, nextCrash := t.crashes.since(c.crashes)
	other, next := t.events.since(c.events)
	for _, e := range slices.Concat(crashes, other) {
		switch {
		case !include(e.from) || now-e.at > eventLifetime:
		case e.prefix != nil:
			message.Prefixes = append(message.Prefixes, *e.prefix)
		case e.crash != nil:
			message.Crashes = append(message.Crashes, *e.crash)
		case e.part != nil:
			message.Parts = append(message.Parts, *e.part)
		default:
			// The age and the wait were valid when the event was received.
			passed := now - e.at
			message.Refused = append(message.Refused, wire.Refused{Key: e.refused.Key, Age: e.refused.Age + passed, Wait: e.refused.Wait - passed})
		}
	}
	c.events, c.crashes = next, nextCrash
}

// addLoads adds the parts of regular messages. The caller must hold t.mu.
func (t *Totals) addLoads(message *wire.Sums, include func(Source) bool, now clock.Millis) {
	for _, pool := range t.pools(include) {
		load := pool.Load
		load.Age = now - pool.At
		message.Pools = append(message.Pools, load)
	}
	for _, load := range t.pendingArrivals(include) {
		message.PendingArrivals = append(message.PendingArrivals, wire.PendingArrivals{Pool: load.Pool, Pieces: load.Pieces})
	}
}

// addTrials adds the trials if the last ones were sent long enough ago. After the last
// trial has ended, one more message with no trials is sent. The caller must hold t.mu.
func (t *Totals) addTrials(message *wire.Sums, c *Cursor, include func(Source) bool, now clock.Millis) {
	if now-c.trialsAt < trialsInterval {
		return
	}
	trials := t.trials(include)
	if len(trials) == 0 && !c.trials {
		return
	}
	message.HasTrials, message.Trials = true, trials
	c.trialsAt, c.trials = now, len(trials) > 0
}

// PendingArrivalsOf converts the pending arrivals of a message.
func PendingArrivalsOf(loads []wire.PendingArrivals) []inflow.Load { return addInflow(nil, loads) }

func addInflow(sum []inflow.Load, more []wire.PendingArrivals) []inflow.Load {
	for _, load := range more {
		sum = inflow.Add(sum, inflow.Load{Pool: load.Pool, Pieces: load.Pieces})
	}
	return sum
}
