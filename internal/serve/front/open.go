package front

import (
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/conf/manif"
)

// openRequests counts open requests, in total and per organisation, so that
// neither many callers nor one organisation can exhaust the entry's memory.
type openRequests struct {
	mu             sync.Mutex
	ids            map[string]string // request ID to name of the organisation
	byOrganisation map[string]int
}

// begin adds a request, or refuses it if a limit is reached.
func (o *openRequests) begin(id string, organisation *manif.Organisation, config *Config) *fault.RefusalError {
	limit := config.MaxOpenPerOrganisation
	if organisation.MaxOpen > 0 {
		limit = organisation.MaxOpen
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ids == nil {
		o.ids, o.byOrganisation = make(map[string]string), make(map[string]int)
	}
	if len(o.ids) >= config.MaxOpen {
		return fault.Refuse(fault.TooManyOpen, "this entry has reached its limit of open requests (maxOpen)")
	}
	if o.byOrganisation[organisation.Name] >= limit {
		return fault.Refuse(fault.TooManyOpen, "the organisation has reached its limit of open requests")
	}
	o.ids[id] = organisation.Name
	o.byOrganisation[organisation.Name]++
	return nil
}

func (o *openRequests) end(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	name := o.ids[id]
	delete(o.ids, id)
	if o.byOrganisation[name]--; o.byOrganisation[name] <= 0 {
		delete(o.byOrganisation, name)
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
