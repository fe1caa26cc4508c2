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
	// movedRoutes is the number of routes that move between the services of moveTargets.
	movedRoutes = 8
	// keptRoutes is the number of routes that nobody asks for in each version, some 750 KB.
	keptRoutes = 3400
	// keptHost is the host of those routes.
	keptHost = "kept.example"
)

// moveTargets are the services between which routes move.
var moveTargets = []string{"orders", "stock"}

// placement is a state of a route: the services that may run its requests, and the versions in which it holds.
type placement struct {
	services []string
	// version began the placement, next replaced it; nextAt is when the store had acknowledged that, zero before.
	version, next int
	nextAt        time.Time
}

// moveBook holds the placements of the routes that move, and what each process has shown of them.
type moveBook struct {
	mu     sync.Mutex
	routes [movedRoutes][]placement
	// shown holds the highest version of which each run of a process has shown an effect.
	shown map[*incarnation]effect
	// published holds the versions and when the store had acknowledged them, in order.
	published []publishedVersion

	moves, asked, ran, judged, held atomic.Int64
	// storms counts the storms, stormVersions the moves in them.
	storms, stormVersions atomic.Int64
}

// publishedVersion is a version and the instant at which the store had acknowledged it.
type publishedVersion struct {
	version int
	at      time.Time
}

func movedName(i int) string { return fmt.Sprintf("moved-%d", i) }

func movedRoute(i int, services []string) stand.Route {
	route := addedRouteOf(movedName(i), "orders.example")
	if len(services) == 1 {
		route.Service = services[0]
	} else {
		route.Backends = services
	}
	return route
}

// addMovedRoutes adds the routes that move, and those that make each version large, to the first version.
func (r *run) addMovedRoutes(config *stand.Config) {
	config.Services = append(config.Services, stand.Service{Name: moveTargets[1], Kind: stand.Plain, MaxConns: 200})
	for i := range movedRoutes {
		r.moved.routes[i] = []placement{{services: moveTargets[:1], version: 1}}
		config.Routes = append(config.Routes, movedRoute(i, moveTargets[:1]))
	}
	for i := range keptRoutes {
		config.Routes = append(config.Routes, addedRouteOf(fmt.Sprintf("kept-%d", i), keptHost))
	}
}

// moveRoutes moves routes between services, splits and changes them, in series of versions.
func (r *run) moveRoutes(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.Seed, 61))
	for ctx.Err() == nil && time.Since(r.started) < r.Length-recoverySpan+settlingTime {
		for range 1 + random.IntN(5) {
			r.moveRoute(random)
			pause(ctx, time.Duration(80+random.IntN(420))*time.Millisecond)
		}
		pause(ctx, time.Duration(200+random.IntN(2500))*time.Millisecond)
	}
}

// moveRoute publishes one version in which a route has other services, or other times only.
func (r *run) moveRoute(random *rand.Rand) {
	r.publishing.Lock()
	defer r.publishing.Unlock()
	config, book := &r.deployment.Config, &r.moved
	number, next := random.IntN(movedRoutes), config.Version+1
	services := [][]string{moveTargets[:1], moveTargets[1:], moveTargets}[random.IntN(3)]
	route := movedRoute(number, services)
	route.SloMs += random.IntN(100)
	config.Routes[slices.IndexFunc(config.Routes, func(known stand.Route) bool { return known.Name == route.Name })] = route

	book.mu.Lock()
	all := &book.routes[number]
	(*all)[len(*all)-1].next = next
	*all = append(*all, placement{services: services, version: next})
	before := len(*all) - 2
	book.mu.Unlock()
	r.deployment.Publish()
	acknowledged := time.Now()
	book.mu.Lock()
	defer book.mu.Unlock()
	(*all)[before].nextAt = acknowledged
	book.moves.Add(1)
	book.published = append(book.published, publishedVersion{version: next, at: acknowledged})
}

// probeMoved asks all processes for the routes that move, on kept and on new connections.
func (r *run) probeMoved(ctx context.Context) {
	var group sync.WaitGroup
	for i, p := range r.processes {
		for _, kept := range []bool{false, true} {
			group.Go(func() {
				random := rand.New(rand.NewPCG(r.Seed, 67+uint64(2*i)))
				for ctx.Err() == nil {
					r.probeMovedRoute(ctx, p, random.IntN(movedRoutes), kept)
					pause(ctx, time.Duration(random.Int64N(int64(4*probePause))))
				}
			})
		}
	}
	group.Wait()
}

// probeMovedRoute sends one request for a route that moves, and checks which services ran it.
func (r *run) probeMovedRoute(ctx context.Context, p *process, number int, kept bool) {
	s := &stand.Request{ID: stand.NewID(), Method: http.MethodGet, Host: "orders.example", Path: "/" + movedName(number) + "/x", Service: moveTargets[0], AnyService: true, DeadlineMs: 2500}
	running, sent := p.currentIncarnation(), time.Now()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(s.DeadlineMs)*time.Millisecond+deadlineTolerance)
	defer cancel()
	var got stand.Outcome
	if kept {
		got = r.client.Do(ctx, p.ports.callers, s)
	} else {
		got = r.client.DoOnce(ctx, p.ports.callers, s, time.Second)
	}
	r.moved.asked.Add(1)
	if got.Status == http.StatusServiceUnavailable {
		r.moved.held.Add(1)
	}
	if p.currentIncarnation() != running {
		return // either run may have sent it
	}
	for _, service := range r.deployment.Ledger.RunAt(s.ID) {
		r.judgeMoved(p, running, number, service, s.ID, sent)
	}
}

// judgeMoved checks that a service that ran a request was allowed to by a version that may have been in force, and
// that no process goes back behind a version of which it has shown an effect.
func (r *run) judgeMoved(p *process, running *incarnation, number int, service, id string, sent time.Time) {
	book := &r.moved
	book.ran.Add(1)
	book.mu.Lock()
	before, all := book.shown[running], slices.Clone(book.routes[number])
	book.mu.Unlock()
	oldest, newest := placement{}, placement{}
	for _, one := range all {
		if !slices.Contains(one.services, service) || one.next > 0 && one.next <= before.version && sent.Sub(before.at) > revertSlack {
			continue
		}
		if oldest.version == 0 {
			oldest = one
		}
		newest = one
	}
	if oldest.version > 0 { // it may have run by any of them
		book.recordShown(running, oldest.version)
	}
	switch {
	case oldest.version == 0:
		r.addViolation("%s: request %s for %s is run by %s as only older versions allow, sent %v after it had shown version %d",
			p.name, id, movedName(number), service, sent.Sub(before.at), before.version)
	case !newest.nextAt.IsZero() && sent.Sub(newest.nextAt) > changeWithin && r.isJudged(p, newest.nextAt):
		r.addViolation("%s: request %s for %s is run by %s as only versions below %d allow, sent %v after that was acknowledged; it has shown version %d",
			p.name, id, movedName(number), service, newest.next, sent.Sub(newest.nextAt), before.version)
	case r.isJudged(p, sent):
		book.judged.Add(1)
	}
}

// isJudged reports whether a process has run since some time before an instant, and no fault has kept it from
// following the store. A quota is no fault.
func (r *run) isJudged(p *process, since time.Time) bool {
	from := since.Add(-stableTime)
	return r.isUndisturbed(p, from) && r.followed(p, from, time.Now())
}

// followed reports whether no fault kept a process from following the store between two instants.
func (r *run) followed(p *process, from, to time.Time) bool {
	return !r.faults.struck(p, from, to) && !r.faults.overlapping(from, to, p,
		StoreDown, StoreHangs, StoreDropsHistory, StoreLosesAnswers, StoreRestores, PowerLoss, Kill)
}

// recordShown records the version that a run of a process has shown.
func (b *moveBook) recordShown(running *incarnation, version int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.shown == nil {
		b.shown = make(map[*incarnation]effect)
	}
	if version > b.shown[running].version {
		b.shown[running] = effect{version: version, at: time.Now()}
	}
}

// String describes the counts.
func (b *moveBook) String() string {
	text := fmt.Sprintf("%d moves, %d requests for the routes, %d runs, %d of them at processes without faults, %d told to return",
		b.moves.Load(), b.asked.Load(), b.ran.Load(), b.judged.Load(), b.held.Load())
	if storms := b.storms.Load(); storms > 0 {
		text += fmt.Sprintf("; %d of the moves in %d storms", b.stormVersions.Load(), storms)
	}
	return text
}
