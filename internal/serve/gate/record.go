package gate

import (
	"sync"

	"github.com/jujubescale/jujubescale/internal/flow/reach"
)

// byName holds one record for each name, created on first use. It is safe for concurrent
// use.
type byName[T any] struct{ records sync.Map }

// get returns the record of a name.
func (b *byName[T]) get(name string) *T {
	if record, found := b.records.Load(name); found {
		return record.(*T)
	}
	record, _ := b.records.LoadOrStore(name, new(T))
	return record.(*T)
}

// routeStats holds statistics of a route's requests in this process.
type routeStats struct {
	// correction is the error of past estimates, admitted the share of requests that were
	// admitted in time.
	correction reach.Correction
	admitted   reach.Admissions
}
