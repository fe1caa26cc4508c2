package gate

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"syscall"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/flow/crash"
	"github.com/jujubescale/jujubescale/internal/route/view"
	"github.com/jujubescale/jujubescale/internal/serve/detect"
	"github.com/jujubescale/jujubescale/internal/serve/target"
)

// crashKey returns a key of the request's organisation and content, which is the same
// whenever a caller repeats the request.
func (r *request) crashKey() crash.Key {
	if r.crashID == (crash.Key{}) {
		host, _, _ := strings.Cut(strings.ToLower(r.host), ":")
		r.crashID = crash.KeyOf(r.organisation, r.method, host, r.target, r.body)
	}
	return r.crashID
}

// QuarantineSubject returns the subject by which the owner of a quarantined request is
// chosen: rank 0 for the owner, higher ranks for its deputies.
func QuarantineSubject(key crash.Key, rank int) string {
	return fmt.Sprintf("quarantine/%s/%d", key, rank)
}

// refuseQuarantined refuses a new request that is quarantined because it crashed too many
// endpoints. The owner of the quarantine admits one trial when it is due.
func (g *Gate) refuseQuarantined(req *request) *fault.RefusalError {
	remaining := g.quarantineRemaining(req)
	if remaining == 0 {
		return nil
	}
	if now := g.Clock.Now(); g.Detector.Requests().TrialDue(req.crashKey(), now) && g.mesh.Owns(QuarantineSubject(req.crashKey(), 0)) {
		req.quarantineTrial = true
		return nil
	}
	return quarantineRefusal(req, remaining)
}

// refuseQuarantinedAttempt refuses the next attempt of a request that was quarantined after
// it was admitted. A trial has one attempt.
func (g *Gate) refuseQuarantinedAttempt(req *request) *fault.RefusalError {
	remaining := g.quarantineRemaining(req)
	if remaining == 0 {
		return nil
	}
	if req.quarantineTrial && req.sentCount == 0 && g.Detector.Requests().TakeTrial(req.crashKey(), g.Clock.Now()) {
		g.Log.Info("quarantined request tried", "request", req.Request, "key", req.crashKey())
		return nil
	}
	return quarantineRefusal(req, remaining)
}

func (g *Gate) quarantineRemaining(req *request) clock.Millis {
	if g.Detector.Requests().Empty() {
		return 0
	}
	return g.Detector.Requests().QuarantineLeft(req.crashKey(), g.Clock.Now())
}

func quarantineRefusal(req *request, remaining clock.Millis) *fault.RefusalError {
	return &fault.RefusalError{
		Reason: fault.Quarantined, Ran: fault.NotRun, RetryAfter: remaining,
		Detail: "endpoints crashed while they ran this request, key " + req.crashKey().String(),
	}
}

// CheckRemovedEndpoint looks whether an endpoint whose entry was removed has crashed.
func (g *Gate) CheckRemovedEndpoint(e *view.Endpoint) { g.Detector.ProbeAgain(g.targets.Get(e)) }

// recordAttempt updates the crash detection with the result of an attempt.
func (g *Gate) recordAttempt(ctx context.Context, req *request, t *target.Target, result attemptResult) {
	attempt := detect.Attempt{
		Request: req.Request, Target: t, At: g.Clock.Now(), Events: req.attemptEvents,
		Parts: req.partKeys[:max(len(req.partKeys)-1, 0)],
	}
	switch {
	case result.outcome == answered && result.err == nil && req.status < http.StatusInternalServerError:
		if !g.Detector.Requests().Empty() && g.Detector.Requests().RecordAnswer(req.crashKey()) {
			g.Log.Info("suspected request answered", "request", req.Request, "key", req.crashKey())
		}
	case result.outcome == broken && ctx.Err() == nil:
		attempt.Key = req.crashKey()
		g.Detector.Probe(attempt)
	case result.outcome == unsent:
		if req.quarantineTrial {
			g.Detector.Requests().ReturnTrial(req.crashKey())
		}
		if errors.Is(result.cause, syscall.ECONNREFUSED) {
			g.Detector.ProbeAgain(t)
		}
	case result.outcome == notRun || result.outcome == inputsGone:
	default:
		attempt.Key = req.crashKey()
		g.Detector.Keep(attempt)
	}
}
