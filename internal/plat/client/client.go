// Package client calls the platform over HTTP as described in docs/INTERFACES.md.
// It never retries. The error of a failed write tells whether the write may have
// taken effect.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/jujubescale/jujubescale/internal/base/bound"
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/plat/store"
)

const (
	// callTimeout is the default timeout of a call. A healthy platform answers within
	// milliseconds.
	callTimeout = 3 * clock.Second
	// maxList is the maximum size of an answer in bytes; lists are the largest.
	maxList = 16 << 20

	versionHeader    = "X-Version"
	retryAfterHeader = "Retry-After-Ms"
)

// Client calls one platform.
type Client struct {
	base    string
	http    *http.Client
	timeout clock.Millis
}

// Option configures a Client.
type Option func(*Client)

// WithHTTP replaces the HTTP client.
func WithHTTP(h *http.Client) Option { return func(c *Client) { c.http = h } }

// WithTimeout sets the timeout of a call. The timeout of a watch is longer by its
// wait.
func WithTimeout(timeout clock.Millis) Option { return func(c *Client) { c.timeout = timeout } }

// New returns a Client of the platform at a base URL such as
// "http://127.0.0.1:7070".
func New(base string, opts ...Option) *Client {
	c := &Client{
		base:    strings.TrimSuffix(base, "/"),
		http:    &http.Client{Transport: bound.NewTransport(&http.Transport{MaxIdleConnsPerHost: 8, MaxResponseHeaderBytes: bound.MaxHeadBytes})},
		timeout: callTimeout,
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Store returns a store that calls the platform through this client.
func (c *Client) Store() *store.Store {
	return &store.Store{
		GetFunc: c.get, PutFunc: c.put, DeleteFunc: c.remove,
		WatchFunc: c.watch, ListFunc: c.list, HostsFunc: c.hosts,
	}
}

// AnswerError is returned for an answer with a failure status and for one that
// docs/INTERFACES.md doesn't allow. It is also returned, without a call, for a value
// larger than store.MaxValue.
type AnswerError struct {
	Status int
	Detail string
}

// Error implements error.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("platform answered status %d: %s", e.Status, e.Detail)
}

func objectPath(name string) string {
	parts := strings.Split(name, "/")
	for i := range parts {
		parts[i] = url.PathEscape(parts[i])
	}
	return "/v1/objects/" + strings.Join(parts, "/")
}

func (c *Client) get(ctx context.Context, name string) (store.Object, error) {
	return c.read(ctx, name, objectPath(name), c.timeout)
}

func (c *Client) watch(ctx context.Context, name string, seen store.Revision, wait clock.Millis) (store.Object, error) {
	query := fmt.Sprintf("?watch=%d&waitMs=%d", seen.Number, wait)
	return c.read(ctx, name, objectPath(name)+query, c.timeout+wait)
}

func (c *Client) read(ctx context.Context, name, path string, timeout clock.Millis) (store.Object, error) {
	answer, err := c.do(ctx, http.MethodGet, path, nil, nil, timeout)
	if err != nil {
		return store.Object{}, &store.UnavailableError{Name: name, Cause: err}
	}
	switch answer.status {
	case http.StatusOK:
		return answer.object(name)
	case http.StatusNotFound:
		return store.Object{Name: name}, nil
	default:
		return store.Object{}, answer.unavailable(name)
	}
}

func (c *Client) put(ctx context.Context, name string, want store.Revision, value []byte) (store.Object, error) {
	answer, err := c.write(ctx, http.MethodPut, name, want, value)
	if err != nil {
		return store.Object{}, err
	}
	object, err := answer.object(name)
	if err != nil {
		return store.Object{}, &store.UnknownError{Name: name, Cause: err}
	}
	object.Value = value
	return object, nil
}

func (c *Client) remove(ctx context.Context, name string, want store.Revision) error {
	_, err := c.write(ctx, http.MethodDelete, name, want, nil)
	return err
}

// write sends a conditional write once. Unless it is certain that the write had no
// effect, it fails with an UnknownError, because the answer to a successful write
// may have been lost.
func (c *Client) write(ctx context.Context, method, name string, want store.Revision, value []byte) (*answer, error) {
	if len(value) > store.MaxValue {
		return nil, &AnswerError{Status: http.StatusRequestEntityTooLarge, Detail: "value is larger than the platform allows"}
	}
	header := http.Header{"If-Match": {strconv.FormatUint(want.Number, 10)}}
	answer, err := c.do(ctx, method, objectPath(name), header, value, c.timeout)
	if err != nil {
		if notSent(err) {
			return nil, &store.UnavailableError{Name: name, Cause: err}
		}
		return nil, &store.UnknownError{Name: name, Cause: err}
	}
	switch {
	case answer.status == http.StatusOK || answer.status == http.StatusCreated || answer.status == http.StatusNoContent:
		return answer, nil
	case answer.status == http.StatusPreconditionFailed:
		current, err := answer.object(name)
		if err != nil {
			return nil, &store.UnavailableError{Name: name, Cause: err}
		}
		return nil, &store.ConflictError{Name: name, Want: want, Current: current}
	case answer.refused() || answer.status < http.StatusInternalServerError:
		return nil, answer.unavailable(name)
	default:
		return nil, &store.UnknownError{Name: name, Cause: answer.failure()}
	}
}

// notSent reports whether the connection could not be opened, so that nothing was
// sent.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *Client) list(ctx context.Context, prefix string) ([]store.Object, error) {
	path := "/v1/objects?prefix=" + url.QueryEscape(prefix)
	answer, err := c.do(ctx, http.MethodGet, path, nil, nil, c.timeout)
	if err != nil {
		return nil, &store.UnavailableError{Name: prefix, Cause: err}
	}
	if answer.status != http.StatusOK {
		return nil, answer.unavailable(prefix)
	}
	var lines []listLine
	if err := json.Unmarshal(answer.body, &lines); err != nil {
		return nil, &store.UnavailableError{Name: prefix, Cause: err}
	}
	objects := make([]store.Object, 0, len(lines))
	for _, line := range lines {
		objects = append(objects, store.Object{Name: line.Name, Version: store.At(line.Version)})
	}
	return objects, nil
}

type listLine struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

func (c *Client) hosts(ctx context.Context, query store.HostQuery) (store.HostPage, error) {
	values := url.Values{"role": {query.Role}, "pool": {query.Pool}, "after": {query.After}}
	if query.Limit > 0 {
		values.Set("limit", strconv.Itoa(query.Limit))
	}
	answer, err := c.do(ctx, http.MethodGet, "/v1/hosts?"+values.Encode(), nil, nil, c.timeout)
	if err != nil {
		return store.HostPage{}, &store.UnavailableError{Name: "hosts", Cause: err}
	}
	if answer.status != http.StatusOK {
		return store.HostPage{}, answer.unavailable("hosts")
	}
	var page store.HostPage
	if err := json.Unmarshal(answer.body, &page); err != nil {
		return store.HostPage{}, &store.UnavailableError{Name: "hosts", Cause: err}
	}
	return page, nil
}

// answer is one complete HTTP answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (a *answer) object(name string) (store.Object, error) {
	if a.status == http.StatusNoContent {
		return store.Object{Name: name}, nil
	}
	version, err := strconv.ParseUint(a.header.Get(versionHeader), 10, 64)
	if err != nil {
		return store.Object{}, &AnswerError{Status: a.status, Detail: "no version in " + versionHeader}
	}
	return store.Object{Name: name, Version: store.At(version), Value: a.body}, nil
}

func (a *answer) refused() bool {
	return a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable
}

func (a *answer) failure() error {
	const shown = 200
	return &AnswerError{Status: a.status, Detail: string(a.body[:min(len(a.body), shown)])}
}

func (a *answer) unavailable(name string) error {
	after, err := strconv.ParseInt(a.header.Get(retryAfterHeader), 10, 64)
	if err != nil {
		after = 0
	}
	return &store.UnavailableError{Name: name, RetryAfter: clock.Millis(after), Cause: a.failure()}
}

func (c *Client) do(ctx context.Context, method, path string, header http.Header, value []byte, timeout clock.Millis) (*answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	var body io.Reader = http.NoBody
	if value != nil {
		body = bytes.NewReader(value)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport can't repeat a write. A repeated write would
	// conflict with the first one and report a successful write as a conflict.
	request.GetBody = nil
	for key, values := range header {
		request.Header[key] = values
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxList))
	if err != nil {
		return nil, err
	}
	return &answer{status: response.StatusCode, header: response.Header, body: raw}, nil
}
