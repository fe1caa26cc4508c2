// Package table holds the routing configuration: the pool, the stages and the time
// limits of each request, and the keys of organisations. A Table is immutable: a
// request uses one Table from its start to its end, and a newer Table is published by
// the change of one atomic pointer.
package table

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// Kind tells whether requests of a route may be repeated and how they are answered.
type Kind string

// Kinds of routes.
const (
	// Safe requests are idempotent: they may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Stream requests are answered with a stream of events. They run at most once
	// unless the route is resumable.
	Stream Kind = "stream"
)

// Target is a pool to which a route sends requests.
type Target struct {
	Pool string
	// Weight is the pool's share of the route's requests, relative to the weights of
	// the other targets.
	Weight int
}

// Stage is a step that processes the input of a request. All stages have to end
// before the request itself can run.
type Stage struct {
	Pool string
	// After lists the indexes of the stages whose results this stage reads.
	After []int
	// ResultBytes is the typical size of one piece's result, in bytes.
	ResultBytes int64
}

// Route defines how requests with one host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the time between the arrival of a request and its deadline.
	Timeout clock.Millis
	// Objective is the latency objective. An answer that takes longer is worth less.
	Objective clock.Millis
	// MaxGap is the maximum time between two events of a stream that meets its
	// objective.
	MaxGap clock.Millis
	// Priority orders requests; 0 is the highest priority.
	Priority int
	// Attempts is the maximum number of endpoints to which a request is sent.
	Attempts int
	Targets  []Target
	Stages   []Stage
	// Public is set if requests need no key.
	Public bool
	// Generates is set if requests name a model and their tokens.
	Generates bool
	// Resumable is set if another endpoint can continue a stream after its last
	// event.
	Resumable bool
}

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

// Pool returns the target pool for the identifier of a request. The same identifier
// always gives the same pool. The targets' shares of the requests are proportional to
// their weights. Pool returns "" if no weight is positive.
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
	offset := int(xxhash.Sum64String(request) % uint64(total))
	for _, target := range r.Targets {
		if offset < target.Weight {
			return target.Pool
		}
		offset -= target.Weight
	}
	return ""
}

// Generation is the capacity of each engine of a pool of model engines.
type Generation struct {
	// Slots is the number of requests that run at the same time.
	Slots int
	// Tokens is the memory for running requests and cached prefixes, in tokens.
	Tokens int64
}

// Batching is the capacity and the speed of each engine of a pool of stage engines.
type Batching struct {
	// Calls is the number of calls that run at the same time.
	Calls int
	// Queue is the maximum number of calls in the engine's queue; it refuses others.
	Queue int
	// Pieces is the maximum number of pieces in one call.
	Pieces int
	// CallTime is the fixed part of a call's duration.
	CallTime clock.Millis
	// PieceTime is the time that each piece adds to a call, in milliseconds. It
	// differs between stages.
	PieceTime float64
	// ResultMemory is the memory for stored results, in bytes.
	ResultMemory int64
	// Retention is the time for which a result stays stored after its call.
	Retention clock.Millis
}

// Pool is a service and the capacity of each of its endpoints.
type Pool struct {
	Name string
	// HealthPath is the URL path of the health check of an endpoint.
	HealthPath string
	// MaxConns is the number of connections that one endpoint accepts from all
	// callers together.
	MaxConns int
	// ColdTime is the time for which an endpoint is cold after its start.
	ColdTime clock.Millis
	// ColdRate is the maximum number of requests per second at a cold endpoint; 0 means
	// that endpoints of this pool have no cold start.
	ColdRate float64
	// Generation is set for model engines, Batching for stage engines.
	Generation *Generation
	Batching   *Batching
}

// Organisation is a customer with its keys.
type Organisation struct {
	Name string
	// Priority replaces the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits are the size and time limits for what callers send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  clock.Millis
	IdleTimeout    clock.Millis
}

// Content is the input of New.
type Content struct {
	Version       uint64
	Routes        []Route
	Pools         []Pool
	Limits        Limits
	Organisations []Organisation
	// Holders maps each key to the index of the organisation that holds it.
	Holders map[string]int
	// Odd lists the parts of the configuration that could not be read. Incomplete is set if routes,
	// pools or organisations may be missing because of that.
	Odd        []error
	Incomplete bool
}

// Table is one version of the routing configuration.
type Table struct {
	// Version increases with each change.
	Version uint64
	Limits  Limits
	// Odd and Incomplete are those of Content.
	Odd        []error
	Incomplete bool

	byHost       map[string][]*Route
	pools        map[string]*Pool
	holders      map[string]*Organisation
	minGaps      map[string]clock.Millis
	requiresKeys bool
}

// New returns a table with the content, which the caller must not change afterwards.
func New(content Content) *Table {
	t := &Table{
		Version:      content.Version,
		Limits:       content.Limits,
		Odd:          content.Odd,
		Incomplete:   content.Incomplete,
		byHost:       make(map[string][]*Route),
		pools:        make(map[string]*Pool, len(content.Pools)),
		holders:      make(map[string]*Organisation, len(content.Holders)),
		minGaps:      make(map[string]clock.Millis),
		requiresKeys: len(content.Organisations) > 0,
	}
	t.addRoutes(content.Routes)
	for i := range content.Pools {
		t.pools[content.Pools[i].Name] = &content.Pools[i]
	}
	for key, index := range content.Holders {
		t.holders[key] = &content.Organisations[index]
	}
	return t
}

// addRoutes adds the routes of each host, the longest prefix first.
func (t *Table) addRoutes(routes []Route) {
	counts := make(map[string]int)
	for i := range routes {
		t.addGap(&routes[i])
		counts[strings.ToLower(routes[i].Host)]++
	}
	all := make([]*Route, 0, len(routes))
	for host, count := range counts {
		t.byHost[host] = all[len(all) : len(all) : len(all)+count]
		all = all[:len(all)+count]
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		t.byHost[host] = append(t.byHost[host], &routes[i])
	}
	byPrefix := func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) }
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, byPrefix)
	}
}

// addGap records the allowed gap of a route of streams for its pools.
func (t *Table) addGap(route *Route) {
	if route.Kind != Stream || route.MaxGap <= 0 {
		return
	}
	for _, target := range route.Targets {
		if known := t.minGaps[target.Pool]; known == 0 || route.MaxGap < known {
			t.minGaps[target.Pool] = route.MaxGap
		}
	}
}

// MinGap returns the smallest MaxGap of the routes that send streams to a pool, 0 if none has
// one.
func (t *Table) MinGap(pool string) clock.Millis { return t.minGaps[pool] }

// Match returns the route of the host with the longest prefix that matches the path,
// or nil. It ignores a port in the host.
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

// Batching returns the capacity of the stage engines of a pool. It returns nil if the
// pool is unknown or has no stage engines, or if t is nil because there is no
// configuration yet.
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

// Pool returns the pool with a name, or nil.
func (t *Table) Pool(name string) *Pool { return t.pools[name] }

// Route returns the route with a name, or nil.
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
func (t *Table) NeedsKey(route *Route) bool { return t.requiresKeys && !route.Public }

// Priority returns the priority of a request: that of its organisation if it has one,
// otherwise that of its route.
func Priority(route *Route, organisation *Organisation) int {
	if organisation != nil && organisation.HasPriority {
		return organisation.Priority
	}
	return route.Priority
}
