package origin

import "github.com/jujubescale/jujubescale/internal/base/clock"

const (
	// MaxBatch is the number of origins in one Batch, about 16 KB in the platform's store.
	MaxBatch = 128
	// maxBatches bounds the objects that one process writes.
	maxBatches = maxOrigins / MaxBatch
)

// Keyed is an origin with the key of its stream.
type Keyed struct {
	Key Key
	Origin
}

// Batch is what one object in the platform's store holds.
type Batch struct {
	// Number tells the objects of a process apart.
	Number  int
	Origins []Keyed
	// until is when the last of the origins expires, and revision grows with each change.
	until             clock.Millis
	revision, written int
}

// Batches divides origins among the objects of a process in the platform's store. An object gets
// origins until it is full, and is used again once all of them have expired, so that nothing has to
// be deleted while the process runs. It is not safe for concurrent use.
type Batches struct {
	all  []*Batch
	last *Batch
	// added holds the last origin of each stream. Those of open streams are sent again and again.
	added map[Key]Origin
}

// NewBatches returns Batches without an origin.
func NewBatches() *Batches { return &Batches{added: make(map[Key]Origin)} }

// Add adds an origin. It reports false if there is no room.
func (b *Batches) Add(key Key, o *Origin, now clock.Millis) bool {
	known, found := b.added[key]
	if o.Until <= now || found && known.Until >= o.Until && known.Agrees(o) {
		return true
	}
	if b.last == nil || len(b.last.Origins) >= MaxBatch {
		next := b.next(now)
		if next == nil {
			return false
		}
		b.last = next
	}
	b.last.Origins = append(b.last.Origins, Keyed{Key: key, Origin: *o})
	b.last.until = max(b.last.until, o.Until)
	b.last.revision++
	b.added[key] = *o
	return true
}

// next returns an empty Batch: one whose origins have all expired, or a new one. It returns nil if
// there are too many.
func (b *Batches) next(now clock.Millis) *Batch {
	for _, batch := range b.all {
		if batch.until > now {
			continue
		}
		for _, o := range batch.Origins {
			if b.added[o.Key].Until <= now {
				delete(b.added, o.Key)
			}
		}
		batch.Origins, batch.until = nil, 0
		return batch
	}
	if len(b.all) >= maxBatches {
		return nil
	}
	batch := &Batch{Number: len(b.all)}
	b.all = append(b.all, batch)
	return batch
}

// Unwritten returns a copy of a Batch that has changed since it was last written, and false if there
// is none. What has expired is left out.
func (b *Batches) Unwritten(now clock.Millis) (Batch, bool) {
	for _, batch := range b.all {
		if batch.revision == batch.written || batch.until <= now {
			continue
		}
		changed := *batch
		changed.Origins = nil
		for _, o := range batch.Origins {
			if o.Until > now {
				changed.Origins = append(changed.Origins, o)
			}
		}
		return changed, true
	}
	return Batch{}, false
}

// MarkWritten records that a Batch that Unwritten has returned stands in the store.
func (b *Batches) MarkWritten(batch *Batch) { b.all[batch.Number].written = batch.revision }
