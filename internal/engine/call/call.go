// Package call runs work at the endpoint beside the agent and knows, for each
// failure, whether the work may have run.
//
// The HTTP transport of the standard library sends a request again by itself
// when a reused connection turns out closed and the request has no body, a
// GetBody, or an Idempotency-Key header. A booking would then run twice beneath
// all of the project's own bookkeeping, and nobody would see it. Work that may
// run at most once therefore never meets that transport: it gets a connection
// of its own, one request is written to it, and one answer is read.
package call

import (
	"bufio"
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

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
)

const (
	// DefaultIdle is how long an unused connection is kept. It is shorter than
	// the usual idle timeout of servers (5 s and more): otherwise the endpoint
	// closes the connection just as a request goes out on it, and the call
	// fails though nothing is wrong. docs/design/sessions.md has both ways measured.
	DefaultIdle = 4 * clock.Second
	dialTimeout = clock.Second
	chunkBytes  = 32 << 10
	maxDetail   = 512
	// MaxAnswer bounds one answer, in bytes.
	MaxAnswer = 8 << 20
	maxIdle   = 256
)

// ErrAbandoned as the cause of a context's end leaves the work to the endpoint:
// nothing is told to it, as when the process had died.
var ErrAbandoned = errors.New("work was left to the endpoint")

// Request is one attempt of work.
type Request struct {
	ID         string
	Idempotent bool
	// Key goes to plain services as Idempotency-Key.
	Key      string
	TimeLeft clock.Millis
	Method   string
	Path     string
	Body     []byte
	// Model and Priority are for model engines.
	Model    string
	Priority int
	// OnCut, if set, is told at once when a stream is cut, before it is taken up again.
	OnCut func()
}

// Answer is what came with the end of the answer; its bytes went to the taker.
type Answer struct {
	Status      int
	ContentType string
	Tokens      int64
	// EngineTime is what the endpoint says the work took; 0 when it says nothing.
	EngineTime clock.Millis
	Cached     int64
}

// Sink takes the bytes of an answer in order. They are only valid during the call.
type Sink func([]byte) error

// FailedError says that the endpoint gave no whole answer.
type FailedError struct {
	Ran fault.Ran
	// Reset says that the endpoint cut or refused the connection, which is also
	// what an endpoint does that has fallen over.
	Reset bool
	Cause error
}

// Error implements error.
func (e *FailedError) Error() string { return fmt.Sprintf("endpoint failed (%s): %v", e.Ran, e.Cause) }

// Unwrap returns the cause.
func (e *FailedError) Unwrap() error { return e.Cause }

// StatusError says that the endpoint answered with a failure.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("endpoint answered %d: %s", e.Status, e.Body)
}

// Busy reports whether the endpoint refused for its load.
func (e *StatusError) Busy() bool {
	return e.Status == http.StatusTooManyRequests || e.Status == http.StatusServiceUnavailable
}

// TooLargeError says that an answer is larger than the system carries.
type TooLargeError struct {
	Bound int
}

// Error implements error.
func (e *TooLargeError) Error() string { return fmt.Sprintf("answer is larger than %d bytes", e.Bound) }

// Caller calls one endpoint. Its methods may be called at once from several goroutines.
type Caller struct {
	base   *url.URL
	idle   clock.Millis
	dialer net.Dialer
	shared *http.Client
	// resumed counts streams that were taken up again after a cut.
	resumed func()
}

// Option changes a Caller while it is built.
type Option func(*Caller)

// WithIdle sets how long unused connections to the endpoint are kept.
func WithIdle(span clock.Millis) Option { return func(c *Caller) { c.idle = span } }

// WithResumed sets who counts resumed streams.
func WithResumed(resumed func()) Option { return func(c *Caller) { c.resumed = resumed } }

// New returns a caller of the endpoint at a base URL.
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
		Transport: &http.Transport{
			DialContext:         c.dialer.DialContext,
			IdleConnTimeout:     c.idle.Duration(),
			MaxIdleConnsPerHost: maxIdle,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c, nil
}

// Close drops the unused connections.
func (c *Caller) Close() { c.shared.CloseIdleConnections() }

// Run runs a stage of an encoder, retriever or reranker.
func (c *Caller) Run(ctx context.Context, request *Request, take Sink) (Answer, error) {
	response, err := c.send(ctx, request, http.MethodPost, "/v1/run", request.Body)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Answer{}, statusError(response)
	}
	return c.copyAll(response, take)
}

// Plain runs one call of a plain service. Any status of the service is an
// answer. Only where the call may be repeated is "too much to do" a failure:
// it can be tried elsewhere then.
func (c *Caller) Plain(ctx context.Context, request *Request, take Sink) (Answer, error) {
	response, err := c.send(ctx, request, request.Method, request.Path, request.Body)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if busy := (&StatusError{Status: response.StatusCode}); request.Idempotent && busy.Busy() {
		return Answer{}, statusError(response)
	}
	return c.copyAll(response, take)
}

func (c *Caller) copyAll(response *http.Response, take Sink) (Answer, error) {
	answer := Answer{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type")}
	buf := make([]byte, min(chunkBytes, max(int(response.ContentLength)+1, maxDetail)))
	total := 0
	for {
		n, err := response.Body.Read(buf)
		total += n
		if total > MaxAnswer {
			return answer, &TooLargeError{Bound: MaxAnswer}
		}
		if n > 0 {
			if taken := take(buf[:n]); taken != nil {
				return answer, taken
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
	detail, err := io.ReadAll(io.LimitReader(response.Body, maxDetail))
	if err != nil {
		detail = []byte(err.Error())
	}
	return &StatusError{Status: response.StatusCode, Body: string(detail)}
}

// send writes the request on the path that its idempotence allows.
func (c *Caller) send(ctx context.Context, request *Request, method, path string, body []byte) (*http.Response, error) {
	target, err := c.base.Parse(path)
	if err != nil || target.Host != c.base.Host {
		return nil, &fault.InvalidError{Path: "path", Value: path, Allowed: "a path at the endpoint"}
	}
	built, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return nil, &fault.InvalidError{Path: "method", Value: method, Allowed: "an HTTP method"}
	}
	// With a body and no GetBody the transport can't send the request twice.
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
	return nil, failure(err)
}

// failure classifies an error before the first byte of an answer.
func failure(err error) *FailedError {
	failed := &FailedError{Ran: fault.MayHaveRun, Cause: err}
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		// Without a connection nothing was written.
		failed.Ran = fault.NotRun
	}
	failed.Reset = !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
	return failed
}

// sendOnce writes the request to a connection of its own, exactly once.
func (c *Caller) sendOnce(ctx context.Context, request *http.Request) (*http.Response, error) {
	conn, err := c.dialer.DialContext(ctx, "tcp", c.base.Host)
	if err != nil {
		failed := failure(err)
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
	reader := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(reader, request)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
		// Interim answers (1xx) go before the one that counts.
	}
}

// ownedBody closes the connection with the body.
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
