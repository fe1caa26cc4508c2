package gate

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"syscall"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/flow/blame"
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
		r.crashID = crash.KeyOf(r.organisation, r.method, host, r.target, r.body.Bytes)
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

// promptParts returns the parts of the prompt that other requests share, each once.
func (r *request) promptParts() []blame.Part {
	if r.shared == nil && len(r.Parts) > 1 {
		r.shared = make([]blame.Part, 0, len(r.Parts)-1)
		for _, part := range r.Parts[:len(r.Parts)-1] {
			shared := blame.Part{Key: crash.PartKeyOf(r.pool.Name, r.Model, part.ID), ID: part.ID}
			if !slices.Contains(r.shared, shared) {
				r.shared = append(r.shared, shared)
			}
		}
	}
	return r.shared
}

// refuseParts refuses a new request if engines of no version of its pool may get it because of a
// part of its prompt.
func (g *Gate) refuseParts(ctx context.Context, req *request) *fault.RefusalError {
	if len(req.Parts) < 2 || g.Detector.Parts().Empty() {
		return nil
	}
	var refused *fault.RefusalError
	for _, e := range g.View().Pool(req.pool.Name) {
		if slices.Contains(req.barred, e.Version) {
			continue
		}
		if refused = g.refuseVersion(ctx, req, e.Version); refused == nil {
			req.barred = nil
			return nil
		}
	}
	return refused
}

// refuseVersion refuses a request that may not be sent to engines of a version because of a part
// of its prompt, and bars them from it. A request that is the trial of a part has one attempt.
func (g *Gate) refuseVersion(ctx context.Context, req *request, version string) *fault.RefusalError {
	if len(req.Parts) < 2 || g.Detector.Parts().Empty() || (req.trial == version && req.isTrial && req.sentCount == 0) {
		return nil
	}
	trial, err := g.Detector.AdmitParts(ctx, req.Request, req.crashKey(), req.promptParts(), version)
	var held *detect.HeldError
	if errors.As(err, &held) {
		req.barred = append(req.barred, version)
		return &fault.RefusalError{Reason: fault.Quarantined, Ran: fault.NotRun, RetryAfter: partRetry(held.Wait), Detail: held.Error()}
	}
	req.isTrial, req.trial = trial, version
	return nil
}

// partRetry returns the time after which a caller returns: not before the trial of its part is due,
// and apart from others.
func partRetry(wait clock.Millis) clock.Millis {
	wait = max(wait, minPartRetry)
	return wait + rand.N(wait/4+1)
}

// otherVersion reports whether the pool has engines of a version that the request may go to.
func (g *Gate) otherVersion(req *request) bool {
	return slices.ContainsFunc(g.View().Pool(req.pool.Name), func(e *view.Endpoint) bool { return !slices.Contains(req.barred, e.Version) })
}

// minPartRetry is the shortest time after which a caller returns whose request has a part that is
// held back: a trial may be running.
const minPartRetry = 200 * clock.Millis(1)

// awaitVerdict waits until the crash is counted that broke off an attempt, so that the next
// attempt isn't made with a part that crashes engines.
func (g *Gate) awaitVerdict(ctx context.Context, verdict <-chan struct{}) {
	if verdict == nil {
		return
	}
	timedOut, stop := g.Clock.After(verdictTimeout)
	defer stop()
	select {
	case <-verdict:
	case <-timedOut:
	case <-ctx.Done():
	}
}

// verdictTimeout bounds the wait for a probe: an endpoint that has ended refuses connections at once.
const verdictTimeout = 40 * clock.Millis(1)

// CheckRemovedEndpoint looks whether an endpoint whose entry was removed has crashed.
func (g *Gate) CheckRemovedEndpoint(e *view.Endpoint) { g.Detector.ProbeAgain(g.targets.Get(e)) }

// recordAttempt updates the crash detection with the result of an attempt. It returns a channel that is closed once the crash that broke off the attempt is counted, nil if
// there is nothing to wait for.
func (g *Gate) recordAttempt(ctx context.Context, req *request, t *target.Target, result attemptResult) <-chan struct{} {
	attempt := detect.Attempt{
		Request: req.Request, Target: t, At: g.Clock.Now(), Events: req.attemptEvents,
		Parts: req.promptParts(),
	}
	switch {
	case result.outcome == answered && result.err == nil && req.status < http.StatusInternalServerError:
		if !g.Detector.Requests().Empty() && g.Detector.Requests().RecordAnswer(req.crashKey()) {
			g.Log.Info("suspected request answered", "request", req.Request, "key", req.crashKey())
		}
	case result.outcome == broken && ctx.Err() == nil:
		attempt.Key = req.crashKey()
		return g.Detector.Probe(attempt)
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
	return nil
}
