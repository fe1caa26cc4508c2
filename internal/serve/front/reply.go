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

// runAnswer is the whole answer of a pipeline.
type runAnswer struct {
	RequestID string          `json:"requestId"`
	Output    json.RawMessage `json:"output"`
}

// reply is what a request is answered with.
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
	x.mayRepeat = x.key != "" && mayNotRepeat(p)
	if body.Stream || strings.Contains(x.r.Header.Get("Accept"), eventStream) {
		return f.streamPipeline(ctx, x, p, body.Input)
	}
	got, err := f.once(ctx, x, func() (*reply, error) { return f.pipelineReply(ctx, x, p, body.Input, nil) })
	if err != nil {
		return err
	}
	return x.write(got)
}

func mayNotRepeat(p *manif.Pipeline) bool {
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
	_, _ = x.w.Write(got.bytes) // a caller that is gone reads nothing
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
	// held are the first bytes of a character whose rest has not come yet.
	held []byte
}

func (s *stream) event(name string, data []byte) {
	if !s.started {
		s.x.w.Header().Set("Content-Type", eventStream)
		s.x.w.Header().Set("Cache-Control", "no-store")
		s.started = true
	}
	_, _ = io.WriteString(s.x.w, "event: "+name+"\ndata: "+string(data)+"\n\n")
	_ = http.NewResponseController(s.x.w).Flush()
}

// token passes text on. Bytes come cut anywhere; a character that is cut would
// be replaced in JSON and the caller's text differ from the answer's.
func (s *stream) token(fresh []byte) {
	s.held = append(s.held, fresh...)
	whole := wholeRunes(s.held)
	if whole == 0 {
		return
	}
	data, err := json.Marshal(streamText{Text: string(s.held[:whole])})
	if err != nil {
		return // a string always encodes
	}
	s.held = append(s.held[:0], s.held[whole:]...)
	s.event("token", data)
}

// wholeRunes returns the length without a last character that is not whole.
func wholeRunes(text []byte) int {
	for back := 1; back < utf8.UTFMax && back <= len(text); back++ {
		start := len(text) - back
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
	got, err := f.once(ctx, x, func() (*reply, error) { return f.pipelineReply(ctx, x, p, input, s.token) })
	if err != nil && !s.started {
		return err
	}
	if err != nil {
		data, _ := json.Marshal(f.refusal(x, err)) // plain fields always encode
		s.event("refused", data)
		return nil
	}
	s.event("end", got.bytes)
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
	x.mayRepeat = x.key != "" && declared.NotIdempotent
	got, err := f.once(ctx, x, func() (*reply, error) {
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

// once runs work that carries an idempotency key and may not be repeated under
// a claim, and all other work as it is.
func (f *Front) once(ctx context.Context, x *exchange, run func() (*reply, error)) (*reply, error) {
	if !x.mayRepeat {
		return run()
	}
	if f.config.Claims == nil {
		return nil, fault.Refuse(fault.KeyUnavailable, "this entry has no platform to keep keys in")
	}
	hold, kept, err := f.claim(ctx, x)
	if err != nil {
		f.config.Meter.Claims.WithLabelValues(meter.ClaimRefused).Inc()
		return nil, err
	}
	if kept != nil {
		f.config.Meter.Claims.WithLabelValues(meter.ClaimReplayed).Inc()
		return &reply{status: kept.Status, contentType: kept.ContentType, bytes: kept.Answer, replayed: true}, nil
	}
	f.config.Meter.Claims.WithLabelValues(meter.ClaimHeld).Inc()
	// The claim is held: nobody ran under this key, so "not run" can be said.
	x.mayRepeat = false
	got, err := run()
	f.config.Claims.FinishAsync(ctx, hold, outcomeOf(got, err), func(failed error) {
		f.config.Meter.Claims.WithLabelValues(meter.ClaimUnkept).Inc()
		f.config.Log.Warn("outcome of a key not kept", "request", x.id, "error", failed)
	})
	return got, err
}

func (f *Front) claim(ctx context.Context, x *exchange) (*claim.Hold, *claim.Record, error) {
	left := x.request.Deadline - f.config.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, max(left, 0).Duration())
	defer cancel()
	call := &x.request.Call
	digest := xxhash.New()
	for _, part := range []string{x.r.Method, x.r.URL.RequestURI(), string(x.body)} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return f.config.Claims.Claim(ctx, claim.Call{
		Organisation: call.Organisation, Service: x.service.Name, Key: x.key,
		Fingerprint: digest.Sum64(), Request: x.id, TimeLeft: left,
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
