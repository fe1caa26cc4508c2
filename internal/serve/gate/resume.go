package gate

import (
	"context"
	"slices"
	"strconv"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/flow/origin"
	"github.com/jujubescale/jujubescale/internal/route/view"
	"github.com/jujubescale/jujubescale/internal/serve/resume"
	"github.com/jujubescale/jujubescale/internal/serve/target"
)

// Values of the labels of the metrics of resumed streams.
const (
	resumedByGateway = "gateway"
	resumedByCaller  = "caller"

	versionSame    = "same"
	versionOther   = "other"
	versionUnknown = "unknown"
)

const (
	// originMargin is how long the origin of a stream is kept after the deadline of its
	// request: a caller may come back at the last moment.
	originMargin = clock.Second
	// retryAfterResume is when a caller whose stream can't be resumed may begin a new one.
	retryAfterResume = 200 * clock.Millis(1)
)

// resumer returns who resumes the request's stream, as a label: the gateway within the answer
// that it passes on, or the caller with a new request.
func (r *request) resumer() string {
	if r.eventCount > 0 {
		return resumedByGateway
	}
	return resumedByCaller
}

func (r *request) originKey(id string) origin.Key {
	return origin.KeyOf(r.organisation, r.route.Name, r.pool.Name, id)
}

// contentKey returns the key of the streams that the same request began, and false if other
// requests may have the same content: only the key of its pieces and the last part of its prompt
// are a request's own.
func (r *request) contentKey() (origin.Key, bool) {
	own := r.PieceKey
	if len(r.Parts) > 0 {
		own += "/" + r.Parts[len(r.Parts)-1].ID
	}
	if own == "" {
		return origin.Key{}, false
	}
	return origin.ContentKeyOf(r.organisation, r.route.Name, r.pool.Name, r.crashKey().String()+"/"+own), true
}

// streamName describes the stream that the caller resumes.
func (r *request) streamName() string {
	if r.Resumes == "" {
		return "a stream of this request"
	}
	return "stream " + strconv.Quote(r.Resumes)
}

// findOrigin finds the origin of the stream that the caller resumes. It returns a refusal if the
// origin is unknown or no endpoint may resume the stream.
func (g *Gate) findOrigin(ctx context.Context, req *request) error {
	if !req.resumesStream {
		return nil
	}
	found, now := g.lookUpOrigin(ctx, req), g.Clock.Now()
	doubtful := found.Verdict == origin.Known && found.Origin.Doubtful(g.View())
	g.Log.Info("stream origin", "request", req.Request, "resumes", req.Resumes, "lastEvent", req.LastEvent, "pool", req.pool.Name,
		"result", found.Verdict.String(), "firstVersion", found.Origin.Version, "firstEndpoint", found.Origin.Endpoint, "doubtful", doubtful,
		"source", found.Source, "ageMs", int64(found.Age(now)), "asked", found.Asked, "answered", found.Answered, "keptMs", int64(found.Kept), "tookMs", int64(found.Took))
	switch {
	case found.Verdict != origin.Known:
		return g.resumeRefusal(req, fault.StreamUnknown, "the version that began "+req.streamName()+" is "+found.Verdict.String())
	case doubtful:
		return g.resumeRefusal(req, fault.StreamUnknown, "endpoint "+found.Origin.Endpoint+" has changed its version since it began the stream")
	}
	req.origin = &found.Origin
	if !g.mayResume(req) {
		return g.versionGone(req)
	}
	return nil
}

// lookUpOrigin looks up the stream that the caller names. If it names none, it looks up the
// streams that the same request began.
func (g *Gate) lookUpOrigin(ctx context.Context, req *request) resume.Found {
	if req.Resumes != "" {
		return g.Origins.Find(ctx, req.originKey(req.Resumes))
	}
	key, own := req.contentKey()
	if !own {
		return resume.Found{}
	}
	return g.Origins.FindCommon(ctx, key, req.route.Timeout+originMargin)
}

// recordOrigin records the endpoint that has sent the first event of an answer. A new stream may be
// resumed once the start of that endpoint is confirmed.
func (g *Gate) recordOrigin(req *request, t *target.Target) {
	if !req.route.Resumable {
		return
	}
	now, resumed := g.Clock.Now(), req.origin != nil
	until := max(req.deadline, req.began+req.route.Timeout) + originMargin
	if !resumed {
		first := origin.Of(t.Endpoint, now, until)
		req.origin = &first
	}
	req.origin.Until = max(req.origin.Until, until)
	if req.origin.Doubtful(g.View()) {
		return
	}
	named, others := []origin.Key{req.originKey(req.Request)}, []origin.Key(nil)
	if key, own := req.contentKey(); own {
		others = append(others, key)
	}
	if req.Resumes != "" {
		named = append(named, req.originKey(req.Resumes))
	}
	stream, began := g.Origins.NewStream(req.pool.Name, named, others), *req.origin
	if req.stream = stream; resumed {
		stream.Begin(&began)
		return
	}
	g.whenConfirmed(req, t, func() { stream.Begin(&began) })
}

// resumeEndpoints returns the endpoints that may resume the request's stream. Those of the
// candidate version of a rollout get only the share of the requests that the rollout allows.
func (g *Gate) resumeEndpoints(req *request) []*view.Endpoint {
	if req.origin.Doubtful(g.View()) || req.eventCount > 0 && !req.stream.Begun() {
		return nil
	}
	all := g.View().Pool(req.pool.Name)
	next := g.View().Candidates(req.pool.Name)
	switch {
	case len(next) == 0:
	case g.Deploy.Promoted(req.pool.Name, req.route.Name):
		all = slices.Concat(all, next)
	case req.canary:
		all = slices.Concat(all, g.Deploy.ActiveCandidates(req.pool.Name, next))
	}
	allowed := make([]*view.Endpoint, 0, len(all))
	for _, e := range all {
		if req.origin.Allows(e) {
			allowed = append(allowed, e)
		}
	}
	return allowed
}

// versionGone returns the refusal of a stream that no endpoint may resume.
func (g *Gate) versionGone(req *request) *fault.RefusalError {
	return g.resumeRefusal(req, fault.VersionGone, "no endpoint of version "+strconv.Quote(req.origin.Version)+" takes requests")
}

// mayResume reports whether an endpoint is left that may resume the request's stream.
func (g *Gate) mayResume(req *request) bool {
	return req.origin != nil && slices.ContainsFunc(g.resumeEndpoints(req), func(e *view.Endpoint) bool {
		return !g.limits.Unavailable(e) && !slices.Contains(req.tried, e)
	})
}

// resumeRefusal logs, counts and returns the refusal to resume a stream.
func (g *Gate) resumeRefusal(req *request, reason fault.Reason, detail string) *fault.RefusalError {
	by := req.resumer()
	g.meter.notResumed.WithLabelValues(by, string(reason)).Inc()
	g.Log.Info("stream not resumed", "request", req.Request, "resumes", req.Resumes, "lastEvent", req.LastEvent, "by", by,
		"pool", req.pool.Name, "reason", string(reason), "detail", detail)
	return &fault.RefusalError{Reason: reason, Ran: fault.NotRun, RetryAfter: jitter(retryAfterResume), Detail: detail}
}

// recordResume logs and counts an attempt that resumes a stream at an endpoint: after a break
// within one answer, or because the caller asks for the rest of an earlier answer.
func (g *Gate) recordResume(req *request, e *view.Endpoint) {
	by, first, compared := req.resumer(), req.origin.Version, versionUnknown
	switch {
	case first == "" || e.Version == "":
	case first == e.Version:
		compared = versionSame
	default:
		compared = versionOther
	}
	g.meter.resumes.WithLabelValues(by, compared).Inc()
	g.Log.Info("stream resumed", "request", req.Request, "resumes", req.Resumes, "lastEvent", req.LastEvent, "by", by,
		"pool", req.pool.Name, "endpoint", e.ID, "version", e.Version, "firstVersion", first, "compared", compared)
}
