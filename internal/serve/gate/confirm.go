package gate

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/engine/conn"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/serve/target"
)

const (
	// confirmTimeout bounds the call that confirms the start of an endpoint.
	confirmTimeout = 300 * clock.Millis(1)
	// maxReportBytes bounds the report of an endpoint.
	maxReportBytes = 64 << 10
	// workConfirm names these calls in the metrics of connections.
	workConfirm = "confirm"
)

// StartError is returned if an endpoint is not the start that its entry names. Got is 0 if the
// endpoint doesn't state its start.
type StartError struct {
	Endpoint  string
	Want, Got int64
}

// Error implements error.
func (e *StartError) Error() string {
	return fmt.Sprintf("endpoint %s started at %d, its entry says %d", e.Endpoint, e.Got, e.Want)
}

// confirmStart asks an endpoint when it started before it resumes a stream. An endpoint that
// starts again under its ID may run another software version before its entry changes, and
// accepts requests for the start before.
func (g *Gate) confirmStart(ctx context.Context, req *request, t *target.Target) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout.Duration())
	defer cancel()
	var got int64
	err := g.takeStart(ctx, req, t)
	if err == nil {
		got, err = g.askStart(ctx, t)
	}
	if err == nil && got != t.StartedAt {
		err = &StartError{Endpoint: t.ID, Want: t.StartedAt, Got: got}
		t.BlockReplaced(g.Clock.Now())
	}
	if err != nil {
		g.Log.Info("endpoint not confirmed", "request", req.Request, "endpoint", t.ID, "version", t.Version, logs.KeyError, err)
	}
	return err
}

// HeldBackError is returned if the rate limits of an endpoint leave no room for a call now.
type HeldBackError struct {
	Endpoint string
	Wait     clock.Millis
}

// Error implements error.
func (e *HeldBackError) Error() string {
	return fmt.Sprintf("endpoint %s takes no call for %d ms", e.Endpoint, e.Wait)
}

// takeStart counts a call that confirms the start of an endpoint: like any request, it needs a
// permit where the endpoint limits its rate, and counts at a cold endpoint.
func (g *Gate) takeStart(ctx context.Context, req *request, t *target.Target) error {
	wait, now := g.limits.Acquire(ctx, t.Endpoint, req.Request), g.Clock.Now()
	if wait == 0 && t.Cold(now) {
		wait = t.TryStart(g.startLimit(req, t.Endpoint, now), now)
	}
	if wait > 0 {
		return &HeldBackError{Endpoint: t.ID, Wait: wait}
	}
	return nil
}

// askStart returns when the process at an endpoint's address started, 0 if it doesn't state it.
func (g *Gate) askStart(ctx context.Context, t *target.Target) (int64, error) {
	head := append(make([]byte, 0, headCapacity), "GET "+g.Codec.ReportPath+" HTTP/1.1\r\nHost: "+t.Address+"\r\n"...)
	head = append(g.Codec.InstanceFunc(head, t.ID), "\r\n"...)
	reply, err := t.Send(ctx, &conn.Request{
		Method: http.MethodGet, Head: head, MaxIdle: maxReuseIdle, Work: workConfirm,
		// A report has no request id; an answer with one is a late duplicate.
		MatchFunc: func(header http.Header, _ bool) bool { return g.Codec.ResponseInfoFunc(header).Request == "" },
	})
	if err != nil {
		return 0, err
	}
	defer reply.Finish()
	raw, err := io.ReadAll(io.LimitReader(reply.Body, maxReportBytes))
	if err != nil || reply.Status != http.StatusOK {
		return 0, err
	}
	startedAt, _ := g.Codec.StartFunc(raw)
	return startedAt, nil
}
