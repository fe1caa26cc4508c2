package call

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
)

const (
	// maxResumes bounds how often one stream is taken up again.
	maxResumes = 3
	// cancelTimeout is how long a cancellation may take.
	cancelTimeout = clock.Second
	maxLine       = 1 << 20
)

// generateRequest is the body of POST /v1/generate.
type generateRequest struct {
	ID        string          `json:"id"`
	Model     string          `json:"model,omitempty"`
	Input     json.RawMessage `json:"input,omitempty"`
	Previous  json.RawMessage `json:"previous,omitempty"`
	Priority  int             `json:"priority,omitempty"`
	MaxTokens int             `json:"maxTokens,omitempty"`
	From      int64           `json:"from,omitempty"`
}

// generateLine is one line of an engine's stream: a token, or the end.
type generateLine struct {
	Index        int64  `json:"index"`
	Token        string `json:"token"`
	Done         bool   `json:"done"`
	Tokens       int64  `json:"tokens"`
	EngineMs     int64  `json:"engineMs"`
	CachedTokens int64  `json:"cachedTokens"`
}

// LineError says that an engine's stream holds something other than the next
// token or the end.
type LineError struct {
	Want  int64
	Index int64
	Cause string
}

// Error implements error.
func (e *LineError) Error() string { return "engine stream is broken: " + e.Cause }

// Generate runs a generation at a model engine and hands its tokens on. A
// stream that is cut is taken up again at the next token: the engine goes on
// with it, and running it anew would cost its engine time twice. When the
// context ends first, the engine is told to stop.
func (c *Caller) Generate(ctx context.Context, request *Request, take Sink) (Answer, error) {
	body := generateRequest{}
	if err := json.Unmarshal(request.Body, &body); err != nil {
		return Answer{}, &fault.InvalidError{Path: "body", Value: err.Error(), Allowed: "a JSON object with input"}
	}
	body.ID, body.Model, body.Priority = request.ID, request.Model, request.Priority
	answer, err := c.generate(ctx, request, &body, take)
	if err != nil && mayRun(err) && !errors.Is(context.Cause(ctx), ErrAbandoned) {
		c.Cancel(context.WithoutCancel(ctx), request.ID)
	}
	return answer, err
}

// mayRun reports whether the engine may still work on what failed here.
func mayRun(err error) bool {
	var failed *FailedError
	if errors.As(err, &failed) {
		return failed.Ran != fault.NotRun
	}
	var status *StatusError
	return !errors.As(err, &status)
}

func (c *Caller) generate(ctx context.Context, request *Request, body *generateRequest, take Sink) (Answer, error) {
	for resumes := 0; ; resumes++ {
		answer, err := c.stream(ctx, request, body, take)
		var failed *FailedError
		cut := errors.As(err, &failed) && failed.Reset && body.From > 0
		if cut && request.OnCut != nil {
			request.OnCut()
		}
		if !cut || resumes >= maxResumes || ctx.Err() != nil {
			return answer, err
		}
		c.resumed()
	}
}

// stream reads one connection's part of the answer. It moves body.From on.
func (c *Caller) stream(ctx context.Context, request *Request, body *generateRequest, take Sink) (Answer, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return Answer{}, err
	}
	response, err := c.send(ctx, request, http.MethodPost, "/v1/generate", encoded)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotFound && body.From > 0 {
		return Answer{}, &FailedError{Ran: fault.MayHaveRun, Reset: true, Cause: statusError(response)}
	}
	if response.StatusCode != http.StatusOK {
		return Answer{}, statusError(response)
	}
	return readLines(ctx, response.Body, body, take)
}

func readLines(ctx context.Context, from io.Reader, body *generateRequest, take Sink) (Answer, error) {
	lines := bufio.NewScanner(from)
	lines.Buffer(make([]byte, 0, 4<<10), maxLine)
	lines.Split(wholeLines)
	for lines.Scan() {
		var line generateLine
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return Answer{}, &LineError{Cause: err.Error()}
		}
		if line.Done {
			return line.answer(body.From)
		}
		if line.Index != body.From {
			return Answer{}, &LineError{Want: body.From, Index: line.Index, Cause: "token out of order"}
		}
		if err := take([]byte(line.Token)); err != nil {
			return Answer{}, err
		}
		body.From++
	}
	if ctx.Err() != nil {
		return Answer{}, &FailedError{Ran: fault.MayHaveRun, Cause: ctx.Err()}
	}
	err := lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return Answer{}, &FailedError{Ran: fault.MayHaveRun, Reset: true, Cause: err}
}

// wholeLines leaves out a last line without its end: the stream was cut in it.
func wholeLines(data []byte, atEOF bool) (advance int, line []byte, err error) {
	if atEOF && bytes.IndexByte(data, '\n') < 0 {
		return len(data), nil, nil
	}
	return bufio.ScanLines(data, atEOF)
}

// answer checks the end line: an answer that lacks tokens is not whole.
func (l *generateLine) answer(received int64) (Answer, error) {
	if l.Tokens != received {
		return Answer{}, &LineError{Want: l.Tokens, Index: received, Cause: "tokens are missing at the end"}
	}
	return Answer{
		Status: http.StatusOK, ContentType: "text/plain; charset=utf-8",
		Tokens: l.Tokens, EngineTime: clock.Millis(l.EngineMs), Cached: l.CachedTokens,
	}, nil
}

// Cancel tells the engine to stop a generation. It is harmless when the engine
// has ended it.
func (c *Caller) Cancel(ctx context.Context, id string) {
	ctx, done := context.WithTimeout(ctx, cancelTimeout.Duration())
	defer done()
	target := c.base.JoinPath("/v1/generate/" + id)
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, target.String(), http.NoBody)
	if err != nil {
		return
	}
	response, err := c.shared.Do(request)
	if err != nil {
		return // an engine that can't be reached stops with its host
	}
	_ = response.Body.Close()
}
