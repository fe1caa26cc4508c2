package gate

import (
	"cmp"
	"net/http"
	"strings"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/engine/spell"
	"github.com/jujubescale/jujubescale/internal/flow/blame"
	"github.com/jujubescale/jujubescale/internal/flow/crash"
	"github.com/jujubescale/jujubescale/internal/flow/gaps"
	"github.com/jujubescale/jujubescale/internal/flow/graph"
	"github.com/jujubescale/jujubescale/internal/flow/origin"
	"github.com/jujubescale/jujubescale/internal/flow/span"
	"github.com/jujubescale/jujubescale/internal/guard/grace"
	"github.com/jujubescale/jujubescale/internal/route/view"
	"github.com/jujubescale/jujubescale/internal/serve/proof"
	"github.com/jujubescale/jujubescale/internal/serve/resume"
	"github.com/jujubescale/jujubescale/internal/serve/target"
	"github.com/jujubescale/jujubescale/internal/serve/upload"
)

// request is the state of one caller's request.
type request struct {
	spell.RequestInfo
	// partKeys identify the parts of the prompt in messages between processes.
	partKeys []target.Key

	decision     proof.Decision
	route        *table.Route
	pool         *table.Pool
	organisation string
	priority     int

	method string
	target string
	host   string
	header http.Header
	body   upload.Body
	// crashID is computed by crashKey on first use. quarantineTrial marks a quarantined
	// request that may run once to check whether it still crashes endpoints.
	crashID         crash.Key
	quarantineTrial bool
	// shared is computed by promptParts on first use. Engines of the versions in barred may not
	// get the request because of a part of its prompt. isTrial marks the trial of a part at
	// engines of the version trial.
	shared  []blame.Part
	barred  []string
	isTrial bool
	trial   string

	// canary marks a request that goes to the candidate version of the pool's rollout, if
	// one runs.
	canary bool

	began clock.Millis
	// firstArrival is when the caller's first attempt arrived, as far as known.
	// afterRefusal marks a request that was refused earlier and sent again after the
	// requested delay.
	firstArrival clock.Millis
	afterRefusal bool
	// admittedLate marks a request that was admitted although it will probably miss its
	// objective.
	admittedLate bool
	neededBy     clock.Millis
	deadline     clock.Millis

	run *graph.Run
	// preferredZone is the availability zone where the request will probably run, and
	// generationEstimate the expected time from its start there to its first event.
	preferredZone      string
	generationEstimate clock.Millis
	// plannedTarget is the engine that will probably run the generation, and plannedTokens
	// the number of prompt tokens that it will have to read.
	plannedTarget *target.Target
	plannedTokens int64
	results       map[string]resultLocation // by reference

	// sentCount is the number of endpoints that the request was sent to; tried also
	// contains those that could not be reached.
	sentCount int
	tried     []*view.Endpoint
	// unreachable is the number of endpoints that could not be reached. stageRestarts is
	// how often the stages were run again because a result was lost.
	unreachable   int
	stageRestarts int
	// unlimitedOnly is set once the request has waited for permits as long as it may.
	unlimitedOnly bool
	// mayHaveRun is set if an endpoint may have run the request.
	mayHaveRun bool
	// estimate is the expected time of the stages and the first event. stagesTime is how
	// long the stages took, firstEventTime the time from arrival to the first event.
	estimate       clock.Millis
	stagesTime     clock.Millis
	firstEventTime clock.Millis
	// bottleneck is the pool whose queue was too long to admit the request.
	bottleneck string
	// spans are the times of the stages, in the order in which they ended.
	spans []span.Span
	// timeToSend is the time from arrival to the first attempt. It includes the stages and
	// the wait for an endpoint.
	timeToSend clock.Millis
	// headSent is set once the caller has received the head of an answer; status is the
	// status code of that answer.
	headSent   bool
	status     int
	eventCount int
	// attemptEvents is the number of events of the current attempt.
	attemptEvents int
	// resumesStream is set if the caller asks for the rest of a stream. origin is where the
	// stream began, nil before the first event; only endpoints that it allows may go on.
	resumesStream bool
	origin        *origin.Origin
	// stream is the stream that the caller gets, nil before the first event.
	stream *resume.Stream
	// gaps holds the times between events, also of different endpoints.
	gaps         gaps.Longest
	lastEndpoint *view.Endpoint
}

// resultLocation is the place where the result of a stage is stored.
type resultLocation struct {
	pool     string
	endpoint string
	zone     string
	bytes    int64
}

// accept reads a request and runs all checks that need no other process. A request that it refuses reaches no endpoint.
func (g *Gate) accept(w http.ResponseWriter, r *http.Request, now clock.Millis) (*request, *fault.RefusalError) {
	req := &request{began: now, firstArrival: now, method: r.Method, host: r.Host, target: r.RequestURI, header: r.Header}
	info, err := g.Codec.RequestInfoFunc(r.Header)
	req.RequestInfo = info
	req.partKeys = target.KeysOf(info.Parts)
	if len(r.TransferEncoding) > 0 {
		// If a request has both a Content-Length and chunked encoding, two readers may disagree on where the body
		// ends. The connection is closed so that the following bytes are not parsed as another request.
		w.Header().Set("Connection", "close")
	}
	if err != nil {
		return req, fault.Refuse(fault.BadRequest, err.Error())
	}
	again := func() *fault.RefusalError { return g.resolveRoute(req, r) }
	if refused := g.Config.ConfirmRequest(r.Context(), req.Request, &req.decision, again(), again); refused != nil {
		return req, refused
	}
	if refused := g.refuseLacking(); refused != nil {
		return req, refused
	}
	var refused *fault.RefusalError
	if req.body, refused = g.Uploads.Read(w, r, req.decision.Table.Limits.MaxBodyBytes, req.deadline); refused != nil {
		return req, g.Config.ConfirmDenial(r.Context(), req.Request, &req.decision, refused, nil)
	}
	if refused := g.refuseQuarantined(req); refused != nil {
		return req, refused
	}
	if refused := g.refuseParts(r.Context(), req); refused != nil {
		return req, refused
	}
	return req, g.Config.ConfirmDenial(r.Context(), req.Request, &req.decision, g.prepareStages(req), nil)
}

// resolveRoute sets the route, pool, organisation, priority, objective and deadline of the request.
func (g *Gate) resolveRoute(req *request, r *http.Request) *fault.RefusalError {
	if !g.mayServe() {
		return fault.Refuse(fault.NotReady, "no configuration yet, or peers may know a newer one")
	}
	if g.stop.Refusing() {
		return fault.Refuse(fault.Leaving, "the process is being stopped")
	}
	if !strings.HasPrefix(req.target, "/") {
		req.target = r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(req.target, "?")
	req.decision = g.Config.Decide()
	routes := req.decision.Table
	if req.route = routes.Match(r.Host, path); req.route == nil {
		return fault.Deny(fault.UnknownRoute, "")
	}
	organisation := routes.Holder(req.Key)
	if organisation == nil && routes.NeedsKey(req.route) {
		return fault.Deny(fault.Unauthorized, "")
	}
	if organisation != nil {
		req.organisation = organisation.Name
	}
	req.priority = table.Priority(req.route, organisation)
	if req.route.Kind == table.Stream && req.ResumesFault != "" {
		return fault.Refuse(fault.BadRequest, "the attempt whose stream is resumed: bad value "+req.ResumesFault)
	}
	req.resumesStream = req.route.Kind == table.Stream && (req.LastEvent != "" || req.Resumes != "")
	poolKey := req.Request
	if req.resumesStream {
		poolKey = cmp.Or(req.Resumes, req.Request) // a stream stays in the pool that began it
	}
	req.pool = routes.Pool(req.route.Pool(poolKey))
	if req.pool == nil {
		return fault.Refuse(fault.NoEndpoint, "the route's pool is not configured")
	}
	req.canary = g.Deploy.DrawCandidate(req.pool.Name, req.route.Name)
	req.neededBy = req.began + req.route.Objective
	req.deadline = req.began + req.route.Timeout
	if req.Deadline > 0 {
		req.deadline = min(req.deadline, req.began+req.Deadline)
	}
	return g.refuseUnended(req, grace.Arrived)
}

// prepareStages sets up the stages of the request's route, if it has any.
func (g *Gate) prepareStages(req *request) *fault.RefusalError {
	if len(req.route.Stages) == 0 {
		return nil
	}
	run, err := graph.New(req.route.Stages, req.Pieces)
	if err != nil {
		return fault.Deny(fault.BadRequest, err.Error())
	}
	req.run = run
	req.results = make(map[string]resultLocation)
	g.applyEarlierRefusal(req)
	return nil
}
