package gate

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/engine/conn"
	"github.com/jujubescale/jujubescale/internal/engine/hop"
	"github.com/jujubescale/jujubescale/internal/engine/spell"
	"github.com/jujubescale/jujubescale/internal/flow/stall"
	"github.com/jujubescale/jujubescale/internal/guard/grace"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/serve/deploy"
	"github.com/jujubescale/jujubescale/internal/serve/permit"
	"github.com/jujubescale/jujubescale/internal/serve/target"
)

const (
	// maxPlainBytes bounds an answer that is read completely before it is passed on. The
	// largest plain answers of known users have 5 KB.
	maxPlainBytes = 1 << 20
	// fullBackoff is how long an endpoint is blocked after it was found full.
	fullBackoff = 80 * clock.Millis(1)
	// headCapacity is the usual size of a request's head, in bytes.
	headCapacity = 1 << 10
)

// attempt sends the request to one endpoint and passes the answer on.
func (g *Gate) attempt(ctx context.Context, w http.ResponseWriter, req *request, chosen choice) attemptResult {
	t := chosen.target
	req.tried = append(req.tried, t.Endpoint)
	req.lastEndpoint, req.attemptEvents = t.Endpoint, 0
	now := g.Clock.Now()
	g.Log.Info("request sent", "request", req.Request, "route", req.route.Name, "pool", req.pool.Name,
		"endpoint", t.ID, "version", t.Version, "running", t.Load.Running.Load(), "peerRunning", t.Load.PeerRunning.Load(),
		"prefill", t.Load.Prefill.Load()+t.Load.PeerPrefill.Load(), "unread", chosen.unread, "delayMs", int64(chosen.delay), "slowdown", t.Load.Slowdown(now),
		"zone", t.Zone, "wish", req.preferredZone, "farBytes", req.remoteBytes(t.Zone), "cold", t.Cold(now), "heardMs", int64(now-t.UpdatedAt()), "sent", req.sentCount, "timeLeftMs", int64(req.deadline-now))
	l := g.addLoad(t, req, chosen)
	defer l.release()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := g.startStallTimer(ctx, req, cancel)
	defer timer.Stop()
	if req.pool.Generation != nil {
		g.releaseInputsEarly(req, t)
	}
	result := g.exchange(ctx, w, req, l, timer)
	if next, granted := timer.Stop(); granted {
		g.useSecond(req, next, &result)
	}
	if result.outcome == answered && result.err == nil {
		g.stop.Record(req.kind(grace.Chosen), g.Clock.Since(l.sentAt), g.Clock.Now())
	}
	result.verdict = g.recordAttempt(ctx, req, t, result)
	return result
}

// exchange sends the request to the endpoint of l and passes the answer on.
func (g *Gate) exchange(ctx context.Context, w http.ResponseWriter, req *request, l *attemptLoad, timer *stall.Timer[choice]) attemptResult {
	t := l.target
	if req.origin != nil {
		if err := g.confirmStart(ctx, req, t); err != nil {
			return attemptResult{outcome: unsent, cause: err, err: temporaryRefusal(fault.VersionGone, retryAfterResume)}
		}
		g.recordResume(req, t.Endpoint)
	}
	now := g.Clock.Now()
	reply, err := t.Send(ctx, g.buildRequest(req, t, now))
	if err != nil {
		return g.handleNoReply(ctx, req, t, l, err)
	}
	defer reply.Finish()
	req.sentCount++
	return g.handleReply(w, req, t, reply, l, timer, now)
}

// longPrompt is the number of unread prompt tokens, about 30 ms of an engine's time, from
// which peers are sent a report at once. Peers choose engines by the same prompt parts;
// with the next regular report alone, several processes would send such prompts to one
// engine, where they would queue behind each other.
const longPrompt = 1500

// attemptLoad is what one attempt adds to the load of an endpoint.
type attemptLoad struct {
	target  *target.Target
	prefill int64
	memory  int64
	room    permit.Reservation
	// rolloutAttempt counts the answer while a rollout of the pool runs.
	rolloutAttempt *deploy.Attempt
	// onlyPrompt is set if the endpoint had no other prompt to read when this one was sent.
	onlyPrompt bool
	sentAt     clock.Millis
}

func (g *Gate) addLoad(t *target.Target, req *request, chosen choice) *attemptLoad {
	l := &attemptLoad{target: t, room: chosen.room}
	expected := deploy.DefaultExpectedMs
	if req.pool.Generation != nil {
		expected = float64(minGenerationTime) + chosen.delay
		l.prefill = chosen.unread
		l.memory = req.PromptTokens + req.expectedOutput()
		g.prefixes.RecordSent(t, req.partKeys)
	}
	l.rolloutAttempt = g.Deploy.Begin(t.Endpoint, req.route.Name, 1, expected)
	t.Load.Running.Add(1)
	l.onlyPrompt = t.Load.Prefill.Load()+t.Load.PeerPrefill.Load() == 0
	l.sentAt = g.Clock.Now()
	g.speeds.AddPrompt(t.Endpoint, l.prefill)
	t.Load.Memory.Add(l.memory)
	if l.prefill >= longPrompt {
		g.mesh.ReportNow()
	}
	return l
}

// learnReadRate updates the pool's read rate from the time to the first event of a long
// prompt that did not queue behind another one.
func (g *Gate) learnReadRate(l *attemptLoad) {
	if l.onlyPrompt && l.prefill >= longPrompt {
		g.speeds.LearnReadRate(l.target.Endpoint, l.prefill, float64(g.Clock.Since(l.sentAt)-minGenerationTime/2))
	}
}

// markPromptRead removes the prompt from the load; the first event shows that it was read.
func (l *attemptLoad) markPromptRead() {
	l.target.Load.Prefill.Add(-l.prefill)
	l.prefill = 0
}

func (l *attemptLoad) release() {
	l.markPromptRead()
	l.rolloutAttempt.RecordCancel()
	l.target.Load.Running.Add(-1)
	l.target.Load.Memory.Add(-l.memory)
	l.room.Release()
}

// startStallTimer returns the timer that cancels an attempt once another endpoint may be tried.
func (g *Gate) startStallTimer(ctx context.Context, req *request, cancel context.CancelFunc) *stall.Timer[choice] {
	if !req.route.Idempotent() || req.sentCount+1 >= max(req.route.Attempts, 1) {
		return &stall.Timer[choice]{}
	}
	asked := *req // the attempt changes req meanwhile, and what run holds
	asked.run = nil
	if req.origin != nil {
		first := *req.origin
		asked.origin = &first
	}
	return stall.Start(ctx, stall.Settings[choice]{
		Objective: req.route.Objective, CancelFunc: cancel,
		AskFunc: func(ctx context.Context) (choice, bool) { return g.takeSecond(ctx, &asked) },
	})
}

// takeSecond takes what an attempt at another endpoint needs while the first one is silent, and
// reports whether it may be made. A trial has one attempt.
func (g *Gate) takeSecond(ctx context.Context, req *request) (choice, bool) {
	if req.quarantineTrial || req.isTrial || g.quarantineRemaining(req) > 0 {
		return choice{}, false
	}
	next := g.chooseAmong(req, false)
	if next.target == nil || next.target.Full() || !g.retryBudget.Take(req.pool.Name) {
		return choice{}, false
	}
	if next.room, next.wait = g.take(ctx, req, next.target); next.wait > 0 {
		g.retryBudget.Return(req.pool.Name)
	}
	return next, next.wait == 0
}

// useSecond passes what was taken to the next attempt, or gives it back if that needs none.
func (g *Gate) useSecond(req *request, next choice, result *attemptResult) {
	if (result.outcome != broken && result.outcome != failed) || result.retryGranted || req.headSent {
		next.room.Release()
		g.retryBudget.Return(req.pool.Name)
		return
	}
	result.retryGranted, result.next = true, next
}

// buildRequest encodes the request for an endpoint.
func (g *Gate) buildRequest(req *request, t *target.Target, now clock.Millis) *conn.Request {
	head := make([]byte, 0, headCapacity)
	head = append(head, req.method...)
	head = append(head, ' ')
	head = append(head, req.target...)
	head = append(head, " HTTP/1.1\r\nHost: "...)
	head = append(head, req.host...)
	head = append(head, "\r\n"...)
	head = hop.Append(head, req.header, g.Codec.ReservedFunc)
	call := &spell.Call{
		Deadline: max(req.deadline-now, 1), Instance: t.ID, Organisation: req.organisation,
		LastEvent: req.LastEvent, Urgency: -1,
	}
	if req.run != nil {
		call.Inputs, call.HasInputs = req.run.FinalResults(), true
	}
	if req.pool.Generation != nil {
		call.Urgency = spell.UrgencyOf(req.priority, now > req.neededBy && !req.headSent)
	}
	head = g.Codec.CallFunc(head, call)
	if len(req.body.Bytes) > 0 || req.method == http.MethodPost || req.method == http.MethodPut || req.method == http.MethodPatch {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(len(req.body.Bytes)), 10)
		head = append(head, "\r\n"...)
	}
	head = append(head, "\r\n"...)
	maxIdle, margin := conn.ReuseIdle(req.route.Idempotent(), g.reuses(t.Endpoint))
	id := req.Request
	return &conn.Request{
		Method: req.method, Head: head, Body: req.body.Bytes, MaxIdle: maxIdle, IdleMargin: margin, Work: workForward,
		MatchFunc: func(header http.Header, fresh bool) bool {
			answerID := g.Codec.ResponseInfoFunc(header).Request
			return answerID == id || (answerID == "" && fresh)
		},
	}
}

// workForward names forwarded requests in the metrics of connections.
const workForward = "forward"

// handleNoReply returns the result of an attempt that got no head of an answer.
func (g *Gate) handleNoReply(ctx context.Context, req *request, t *target.Target, l *attemptLoad, err error) attemptResult {
	now := g.Clock.Now()
	var held *permit.HeldError
	if errors.As(err, &held) {
		g.Log.Info("endpoint held", "request", req.Request, "endpoint", t.ID, logs.KeyError, err)
		return attemptResult{outcome: unsent, err: temporaryRefusal(fault.NoEndpoint, retryAfterNoEndpoint)}
	}
	var full *conn.FullError
	if errors.As(err, &full) {
		t.Block(now + fullBackoff)
		g.Door.Full(now)
		return attemptResult{outcome: unsent, err: fault.Refuse(fault.QueueFull, err.Error())}
	}
	t.RecordFailure(now)
	var sent *conn.SentError
	g.Log.Info("endpoint failed", "request", req.Request, "endpoint", t.ID, "sent", errors.As(err, &sent), logs.KeyError, err)
	if !errors.As(err, &sent) {
		return attemptResult{outcome: unsent, cause: err, err: fault.Refuse(fault.NoEndpoint, err.Error())}
	}
	g.limits.ObserveBreak(t.Endpoint)
	if req.pool.ColdTime > 0 {
		// The endpoint may have restarted without any sign but the reset; then it is cold.
		t.SetCold(now + req.pool.ColdTime)
	}
	if ctx.Err() == nil {
		l.rolloutAttempt.RecordBreak()
	}
	req.sentCount++
	req.mayHaveRun = true
	return attemptResult{outcome: broken, err: fault.Refuse(fault.EndpointFailed, err.Error())}
}

// handleReply decides by the head of an answer whether to pass it on.
func (g *Gate) handleReply(w http.ResponseWriter, req *request, t *target.Target, reply *conn.Reply, l *attemptLoad, timer *stall.Timer[choice], began clock.Millis) attemptResult {
	info := g.ObserveAnswer(t.Endpoint, reply, req.Request, began)
	if info.Cold > 0 {
		t.SetCold(g.Clock.Now() + info.Cold)
	}
	switch {
	case info.NotRun || reply.Status == http.StatusMisdirectedRequest:
		return g.handleRefusal(req, t, reply, info)
	case reply.Status >= http.StatusOK && reply.Status < http.StatusMultipleChoices && !info.Sealed:
		req.mayHaveRun = true
		t.RecordFailure(g.Clock.Now())
		l.rolloutAttempt.RecordBreak()
		return attemptResult{outcome: broken, err: fault.Refuse(fault.AnswerBroken, "the answer has no seal")}
	}
	req.mayHaveRun = true
	if reply.Status < http.StatusMultipleChoices && req.route.Kind == table.Stream {
		return g.passEvents(w, req, t, reply, l, timer)
	}
	return g.passComplete(w, req, t, reply, l, timer, info, began)
}

// handleRefusal returns the result of an attempt whose endpoint answered that it did not
// run the request.
func (g *Gate) handleRefusal(req *request, t *target.Target, reply *conn.Reply, info spell.ResponseInfo) attemptResult {
	_, _ = io.Copy(io.Discard, io.LimitReader(reply.Body, maxPlainBytes)) // only the head matters
	now := g.Clock.Now()
	g.Log.Info("endpoint refused", "request", req.Request, "endpoint", t.ID, "status", reply.Status,
		"running", info.Running, "waiting", info.Waiting, "slots", info.Slots)
	switch reply.Status {
	case http.StatusMisdirectedRequest:
		t.BlockReplaced(now)
		return attemptResult{outcome: notRun, err: temporaryRefusal(fault.WrongEndpoint, retryAfterFull)}
	case http.StatusConflict:
		return attemptResult{outcome: inputsGone, err: temporaryRefusal(fault.InputLost, retryAfterFull)}
	case http.StatusBadRequest:
		return attemptResult{outcome: notRun, err: fault.Refuse(fault.BadRequest, "the endpoint refused the request")}
	}
	t.Block(now + fullBackoff)
	return attemptResult{outcome: notRun, err: temporaryRefusal(fault.Overloaded, retryAfterFull)}
}

func temporaryRefusal(reason fault.Reason, after clock.Millis) *fault.RefusalError {
	return &fault.RefusalError{Reason: reason, Ran: fault.NotRun, RetryAfter: jitter(after)}
}
