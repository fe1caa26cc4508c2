package gate

import (
	"sync"

	"github.com/jujubescale/jujubescale/internal/flow/reach"
)

// byName holds one record for each name, made when it is first asked for. It is
// safe for use by several goroutines.
type byName[T any] struct{ known sync.Map }

// of returns the record of a name.
func (b *byName[T]) of(name string) *T {
	if known, found := b.known.Load(name); found {
		return known.(*T)
	}
	known, _ := b.known.LoadOrStore(name, new(T))
	return known.(*T)
}

// routeRecord is what this process has seen of a route's requests.
type routeRecord struct {
	// correction is what estimates were off by, admitted which part was begun in time.
	correction reach.Correction
	admitted   reach.Admissions
}
