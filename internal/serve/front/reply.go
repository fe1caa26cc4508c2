package front

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/flow/claim"
	"github.com/jujubescale/jujubescale/internal/serve/meter"
)

const wildcardSuffix = "/*"

// runAnswer is the complete answer of a pipeline.
type runAnswer struct {
	RequestID string          `json:"requestId"`
	Output    json.RawMessage `json:"output"`
}

// reply is the answer to a request.
type reply struct {
	status      int
	contentType string
	bytes       []byte
	replayed    bool
}

func (f *Front) runPipeline(ctx context.Context, x *exchange) error {
	p := x.release.Pipeline(x.service.Pipeline)
	if p == nil {
		return fault.Refuse(fault.BadRequest, "the service is bound to plain endpoints; call .../call/{path}")
	}
	body, refused := decodeRun(x.body)
	if refused != nil {
		return refused
	}
	x.earlierMayHaveRun = x.key != "" && hasNotIdempotentStage(p)
	if body.Stream || strings.Contains(x.r.Header.Get("Accept"), eventStream) {
		return f.streamPipeline(ctx, x, p, body.Input)
	}
	got, err := f.runOnce(ctx, x, func() (*reply, error) { return f.pipelineReply(ctx, x, p, body.Input, nil) })
	if err != nil {
		return err
	}
	return x.write(got)
}

func hasNotIdempotentStage(p *manif.Pipeline) bool {
	for i := range p.Stages {
		if p.Stages[i].NotIdempotent {
			return true
		}
	}
	return false
}

func (f *Front) pipelineReply(ctx context.Context, x *exchange, p *manif.Pipeline, input json.RawMessage, sink func([]byte)) (*reply, error) {
	out, err := f.config.Runs.Pipeline(ctx, &x.request, p, input, sink)
	if err != nil {
		return nil, err
	}
	encoded, err := json.Marshal(runAnswer{RequestID: x.id, Output: out})
	return &reply{status: http.StatusOK, contentType: contentTypeJSON, bytes: encoded}, err
}

func (x *exchange) write(got *reply) error {
	if got.replayed {
		x.w.Header().Set(headerReplayed, "true")
	}
	if got.contentType != "" {
		x.w.Header().Set("Content-Type", got.contentType)
	}
	x.w.WriteHeader(got.status)
	_, _ = x.w.Write(got.bytes) // fails only if the caller has disconnected
	return nil
}

// streamText is the data of a token event.
type streamText struct {
	Text string `json:"text"`
}

// stream writes server-sent events.
type stream struct {
	x       *exchange
	started bool
	// partial holds the first bytes of a character that is not yet complete.
	partial []byte
}

func (s *stream) writeEvent(name string, data []byte) {
	if !s.started {
		s.x.w.Header().Set("Content-Type", eventStream)
		s.x.w.Header().Set("Cache-Control", "no-store")
		s.started = true
	}
	_, _ = io.WriteString(s.x.w, "event: "+name+"\ndata: "+string(data)+"\n\n")
	_ = http.NewResponseController(s.x.w).Flush()
}

// writeText sends text as a token event. The text may end within a character,
// whose bytes are kept for the next event: in JSON they would be replaced, and
// the streamed text would differ from the answer.
func (s *stream) writeText(text []byte) {
	s.partial = append(s.partial, text...)
	complete := completeRunesLen(s.partial)
	if complete == 0 {
		return
	}
	data, err := json.Marshal(streamText{Text: string(s.partial[:complete])})
	if err != nil {
		return // encoding a string never fails
	}
	s.partial = append(s.partial[:0], s.partial[complete:]...)
	s.writeEvent("token", data)
}

// completeRunesLen returns the length of text without an incomplete last
// character.
func completeRunesLen(text []byte) int {
	for fromEnd := 1; fromEnd < utf8.UTFMax && fromEnd <= len(text); fromEnd++ {
		start := len(text) - fromEnd
		if utf8.RuneStart(text[start]) {
			if !utf8.FullRune(text[start:]) {
				return start
			}
			break
		}
	}
	return len(text)
}

func (f *Front) streamPipeline(ctx context.Context, x *exchange, p *manif.Pipeline, input json.RawMessage) error {
	s := &stream{x: x}
	got, err := f.runOnce(ctx, x, func() (*reply, error) { return f.pipelineReply(ctx, x, p, input, s.writeText) })
	if err != nil && !s.started {
		return err
	}
	if err != nil {
		data, _ := json.Marshal(f.recordRefusal(x, err)) // encoding plain fields never fails
		s.writeEvent("refused", data)
		return nil
	}
	s.writeEvent("end", got.bytes)
	return nil
}

func (f *Front) callPlain(ctx context.Context, x *exchange) error {
	path := "/" + chi.URLParam(x.r, "*")
	declared := plainCall(x.service, x.r.Method, path)
	if declared == nil {
		return fault.Refuse(fault.UnknownService, "the service has no call "+x.r.Method+" "+path)
	}
	if query := x.r.URL.RawQuery; query != "" {
		path += "?" + query
	}
	call := &x.request.Call
	call.Method, call.Path, call.Body = x.r.Method, path, x.body
	call.Idempotent = !declared.NotIdempotent
	call.Cost = max(declared.Cost, 1)
	x.earlierMayHaveRun = x.key != "" && declared.NotIdempotent
	got, err := f.runOnce(ctx, x, func() (*reply, error) {
		answer, err := f.config.Runs.Plain(ctx, &x.request, x.service.Name, x.service.Pool, declared.Method+" "+declared.Path)
		if err != nil {
			return nil, err
		}
		return &reply{status: answer.Status, contentType: answer.ContentType, bytes: answer.Bytes}, nil
	})
	if err != nil {
		return err
	}
	return x.write(got)
}

func plainCall(service *manif.Service, method, path string) *manif.PlainCall {
	for i := range service.Calls {
		call := &service.Calls[i]
		prefix, wild := strings.CutSuffix(call.Path, wildcardSuffix)
		if call.Method == method && (call.Path == path || (wild && strings.HasPrefix(path, prefix+"/"))) {
			return call
		}
	}
	return nil
}

// runOnce calls run. If the request has an idempotency key and may not be
// repeated, it first claims the key, and returns the stored answer if an earlier
// request with that key has one.
func (f *Front) runOnce(ctx context.Context, x *exchange, run func() (*reply, error)) (*reply, error) {
	if !x.earlierMayHaveRun {
		return run()
	}
	if f.config.Claims == nil {
		return nil, fault.Refuse(fault.KeyUnavailable, "this entry has no platform in which it can store keys")
	}
	hold, stored, err := f.claim(ctx, x)
	if err != nil {
		f.config.Meter.Claims.WithLabelValues(meter.ClaimRefused).Inc()
		return nil, err
	}
	if stored != nil {
		f.config.Meter.Claims.WithLabelValues(meter.ClaimReplayed).Inc()
		return &reply{status: stored.Status, contentType: stored.ContentType, bytes: stored.Answer, replayed: true}, nil
	}
	f.config.Meter.Claims.WithLabelValues(meter.ClaimHeld).Inc()
	// This request holds the claim, so no earlier request with the key has run and
	// a refusal may report "not run".
	x.earlierMayHaveRun = false
	got, err := run()
	f.config.Claims.FinishAsync(ctx, hold, outcomeOf(got, err), func(failed error) {
		f.config.Meter.Claims.WithLabelValues(meter.ClaimOutcomeNotStored).Inc()
		f.config.Log.Warn("storing the outcome of an idempotency key failed", "request", x.id, "error", failed)
	})
	return got, err
}

func (f *Front) claim(ctx context.Context, x *exchange) (*claim.Hold, *claim.Record, error) {
	timeLeft := x.request.Deadline - f.config.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, max(timeLeft, 0).Duration())
	defer cancel()
	call := &x.request.Call
	digest := xxhash.New()
	for _, part := range []string{x.r.Method, x.r.URL.RequestURI(), string(x.body)} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return f.config.Claims.Claim(ctx, claim.Call{
		Organisation: call.Organisation, Service: x.service.Name, Key: x.key,
		Fingerprint: digest.Sum64(), Request: x.id, TimeLeft: timeLeft,
	})
}

func outcomeOf(got *reply, err error) claim.Outcome {
	if err == nil {
		return claim.Outcome{
			State: claim.Done, Status: got.status, ContentType: got.contentType,
			Digest: xxhash.Sum64(got.bytes), Answer: got.bytes,
		}
	}
	var refused *fault.RefusalError
	if errors.As(err, &refused) && refused.Ran == fault.NotRun {
		return claim.Outcome{State: claim.NotRun}
	}
	return claim.Outcome{State: claim.Unknown}
}
