package blame

import (
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/crash"
)

// Unwritten is an entry to be written to the store. Revision is passed to MarkWritten.
type Unwritten struct {
	Stored
	Revision uint64
}

// Crashes returns the number of crashes that name the part.
func (s *Stored) Crashes() int {
	count := 0
	for _, state := range s.Versions {
		count += len(state.Engines)
	}
	return count
}

// LastCrash returns the time since the last crash, or since the answer if there is none.
func (s *Stored) LastCrash() clock.Millis {
	age, found := s.AnswerAge, false
	for _, state := range s.Versions {
		if !found || state.Age < age {
			age, found = state.Age, true
		}
	}
	return age
}

// Unwritten returns the entries that differ from those in the store.
func (t *Tracker) Unwritten(now clock.Millis) []Unwritten {
	t.mu.Lock()
	defer t.mu.Unlock()
	var unwritten []Unwritten
	for _, r := range t.records {
		inStore := r.stored || r.written > 0
		if r.revision == r.written || (!inStore && r.crashed() < storeEngines) || t.expired(r, now) {
			continue
		}
		unwritten = append(unwritten, Unwritten{Stored: r.entry(now), Revision: r.revision})
	}
	return unwritten
}

func (r *record) entry(now clock.Millis) Stored {
	entry := Stored{Part: r.part, Versions: make(map[string]State), AnsweredBy: r.answeredBy}
	if r.answeredBy != "" {
		entry.AnswerAge = now - r.answeredAt
	}
	for version, e := range r.versions {
		if len(e.engines) > 0 {
			entry.Versions[version] = *e.state(now)
		}
	}
	return entry
}

// MarkWritten records that a revision of a part was written.
func (t *Tracker) MarkWritten(key crash.Key, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[key]; r != nil {
		r.written = max(r.written, revision)
	}
}

func (t *Tracker) expired(r *record, now clock.Millis) bool {
	if r.crashed() == 0 {
		return now-r.answeredAt >= answerTime
	}
	return now-r.lastCrash() >= recordTime
}

// Expire deletes the records that are too old. It returns those whose entries the caller has to
// delete from the store; they remain until SetStored reports the entries as gone.
func (t *Tracker) Expire(now clock.Millis) []crash.Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.publish()
	for key, until := range t.trials {
		if until < now {
			delete(t.trials, key)
		}
	}
	var inStore []crash.Key
	for key, r := range t.records {
		switch {
		case !t.expired(r, now):
		case r.stored:
			inStore = append(inStore, key)
		default:
			delete(t.records, key)
		}
	}
	return inStore
}

// SetStored merges the complete list of entries in the store. It returns the parts that are held
// back from now on, and those whose entry was deleted, which lifts their quarantine.
func (t *Tracker) SetStored(entries []Stored, now clock.Millis) (began, lifted []Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.publish()
	present := make(map[crash.Key]bool, len(entries))
	for i := range entries {
		entry := &entries[i]
		present[entry.Part.Key] = true
		known := t.records[entry.Part.Key] != nil && t.records[entry.Part.Key].crashed() > 0
		r := t.record(entry.Part)
		upToDate := r.revision == r.written
		for version, state := range entry.Versions {
			t.merge(entry.Part, version, &state, now)
		}
		if entry.AnsweredBy != "" && r.answeredBy == "" {
			r.answeredBy, r.answeredAt = entry.AnsweredBy, now-max(entry.AnswerAge, 0)
		}
		if r.stored = true; upToDate {
			r.written = r.revision // what was merged comes from the store
		}
		if !known && r.crashed() > 0 {
			began = append(began, entry.Part)
		}
	}
	for key, r := range t.records {
		if r.stored && !present[key] {
			delete(t.records, key)
			delete(t.trials, key)
			lifted = append(lifted, r.part)
		}
	}
	return began, lifted
}
