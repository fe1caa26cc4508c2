package blame

import (
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// The pause until a trial is firstPause after one episode, secondPause after two, and
	// thirdPause, doubled with each further one up to longestPause.
	firstPause   = 300 * clock.Millis(1)
	secondPause  = 1500 * clock.Millis(1)
	thirdPause   = 30 * clock.Second
	longestPause = 15 * clock.Minute
	// trialTime is how long a trial may take before another one is allowed.
	trialTime = 2 * clock.Second
)

// Verdict is the decision on a prompt.
type Verdict struct {
	// Held are the parts that are held back, none if the request may be sent.
	Held []Part
	// Wait is the time until a trial may begin. It is 0 or less if it may now.
	Wait clock.Millis
}

// Check decides whether a request with these parts may be sent to engines of a version.
func (t *Tracker) Check(parts []Part, version string, now clock.Millis) Verdict {
	if t.Empty() {
		return Verdict{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var v Verdict
	for _, part := range parts {
		if r := t.records[part.Key]; r != nil && t.holds(r, version) && !slices.Contains(v.Held, part) {
			v.Held = append(v.Held, part)
		}
	}
	for i, part := range v.Held {
		wait := t.due(t.records[part.Key], version, len(v.Held) == 1) - now
		if i == 0 || wait > v.Wait {
			v.Wait = wait
		}
	}
	return v
}

// due returns when a trial of a part may begin. If no other part of the request is held back,
// episodes in which other parts were suspected as well count once together. The caller holds the
// lock.
func (t *Tracker) due(r *record, version string, single bool) clock.Millis {
	own, level, elsewhere := r.versions[version], 1, 0
	if own != nil {
		level = own.episodes
		if single {
			level = min(level, own.alone+1)
		}
	}
	if own == nil || r.crashed() > len(own.engines) {
		elsewhere = 1
	}
	return max(r.lastCrash()+pauseAfter(max(level+elsewhere, 1)), t.trials[r.part.Key])
}

// pauseAfter returns the pause until the next trial after a number of episodes.
func pauseAfter(episodes int) clock.Millis {
	switch episodes {
	case 1:
		return firstPause
	case 2:
		return secondPause
	}
	pause := thirdPause
	for range episodes - 3 {
		if pause = 2 * pause; pause >= longestPause {
			return longestPause
		}
	}
	return pause
}

// TakeTrial grants the trial of parts to one request if it is due here, too. Otherwise it returns
// the time until then. The process that owns the first of them decides, so that a single request
// in the fleet gets it.
func (t *Tracker) TakeTrial(parts []Part, version string, now clock.Millis) (granted bool, wait clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		due := t.trials[part.Key]
		if r := t.records[part.Key]; r != nil && t.holds(r, version) {
			due = t.due(r, version, len(parts) == 1)
		}
		wait = max(wait, due-now)
	}
	if wait > 0 {
		return false, wait
	}
	t.postpone(parts, now+trialTime)
	return true, 0
}

// Postpone lets no trial of these parts begin before an instant, because another process has
// denied one until then.
func (t *Tracker) Postpone(parts []Part, until clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.postpone(parts, until)
}

func (t *Tracker) postpone(parts []Part, until clock.Millis) {
	for _, part := range parts {
		t.trials[part.Key] = max(t.trials[part.Key], until)
	}
}
