package sums

import (
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/route/speed"
)

const (
	// speedsInterval is the shortest time between two messages with the speeds of endpoints
	// with speed.FewSamples or more.
	speedsInterval = 2 * clock.Second
	// maxSpeeds bounds the number of incarnations whose speeds are stored.
	maxSpeeds = 32768
	// minSpeedCount is the number of samples below which a sum is discarded.
	minSpeedCount = 0.01
)

// speedKey identifies one incarnation of an endpoint.
type speedKey struct {
	endpoint  string
	startedAt int64
}

// speedSum is a decaying sum of pace samples as of an instant.
type speedSum struct {
	count, totalMs float64
	at             clock.Millis
}

// plus adds an amount, which may be negative, to the sum as of now.
func (s speedSum) plus(count, totalMs float64, now clock.Millis) speedSum {
	factor := speed.Decay(now - s.at)
	return speedSum{count: s.count*factor + count, totalMs: s.totalMs*factor + totalMs, at: now}
}

func (s speedSum) minus(less speedSum, now clock.Millis) speedSum {
	factor := speed.Decay(now - less.at)
	return s.plus(-less.count*factor, -less.totalMs*factor, now)
}

// speedEntry holds the sums of one incarnation: those of the group, and those of all sources.
type speedEntry struct {
	group, all speedSum
	// changed is the step of the last change.
	changed uint64
}

// recordSpeeds replaces the sums of a source for the incarnations in a message. Implausible
// ones are dropped. The caller must hold t.mu.
func (t *Totals) recordSpeeds(from Source, state *sourceState, speeds []wire.Speed, now clock.Millis) {
	for _, s := range speeds {
		key := speedKey{endpoint: s.Endpoint, startedAt: s.StartedAt}
		if !s.Plausible() {
			t.implausible++
			continue
		}
		if t.speeds[key] == nil && len(t.speeds) >= maxSpeeds {
			continue
		}
		if state.speeds == nil {
			state.speeds = make(map[speedKey]speedSum)
		}
		t.replaceSpeed(from, key, state.speeds[key], speedSum{count: s.Count, totalMs: s.TotalMs, at: now}, now)
		state.speeds[key] = speedSum{count: s.Count, totalMs: s.TotalMs, at: now}
	}
}

// replaceSpeed replaces a source's sum in the totals. The caller must hold t.mu.
func (t *Totals) replaceSpeed(from Source, key speedKey, before, after speedSum, now clock.Millis) {
	e := t.speeds[key]
	if e == nil {
		e = &speedEntry{}
		t.speeds[key] = e
	}
	e.all = e.all.minus(before, now).plus(after.count, after.totalMs, now)
	if !from.OtherGroup {
		e.group = e.group.minus(before, now).plus(after.count, after.totalMs, now)
	}
	e.changed, t.speedsStep = t.step, t.step
}

// removeSpeeds removes the sums of a source. If it reports again, it sends those that change.
// The caller must hold t.mu.
func (t *Totals) removeSpeeds(from Source, state *sourceState, now clock.Millis) {
	for key, sum := range state.speeds {
		t.replaceSpeed(from, key, sum, speedSum{at: now}, now)
	}
	state.speeds = nil
}

// expireSpeeds discards sums that have decayed. The caller must hold t.mu.
func (t *Totals) expireSpeeds(now clock.Millis) {
	for key, e := range t.speeds {
		if e.all.plus(0, 0, now).count >= minSpeedCount {
			continue
		}
		delete(t.speeds, key)
		for _, state := range t.sources {
			delete(state.speeds, key)
		}
	}
}

// addSpeeds adds the sums that changed since the last message with speeds, if that was sent
// long enough ago. The caller must hold t.mu.
func (t *Totals) addSpeeds(message *wire.Sums, c *Cursor, interest map[string]bool, sum func(speedKey, *speedEntry) speedSum, now clock.Millis) {
	due := !c.speedsSent || now-c.speedsAt >= speedsInterval
	sent := c.speeds
	if !due {
		sent = max(c.speeds, c.fewSpeeds)
	}
	if c.speedsSent && t.speedsStep <= sent {
		return
	}
	for key, e := range t.speeds {
		waits := !due && e.all.count >= speed.FewSamples
		if (c.speedsSent && (waits || e.changed <= sent)) || (interest != nil && !interest[key.endpoint]) {
			continue
		}
		current := sum(key, e).plus(0, 0, now)
		s := wire.Speed{Endpoint: key.endpoint, StartedAt: key.startedAt, Count: current.count, TotalMs: current.totalMs}
		if current.count >= minSpeedCount && s.Plausible() {
			message.Speeds = append(message.Speeds, s)
		}
	}
	c.fewSpeeds, c.speedsSent = t.step, true
	if due {
		c.speeds, c.speedsAt = t.step, now
	}
}

// speedsExcept returns a function that gives the sums of all sources except one process. The
// caller must hold t.mu.
func (t *Totals) speedsExcept(process string, now clock.Millis) func(speedKey, *speedEntry) speedSum {
	var own map[speedKey]speedSum
	if state := t.sources[Source{Process: process}]; state != nil {
		own = state.speeds
	}
	return func(key speedKey, e *speedEntry) speedSum { return e.all.minus(own[key], now) }
}

// TakeImplausible returns the number of sums dropped since the last call.
func (t *Totals) TakeImplausible() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	dropped := t.implausible
	t.implausible = 0
	return dropped
}

// Speeds returns the sums of all sources except one process that changed since the call before
// with the cursor, nil if that was less than speedsInterval ago.
func (t *Totals) Speeds(except string, c *Cursor, now clock.Millis) []wire.Speed {
	t.mu.Lock()
	defer t.mu.Unlock()
	var message wire.Sums
	t.addSpeeds(&message, c, nil, t.speedsExcept(except, now), now)
	return message.Speeds
}
