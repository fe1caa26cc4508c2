package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/jujubescale/jujubescale/platform/stand"
)

// StoreRestores brings the store back from a copy. What it acknowledged since is lost, until the
// operator and the engines write theirs again.
const StoreRestores Kind = "storeRestores"

// Times within which the processes must follow a change that the restored store acknowledged;
// they are the defaults of the settings.
const (
	changeWithin = 2 * time.Second
	leaveWithin  = 2 * time.Second
)

// restores returns the times at which the store comes back from a copy, in series and overlapping
// other disturbances.
func restores(seed uint64, length time.Duration) []Disturbance {
	random := rand.New(rand.NewPCG(seed, 37))
	var plan []Disturbance
	for at := firstDisturbance + rollingCount*rollingSpan; at < length-recoverySpan; {
		for range 1 + random.IntN(2) {
			plan = append(plan, Disturbance{
				Kind: StoreRestores, At: at, For: time.Duration(200+random.IntN(3000)) * time.Millisecond, Subject: random.IntN(64),
			})
			at += time.Duration(random.IntN(1000)) * time.Millisecond
		}
		at += time.Duration(2000+random.IntN(4000)) * time.Millisecond
	}
	return plan
}

// restoreStore makes a copy, lets the store acknowledge writes for the time of the disturbance, and
// brings it back from the copy after it was away for a moment.
func (r *run) restoreStore(ctx context.Context, d Disturbance) {
	if r.Reuse {
		r.restoreAndReuse(ctx, d)
		return
	}
	store := r.deployment.Store
	from := store.Copy()
	for i := range (d.Subject % 4) * 70 {
		store.Put("notes", fmt.Sprint(i), i)
	}
	pause(ctx, d.For)
	if away := time.Duration(d.Subject%3) * 400 * time.Millisecond; away > 0 {
		store.SetFault(stand.StoreFault{Status: http.StatusServiceUnavailable})
		pause(ctx, away)
		store.SetFault(stand.StoreFault{})
	}
	store.Restore(from)
	pause(ctx, time.Duration(d.Subject%5)*200*time.Millisecond)
	r.deployment.WriteAgain()
	began := time.Now()
	r.checkFollowed(ctx, r.addProbeRoute(), began)
}

// restoreAndReuse brings the store back from a copy that lacks drawn writes, and lets other writes have their numbers before
// the operator and the engines write the lost ones again. The last version is checked; none follows that would hide that peers
// take the contents of a lost one for its contents.
func (r *run) restoreAndReuse(ctx context.Context, d Disturbance) {
	const stream = 1019
	random := rand.New(rand.NewPCG(r.Seed, stream+uint64(d.At)))
	drawn := stand.DrawReturn(random)
	_, _ = fmt.Fprintln(r.Out, "       ", drawn)
	store := r.deployment.Store
	from := store.Copy()
	for _, kind := range drawn.Lost {
		r.writeDrawn(kind, random)
		pause(ctx, drawn.LostPause)
	}
	pause(ctx, drawn.Age)
	if drawn.Away > 0 {
		store.SetFault(stand.StoreFault{Status: http.StatusServiceUnavailable})
		pause(ctx, drawn.Away)
		store.SetFault(stand.StoreFault{})
	}
	store.Restore(from)
	pause(ctx, drawn.Silent)
	var request func() *stand.Request
	began := time.Now()
	for _, kind := range drawn.Next {
		if added := r.writeDrawn(kind, random); added != nil {
			request, began = added, time.Now()
		}
		pause(ctx, drawn.NextPause)
	}
	if request == nil {
		request, began = r.addProbeRoute(), time.Now()
	}
	if random.IntN(2) == 0 {
		r.deployment.WriteAgain()
	}
	r.checkFollowed(ctx, request, began)
	r.deployment.WriteAgain()
}

// writeDrawn makes one write that no other check depends on. It returns requests of the route that a version adds, nil for
// other writes.
func (r *run) writeDrawn(kind stand.WriteKind, random *rand.Rand) (request func() *stand.Request) {
	switch kind {
	case stand.WriteConfig:
		return r.addProbeRoute()
	case stand.WriteEvacuation:
		const noZone = "no-zone"
		if random.IntN(2) == 0 {
			r.deployment.Evacuate(noZone)
		} else {
			r.deployment.EndEvacuation(noZone)
		}
	default:
		r.deployment.Store.Put("notes", fmt.Sprint(random.IntN(3)), random.Int())
	}
	return nil
}

// checkFollowed checks that processes without faults follow what the store acknowledges: a version
// with a route of its own, and an engine that drains.
func (r *run) checkFollowed(ctx context.Context, request func() *stand.Request, began time.Time) {
	drained := r.drainForCheck()
	pause(ctx, max(changeWithin, leaveWithin))
	if ctx.Err() != nil || r.faults.overlapping(began.Add(-time.Second), time.Now(), nil, StoreDown, StoreHangs, StoreDropsHistory, StoreLosesAnswers) {
		r.returnDrained(drained)
		return
	}
	told := time.Now()
	r.restores.Add(1)
	if !r.faults.begunSince(StoreRestores, began) { // the next copy may lack the version
		for _, p := range r.processes {
			if r.isUndisturbed(p, began) {
				r.checkProbe(ctx, p, request(), began)
			}
		}
	}
	pause(ctx, time.Second)
	r.checkDrained(drained, told)
	r.returnDrained(drained)
}

// isUndisturbed reports whether a process has run since an instant, and no fault has struck it alone.
func (r *run) isUndisturbed(p *process, since time.Time) bool {
	current := p.currentIncarnation()
	return current.began.Before(since) && p.terminatedAt(current).IsZero() && !r.faults.struck(p, since.Add(-time.Second), time.Now())
}

// addProbeRoute publishes a version with a route of its own, and returns requests of it.
func (r *run) addProbeRoute() func() *stand.Request {
	r.publishing.Lock()
	defer r.publishing.Unlock()
	name := fmt.Sprintf("probe-%d", r.deployment.Config.Version)
	r.deployment.Config.Routes = append(r.deployment.Config.Routes, stand.Route{
		Name: name, Host: "orders.example", Prefix: "/" + name + "/", Kind: "safe", Service: "orders", TimeoutMs: 2500, SloMs: 400, Attempts: 2, Priority: 1,
	})
	r.deployment.Publish()
	return func() *stand.Request {
		return &stand.Request{
			ID: stand.NewID(), Method: http.MethodGet, Host: "orders.example", Path: "/" + name + "/x", Service: "orders", Key: key, Tenant: organisation, DeadlineMs: 2500,
		}
	}
}

func (r *run) publish() {
	r.publishing.Lock()
	defer r.publishing.Unlock()
	r.deployment.Publish()
}

func (r *run) checkProbe(ctx context.Context, p *process, s *stand.Request, published time.Time) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(s.DeadlineMs)*time.Millisecond)
	defer cancel()
	sent := time.Now()
	got := r.client.Do(ctx, p.ports.callers, s)
	if !r.isUndisturbed(p, published) {
		return
	}
	r.restoreProbes.Add(1)
	if got.Status == http.StatusNotFound {
		r.addViolation("%s answers %d for a route %v after its version was acknowledged", p.name, got.Status, sent.Sub(published))
	}
}

// drained is an engine that drains for a check, and the number of its entries then.
type drained struct {
	*engine
	entries int64
}

// drainForCheck drains an engine of a pool that has others.
func (r *run) drainForCheck() drained {
	engines := r.enginesOf("encode")
	if len(engines) < 2 {
		return drained{}
	}
	e := engines[0]
	r.deployment.Register(e.Engine, false, 0)
	return drained{engine: e, entries: e.Entries()}
}

// checkDrained reports pieces that reached a drained engine later than it may get them. It
// reports none while processes are disturbed, or if the engine has registered again.
func (r *run) checkDrained(d drained, since time.Time) {
	if d.engine == nil || d.ended.Load() || d.Entries() != d.entries || r.faults.anyOverlapping(since.Add(-leaveWithin-time.Second), time.Now()) {
		return
	}
	if count := r.deployment.Ledger.CountArrivalsAt(d.Engine, since); count > 0 {
		r.addViolation("%s got %d pieces later than %v after the store had acknowledged that it drains", d.ID, count, leaveWithin)
	}
}

func (r *run) returnDrained(d drained) {
	if d.engine != nil && !d.ended.Load() {
		r.deployment.Register(d.Engine, true, 0)
	}
}
