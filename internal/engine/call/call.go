// Package call runs work at the endpoint on the agent's host. Its errors tell
// whether failed work may have run.
//
// The HTTP transport of the standard library repeats a request automatically
// when a reused connection turns out to be closed and the request has no body, a
// GetBody, or an Idempotency-Key header. A non-idempotent request would then run
// twice, and neither the callers of this package nor its counters would show it.
// Work that may run at most once therefore doesn't use that transport: each
// request gets its own connection, which carries one request and one answer.
package call

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/jujubescale/jujubescale/internal/base/bound"
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
)

const (
	// DefaultIdle is the default idle timeout of connections. It is shorter than
	// the usual idle timeout of servers (5 s and more): otherwise the endpoint may
	// close a connection just as a request is sent on it, and the call fails
	// although the endpoint works. docs/design/sessions.md has measurements of both.
	DefaultIdle  = 4 * clock.Second
	dialTimeout  = clock.Second
	chunkBytes   = 32 << 10
	maxErrorBody = 512
	// MaxAnswer is the maximum size of an answer in bytes.
	MaxAnswer = 8 << 20
	maxIdle   = 256
)

// ErrAbandoned is a cause of a context's cancellation with which the work goes on
// at the endpoint: no cancellation is sent to it, as if the process had crashed.
var ErrAbandoned = errors.New("work was left running at the endpoint")

// Request is one attempt to run work.
type Request struct {
	ID         string
	Idempotent bool
	// Key is sent to plain services as Idempotency-Key.
	Key      string
	TimeLeft clock.Millis
	Method   string
	Path     string
	Body     []byte
	// Model and Priority are used by model engines only.
	Model    string
	Priority int
	// OnCut, if set, is called when the connection of a stream breaks after its
	// first token, before the stream is resumed.
	OnCut func()
}

// Answer describes a complete answer, whose bytes were passed to the Sink.
type Answer struct {
	Status      int
	ContentType string
	Tokens      int64
	// EngineTime is the duration of the work as reported by the endpoint; 0 if it
	// reported none.
	EngineTime clock.Millis
	// Cached is the number of cached tokens that the engine reported.
	Cached int64
}

// Sink receives the bytes of an answer in order. The slice is only valid during
// the call.
type Sink func([]byte) error

// FailedError is returned when the endpoint gave no complete answer.
type FailedError struct {
	Ran fault.Ran
	// Reset is set if the endpoint closed or refused the connection. A crashed
	// endpoint does the same.
	Reset bool
	Cause error
}

// Error implements error.
func (e *FailedError) Error() string { return fmt.Sprintf("endpoint failed (%s): %v", e.Ran, e.Cause) }

// Unwrap returns the cause.
func (e *FailedError) Unwrap() error { return e.Cause }

// StatusError is returned when the endpoint answered with a failure status.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("endpoint answered %d: %s", e.Status, e.Body)
}

// Busy reports whether the endpoint refused the request because of its load.
func (e *StatusError) Busy() bool {
	return e.Status == http.StatusTooManyRequests || e.Status == http.StatusServiceUnavailable
}

// TooLargeError is returned for an answer larger than Bound bytes.
type TooLargeError struct {
	Bound int
}

// Error implements error.
func (e *TooLargeError) Error() string { return fmt.Sprintf("answer is larger than %d bytes", e.Bound) }

// Caller calls one endpoint. It is safe for concurrent use.
type Caller struct {
	base   *url.URL
	idle   clock.Millis
	dialer net.Dialer
	shared *http.Client
	// resumed is called each time a stream is resumed.
	resumed func()
}

// Option configures a Caller.
type Option func(*Caller)

// WithIdle sets the idle timeout of connections to the endpoint.
func WithIdle(timeout clock.Millis) Option { return func(c *Caller) { c.idle = timeout } }

// WithResumed sets a function that is called each time a stream is resumed.
func WithResumed(resumed func()) Option { return func(c *Caller) { c.resumed = resumed } }

// New returns a Caller of the endpoint at a base URL.
func New(base string, opts ...Option) (*Caller, error) {
	parsed, err := url.Parse(base)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" {
		return nil, &fault.InvalidError{Path: "endpointUrl", Value: base, Allowed: "http://HOST:PORT"}
	}
	c := &Caller{base: parsed, idle: DefaultIdle, resumed: func() {}}
	c.dialer.Timeout = dialTimeout.Duration()
	for _, opt := range opts {
		opt(c)
	}
	c.shared = &http.Client{
		Transport: bound.NewTransport(&http.Transport{
			DialContext:         c.dialer.DialContext,
			IdleConnTimeout:     c.idle.Duration(),
			MaxIdleConnsPerHost: maxIdle,
			DisableCompression:  true,

			MaxResponseHeaderBytes: bound.MaxHeadBytes,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c, nil
}

// Close closes the idle connections.
func (c *Caller) Close() { c.shared.CloseIdleConnections() }

// Run runs a stage of an encoder, retriever or reranker.
func (c *Caller) Run(ctx context.Context, request *Request, sink Sink) (Answer, error) {
	response, err := c.send(ctx, request, http.MethodPost, "/v1/run", request.Body)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Answer{}, statusError(response)
	}
	return c.copyAll(response, sink)
}

// Plain runs one call of a plain service. Each status of the service counts as
// an answer, except that an idempotent call fails with a StatusError if the
// service is overloaded, because it can be retried at another endpoint.
func (c *Caller) Plain(ctx context.Context, request *Request, sink Sink) (Answer, error) {
	response, err := c.send(ctx, request, request.Method, request.Path, request.Body)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if busy := (&StatusError{Status: response.StatusCode}); request.Idempotent && busy.Busy() {
		return Answer{}, statusError(response)
	}
	return c.copyAll(response, sink)
}

func (c *Caller) copyAll(response *http.Response, sink Sink) (Answer, error) {
	answer := Answer{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type")}
	buf := make([]byte, min(chunkBytes, max(int(response.ContentLength)+1, maxErrorBody)))
	total := 0
	for {
		n, err := response.Body.Read(buf)
		total += n
		if total > MaxAnswer {
			return answer, &TooLargeError{Bound: MaxAnswer}
		}
		if n > 0 {
			if sinkErr := sink(buf[:n]); sinkErr != nil {
				return answer, sinkErr
			}
		}
		if errors.Is(err, io.EOF) {
			return answer, nil
		}
		if err != nil {
			return answer, &FailedError{Ran: fault.MayHaveRun, Reset: true, Cause: err}
		}
	}
}

func statusError(response *http.Response) error {
	detail, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
	if err != nil {
		detail = []byte(err.Error())
	}
	return &StatusError{Status: response.StatusCode, Body: string(detail)}
}

// send sends an idempotent request on a shared connection and any other on its
// own connection.
func (c *Caller) send(ctx context.Context, request *Request, method, path string, body []byte) (*http.Response, error) {
	target, err := c.base.Parse(path)
	if err != nil || target.Host != c.base.Host {
		return nil, &fault.InvalidError{Path: "path", Value: path, Allowed: "a path at the endpoint"}
	}
	built, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return nil, &fault.InvalidError{Path: "method", Value: method, Allowed: "an HTTP method"}
	}
	// The transport can't repeat a request that has a body but no GetBody.
	built.GetBody = nil
	built.Header.Set("Content-Type", "application/json")
	built.Header.Set("X-Request-Id", request.ID)
	built.Header.Set("X-Time-Left-Ms", strconv.FormatInt(int64(request.TimeLeft), 10))
	if request.Key != "" {
		built.Header.Set("Idempotency-Key", request.Key)
	}
	if request.Idempotent {
		return c.sendShared(built)
	}
	return c.sendOnce(ctx, built)
}

func (c *Caller) sendShared(request *http.Request) (*http.Response, error) {
	response, err := c.shared.Do(request)
	if err == nil {
		return response, nil
	}
	return nil, classifyError(err)
}

// classifyError classifies an error that occurred before the answer began.
func classifyError(err error) *FailedError {
	failed := &FailedError{Ran: fault.MayHaveRun, Cause: err}
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		// Without a connection, nothing was sent.
		failed.Ran = fault.NotRun
	}
	failed.Reset = !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
	return failed
}

// sendOnce sends the request once on a new connection.
func (c *Caller) sendOnce(ctx context.Context, request *http.Request) (*http.Response, error) {
	conn, err := c.dialer.DialContext(ctx, "tcp", c.base.Host)
	if err != nil {
		failed := classifyError(err)
		failed.Ran = fault.NotRun
		return nil, failed
	}
	release := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	request.Close = true
	response, err := exchange(conn, request)
	if err != nil {
		release()
		_ = conn.Close()
		if ctx.Err() != nil {
			return nil, &FailedError{Ran: fault.MayHaveRun, Cause: ctx.Err()}
		}
		return nil, &FailedError{Ran: fault.MayHaveRun, Reset: true, Cause: err}
	}
	response.Body = &ownedBody{ReadCloser: response.Body, conn: conn, release: release}
	return response, nil
}

func exchange(conn net.Conn, request *http.Request) (*http.Response, error) {
	if err := request.Write(conn); err != nil {
		return nil, err
	}
	return bound.New(conn, readBuffer).ReadResponse(request)
}

// readBuffer is the size of the buffer of a connection, in bytes.
const readBuffer = 4 << 10

// ownedBody is a response body that closes its connection on Close.
type ownedBody struct {
	io.ReadCloser
	conn    net.Conn
	release func() bool
}

// Close implements io.Closer.
func (b *ownedBody) Close() error {
	b.release()
	return errors.Join(b.ReadCloser.Close(), b.conn.Close())
}
