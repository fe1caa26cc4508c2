package gate

import (
	"errors"
	"math/rand/v2"
	"net/http"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/serve/front"
)

// refuse ends a request that gets no answer of an endpoint.
func (g *Gate) refuse(w http.ResponseWriter, req *request, refused *fault.RefusalError) {
	refused.RequestID = req.Request
	if req.begun {
		// The caller has seen a part of the answer. Only a broken connection
		// tells it that the rest is missing.
		g.ended(req, refused)
		panic(http.ErrAbortHandler)
	}
	if refused.Reason == fault.Cancelled {
		g.ended(req, refused)
		panic(http.ErrAbortHandler) // nobody is there to read an answer
	}
	if refused.Reason == fault.BodyTooLarge || refused.Reason == fault.BadRequest {
		w.Header().Set("Connection", "close")
	}
	g.remember(req, refused)
	req.status = front.Refuse(w, refused)
	g.ended(req, refused)
}

// spread returns a time to come back that differs from caller to caller, so
// that those refused together don't return together.
func spread(base clock.Millis) clock.Millis {
	return base*3/4 + rand.N(base/2+1)
}

// ended logs and counts the end of a request.
func (g *Gate) ended(req *request, refused *fault.RefusalError) {
	took := g.Clock.Since(req.began)
	reason, ran, detail := "", "", ""
	if refused != nil {
		reason, ran, detail = string(refused.Reason), string(refused.Ran), refused.Detail
	}
	route, version, endpoint := "", uint64(0), ""
	if req.route != nil {
		route, version = req.route.Name, req.routes.Version
	}
	if req.last != nil {
		endpoint = req.last.ID
	}
	g.meter.ended(route, reason, req.status, took)
	g.Log.Info("request ended", "request", req.Request, "route", route, "organisation", req.organisation,
		"configuration", version, "status", req.status, "reason", reason, "ran", ran, "detail", detail,
		"tookMs", int64(took), "estimateMs", int64(req.estimate), "stagesMs", int64(req.stages), "heldMs", int64(req.held), "firstMs", int64(req.first),
		"objectiveMs", int64(req.objective-req.arrived), "sinceFirstMs", int64(req.began-req.arrived), "pool", req.binding, "spans", spansText(req.spans),
		"sent", req.sent, "endpoint", endpoint, "events", req.events,
		"timeLeftMs", int64(req.deadline-g.Clock.Now()))
}

// asRefusal turns any error into a refusal.
func asRefusal(err error, otherwise fault.Reason) *fault.RefusalError {
	var refused *fault.RefusalError
	if errors.As(err, &refused) {
		return refused
	}
	return fault.Refuse(otherwise, err.Error())
}
