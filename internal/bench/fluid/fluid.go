// Package fluid computes an upper bound on the requests that the engines of a deployment
// can serve, by route and time interval. It assumes divisible requests, full batches and
// decisions without delay, so no scheduler can exceed the bound.
package fluid

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Model describes a deployment and its load over time.
type Model struct {
	Name  string `json:"name"`
	Pools []Pool `json:"pools"`
	// Routes are the kinds of requests.
	Routes []Route `json:"routes"`
	// Seconds is the duration of the load.
	Seconds float64 `json:"seconds"`
	Events  []Event `json:"events"`
}

// Pool is a group of engines that do the same work.
type Pool struct {
	Name    string  `json:"name"`
	Engines float64 `json:"engines"`
	// Slots is the number of calls or requests that an engine processes concurrently.
	Slots float64 `json:"slots"`
}

// Route is one kind of request.
type Route struct {
	Name      string  `json:"name"`
	PerSecond float64 `json:"perSecond"`
	// Worth is the value of a request that is answered within its objective.
	Worth       float64 `json:"worth"`
	ObjectiveMs float64 `json:"objectiveMs"`
	Uses        []Use   `json:"uses"`
}

// Use is the time that a request takes in a pool: its share of full batches, in
// milliseconds of one slot.
type Use struct {
	Pool   string  `json:"pool"`
	SlotMs float64 `json:"slotMs"`
}

// Event changes the load of a route, or the engines of a pool, for a while.
type Event struct {
	FromS float64 `json:"fromS"`
	ToS   float64 `json:"toS"`
	// Either Route or Pool is set. The event multiplies the rate of Route ("*" for all
	// routes) or the number of engines of Pool by Times.
	Route string  `json:"route,omitempty"`
	Pool  string  `json:"pool,omitempty"`
	Times float64 `json:"times"`
}

// ModelError describes an invalid field of a model.
type ModelError struct {
	Field string
	Cause string
}

// Error implements error.
func (e *ModelError) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Cause) }

// maxSeconds is the longest duration of a load.
const maxSeconds = 86_400

// Read reads a model as JSON and checks it. It returns a ModelError if the model is
// invalid or has unknown fields.
func Read(from io.Reader) (*Model, error) {
	decoder := json.NewDecoder(from)
	decoder.DisallowUnknownFields()
	var m Model
	if err := decoder.Decode(&m); err != nil {
		return nil, &ModelError{Field: "model", Cause: err.Error()}
	}
	return &m, m.check()
}

func (m *Model) check() error {
	if !(m.Seconds > 0) || m.Seconds > maxSeconds {
		return &ModelError{Field: "seconds", Cause: fmt.Sprintf("%v is not above 0 and at most %d", m.Seconds, maxSeconds)}
	}
	if len(m.Pools) == 0 || len(m.Routes) == 0 {
		return &ModelError{Field: "model", Cause: "no pools or no routes"}
	}
	for i, pool := range m.Pools {
		field := fmt.Sprintf("pools[%d]", i)
		switch {
		case pool.Name == "" || m.poolIndex(pool.Name) != i:
			return &ModelError{Field: field, Cause: fmt.Sprintf("name %q is empty or not unique", pool.Name)}
		case !(pool.Engines > 0) || !(pool.Slots > 0):
			return &ModelError{Field: field, Cause: fmt.Sprintf("%v engines with %v slots; both must be above 0", pool.Engines, pool.Slots)}
		}
	}
	for i := range m.Routes {
		if err := m.checkRoute(fmt.Sprintf("routes[%d]", i), &m.Routes[i]); err != nil {
			return err
		}
	}
	for i, event := range m.Events {
		if err := m.checkEvent(fmt.Sprintf("events[%d]", i), event); err != nil {
			return err
		}
	}
	return nil
}

func (m *Model) checkRoute(field string, route *Route) error {
	if route.Name == "" || !(route.PerSecond >= 0) || !(route.Worth > 0) || !(route.ObjectiveMs > 0) {
		return &ModelError{Field: field, Cause: "a name, a rate of 0 or more, a worth and an objective above 0 are needed"}
	}
	for _, use := range route.Uses {
		if m.poolIndex(use.Pool) < 0 || !(use.SlotMs >= 0) {
			return &ModelError{Field: field, Cause: fmt.Sprintf("use of pool %q for %v ms", use.Pool, use.SlotMs)}
		}
	}
	return nil
}

func (m *Model) checkEvent(field string, event Event) error {
	known := event.Route == allRoutes || slices.ContainsFunc(m.Routes, func(r Route) bool { return r.Name == event.Route })
	switch {
	case (event.Route == "") == (event.Pool == ""):
		return &ModelError{Field: field, Cause: "either a route or a pool is needed"}
	case event.Route != "" && !known, event.Pool != "" && m.poolIndex(event.Pool) < 0:
		return &ModelError{Field: field, Cause: fmt.Sprintf("no route %q or pool %q", event.Route, event.Pool)}
	case !(event.FromS >= 0) || !(event.ToS > event.FromS) || !(event.Times >= 0):
		return &ModelError{Field: field, Cause: fmt.Sprintf("%v to %v s, times %v", event.FromS, event.ToS, event.Times)}
	}
	return nil
}

// allRoutes is the route of an event that affects all routes.
const allRoutes = "*"

func (m *Model) poolIndex(name string) int {
	return slices.IndexFunc(m.Pools, func(p Pool) bool { return p.Name == name })
}

// Interval is the bound for one time interval of the load.
type Interval struct {
	FromS float64 `json:"fromSeconds"`
	toS   float64
	// Offered is the number of requests that arrive, and Served the maximum number that can
	// be served, both by route.
	Offered []float64 `json:"asked"`
	Served  []float64 `json:"served"`
	// Worth is the value of the served requests divided by that of all requests.
	Worth float64 `json:"worth"`
	// Bottlenecks lists the pools that are fully used.
	Bottlenecks []string `json:"binding"`
}

// Bound is the bound for a load.
type Bound struct {
	Name      string     `json:"name"`
	Routes    []string   `json:"routes"`
	Intervals []Interval `json:"spans"`
	// Worth is the value of the served requests divided by that of all requests. ByRoute is
	// the share of requests served, for each route.
	Worth   float64   `json:"worth"`
	ByRoute []float64 `json:"byRoute"`
}

// NewBound returns the bound for a model, in intervals of intervalS seconds. For every window
// of consecutive intervals, the requests served from it must fit into the engine time from
// its start until its last requests miss their objective. Requests from outside the window may
// use the same time, so the bound is never too low.
func NewBound(m *Model, intervalS float64) *Bound {
	b := &Bound{Name: m.Name}
	for _, route := range m.Routes {
		b.Routes = append(b.Routes, route.Name)
	}
	for from := 0.0; from < m.Seconds; from += intervalS {
		b.Intervals = append(b.Intervals, m.newInterval(from, min(from+intervalS, m.Seconds)))
	}
	lp := program{}
	for i := range b.Intervals {
		for r, route := range m.Routes {
			lp.maxAmounts = append(lp.maxAmounts, b.Intervals[i].Offered[r])
			lp.values = append(lp.values, route.Worth)
		}
	}
	windows := m.addCapacityLimits(&lp, b.Intervals)
	m.distribute(b, lp.solve())
	m.markBottlenecks(b, &lp, windows)
	return b
}

// window is a pool over consecutive intervals, from the first to the last.
type window struct{ pool, first, last int }

// addCapacityLimits adds the capacity of each pool in each window of intervals to the linear
// program and returns the windows. It omits windows whose capacity suffices for all
// requests.
func (m *Model) addCapacityLimits(p *program, intervals []Interval) []window {
	maxObjectiveS := 0.0
	for _, route := range m.Routes {
		maxObjectiveS = max(maxObjectiveS, route.ObjectiveMs/1000)
	}
	var windows []window
	for i, pool := range m.Pools {
		for first := range intervals {
			needed := 0.0
			uses := make([]float64, len(p.maxAmounts))
			for last := first; last < len(intervals); last++ {
				needed += m.addUse(i, intervals[last].Offered, uses[last*len(m.Routes):])
				capacity := 1000 * pool.Slots * m.integrate(intervals[first].FromS, intervals[last].toS+maxObjectiveS, pool.Engines,
					func(e Event) bool { return e.Pool == pool.Name })
				if needed <= capacity {
					continue
				}
				p.uses = append(p.uses, slices.Clone(uses))
				p.capacities = append(p.capacities, capacity)
				windows = append(windows, window{pool: i, first: first, last: last})
			}
		}
	}
	return windows
}

// addUse returns the time in a pool, in slot milliseconds, that the given numbers of
// requests take. It adds the time of one request of each route to uses.
func (m *Model) addUse(pool int, counts, uses []float64) float64 {
	sum := 0.0
	for r, route := range m.Routes {
		for _, use := range route.Uses {
			if m.poolIndex(use.Pool) == pool {
				uses[r] += use.SlotMs
			}
		}
		sum += uses[r] * counts[r]
	}
	return sum
}

// newInterval returns an interval with the numbers of requests that arrive in it.
func (m *Model) newInterval(from, to float64) Interval {
	interval := Interval{FromS: from, toS: to}
	for _, route := range m.Routes {
		interval.Offered = append(interval.Offered, m.integrate(from, to, route.PerSecond, func(e Event) bool {
			return e.Route == route.Name || e.Route == allRoutes
		}))
	}
	return interval
}

// distribute writes a solution into the intervals of a bound and computes the totals.
func (m *Model) distribute(b *Bound, amounts []float64) {
	offered, served := make([]float64, len(m.Routes)), make([]float64, len(m.Routes))
	for i := range b.Intervals {
		interval := &b.Intervals[i]
		interval.Served = amounts[i*len(m.Routes) : (i+1)*len(m.Routes)]
		interval.Worth = ratio(m.worth(interval.Served), m.worth(interval.Offered))
		for r := range m.Routes {
			offered[r] += interval.Offered[r]
			served[r] += interval.Served[r]
		}
	}
	b.Worth = ratio(m.worth(served), m.worth(offered))
	for r := range m.Routes {
		b.ByRoute = append(b.ByRoute, ratio(served[r], offered[r]))
	}
}

func (m *Model) worth(counts []float64) float64 {
	sum := 0.0
	for r, route := range m.Routes {
		sum += route.Worth * counts[r]
	}
	return sum
}

func ratio(some, all float64) float64 {
	if all == 0 {
		return 1
	}
	return some / all
}

// markBottlenecks adds to each interval the pools that are fully used over a window that
// contains the interval.
func (m *Model) markBottlenecks(b *Bound, p *program, windows []window) {
	const fullShare = 0.999
	for k, row := range windows {
		used := 0.0
		for i := row.first; i <= row.last; i++ {
			for r := range m.Routes {
				used += p.uses[k][i*len(m.Routes)+r] * b.Intervals[i].Served[r]
			}
		}
		if used < fullShare*p.capacities[k] {
			continue
		}
		name := m.Pools[row.pool].Name
		for i := row.first; i <= row.last; i++ {
			if !slices.Contains(b.Intervals[i].Bottlenecks, name) {
				b.Intervals[i].Bottlenecks = append(b.Intervals[i].Bottlenecks, name)
			}
		}
	}
}

// integrate returns the integral of a rate from one time to another. Events for which
// applies returns true change the rate.
func (m *Model) integrate(from, to, rate float64, applies func(Event) bool) float64 {
	edges := []float64{from, to}
	for _, event := range m.Events {
		for _, at := range []float64{event.FromS, event.ToS} {
			if at > from && at < to {
				edges = append(edges, at)
			}
		}
	}
	slices.Sort(edges)
	sum := 0.0
	for i := 1; i < len(edges); i++ {
		middle, times := (edges[i-1]+edges[i])/2, 1.0
		for _, event := range m.Events {
			if applies(event) && middle >= event.FromS && middle < event.ToS {
				times *= event.Times
			}
		}
		sum += rate * times * (edges[i] - edges[i-1])
	}
	return sum
}

// BottleneckText returns the names of the fully used pools, separated by commas.
func (i *Interval) BottleneckText() string { return strings.Join(i.Bottlenecks, ", ") }
