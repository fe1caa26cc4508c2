package front

import (
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/conf/manif"
)

// openRequests counts the requests that are not finished, in all and by
// organisation, so that neither a crowd nor one organisation can exhaust the
// entry's memory.
type openRequests struct {
	mu     sync.Mutex
	ids    map[string]string // request to organisation
	byName map[string]int
}

// begin counts a request, or refuses it.
func (o *openRequests) begin(id string, organisation *manif.Organisation, config *Config) *fault.RefusalError {
	each := config.MaxOpenPerOrganisation
	if organisation.MaxOpen > 0 {
		each = organisation.MaxOpen
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ids == nil {
		o.ids, o.byName = make(map[string]string), make(map[string]int)
	}
	if len(o.ids) >= config.MaxOpen {
		return fault.Refuse(fault.TooManyOpen, "this entry has as many open requests as it bears")
	}
	if o.byName[organisation.Name] >= each {
		return fault.Refuse(fault.TooManyOpen, "the organisation has as many open requests as it may have")
	}
	o.ids[id] = organisation.Name
	o.byName[organisation.Name]++
	return nil
}

func (o *openRequests) end(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	name := o.ids[id]
	delete(o.ids, id)
	if o.byName[name]--; o.byName[name] <= 0 {
		delete(o.byName, name)
	}
}

func (o *openRequests) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.ids)
}

func (o *openRequests) list() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	ids := make([]string, 0, len(o.ids))
	for id := range o.ids {
		ids = append(ids, id)
	}
	return ids
}
