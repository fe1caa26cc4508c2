package gate

import (
	"math/rand/v2"
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/route/place"
	"github.com/jujubescale/jujubescale/internal/route/view"
	"github.com/jujubescale/jujubescale/internal/serve/target"
)

const (
	// coldUse is the part of a cold endpoint's rate that its owner uses. Two
	// processes may both believe to be its owner for a moment, and what was sent
	// before it turned cold counts too.
	coldUse = 0.8
	// warmUse is the part of the bound of a cold endpoint that all processes
	// together may send to a warm one in a second: it may turn cold before
	// anybody hears of it.
	warmUse = 0.9
	// leastWarm is what one process may always send to a warm endpoint.
	leastWarm = 3
	// guessedOutput is the part of the largest output that a generation is
	// expected to have when its caller says nothing.
	guessedOutput = 0.5
)

// choice is the endpoint for a request, or when to look again.
type choice struct {
	target *target.Target
	// wait is the time until an endpoint may take the request; it is set when
	// there is no target but an endpoint is only held back by its pace.
	wait clock.Millis
	// unread is the prompt tokens that the endpoint has to read.
	unread int64
	delay  float64
}

// choose looks for the endpoint that answers first. Endpoints that failed a
// moment ago are used only if there is no other.
func (g *Gate) choose(req *request) choice {
	chosen := g.chooseAmong(req, false)
	if chosen.target == nil && chosen.wait == 0 {
		chosen = g.chooseAmong(req, true)
	}
	return chosen
}

func (g *Gate) chooseAmong(req *request, barred bool) choice {
	now := g.Clock.Now()
	endpoints := g.candidates(req, now)
	shut := make([]bool, len(endpoints))
	found := make([]*target.Target, len(endpoints))
	var wait clock.Millis
	for i, e := range endpoints {
		t := g.targets.Of(e)
		found[i] = t
		if e.Unavailable() || slices.Contains(req.tried, e) || (!barred && e.Blocked(now)) {
			shut[i] = true
			continue
		}
		if held := t.WaitFor(g.paceOf(req, e, now), now); held > 0 {
			shut[i] = true
			if wait == 0 || held < wait {
				wait = held
			}
		}
	}
	if req.pool.Generation != nil {
		return g.chooseEngine(req, found, shut, wait, now)
	}
	return g.chooseServer(found, shut, wait)
}

// candidates returns the endpoints that a request may be sent to: those that this
// process normally uses, those that hold the prompt's shared parts, and cold ones
// that only this process may send to. Where none of them takes requests, all are.
func (g *Gate) candidates(req *request, now clock.Millis) []*view.Endpoint {
	if next := g.nextVersion(req, now); len(next) > 0 {
		return next
	}
	return g.usual(req, g.View().Pool(req.pool.Name), now)
}

// usual returns those of some endpoints of the request's pool that this process
// considers.
func (g *Gate) usual(req *request, all []*view.Endpoint, now clock.Millis) []*view.Endpoint {
	chosen := g.subsets.Of(g.View(), req.pool.Name, all)
	if len(chosen) == len(all) {
		return all
	}
	group, grouped := req.group()
	var candidates []*view.Endpoint
	usable := false
	for i, e := range all {
		usual := len(chosen) > 0 && chosen[0] == i
		if usual {
			chosen = chosen[1:]
		}
		if usual || (grouped && g.targets.Of(e).Holds(group, now)) || (e.Cold(now) && g.mesh.Owns(e.ID)) {
			candidates = append(candidates, e)
			usable = usable || (!e.Blocked(now) && !e.Unavailable() && !slices.Contains(req.tried, e))
		}
	}
	if !usable {
		return all
	}
	return candidates
}

// nextVersion returns the endpoints of the version that the pool's rollout goes
// to, if the request is to run there; none if none of them may take it.
func (g *Gate) nextVersion(req *request, now clock.Millis) []*view.Endpoint {
	next := g.View().Candidates(req.pool.Name)
	switch {
	case len(next) == 0:
		return nil
	case g.Deploy.Promoted(req.pool.Name, req.route.Name):
		next = g.usual(req, next, now)
	case req.canary && len(req.tried) == 0:
		next = g.Deploy.Tried(req.pool.Name, next)
	default:
		return nil
	}
	takes := func(e *view.Endpoint) bool {
		return !e.Unavailable() && !e.Blocked(now) && !slices.Contains(req.tried, e) && (!e.Cold(now) || g.mesh.Owns(e.ID))
	}
	if !slices.ContainsFunc(next, takes) {
		return nil
	}
	return next
}

// group names the last part of the prompt that other requests have, too; false
// without any.
func (r *request) group() (target.Key, bool) {
	if len(r.parts) < 2 {
		return 0, false
	}
	return r.parts[len(r.parts)-2], true
}

// unbounded is a pace that holds nothing back.
const unbounded = 1 << 20

// paceOf returns how many requests this process may start at an endpoint
// within a second.
func (g *Gate) paceOf(req *request, e *view.Endpoint, now clock.Millis) int {
	rate := req.pool.ColdRate
	if rate <= 0 {
		return unbounded
	}
	if e.Cold(now) {
		if !g.mesh.Owns(e.ID) {
			return 0
		}
		return max(int(coldUse*rate), 1)
	}
	bounds := g.bounds.Load()
	all := (rate*bounds.ColdShare + bounds.ColdSpare) * warmUse
	return max(int(all)/max(g.mesh.Count(), 1), leastWarm)
}

func (g *Gate) chooseEngine(req *request, found []*target.Target, shut []bool, wait, now clock.Millis) choice {
	engines := make([]place.Engine, len(found))
	hot := g.prefixes.Hot(req.parts, now)
	rate := g.rates.of(req.pool.Name).TokensPerMs()
	for i, t := range found {
		engines[i] = place.Engine{ID: t.ID, Zone: t.Zone, Excluded: shut[i], Capacity: req.pool.Generation.Tokens}
		if shut[i] {
			continue
		}
		engines[i].Running = t.Load.Running.Load() + t.Load.PeerRunning.Load()
		engines[i].Prefill = t.Load.PendingPrefill(rate, now) + t.Load.PeerPrefill.Load()
		engines[i].Planned = req.othersPlanned(t)
		engines[i].Memory = t.Load.Memory.Load() + t.Load.PeerMemory.Load()
		engines[i].Slots = int64(req.pool.Generation.Slots)
		engines[i].Cached, engines[i].CachedHot = t.Cached(req.Parts, req.parts, hot, now)
	}
	at, delay := place.ChooseEngine(req.prompt(hot, rate, now), engines)
	if at == place.NoEngine {
		return choice{wait: wait}
	}
	unread := max(req.PromptTokens-engines[at].Cached, 0)
	return choice{target: found[at], unread: unread, delay: delay}
}

// prompt describes the request for the choice of an engine.
func (r *request) prompt(hot []bool, rate float64, now clock.Millis) *place.Prompt {
	p := &place.Prompt{TokensPerMs: rate, Tokens: r.PromptTokens, Output: r.outputTokens(), Slack: r.objective - now}
	shared := max(len(r.Parts)-1, 0) // the last part is the request's own
	for i, part := range r.Parts[:shared] {
		p.LastPart = part.ID
		if hot[i] {
			p.Hot += part.Tokens
		}
	}
	if shared > 0 {
		p.FirstPart = r.Parts[0].ID
	}
	if r.run == nil {
		return p
	}
	for i, stage := range r.route.Stages {
		for _, reference := range r.run.Results(i) {
			p.InputBytes = addBytes(p.InputBytes, r.made[reference].zone, stage.ResultBytes)
		}
	}
	return p
}

// farBytes returns the bytes of inputs that lie outside an availability zone.
func (r *request) farBytes(zone string) int64 {
	if r.run == nil {
		return 0
	}
	var far int64
	for _, reference := range r.run.FinalResults() {
		if at := r.made[reference]; at.zone != zone {
			far += at.bytes
		}
	}
	return far
}

func addBytes(all []place.ZoneBytes, zone string, bytes int64) []place.ZoneBytes {
	for i := range all {
		if all[i].Zone == zone {
			all[i].Bytes += bytes
			return all
		}
	}
	return append(all, place.ZoneBytes{Zone: zone, Bytes: bytes})
}

// outputTokens guesses how much will be generated.
func (r *request) outputTokens() int64 {
	if r.LikelyTokens > 0 {
		return min(r.LikelyTokens, r.OutputTokens)
	}
	return int64(guessedOutput * float64(r.OutputTokens))
}

func (g *Gate) chooseServer(found []*target.Target, shut []bool, wait clock.Millis) choice {
	servers := make([]place.Server, len(found))
	for i, t := range found {
		servers[i] = place.Server{Excluded: shut[i]}
		if shut[i] {
			continue
		}
		running := max(t.Load.Running.Load()+t.Load.PeerRunning.Load(), 0)
		servers[i] = place.Server{SameZone: t.Zone == g.Zone, Running: running, Slots: int64(t.Slots), Latency: t.Speed()}
	}
	if len(servers) == 0 {
		return choice{wait: wait}
	}
	at := place.ChooseServer(servers, rand.IntN(len(servers)))
	if at == place.NoEngine {
		return choice{wait: wait}
	}
	return choice{target: found[at]}
}

// othersPlanned returns the prompt tokens planned for an engine by all requests
// but this one.
func (r *request) othersPlanned(t *target.Target) int64 {
	planned := t.Load.Planned.Load() + t.Load.PeerPlanned.Load()
	if r.planned == t {
		planned -= r.plannedTokens
	}
	return max(planned, 0)
}

// plan chooses the engine where the request would be generated if it were sent
// now, so that its inputs are made near it, and returns how long it would take
// there to its first event. Until it is sent, its prompt counts as planned:
// many requests leave their stages at the same moment, and would all choose the
// engine that was idle when they looked.
func (g *Gate) plan(req *request) clock.Millis {
	if req.pool.Generation == nil {
		return generationTime
	}
	chosen := g.choose(req)
	if chosen.target == nil {
		return generationTime
	}
	req.wish = chosen.target.Zone
	req.planned, req.plannedTokens = chosen.target, chosen.unread
	chosen.target.Load.Planned.Add(chosen.unread)
	return generationTime + clock.Millis(chosen.delay)
}

// unplan takes plan back: the request is sent now, or ends.
func (r *request) unplan() {
	if r.planned != nil {
		r.planned.Load.Planned.Add(-r.plannedTokens)
		r.planned, r.plannedTokens = nil, 0
	}
}

// UnreadTokens returns the prompt tokens that this process sent to an endpoint and
// that are probably still to be read.
func (g *Gate) UnreadTokens(e *view.Endpoint) int64 {
	return e.Load.PendingPrefill(g.rates.of(e.Pool).TokensPerMs(), g.Clock.Now())
}
