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
	// maxResumes is the maximum number of times that a stream is resumed.
	maxResumes = 3
	// cancelTimeout is the timeout of a cancellation.
	cancelTimeout = clock.Second
	// maxLine is the maximum length of a line of a stream in bytes.
	maxLine = 1 << 20
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

// generateLine is one line of an engine's stream: a token or the end line.
type generateLine struct {
	Index        int64  `json:"index"`
	Token        string `json:"token"`
	Done         bool   `json:"done"`
	Tokens       int64  `json:"tokens"`
	EngineMs     int64  `json:"engineMs"`
	CachedTokens int64  `json:"cachedTokens"`
}

// LineError is returned when a line of an engine's stream is neither the next
// token nor a valid end line.
type LineError struct {
	Want  int64
	Index int64
	Cause string
}

// Error implements error.
func (e *LineError) Error() string { return "engine stream is invalid: " + e.Cause }

// Generate runs a generation at a model engine and passes its tokens to sink.
// After a broken connection it resumes the stream at the next token: the engine
// continues to generate, and a new run would cost the engine time twice. If the
// generation fails or the context ends first, Generate cancels it at the engine,
// unless the cause is ErrAbandoned.
func (c *Caller) Generate(ctx context.Context, request *Request, sink Sink) (Answer, error) {
	body := generateRequest{}
	if err := json.Unmarshal(request.Body, &body); err != nil {
		return Answer{}, &fault.InvalidError{Path: "body", Value: err.Error(), Allowed: "a JSON object with input"}
	}
	body.ID, body.Model, body.Priority = request.ID, request.Model, request.Priority
	answer, err := c.generate(ctx, request, &body, sink)
	if err != nil && mayStillRun(err) && !errors.Is(context.Cause(ctx), ErrAbandoned) {
		c.Cancel(context.WithoutCancel(ctx), request.ID)
	}
	return answer, err
}

// mayStillRun reports whether the engine may still run a generation that failed
// with err.
func mayStillRun(err error) bool {
	var failed *FailedError
	if errors.As(err, &failed) {
		return failed.Ran != fault.NotRun
	}
	var status *StatusError
	return !errors.As(err, &status)
}

func (c *Caller) generate(ctx context.Context, request *Request, body *generateRequest, sink Sink) (Answer, error) {
	for resumes := 0; ; resumes++ {
		answer, err := c.stream(ctx, request, body, sink)
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

// stream reads the part of the answer that one connection carries, and advances
// body.From.
func (c *Caller) stream(ctx context.Context, request *Request, body *generateRequest, sink Sink) (Answer, error) {
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
	return readLines(ctx, response.Body, body, sink)
}

func readLines(ctx context.Context, from io.Reader, body *generateRequest, sink Sink) (Answer, error) {
	lines := bufio.NewScanner(from)
	lines.Buffer(make([]byte, 0, 4<<10), maxLine)
	lines.Split(completeLines)
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
		if err := sink([]byte(line.Token)); err != nil {
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

// completeLines is a split function that drops a last line without a newline,
// because the stream was cut within it.
func completeLines(data []byte, atEOF bool) (advance int, line []byte, err error) {
	if atEOF && bytes.IndexByte(data, '\n') < 0 {
		return len(data), nil, nil
	}
	return bufio.ScanLines(data, atEOF)
}

// answer returns the answer that the end line describes. It fails if fewer or
// more tokens were received than the line states.
func (l *generateLine) answer(received int64) (Answer, error) {
	if l.Tokens != received {
		return Answer{}, &LineError{Want: l.Tokens, Index: received, Cause: "tokens are missing at the end"}
	}
	return Answer{
		Status: http.StatusOK, ContentType: "text/plain; charset=utf-8",
		Tokens: l.Tokens, EngineTime: clock.Millis(l.EngineMs), Cached: l.CachedTokens,
	}, nil
}

// Cancel requests that the engine stop a generation. It has no effect if the generation
// has ended.
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
		return // an unreachable engine stops with its host
	}
	_ = response.Body.Close()
}
