package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jujubescale/jujubescale/platform/stand"
)

const (
	// Throttle stops a process for most of each tenth of a second, as a processor quota does.
	Throttle Kind = "throttle"
	// PauseGroup pauses every third process at once.
	PauseGroup Kind = "pauseGroup"
)

const (
	// routeAge is how long callers ask for a route after it was added or removed.
	routeAge = 10 * time.Second
	// probePause is the mean pause between two such requests of one caller.
	probePause = 200 * time.Millisecond
	// revertSlack is how long after the effect of a version was seen a request must be sent to be
	// checked against it.
	revertSlack = 200 * time.Millisecond
	// maxRoutes is the number of added routes above which the operator removes one.
	maxRoutes = 12
	// largeRoutes is the number of routes that nobody asks for in a large version, some 800 KB.
	largeRoutes = 2500
	// throttlePeriod is the period of a quota, of which a process runs throttleRuns.
	throttlePeriod = 100 * time.Millisecond
	throttleRuns   = 15 * time.Millisecond
)

// routePlan returns the times at which processes are throttled and paused in groups, overlapping each
// other and all other disturbances.
func routePlan(seed uint64, length time.Duration) []Disturbance {
	random := rand.New(rand.NewPCG(seed, 47))
	var plan []Disturbance
	for at := firstDisturbance + rollingCount*rollingSpan; at < length-recoverySpan; at += time.Duration(500+random.IntN(2500)) * time.Millisecond {
		d := Disturbance{Kind: []Kind{Throttle, Throttle, Pause, PauseGroup}[random.IntN(4)], At: at, For: time.Duration(1000+random.IntN(5000)) * time.Millisecond, Subject: random.IntN(64)}
		d.For = min(d.For, length-recoverySpan-at)
		plan = append(plan, d)
	}
	return plan
}

// injectHold pauses or throttles one process, pauses every third one, or takes the largest hosts away.
func (r *run) injectHold(ctx context.Context, d Disturbance, index int) {
	switch d.Kind {
	case Throttle:
		r.throttle(ctx, r.processAt(index), d.For)
	case PauseGroup:
		var group sync.WaitGroup
		for i := index % 3; i < len(r.processes); i += 3 {
			group.Go(func() {
				defer r.faults.begin(Pause, r.processes[i])()
				hold(ctx, r.processes[i], d.For)
			})
		}
		group.Wait()
	case LoseLarge:
		r.loseLarge(ctx, d)
	default:
		hold(ctx, r.processAt(index), d.For)
	}
}

// hold pauses a process for a time.
func hold(ctx context.Context, p *process, during time.Duration) {
	defer p.stopFor()()
	pause(ctx, during)
}

// throttle stops a process for most of each period.
func (r *run) throttle(ctx context.Context, p *process, during time.Duration) {
	for end := time.Now().Add(during); time.Now().Before(end) && ctx.Err() == nil; {
		hold(ctx, p, throttlePeriod-throttleRuns)
		pause(ctx, throttleRuns)
	}
}

// addedRoute is a route that a version added, and maybe a later one removed.
type addedRoute struct {
	name, prefix string
	// added and removed are the versions, addedAt and removedAt when the store had acknowledged them;
	// removing is when the removal was sent. They are zero before.
	added, removed               int
	addedAt, removing, removedAt time.Time
}

// routeBook holds the added routes, and what each process has shown of them.
type routeBook struct {
	mu     sync.Mutex
	routes []addedRoute
	// effects holds the highest version of which each run of a process has shown an effect.
	effects map[*incarnation]effect

	versions, probes, judged, served, early, held atomic.Int64
}

type effect struct {
	version int
	at      time.Time
}

// changeRoutes adds, moves and removes routes in series and in uneven steps of versions; a few versions
// are large, and in some whole numbers are spelled as fractions.
func (r *run) changeRoutes(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.Seed, 53))
	for ctx.Err() == nil && time.Since(r.started) < r.Length-recoverySpan+settlingTime {
		for range 1 + random.IntN(4) {
			r.changeRoutesOnce(random)
			pause(ctx, time.Duration(20+random.IntN(400))*time.Millisecond)
		}
		pause(ctx, time.Duration(200+random.IntN(2500))*time.Millisecond)
	}
}

// changeRoutesOnce publishes one version.
func (r *run) changeRoutesOnce(random *rand.Rand) {
	r.publishing.Lock()
	defer r.publishing.Unlock()
	config, book := &r.deployment.Config, &r.added
	config.Version += random.IntN(5)
	config.Fractions = random.IntN(6) == 0
	next := config.Version + 1
	config.Routes = slices.DeleteFunc(config.Routes, func(route stand.Route) bool { return route.Host == "bulk.example" })
	if random.IntN(8) == 0 {
		for i := range largeRoutes {
			config.Routes = append(config.Routes, addedRouteOf(fmt.Sprintf("bulk-%d-%d", next, i), "bulk.example"))
		}
	}
	book.mu.Lock()
	live := slices.DeleteFunc(indexes(len(book.routes)), func(i int) bool { return book.routes[i].removed > 0 })
	var removed []int
	if moves := random.IntN(3) == 0; len(live) > 0 && (moves || len(live) > maxRoutes) {
		removed = append(removed, live[random.IntN(len(live))])
	}
	for _, i := range removed {
		book.routes[i].removing, book.routes[i].removed = time.Now(), next
		config.Routes = slices.DeleteFunc(config.Routes, func(route stand.Route) bool { return route.Name == book.routes[i].name })
	}
	first := len(book.routes)
	for i := range 1 + random.IntN(3) {
		name := fmt.Sprintf("added-%d-%d", next, i)
		config.Routes = append(config.Routes, addedRouteOf(name, "orders.example"))
		book.routes = append(book.routes, addedRoute{name: name, prefix: "/" + name + "/", added: next})
	}
	book.mu.Unlock()
	r.deployment.Publish()
	acknowledged := time.Now()
	book.mu.Lock()
	defer book.mu.Unlock()
	book.versions.Add(1)
	for i := first; i < len(book.routes); i++ {
		book.routes[i].addedAt = acknowledged
	}
	for _, i := range removed {
		book.routes[i].removedAt = acknowledged
	}
}

func addedRouteOf(name, host string) stand.Route {
	return stand.Route{Name: name, Host: host, Prefix: "/" + name + "/", Kind: "safe", Service: "orders", TimeoutMs: 2500, SloMs: 400, Attempts: 2, Priority: 1, Public: true}
}

func indexes(count int) []int {
	all := make([]int, count)
	for i := range all {
		all[i] = i
	}
	return all
}

// probeRoutes asks all processes for the routes that were added or removed, on kept and on new
// connections.
func (r *run) probeRoutes(ctx context.Context) {
	var group sync.WaitGroup
	for i, p := range r.processes {
		for _, kept := range []bool{false, true} {
			group.Go(func() {
				random := rand.New(rand.NewPCG(r.Seed, 59+uint64(2*i)))
				for ctx.Err() == nil {
					if route := r.added.draw(random); route != nil {
						r.probeRoute(ctx, p, route, kept)
					}
					pause(ctx, time.Duration(random.Int64N(int64(2*probePause))))
				}
			})
		}
	}
	group.Wait()
}

// draw returns a copy of a route that was added or removed in the last routeAge, nil if there is none.
func (b *routeBook) draw(random *rand.Rand) *addedRoute {
	b.mu.Lock()
	defer b.mu.Unlock()
	var recent []addedRoute
	for _, route := range b.routes {
		if !route.addedAt.IsZero() && time.Since(route.addedAt) < routeAge || !route.removedAt.IsZero() && time.Since(route.removedAt) < routeAge {
			recent = append(recent, route)
		}
	}
	if len(recent) == 0 {
		return nil
	}
	return &recent[random.IntN(len(recent))]
}

// find returns a copy of a route by its name.
func (b *routeBook) find(name string) addedRoute {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.IndexFunc(b.routes, func(route addedRoute) bool { return route.name == name })
	return b.routes[i]
}

// probeRoute sends one request for a route and checks its answer.
func (r *run) probeRoute(ctx context.Context, p *process, route *addedRoute, kept bool) {
	s := &stand.Request{ID: stand.NewID(), Method: http.MethodGet, Host: "orders.example", Path: route.prefix + "x", Service: "orders", DeadlineMs: 2500}
	running, sent := p.currentIncarnation(), time.Now()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(s.DeadlineMs)*time.Millisecond+deadlineTolerance)
	defer cancel()
	var got stand.Outcome
	if kept {
		got = r.client.Do(ctx, p.ports.callers, s)
	} else {
		got = r.client.DoOnce(ctx, p.ports.callers, s, time.Second)
	}
	if p.currentIncarnation() != running {
		return // either run may have answered
	}
	r.added.probes.Add(1)
	r.judgeProbe(p, running, r.added.find(route.name), s.ID, sent, got)
}

// judgeProbe checks that an added route isn't denied later than a change may take, that a removed one isn't
// served then, and that no process goes back behind a version of which it has shown an effect.
func (r *run) judgeProbe(p *process, running *incarnation, route addedRoute, id string, sent time.Time, got stand.Outcome) {
	before := r.added.recordEffect(running, &route, got)
	reverted := func(version int) bool { return before.version >= version && sent.Sub(before.at) > revertSlack }
	switch {
	case route.removing.IsZero():
		r.judgeAdded(p, &route, sent, got, reverted(route.added), id)
	case !route.removedAt.IsZero() && got.Complete:
		stale := sent.Sub(route.removedAt) > changeWithin && r.isUndisturbed(p, route.removedAt.Add(-stableTime)) &&
			!r.faults.overlapping(route.removedAt.Add(-time.Second), time.Now(), p)
		if stale || reverted(route.removed) {
			r.addViolation("%s: request %s for %s is served, sent %v after version %d had removed it; it has shown version %d", p.name, id, route.name, sent.Sub(route.removedAt), route.removed, before.version)
		}
	}
}

func (r *run) judgeAdded(p *process, route *addedRoute, sent time.Time, got stand.Outcome, reverted bool, id string) {
	b, age := &r.added, sent.Sub(route.addedAt)
	if got.Status == http.StatusNotFound {
		if age > changeWithin || reverted {
			r.addViolation("%s: request %s for %s is denied, sent %v after version %d was acknowledged; it has shown a later one: %t", p.name, id, route.name, age, route.added, reverted)
		}
		b.early.Add(1)
	}
	if age <= changeWithin || !r.isUndisturbed(p, sent.Add(-stableTime)) {
		return
	}
	b.judged.Add(1)
	switch {
	case got.Complete:
		b.served.Add(1)
	case got.Status == http.StatusServiceUnavailable:
		b.held.Add(1)
	}
}

// recordEffect records which version an answer shows, and returns the highest one that the run of the process
// had shown before.
func (b *routeBook) recordEffect(running *incarnation, route *addedRoute, got stand.Outcome) effect {
	b.mu.Lock()
	defer b.mu.Unlock()
	before, shown := b.effects[running], 0
	switch {
	case got.Complete:
		shown = route.added
	case got.Status == http.StatusNotFound && !route.removedAt.IsZero() && before.version >= route.added:
		shown = route.removed
	}
	if shown > before.version {
		if b.effects == nil {
			b.effects = make(map[*incarnation]effect)
		}
		b.effects[running] = effect{version: shown, at: time.Now()}
	}
	return before
}

// String describes the counts.
func (b *routeBook) String() string {
	return fmt.Sprintf("%d versions, %d requests for their routes, %d denied; of %d later ones at undisturbed processes %d served, %d told to return",
		b.versions.Load(), b.probes.Load(), b.early.Load(), b.judged.Load(), b.served.Load(), b.held.Load())
}
