package gate

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/engine/conn"
	"github.com/jujubescale/jujubescale/internal/engine/event"
	"github.com/jujubescale/jujubescale/internal/engine/spell"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/serve/deploy"
	"github.com/jujubescale/jujubescale/internal/serve/target"
)

// copyHead gives the caller the endpoint's headers.
func copyHead(w http.ResponseWriter, reply *conn.Reply) {
	drop := named(reply.Header)
	header := w.Header()
	for name, values := range reply.Header {
		if !hopHeaders[name] && !drop[name] {
			header[name] = values
		}
	}
	if _, found := header["Content-Type"]; !found {
		header["Content-Type"] = nil // or the server would guess one
	}
}

// passWhole reads an answer to its end and then passes it on. An answer that
// breaks off has reached nobody, so the request may go elsewhere if it may be
// repeated, and its caller hears of a failure and not of half an answer.
func (g *Gate) passWhole(w http.ResponseWriter, req *request, t *target.Target, reply *conn.Reply, l *load, marks spell.Marks, began clock.Millis) result {
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxPlainBytes+1))
	if err != nil {
		t.Failed(g.Clock.Now())
		l.trial.Broke()
		g.Log.Info("answer broke off", "request", req.Request, "endpoint", t.ID, "bytes", len(body), logs.KeyError, err)
		return result{end: broken, err: fault.Refuse(fault.AnswerBroken, err.Error())}
	}
	wrong := reply.Status >= http.StatusInternalServerError
	t.Answered(g.Clock.Since(began), wrong)
	l.trial.Answered(wrong || (!marks.Sealed && len(body) <= maxPlainBytes))
	if req.begun {
		return g.notTheRest(req, t, reply.Status)
	}
	if wrong && g.another(req, result{end: failed}) {
		return g.elsewhere(req, t, reply.Status)
	}
	if len(body) > maxPlainBytes {
		return g.passLong(w, req, reply, body)
	}
	if !marks.Sealed && !wrong {
		return result{end: broken, err: fault.Refuse(fault.AnswerBroken, "the answer bears no seal")}
	}
	copyHead(w, reply)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	req.status = reply.Status
	w.WriteHeader(reply.Status)
	_, _ = w.Write(body) // a caller that has left needs no answer
	return result{end: answered}
}

// elsewhere notes that another endpoint is tried after a failure.
func (g *Gate) elsewhere(req *request, t *target.Target, status int) result {
	g.Log.Info("endpoint answered a failure", "request", req.Request, "endpoint", t.ID, "status", status)
	return result{end: failed, granted: true, err: fault.Refuse(fault.EndpointFailed, "status "+strconv.Itoa(status))}
}

// notTheRest judges an answer that can't go on with a stream that the caller has a
// part of: no byte of it may follow that part, nor may the stream end as if whole.
func (g *Gate) notTheRest(req *request, t *target.Target, status int) result {
	g.Log.Info("endpoint doesn't go on with the stream", "request", req.Request, "endpoint", t.ID, "status", status,
		"events", req.events, "lastEvent", req.LastEvent)
	return result{end: failed, err: fault.Refuse(fault.AnswerBroken, "status "+strconv.Itoa(status)+" instead of the rest")}
}

// passLong passes on an answer that is too long to be kept.
func (g *Gate) passLong(w http.ResponseWriter, req *request, reply *conn.Reply, body []byte) result {
	copyHead(w, reply)
	if reply.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(reply.Length, 10))
	}
	req.status, req.begun = reply.Status, true
	w.WriteHeader(reply.Status)
	_, err := w.Write(body)
	if err == nil {
		_, err = io.Copy(w, reply.Body)
	}
	if err != nil || !reply.Whole() {
		return result{end: broken, err: fault.Refuse(fault.AnswerBroken, "a long answer broke off")}
	}
	return result{end: answered}
}

// passEvents passes a stream on event by event. The head of the first engine
// stands for the whole answer, also when another engine goes on with it.
func (g *Gate) passEvents(w http.ResponseWriter, req *request, t *target.Target, reply *conn.Reply, l *load, s *stall) result {
	flush := http.NewResponseController(w)
	events := event.New(reply.Body)
	own := &pauses{began: g.Clock.Now()}
	for {
		next, err := events.Next()
		if err != nil {
			return g.endEvents(w, req, t, reply, l, err)
		}
		s.heard()
		own.count(l.trial, g.Clock.Now())
		if req.events == 0 {
			req.first = g.Clock.Since(req.began)
			g.learn(l, req.pool.Name)
			g.meter.first.WithLabelValues(req.route.Name).Observe(seconds(req.first))
		}
		if l.prefill > 0 || req.events == 0 {
			l.read()
			g.inputsRead(req)
		}
		if !req.begun {
			copyHead(w, reply)
			req.status, req.begun = reply.Status, true
			w.WriteHeader(reply.Status)
		}
		_, err = w.Write(next.Raw)
		if err == nil && !events.More() {
			err = flush.Flush()
		}
		if err != nil {
			return result{end: answered, err: fault.Refuse(fault.Cancelled, "the caller left")}
		}
		req.events++
		if next.ID != "" {
			req.LastEvent = next.ID
		}
	}
}

// pauses measures the pauses between the events of one endpoint's stream.
type pauses struct {
	began  clock.Millis
	events int
}

// pausesAfter is the number of events after which a stream's pauses are counted.
const pausesAfter = 4

// count notes an event. The first tells that the endpoint has answered, some more
// how fast it goes on.
func (p *pauses) count(trial *deploy.Attempt, now clock.Millis) {
	switch p.events++; p.events {
	case 1:
		trial.Answered(false)
		p.began = now
	case pausesAfter:
		trial.Pauses(float64(now-p.began) / (pausesAfter - 1))
	}
}

// inputsRead gives back what the engine has read: with its first event it needs
// no inputs any more, and stage engines have little memory.
func (g *Gate) inputsRead(req *request) {
	if req.run != nil {
		g.giveBack(req, req.run.ReleaseAll())
	}
}

// endEvents judges the end of a stream.
func (g *Gate) endEvents(w http.ResponseWriter, req *request, t *target.Target, reply *conn.Reply, l *load, err error) result {
	if errors.Is(err, io.EOF) && reply.Whole() {
		t.Answered(0, false)
		l.trial.Answered(false)
		if !req.begun {
			copyHead(w, reply)
			req.status = reply.Status
			w.WriteHeader(reply.Status)
		}
		return result{end: answered}
	}
	t.Failed(g.Clock.Now())
	l.trial.Broke()
	g.Log.Info("stream broke off", "request", req.Request, "endpoint", t.ID, "events", req.events,
		"lastEvent", req.LastEvent, logs.KeyError, err)
	return result{end: broken, err: fault.Refuse(fault.AnswerBroken, err.Error())}
}
