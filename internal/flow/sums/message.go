package sums

import (
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/inflow"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// Cursor is how far the messages to one destination have come. With the zero value
// the next message holds everything.
type Cursor struct {
	changed  uint64
	urgentAt uint64
	events   uint64
	crashes  uint64
	begun    bool
	// far is changed for the endpoints that the destination does not use normally,
	// farAt when they were last sent.
	far   uint64
	farAt clock.Millis
	// interestAt is the step at which the destination's interest changed last.
	interestAt uint64
	// trialsAt is when trials were sent last, trials whether there were any.
	trialsAt clock.Millis
	trials   bool
}

const (
	// farEvery is the pause between two messages with the work at endpoints that a
	// process does not use normally, farEach what each of them adds to it: the bytes
	// for one process don't grow with all endpoints.
	farEvery = 400 * clock.Millis(1)
	farEach  = 2 * clock.Millis(1)
)

// trialsEvery is the shortest pause between two messages with trials.
const trialsEvery = 250 * clock.Millis(1)

// Reset has the next message hold everything, because one was lost: also the crashes
// of the last seconds, which may be told twice.
func (c *Cursor) Reset() { *c = Cursor{events: c.events} }

// ForAggregator returns the sums of the group for another aggregator; nil when
// nothing has changed. Regular messages hold everything that changed,
// others only what is urgent.
func (b *Totals) ForAggregator(c *Cursor, regular bool, now clock.Millis) *wire.Sums {
	b.mu.Lock()
	defer b.mu.Unlock()
	local := func(from Source) bool { return !from.OtherGroup }
	message := b.message(c, regular, now, nil, func(endpoint string, e *entry) wire.Work {
		work := e.group
		work.Endpoint = endpoint
		return work
	})
	b.addEvents(message, c, local, now)
	if regular {
		b.addLoads(message, local, now)
		b.addTrials(message, c, local, now)
	}
	return ifAny(message)
}

// ForProcess returns the sums of everything but the own work of a process that
// reports here; nil when nothing has changed.
func (b *Totals) ForProcess(process string, c *Cursor, regular bool, now clock.Millis) *wire.Sums {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.ownOf(process)
	others := func(from Source) bool { return from != (Source{Process: process}) }
	var interest map[string]bool
	if known := b.sources[Source{Process: process}]; known != nil {
		if interest = known.interest; c.interestAt != known.interestAt {
			// Work at endpoints outside the old interest may not have been sent yet.
			*c = Cursor{events: c.events, crashes: c.crashes, interestAt: known.interestAt}
		}
	}
	message := b.message(c, regular, now, interest, func(endpoint string, e *entry) wire.Work { return e.without(own, endpoint) })
	b.addEvents(message, c, others, now)
	if regular {
		b.addLoads(message, others, now)
		b.addTrials(message, c, others, now)
	}
	return ifAny(message)
}

func ifAny(message *wire.Sums) *wire.Sums {
	events := len(message.Prefixes) + len(message.Refused) + len(message.Crashes)
	if !message.Regular && !message.Whole && len(message.Work) == 0 && events == 0 {
		return nil
	}
	return message
}

// message holds the work that was not sent to a destination yet: at the endpoints
// in its interest, or of all where it has none, and from time to time of the others.
// The caller holds the lock.
func (b *Totals) message(c *Cursor, regular bool, now clock.Millis, interest map[string]bool, work func(string, *entry) wire.Work) *wire.Sums {
	message := &wire.Sums{Whole: !c.begun, Regular: regular, Urgent: !regular}
	regular = regular || !c.begun
	pause := max(farEvery, farEach*clock.Millis(len(b.entries)-len(interest)))
	farDue := regular && (!c.begun || interest == nil || now-c.farAt >= pause)
	for endpoint, e := range b.entries {
		known, due := c.changed, regular
		if interest != nil && !interest[endpoint] {
			if known, due = c.far, farDue; !due {
				continue
			}
		}
		told := e.urgentAt <= max(c.urgentAt, known)
		if due {
			told = e.changed <= known
		}
		if told {
			continue
		}
		if w := work(endpoint, e); c.begun || !w.None() {
			message.Work = append(message.Work, w)
		}
	}
	if regular {
		c.changed = b.step
	}
	if farDue {
		c.far, c.farAt = b.step, now
	}
	c.urgentAt, c.begun = b.step, true
	return message
}

// addEvents adds the events that were not sent to a destination yet. The caller
// holds the lock.
func (b *Totals) addEvents(message *wire.Sums, c *Cursor, take func(Source) bool, now clock.Millis) {
	crashes, nextCrash := b.crashes.since(c.crashes)
	others, next := b.events.since(c.events)
	for _, e := range slices.Concat(crashes, others) {
		switch {
		case !take(e.from) || now-e.at > keepEvents:
		case e.prefix != nil:
			message.Prefixes = append(message.Prefixes, *e.prefix)
		case e.crash != nil:
			message.Crashes = append(message.Crashes, *e.crash)
		default:
			// Its spans are as of when it was received.
			passed := now - e.at
			message.Refused = append(message.Refused, wire.Refused{Key: e.refused.Key, Age: e.refused.Age + passed, Wait: e.refused.Wait - passed})
		}
	}
	c.events, c.crashes = next, nextCrash
}

// addLoads adds what only regular messages hold. The caller holds the lock.
func (b *Totals) addLoads(message *wire.Sums, take func(Source) bool, now clock.Millis) {
	for _, pool := range b.pools(take) {
		load := pool.Load
		load.Age = now - pool.At
		message.Pools = append(message.Pools, load)
	}
	for _, load := range b.inflow(take) {
		message.Inflow = append(message.Inflow, wire.Inflow{Pool: load.Pool, Pieces: load.Pieces})
	}
}

// addTrials adds trials if there are any and it is time, and once more when there
// are none any more. The caller holds the lock.
func (b *Totals) addTrials(message *wire.Sums, c *Cursor, take func(Source) bool, now clock.Millis) {
	if now-c.trialsAt < trialsEvery {
		return
	}
	trials := b.trials(take)
	if len(trials) == 0 && !c.trials {
		return
	}
	message.HasTrials, message.Trials = true, trials
	c.trialsAt, c.trials = now, len(trials) > 0
}

// PendingArrivalsOf converts what will come from a message.
func PendingArrivalsOf(loads []wire.Inflow) []inflow.Load { return addInflow(nil, loads) }

func addInflow(sum []inflow.Load, more []wire.Inflow) []inflow.Load {
	for _, load := range more {
		sum = inflow.Add(sum, inflow.Load{Pool: load.Pool, Pieces: load.Pieces})
	}
	return sum
}
