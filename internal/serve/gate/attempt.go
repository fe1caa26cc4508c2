package gate

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/engine/conn"
	"github.com/jujubescale/jujubescale/internal/engine/spell"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/serve/deploy"
	"github.com/jujubescale/jujubescale/internal/serve/target"
)

const (
	// reuseIdle and reuseUnsafe bound how long a connection may have been unused
	// before it carries a request. An endpoint that drops it just then leaves
	// open whether the request ran, which costs a request that may run once its
	// answer.
	reuseIdle   = 4 * clock.Second
	reuseUnsafe = 300 * clock.Millis(1)
	// maxPlainBytes is the largest answer that is read whole before any of it is
	// passed on; the largest of the users' plain answers has 5 KB.
	maxPlainBytes = 1 << 20
	// fullBar is how long an endpoint that was full gets nothing.
	fullBar = 80 * clock.Millis(1)
	// headBytes is the usual size of a request's head.
	headBytes = 1 << 10
	// stallTimes is how many objectives an endpoint may take for the first byte
	// of an answer while another endpoint may still be tried.
	stallTimes = 2.5
	// stallStream bounds pauses of a stream that another engine could go on
	// with: several times those that a busy engine makes.
	stallStream = 1800 * clock.Millis(1)
)

// attempt sends the request to one endpoint and passes its answer on.
func (g *Gate) attempt(ctx context.Context, w http.ResponseWriter, req *request, chosen choice) result {
	t := chosen.target
	req.tried = append(req.tried, t.Endpoint)
	req.last = t.Endpoint
	now := g.Clock.Now()
	g.Log.Info("request sent", "request", req.Request, "route", req.route.Name, "pool", req.pool.Name,
		"endpoint", t.ID, "version", t.Version, "running", t.Load.Running.Load(), "peerRunning", t.Load.PeerRunning.Load(),
		"prefill", t.Load.Prefill.Load()+t.Load.PeerPrefill.Load(), "unread", chosen.unread, "delayMs", int64(chosen.delay),
		"zone", t.Zone, "wish", req.wish, "farBytes", req.farBytes(t.Zone), "cold", t.Cold(now), "heardMs", int64(now-t.UpdatedAt()), "sent", req.sent, "timeLeftMs", int64(req.deadline-now))
	l := g.countLoad(t, req, chosen)
	defer l.end()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stall := g.watchStall(req, cancel)
	defer stall.stop()
	if req.pool.Generation != nil {
		g.spareInputs(req, t)
	}
	result := g.exchange(ctx, w, req, l, stall)
	g.noteAttempt(ctx, req, t, result)
	return result
}

// exchange sends the request to the endpoint of a load and passes the answer on.
func (g *Gate) exchange(ctx context.Context, w http.ResponseWriter, req *request, l *load, s *stall) result {
	t, now := l.target, g.Clock.Now()
	reply, err := t.Conns.Do(ctx, g.request(req, t, now))
	if err != nil {
		return g.noReply(ctx, req, t, l, err)
	}
	defer reply.Finish()
	req.sent++
	return g.takeReply(w, req, t, reply, l, s, now)
}

// longPrompt is the number of tokens to read, about 30 ms of an engine's time,
// from which all other processes are told at once that a prompt is sent. They
// choose engines by the same parts of prompts; told only with the next regular
// message, several would send theirs to one engine, where they wait for each other.
const longPrompt = 1500

// load is one request's part in the load of an endpoint.
type load struct {
	target  *target.Target
	prefill int64
	memory  int64
	// trial counts the answer while a rollout of the pool runs.
	trial *deploy.Attempt
	// alone says that no other prompt was to be read there when it was sent.
	alone bool
	from  clock.Millis
}

func (g *Gate) countLoad(t *target.Target, req *request, chosen choice) *load {
	l := &load{target: t}
	expected := deploy.AnswerUnit
	if req.pool.Generation != nil {
		expected = float64(generationTime) + chosen.delay
		l.prefill = chosen.unread
		l.memory = req.PromptTokens + req.outputTokens()
		g.prefixes.Sent(t, req.parts)
	}
	l.trial = g.Deploy.Begin(t.Endpoint, req.route.Name, 1, expected)
	t.Load.Running.Add(1)
	l.alone = t.Load.Prefill.Load()+t.Load.PeerPrefill.Load() == 0
	l.from = g.Clock.Now()
	t.Load.AddPrompt(l.prefill, g.rates.of(req.pool.Name).TokensPerMs(), l.from)
	t.Load.Memory.Add(l.memory)
	if l.prefill >= longPrompt {
		g.mesh.ReportNow()
	}
	return l
}

// learn takes the time to the first event of a long prompt that nothing waited
// before.
func (g *Gate) learn(l *load, pool string) {
	if l.alone && l.prefill >= longPrompt {
		g.rates.of(pool).Learn(l.prefill, float64(g.Clock.Since(l.from)-generationTime/2))
	}
}

// read notes that the prompt has been read: the first event is there.
func (l *load) read() {
	l.target.Load.Prefill.Add(-l.prefill)
	l.prefill = 0
}

func (l *load) end() {
	l.read()
	l.trial.Dropped()
	l.target.Load.Running.Add(-1)
	l.target.Load.Memory.Add(-l.memory)
}

// stall ends an attempt whose endpoint keeps silent while another could be tried.
type stall struct {
	timer *time.Timer
	span  clock.Millis
}

func (g *Gate) watchStall(req *request, cancel context.CancelFunc) *stall {
	if !req.route.Idempotent() || req.sent+1 >= max(req.route.Attempts, 1) {
		return &stall{}
	}
	span := clock.Millis(stallTimes * float64(req.route.Objective))
	s := &stall{span: stallStream}
	s.timer = time.AfterFunc(span.Duration(), cancel)
	return s
}

// heard puts the end off.
func (s *stall) heard() {
	if s.timer != nil {
		s.timer.Reset(s.span.Duration())
	}
}

func (s *stall) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

// request spells the request for an endpoint.
func (g *Gate) request(req *request, t *target.Target, now clock.Millis) *conn.Request {
	head := make([]byte, 0, headBytes)
	head = append(head, req.method...)
	head = append(head, ' ')
	head = append(head, req.target...)
	head = append(head, " HTTP/1.1\r\nHost: "...)
	head = append(head, req.host...)
	head = append(head, "\r\n"...)
	head = g.appendHeaders(head, req.header)
	call := &spell.Call{
		Deadline: max(req.deadline-now, 1), Instance: t.ID, Organisation: req.organisation,
		LastEvent: req.LastEvent, Urgency: -1,
	}
	if req.run != nil {
		call.Inputs, call.WithInputs = req.run.FinalResults(), true
	}
	if req.pool.Generation != nil {
		call.Urgency = urgency(req, now)
	}
	head = g.Spelling.CallFunc(head, call)
	if len(req.body) > 0 || req.method == http.MethodPost || req.method == http.MethodPut || req.method == http.MethodPatch {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(len(req.body)), 10)
		head = append(head, "\r\n"...)
	}
	head = append(head, "\r\n"...)
	maxIdle := reuseIdle
	if !req.route.Idempotent() {
		maxIdle = reuseUnsafe
	}
	id := req.Request
	return &conn.Request{
		Method: req.method, Head: head, Body: req.body, MaxIdle: maxIdle,
		OwnFunc: func(header http.Header, fresh bool) bool {
			belongs := g.Spelling.MarksFunc(header).Request
			return belongs == id || (belongs == "" && fresh)
		},
	}
}

// urgency ranks a generation at its engine: by priority, and behind all others
// when it is late already.
func urgency(req *request, now clock.Millis) int {
	const lateSteps, most = 5, 9
	rank := min(max(req.priority, 0)+1, most)
	if now > req.objective && !req.begun {
		rank = min(rank+lateSteps, most)
	}
	return rank
}

// appendHeaders adds the caller's headers that are to be passed on.
func (g *Gate) appendHeaders(head []byte, header http.Header) []byte {
	drop := named(header)
	for name, values := range header {
		if hopHeaders[name] || drop[name] || g.Spelling.OwnFunc(name) {
			continue
		}
		for _, value := range values {
			head = append(head, name...)
			head = append(head, ": "...)
			head = append(head, value...)
			head = append(head, "\r\n"...)
		}
	}
	return head
}

// noReply judges an attempt without the head of an answer.
func (g *Gate) noReply(ctx context.Context, req *request, t *target.Target, l *load, err error) result {
	now := g.Clock.Now()
	var full *conn.FullError
	if errors.As(err, &full) {
		t.Block(now + fullBar)
		return result{end: unsent, err: fault.Refuse(fault.QueueFull, err.Error())}
	}
	t.Failed(now)
	var sent *conn.SentError
	g.Log.Info("endpoint failed", "request", req.Request, "endpoint", t.ID, "sent", errors.As(err, &sent), logs.KeyError, err)
	if !errors.As(err, &sent) {
		return result{end: unsent, cause: err, err: fault.Refuse(fault.NoEndpoint, err.Error())}
	}
	if req.pool.ColdTime > 0 {
		// A reset may be all that shows of a restart, after which it is cold.
		t.SetCold(now + req.pool.ColdTime)
	}
	if ctx.Err() == nil {
		l.trial.Broke()
	}
	req.sent++
	req.mayHaveRun = true
	return result{end: broken, err: fault.Refuse(fault.EndpointFailed, err.Error())}
}

// takeReply judges an answer by its head and passes it on.
func (g *Gate) takeReply(w http.ResponseWriter, req *request, t *target.Target, reply *conn.Reply, l *load, s *stall, began clock.Millis) result {
	marks := g.Spelling.MarksFunc(reply.Header)
	if marks.Cold > 0 {
		t.SetCold(g.Clock.Now() + marks.Cold)
	}
	switch {
	case marks.NotRun || reply.Status == http.StatusMisdirectedRequest:
		return g.refusedBy(req, t, reply, marks)
	case reply.Status >= http.StatusOK && reply.Status < http.StatusMultipleChoices && !marks.Sealed:
		req.mayHaveRun = true
		t.Failed(g.Clock.Now())
		l.trial.Broke()
		return result{end: broken, err: fault.Refuse(fault.AnswerBroken, "the answer bears no seal")}
	}
	req.mayHaveRun = true
	if reply.Status < http.StatusMultipleChoices && req.route.Kind == table.Stream {
		return g.passEvents(w, req, t, reply, l, s)
	}
	return g.passWhole(w, req, t, reply, l, marks, began)
}

// refusedBy judges a proof that the request did not run.
func (g *Gate) refusedBy(req *request, t *target.Target, reply *conn.Reply, marks spell.Marks) result {
	_, _ = io.Copy(io.Discard, io.LimitReader(reply.Body, maxPlainBytes)) // only the head counts
	now := g.Clock.Now()
	g.Log.Info("endpoint refused", "request", req.Request, "endpoint", t.ID, "status", reply.Status,
		"running", marks.Running, "waiting", marks.Waiting, "slots", marks.Slots)
	switch reply.Status {
	case http.StatusMisdirectedRequest:
		t.Replaced(now)
		return result{end: notRun, err: refuseAgain(fault.WrongEndpoint, comeBackFull)}
	case http.StatusConflict:
		return result{end: inputsGone, err: refuseAgain(fault.InputGone, comeBackFull)}
	case http.StatusBadRequest:
		return result{end: notRun, err: fault.Refuse(fault.BadRequest, "the endpoint refused the request")}
	}
	t.Block(now + fullBar)
	return result{end: notRun, err: refuseAgain(fault.Overloaded, comeBackFull)}
}

func refuseAgain(reason fault.Reason, after clock.Millis) *fault.RefusalError {
	return &fault.RefusalError{Reason: reason, Ran: fault.NotRun, RetryAfter: spread(after)}
}
