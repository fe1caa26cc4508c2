package host

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/engine/conn"
	"github.com/jujubescale/jujubescale/internal/route/view"
	"github.com/jujubescale/jujubescale/internal/serve/permit"
)

const (
	// maxReuseIdle is how long a connection may have been idle to be reused.
	maxReuseIdle = 4 * clock.Second
	// repeatableMargin is the part of an idle timeout stated by an engine in which no
	// request is sent. All requests to stage engines may run twice, so that it only has to
	// make the race with the engine's close rare: it covers two round trips and one
	// throttling period of a small host, 100 ms, on either side.
	repeatableMargin = 300 * clock.Millis(1)
	// maxAnswerBytes limits the size of the answer to a call, which holds about
	// sixty references.
	maxAnswerBytes = 256 << 10
)

// Kinds of work in the metrics of connections.
const (
	workCall    = "call"
	workReport  = "report"
	workRelease = "release"
)

// RefusedError is returned when an engine refused a call. The engine has not run
// any of its pieces and will not run them.
type RefusedError struct {
	Endpoint string
	Status   int
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s refused the call with status %d", e.Endpoint, e.Status)
}

// StatusError is returned when an engine answered a call with an unexpected status.
// The call may have run or not.
type StatusError struct {
	Endpoint string
	Status   int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered status %d", e.Endpoint, e.Status)
}

// message is a request to an engine.
type message struct {
	method, path, work string
	body               []byte
	// maxIdle is how long a reused connection may have been idle; 0 requires a new one.
	maxIdle clock.Millis
	// verify checks the answer if connections carry several calls.
	verify func(status int, header http.Header, body []byte) conn.Verdict
}

// exchange sends one request to an engine and returns the body of its answer. Answers
// don't contain an attempt number, so on a reused connection a duplicate of an answer can't
// be distinguished from the answer to the next request unless the answers are verified.
// Without reuse, a request whose answer matters must therefore have a maxIdle of 0;
// its connection is closed afterwards.
func (h *Host) exchange(ctx context.Context, endpoint *view.Endpoint, m *message) ([]byte, error) {
	head := make([]byte, 0, 256)
	head = append(head, m.method+" "+m.path+" HTTP/1.1\r\nHost: "+endpoint.Address+"\r\nContent-Type: application/json\r\n"...)
	head = h.Codec.InstanceFunc(head, endpoint.ID)
	head = append(head, "Content-Length: "...)
	head = strconv.AppendInt(head, int64(len(m.body)), 10)
	// The value may have changed since the caller chose the connection.
	reuses, maxIdle := h.reuses(endpoint), m.maxIdle
	if m.work == workCall && !reuses {
		maxIdle = 0
	}
	if maxIdle == 0 && !reuses {
		head = append(head, "\r\nConnection: close"...)
	}
	head = append(head, "\r\n\r\n"...)
	request := &conn.Request{Method: m.method, Head: head, Body: m.body, MaxIdle: maxIdle, Work: m.work}
	if reuses {
		request.VerifyFunc, request.MaxBytes, request.IdleMargin = m.verify, maxAnswerBytes, repeatableMargin
	}
	sentAt := h.Clock.Now()
	reply, err := h.SendFunc(ctx, endpoint, request)
	var held *permit.HeldError
	if errors.As(err, &held) {
		return nil, &RefusedError{Endpoint: endpoint.ID, Status: http.StatusServiceUnavailable}
	}
	if err != nil {
		return nil, err
	}
	defer reply.Finish()
	info := h.ObserveFunc(endpoint, reply, "", sentAt)
	raw, err := io.ReadAll(io.LimitReader(reply.Body, maxAnswerBytes))
	if err != nil {
		return nil, &conn.SentError{Address: endpoint.Address, Cause: err}
	}
	switch {
	case info.NotRun || reply.Status == http.StatusMisdirectedRequest:
		return nil, &RefusedError{Endpoint: endpoint.ID, Status: reply.Status}
	case reply.Status != http.StatusOK:
		return nil, &StatusError{Endpoint: endpoint.ID, Status: reply.Status}
	}
	return raw, nil
}

// exchangeAgain is exchange for a report or a release of results, which is sent again on a
// new connection if a reused one has ended. An engine that limits its requests gets no
// second one.
func (h *Host) exchangeAgain(ctx context.Context, endpoint *view.Endpoint, m *message) ([]byte, error) {
	raw, err := h.exchange(ctx, endpoint, m)
	if !h.reuses(endpoint) || !isStale(err) || h.LimitFunc(endpoint) > 0 || h.RestFunc(endpoint, h.Clock.Now()) > 0 {
		return raw, err
	}
	m.maxIdle = 0
	return h.exchange(ctx, endpoint, m)
}
