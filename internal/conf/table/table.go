// Package table holds the routes in force: which request goes to which pool,
// through which stages, for whom, and how long it may take. A Table is
// immutable, so that a request keeps the one it began with and a newer one is
// published by a single atomic pointer.
package table

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// Kind says what may be repeated of a route's requests.
type Kind string

// Kinds of routes.
const (
	// Safe requests are idempotent: they may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Stream requests are answered by a series of events; they run at most
	// once unless the route is resumable.
	Stream Kind = "stream"
)

// Target is one pool that a route sends to.
type Target struct {
	Pool string
	// Weight is the pool's share of the route's requests against the other
	// targets' weights.
	Weight int
}

// Stage is work on a request's input that has to be done before the request
// itself can run.
type Stage struct {
	Pool string
	// After lists the stages whose results this one reads.
	After []int
	// ResultBytes is the typical size of one piece's result, in bytes.
	ResultBytes int64
}

// Route says how requests of one host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request is kept waiting.
	Timeout clock.Millis
	// Objective is the time within which an answer is worth most.
	Objective clock.Millis
	// MaxGap is the longest pause between two events of a stream that is on time.
	MaxGap clock.Millis
	// Priority ranks routes; 0 goes first.
	Priority int
	// Attempts is the largest number of endpoints that a request is sent to.
	Attempts int
	Targets  []Target
	Stages   []Stage
	// Public routes need no key.
	Public bool
	// Generates says that requests name a model and their tokens.
	Generates bool
	// Resumable streams may go on at another endpoint behind the last event.
	Resumable bool
}

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

// Pool chooses the target pool of a request by its identifier: the same
// request always goes to the same pool, and the shares follow the weights.
func (r *Route) Pool(request string) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Pool
	}
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	if total <= 0 {
		return ""
	}
	point := int(xxhash.Sum64String(request) % uint64(total))
	for _, target := range r.Targets {
		if point < target.Weight {
			return target.Pool
		}
		point -= target.Weight
	}
	return ""
}

// Generation is what a pool of model engines bears, for each engine.
type Generation struct {
	// Slots is the number of requests that run at once.
	Slots int
	// Tokens is the memory for running requests and cached prefixes, in tokens.
	Tokens int64
}

// Batching is what a pool of stage engines bears, for each engine.
type Batching struct {
	// Calls is the number of calls that are worked on at once.
	Calls int
	// Queue is the number of calls that an engine lets wait; it refuses others.
	Queue int
	// Pieces is the largest number of pieces in one call.
	Pieces int
	// CallTime is the fixed part of a call's duration.
	CallTime clock.Millis
	// PieceTime is what one piece adds to it, in milliseconds; it differs by stage.
	PieceTime float64
	// ResultMemory is the memory for results, in bytes.
	ResultMemory int64
	// Retention is how long a result outlives its call.
	Retention clock.Millis
}

// Pool is one service and what each of its endpoints bears.
type Pool struct {
	Name string
	// HealthPath answers whether an endpoint considers itself healthy.
	HealthPath string
	// MaxConns is the number of connections that one endpoint accepts from all
	// callers together.
	MaxConns int
	// ColdTime is how long an endpoint stays cold after its start.
	ColdTime clock.Millis
	// ColdRate is the number of requests a second that a cold endpoint bears;
	// 0 means that endpoints of this pool don't start cold.
	ColdRate float64
	// Generation is set for model engines, Batching for stage engines.
	Generation *Generation
	Batching   *Batching
}

// Organisation is a customer who holds keys.
type Organisation struct {
	Name string
	// Priority takes precedence over the route's when HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send, and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  clock.Millis
	IdleTimeout    clock.Millis
}

// Content is what a Table is built from.
type Content struct {
	Version       uint64
	Routes        []Route
	Pools         []Pool
	Limits        Limits
	Organisations []Organisation
	// Holders gives for each key the index of the organisation that holds it.
	Holders map[string]int
}

// Table is one version of the routes.
type Table struct {
	// Version grows with each change.
	Version uint64
	Limits  Limits

	byHost  map[string][]*Route
	pools   map[string]*Pool
	holders map[string]*Organisation
	keyed   bool
}

// New builds a table; it takes over the content.
func New(content Content) *Table {
	t := &Table{
		Version: content.Version,
		Limits:  content.Limits,
		byHost:  make(map[string][]*Route),
		pools:   make(map[string]*Pool, len(content.Pools)),
		holders: make(map[string]*Organisation, len(content.Holders)),
		keyed:   len(content.Organisations) > 0,
	}
	for i := range content.Routes {
		route := &content.Routes[i]
		host := strings.ToLower(route.Host)
		t.byHost[host] = append(t.byHost[host], route)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range content.Pools {
		t.pools[content.Pools[i].Name] = &content.Pools[i]
	}
	for key, index := range content.Holders {
		t.holders[key] = &content.Organisations[index]
	}
	return t
}

// Match returns the route of the host with the longest prefix that begins the
// path, or nil. A port in the host is ignored.
func (t *Table) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, route := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Batching returns what the stage engines of a pool bear; nil when the pool is
// unknown, makes no pieces, or there is no configuration yet.
func (t *Table) Batching(name string) *Batching {
	if t == nil {
		return nil
	}
	pool := t.Pool(name)
	if pool == nil {
		return nil
	}
	return pool.Batching
}

// Pool returns a pool by name, or nil.
func (t *Table) Pool(name string) *Pool { return t.pools[name] }

// Route returns a route by its name, nil for none.
func (t *Table) Route(name string) *Route {
	for _, routes := range t.byHost {
		for _, route := range routes {
			if route.Name == name {
				return route
			}
		}
	}
	return nil
}

// Pools returns all pools in no particular order.
func (t *Table) Pools() []*Pool {
	all := make([]*Pool, 0, len(t.pools))
	for _, pool := range t.pools {
		all = append(all, pool)
	}
	return all
}

// Holder returns the organisation that holds a key, or nil.
func (t *Table) Holder(key string) *Organisation { return t.holders[key] }

// NeedsKey reports whether requests of the route must carry a key.
func (t *Table) NeedsKey(route *Route) bool { return t.keyed && !route.Public }

// Priority returns the rank of a request: its organisation's where that has
// one, else its route's.
func Priority(route *Route, organisation *Organisation) int {
	if organisation != nil && organisation.HasPriority {
		return organisation.Priority
	}
	return route.Priority
}
