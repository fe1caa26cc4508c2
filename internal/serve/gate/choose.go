package gate

import (
	"math/rand/v2"
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/route/place"
	"github.com/jujubescale/jujubescale/internal/route/view"
	"github.com/jujubescale/jujubescale/internal/serve/permit"
	"github.com/jujubescale/jujubescale/internal/serve/target"
)

const (
	// coldRateShare is the share of a cold endpoint's rate that its owner uses. The rest
	// covers moments when two processes both act as its owner, and requests sent before it
	// became cold.
	coldRateShare = 0.8
	// warmRateShare is the share of a cold endpoint's limit that all processes together may
	// send to a warm endpoint in a second: it may become cold before the processes are
	// informed.
	warmRateShare = 0.9
	// expectedOutputShare is the share of the largest allowed output that a generation is
	// expected to produce when the caller gives no estimate.
	expectedOutputShare = 0.5
)

// choice is the endpoint for a request, or the time after which to choose again.
type choice struct {
	target *target.Target
	// wait is the time until an endpoint may take the request. It is set if there is no
	// target because the rate limits of the endpoints hold the request back. limitedBy
	// is one of them that has reached the limit that it states or has no room, nil if none
	// has.
	wait      clock.Millis
	limitedBy *view.Endpoint
	// room is the capacity of the target that is reserved for the request.
	room permit.Reservation
	// unread is the number of prompt tokens that the endpoint has to read, and delay the
	// expected delay to its first token there, in ms.
	unread int64
	delay  float64
}

// choose returns the endpoint that will probably answer first. Endpoints that failed
// recently are used only if there is no other, or if the others have reached the limits that
// they state.
func (g *Gate) choose(req *request) choice {
	chosen := g.chooseAmong(req, false)
	if chosen.target != nil || (chosen.wait > 0 && chosen.limitedBy == nil) {
		return chosen
	}
	if avoided := g.chooseAmong(req, true); avoided.target != nil || chosen.wait == 0 {
		return avoided
	}
	return chosen
}

func (g *Gate) chooseAmong(req *request, useBlocked bool) choice {
	now, need := g.Clock.Now(), req.need()
	endpoints := g.eligibleEndpoints(req, now)
	excluded := make([]bool, len(endpoints))
	targets := make([]*target.Target, len(endpoints))
	var held choice
	for i, e := range endpoints {
		t := g.targets.Get(e)
		targets[i] = t
		if g.limits.Unavailable(e) || slices.Contains(req.barred, e.Version) || slices.Contains(req.tried, e) || (!useBlocked && e.Blocked(now)) {
			excluded[i] = true
			continue
		}
		limitWait := g.limits.WaitFor(e, need, now)
		if req.unlimitedOnly && (g.limits.Limit(e) > 0 || !g.limits.Fits(e, need, now)) {
			limitWait = max(limitWait, 1)
		}
		if delay := max(t.StartDelay(g.startLimit(req.pool, e, now), now), limitWait); delay > 0 {
			excluded[i] = true
			if limitWait > 0 {
				held.limitedBy = e
			}
			if held.wait == 0 || delay < held.wait {
				held.wait = delay
			}
		}
	}
	if req.pool.Generation != nil {
		return g.chooseEngine(req, targets, excluded, held, now)
	}
	return g.chooseServer(targets, excluded, held, now)
}

// eligibleEndpoints returns the endpoints that a request may be sent to. For a stream that has
// begun, these are endpoints of the version that began it. For a request that
// a rollout sends to the candidate version, these are endpoints of that version. Otherwise
// they are those of this process's subset, those that hold the shared parts of the prompt,
// and cold ones that this process owns, or all endpoints of the pool if none of these
// accepts requests.
func (g *Gate) eligibleEndpoints(req *request, now clock.Millis) []*view.Endpoint {
	if req.origin != nil {
		return g.resumeEndpoints(req)
	}
	endpoints := g.View()
	if next := g.candidateEndpoints(req, endpoints, now); len(next) > 0 {
		return next
	}
	return g.preferredEndpoints(req, endpoints, subsetKey{pool: req.pool.Name}, now)
}

// preferredEndpoints returns those of a pool's endpoints that this process considers.
func (g *Gate) preferredEndpoints(req *request, endpoints *view.Snapshot, key subsetKey, now clock.Millis) []*view.Endpoint {
	all, chosen := g.subsets.choose(endpoints, key)
	if len(chosen) == len(all) {
		return all
	}
	group, grouped := req.sharedPart()
	preferred, usable := []*view.Endpoint(nil), false
	for i, e := range all {
		_, inSubset := slices.BinarySearch(chosen, i)
		if inSubset || (grouped && g.targets.Get(e).HasCached(group, now)) || (e.Cold(now) && g.mesh.Owns(e.ID)) {
			preferred = append(preferred, e)
			usable = usable || (!e.Blocked(now) && !g.limits.Unavailable(e) && !slices.Contains(req.tried, e) && g.limits.WaitFor(e, req.need(), now) == 0)
		}
	}
	if !usable {
		return all
	}
	return preferred
}

// candidateEndpoints returns the endpoints of the rollout's candidate version if the
// request is to run there, or nil if none of them accepts it.
func (g *Gate) candidateEndpoints(req *request, endpoints *view.Snapshot, now clock.Millis) []*view.Endpoint {
	next := endpoints.Candidates(req.pool.Name)
	switch {
	case len(next) == 0:
		return nil
	case g.Deploy.Promoted(req.pool.Name, req.route.Name):
		next = g.preferredEndpoints(req, endpoints, subsetKey{pool: req.pool.Name, candidates: true}, now)
	case req.canary && len(req.tried) == 0:
		next = g.Deploy.ActiveCandidates(req.pool.Name, next)
	default:
		return nil
	}
	usable := func(e *view.Endpoint) bool {
		return !g.limits.Unavailable(e) && !e.Blocked(now) && !slices.Contains(req.tried, e) && (!e.Cold(now) || g.mesh.Owns(e.ID)) &&
			g.limits.WaitFor(e, req.need(), now) == 0
	}
	if !slices.ContainsFunc(next, usable) {
		return nil
	}
	return next
}

// sharedPart returns the key of the last prompt part that other requests may share, and
// whether there is one.
func (r *request) sharedPart() (target.Key, bool) {
	if len(r.partKeys) < 2 {
		return 0, false
	}
	return r.partKeys[len(r.partKeys)-2], true
}

// unlimited is a number of starts per second that holds no request back.
const unlimited = 1 << 20

// startLimit returns how many requests this process may start at an endpoint within a
// second.
func (g *Gate) startLimit(pool *table.Pool, e *view.Endpoint, now clock.Millis) int {
	rate := pool.ColdRate
	if rate <= 0 {
		return unlimited
	}
	if e.Cold(now) {
		if !g.mesh.Owns(e.ID) {
			return 0
		}
		return max(int(coldRateShare*rate), 1)
	}
	bounds := g.bounds.Load()
	all := (rate*bounds.ColdShare + bounds.ColdSpare) * warmRateShare
	return max(int(all*g.StartShare(all, len(g.View().Pool(pool.Name)))), 1)
}

func (g *Gate) chooseEngine(req *request, targets []*target.Target, excluded []bool, held choice, now clock.Millis) choice {
	engines := make([]place.Engine, len(targets))
	hot := g.prefixes.RecentlyUsed(req.partKeys, now)
	rate, gap := g.speeds.ReadRate(req.pool.Name), clock.Millis(0)
	for i, t := range targets {
		engines[i] = place.Engine{ID: t.ID, Zone: t.Zone, Excluded: excluded[i], Capacity: req.pool.Generation.Tokens}
		if excluded[i] {
			continue
		}
		engines[i].Running = t.Load.Running.Load() + t.Load.PeerRunning.Load()
		engines[i].Prefill = t.Load.PendingPrefill(t.Load.ReadRate(rate), now) + t.Load.PeerPrefill.Load()
		if engines[i].Slowdown = t.Load.Slowdown(now); engines[i].Slowdown > 0 {
			gap = req.decision.Table.MinGap(req.pool.Name)
		}
		engines[i].Planned = req.plannedByOthers(t)
		engines[i].Memory = t.Load.Memory.Load() + t.Load.PeerMemory.Load()
		engines[i].Slots = int64(req.pool.Generation.Slots)
		engines[i].Cached, engines[i].CachedHot = t.CachedTokens(req.Parts, req.partKeys, hot, now)
	}
	prompt := req.prompt(hot, rate, now)
	if gap > 0 {
		prompt.MaxGap, prompt.RunningGap = req.route.MaxGap, gap
	}
	index, delay := place.ChooseEngine(prompt, engines)
	if index == place.NoEngine {
		return held
	}
	unread := max(req.PromptTokens-engines[index].Cached, 0)
	return choice{target: targets[index], unread: unread, delay: delay}
}

// prompt returns the properties of the request by which an engine is chosen.
func (r *request) prompt(hot []bool, rate float64, now clock.Millis) *place.Prompt {
	p := &place.Prompt{TokensPerMs: rate, Tokens: r.PromptTokens, Output: r.expectedOutput(), Slack: r.neededBy - now}
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
			p.InputBytes = place.AddBytes(p.InputBytes, r.results[reference].zone, stage.ResultBytes)
		}
	}
	return p
}

// remoteBytes returns the size of the inputs that are stored outside an availability zone.
func (r *request) remoteBytes(zone string) int64 {
	if r.run == nil {
		return 0
	}
	var remote int64
	for _, reference := range r.run.FinalResults() {
		if location := r.results[reference]; location.zone != zone {
			remote += location.bytes
		}
	}
	return remote
}

// expectedOutput returns the expected number of output tokens.
func (r *request) expectedOutput() int64 {
	if r.LikelyTokens > 0 {
		return min(r.LikelyTokens, r.OutputTokens)
	}
	return int64(expectedOutputShare * float64(r.OutputTokens))
}

func (g *Gate) chooseServer(targets []*target.Target, excluded []bool, held choice, now clock.Millis) choice {
	servers := make([]place.Server, len(targets))
	for i, t := range targets {
		servers[i] = place.Server{Excluded: excluded[i]}
		if excluded[i] {
			continue
		}
		running := max(t.Load.Running.Load()+t.Load.PeerRunning.Load(), 0)
		servers[i] = place.Server{SameZone: t.Zone == g.Zone, Running: running, Slots: int64(t.Slots), Latency: t.Latency(), Slowdown: t.Load.Slowdown(now)}
	}
	if len(servers) == 0 {
		return held
	}
	index := place.ChooseServer(servers, rand.IntN(len(servers)))
	if index == place.NoEngine {
		return held
	}
	return choice{target: targets[index]}
}

// plannedByOthers returns the prompt tokens planned for an engine by all other requests.
func (r *request) plannedByOthers(t *target.Target) int64 {
	planned := t.Load.Planned.Load() + t.Load.PeerPlanned.Load()
	if r.plannedTarget == t {
		planned -= r.plannedTokens
	}
	return max(planned, 0)
}

// planEngine chooses the engine that would run the request if it were sent now, so that its
// inputs are computed near it, and returns the expected time there to the first event. Until
// the request is sent, its prompt counts as planned at that engine: many requests end their
// stages at the same moment, and without this they would all choose the same idle engine.
func (g *Gate) planEngine(req *request) clock.Millis {
	if req.pool.Generation == nil {
		return minGenerationTime
	}
	chosen := g.choose(req)
	if chosen.target == nil {
		return minGenerationTime
	}
	req.preferredZone = chosen.target.Zone
	req.plannedTarget, req.plannedTokens = chosen.target, chosen.unread
	chosen.target.Load.Planned.Add(chosen.unread)
	return minGenerationTime + clock.Millis(chosen.delay)
}

// cancelPlan undoes planEngine, when the request is sent or ends.
func (r *request) cancelPlan() {
	if r.plannedTarget != nil {
		r.plannedTarget.Load.Planned.Add(-r.plannedTokens)
		r.plannedTarget, r.plannedTokens = nil, 0
	}
}
