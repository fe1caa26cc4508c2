package gate

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/engine/conn"
	"github.com/jujubescale/jujubescale/internal/engine/event"
	"github.com/jujubescale/jujubescale/internal/engine/hop"
	"github.com/jujubescale/jujubescale/internal/engine/spell"
	"github.com/jujubescale/jujubescale/internal/flow/stall"
	"github.com/jujubescale/jujubescale/internal/guard/hold"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/serve/detect"
	"github.com/jujubescale/jujubescale/internal/serve/front"
	"github.com/jujubescale/jujubescale/internal/serve/speeds"
	"github.com/jujubescale/jujubescale/internal/serve/spool"
	"github.com/jujubescale/jujubescale/internal/serve/target"
)

// passComplete reads an answer to its end and then passes it on. If the answer breaks off,
// the caller has received nothing: the request can go to another endpoint if it may be
// repeated, and otherwise the caller gets a failure instead of a partial answer.
func (g *Gate) passComplete(w http.ResponseWriter, req *request, t *target.Target, reply *conn.Reply, l *attemptLoad, timer *stall.Timer[choice], info spell.ResponseInfo, began clock.Millis) attemptResult {
	limit := g.maxPlain()
	body, err := io.ReadAll(io.LimitReader(reply.Body, limit+1))
	if err == nil && int64(len(body)) <= limit && !g.isWhole(t, reply) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		t.RecordFailure(g.Clock.Now())
		l.rolloutAttempt.RecordBreak()
		g.Log.Info("answer broke off", "request", req.Request, "endpoint", t.ID, "bytes", len(body), logs.KeyError, err)
		return attemptResult{outcome: broken, err: fault.Refuse(fault.AnswerBroken, err.Error())}
	}
	serverError := reply.Status >= http.StatusInternalServerError
	t.RecordAnswer(g.Clock.Since(began), serverError)
	l.rolloutAttempt.RecordAnswer(serverError || (!info.Sealed && int64(len(body)) <= limit))
	if req.headSent {
		return g.resumeFailure(req, t, reply.Status)
	}
	if retry := serverError && g.takeRetry(req, attemptResult{outcome: failed}); retry || req.falsePromise(reply.Status) {
		return g.failure(req, t, reply.Status, retry)
	}
	if !info.Sealed && !serverError && len(body) <= maxPlainBytes {
		return attemptResult{outcome: broken, err: fault.Refuse(fault.AnswerBroken, "the answer has no seal")}
	}
	if int64(len(body)) > limit {
		timer.Stop() // the rest takes as long as the caller reads
		return g.passLong(w, req, t, reply, body)
	}
	hop.Copy(w.Header(), reply.Header)
	w.Header()["Content-Length"] = reply.LengthValues(len(body))
	req.status = reply.Status
	w.WriteHeader(reply.Status)
	_, _ = w.Write(body) // an error means that the caller has disconnected
	return attemptResult{outcome: answered}
}

// maxPlain returns the largest size of an answer that is read completely before it is passed
// on.
func (g *Gate) maxPlain() int64 {
	if g.Spool == nil {
		return maxPlainBytes
	}
	return hold.PerReader - spool.KernelBytes
}

// falsePromise reports whether a status would make the caller repeat a request that may run once only.
func (r *request) falsePromise(status int) bool {
	return !r.route.Idempotent() && front.PromisesNotRun(status)
}

// failure logs a failure that isn't passed on and returns the result of its attempt.
func (g *Gate) failure(req *request, t *target.Target, status int, retryGranted bool) attemptResult {
	g.Log.Info("endpoint answered a failure", "request", req.Request, "endpoint", t.ID, "status", status)
	return attemptResult{outcome: failed, retryGranted: retryGranted, err: fault.Refuse(fault.EndpointFailed, "status "+strconv.Itoa(status))}
}

// resumeFailure returns the result of an attempt that can't resume a stream of which the
// caller already has a part. No byte of its answer may follow that part, and the stream
// must not end as if it were complete.
func (g *Gate) resumeFailure(req *request, t *target.Target, status int) attemptResult {
	g.Log.Info("endpoint doesn't go on with the stream", "request", req.Request, "endpoint", t.ID, "status", status,
		"events", req.eventCount, "lastEvent", req.LastEvent)
	return attemptResult{outcome: failed, err: fault.Refuse(fault.AnswerBroken, "status "+strconv.Itoa(status)+" instead of the rest of the stream")}
}

// passLong passes on an answer that is too long to be buffered; body is the part read so
// far.
func (g *Gate) passLong(w http.ResponseWriter, req *request, t *target.Target, reply *conn.Reply, body []byte) attemptResult {
	hop.Copy(w.Header(), reply.Header)
	if reply.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(reply.Length, 10))
	}
	req.status, req.headSent = reply.Status, true
	w.WriteHeader(reply.Status)
	_, err := io.Copy(w, io.MultiReader(bytes.NewReader(body), reply.Body))
	if err != nil || !g.isWhole(t, reply) {
		return attemptResult{outcome: broken, err: fault.Refuse(fault.AnswerBroken, fmt.Sprint("the connection failed before the end of a long answer: ", err))}
	}
	return attemptResult{outcome: answered}
}

// passEvents passes a stream on event by event. The caller gets the head of the first
// engine's answer, also if another engine resumes the stream.
func (g *Gate) passEvents(w http.ResponseWriter, req *request, t *target.Target, reply *conn.Reply, l *attemptLoad, timer *stall.Timer[choice]) attemptResult {
	flush := http.NewResponseController(w)
	events := event.New(reply.Body)
	stream := g.speeds.Stream(t.Endpoint)
	defer stream.End()
	for {
		next, err := events.Next()
		if cut := spool.Err(w); err != nil && cut != nil {
			return attemptResult{outcome: answered, err: fault.Refuse(fault.Cancelled, cut.Error())}
		}
		if err != nil {
			return g.handleStreamEnd(w, req, t, reply, l, err)
		}
		timer.Reset()
		if req.attemptEvents++; req.attemptEvents == 1 { // also if the caller has gone
			g.Detector.RecordAnswer(req.Request, t, req.promptParts())
		}
		g.recordEvent(req, l, stream)
		if req.eventCount == 0 {
			req.firstEventTime = g.Clock.Since(req.began)
			g.learnReadRate(l)
			g.meter.firstEvent.WithLabelValues(req.route.Name).Observe(seconds(req.firstEventTime))
		}
		if l.prefill > 0 || req.eventCount == 0 {
			l.markPromptRead()
			g.releaseInputs(req)
		}
		if !req.headSent {
			hop.Copy(w.Header(), reply.Header)
			req.status, req.headSent = reply.Status, true
			w.WriteHeader(reply.Status)
		}
		if _, err = w.Write(next.Raw); err == nil && !events.More() {
			err = flush.Flush()
		}
		if err != nil {
			return attemptResult{outcome: answered, err: fault.Refuse(fault.Cancelled, "the caller closed the connection")}
		}
		if req.eventCount++; req.eventCount == 1 {
			g.recordOrigin(req, t)
		}
		if next.ID != "" {
			req.LastEvent = next.ID
		}
		stream.Written(g.Clock.Since(req.gaps.LastAt))
	}
}

// gapSampleEvents is the number of events after which the mean gap of a stream is recorded
// for a rollout.
const gapSampleEvents = 4

// recordEvent records what an event shows of the endpoint and of the caller's wait.
func (g *Gate) recordEvent(req *request, l *attemptLoad, stream *speeds.Stream) {
	now := g.Clock.Now()
	stream.Add(now)
	switch stream.Events() {
	case 1:
		l.rolloutAttempt.RecordAnswer(false)
	case gapSampleEvents:
		l.rolloutAttempt.RecordPauses(stream.Mean())
	}
	g.speeds.RecordGap(req.route.Name, req.gaps.Add(now), req.route.MaxGap)
}

// releaseInputs releases the results that the engine has read: after its first event it
// needs no inputs, and stage engines have little memory.
func (g *Gate) releaseInputs(req *request) {
	if req.run != nil {
		g.releaseResults(req, req.run.ReleaseAll())
	}
}

// isWhole reports whether an answer was read to its end. The connection of a process that ends may be
// closed in order, and cut an answer whose length nothing states.
func (g *Gate) isWhole(t *target.Target, reply *conn.Reply) bool {
	return reply.Complete() && (reply.Framed || !detect.Ended(g.open.Context(), t))
}

// isWholeStream reports whether a stream that ended between two events is whole. One that is
// resumed after its last event has none; a new one without an event has broken off, unless a
// length or chunks state that it is empty.
func (g *Gate) isWholeStream(req *request, t *target.Target, reply *conn.Reply) bool {
	if !reply.Framed && req.attemptEvents == 0 && req.LastEvent == "" {
		return false
	}
	return g.isWhole(t, reply)
}

// handleStreamEnd returns the result of a stream that has ended or broken off.
func (g *Gate) handleStreamEnd(w http.ResponseWriter, req *request, t *target.Target, reply *conn.Reply, l *attemptLoad, err error) attemptResult {
	if errors.Is(err, io.EOF) && g.isWholeStream(req, t, reply) {
		t.RecordAnswer(0, false)
		l.rolloutAttempt.RecordAnswer(false)
		if !req.headSent {
			hop.Copy(w.Header(), reply.Header)
			req.status = reply.Status
			w.WriteHeader(reply.Status)
		}
		if req.attemptEvents == 0 {
			g.Log.Info("stream ended without an event", "request", req.Request, "endpoint", t.ID, "framed", reply.Framed, "lastEvent", req.LastEvent)
		}
		return attemptResult{outcome: answered}
	}
	t.RecordFailure(g.Clock.Now())
	l.rolloutAttempt.RecordBreak()
	g.Log.Info("stream broke off", "request", req.Request, "endpoint", t.ID, "framed", reply.Framed, "attemptEvents", req.attemptEvents, "events", req.eventCount,
		"lastEvent", req.LastEvent, logs.KeyError, err)
	return attemptResult{outcome: broken, err: fault.Refuse(fault.AnswerBroken, err.Error())}
}
