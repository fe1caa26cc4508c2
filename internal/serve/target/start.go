package target

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/engine/conn"
	"github.com/jujubescale/jujubescale/internal/engine/spell"
)

const (
	// maxReportBytes bounds the report of an endpoint.
	maxReportBytes = 64 << 10
	// workConfirm names the calls that confirm a start in the metrics of connections.
	workConfirm = "confirm"
	// trustTime is how long a confirmed start counts after the last connection was closed in
	// order.
	trustTime = clock.Minute
	// confirmTries bounds the calls for one confirmation. The pause between two of them doubles,
	// from firstConfirmPause on.
	confirmTries      = 6
	firstConfirmPause = 100 * clock.Millis(1)
)

// StartError is returned if an endpoint is not the start that its entry names. Got is 0 if the
// endpoint doesn't state its start. Both are in milliseconds of the wall clock.
type StartError struct {
	Endpoint  string
	Want, Got int64
}

// Error implements error.
func (e *StartError) Error() string {
	return fmt.Sprintf("endpoint %s started at %d, its entry says %d", e.Endpoint, e.Got, e.Want)
}

// AskStart asks the process at the endpoint's address when it started. It returns a StartError
// if the entry names another start, and blocks the endpoint in that case.
func (t *Target) AskStart(ctx context.Context, codec *spell.Codec, maxIdle clock.Millis) error {
	head := append([]byte(nil), "GET "+codec.ReportPath+" HTTP/1.1\r\nHost: "+t.Address+"\r\n"...)
	head = append(codec.InstanceFunc(head, t.ID), "\r\n"...)
	reply, err := t.Send(ctx, &conn.Request{
		Method: http.MethodGet, Head: head, MaxIdle: maxIdle, Spare: true, Work: workConfirm,
		// A report has no request id; an answer with one is a late duplicate.
		MatchFunc: func(header http.Header, _ bool) bool { return codec.ResponseInfoFunc(header).Request == "" },
	})
	if err != nil {
		return err
	}
	defer reply.Finish()
	raw, err := io.ReadAll(io.LimitReader(reply.Body, maxReportBytes))
	if err != nil {
		return err
	}
	if reply.Status >= http.StatusInternalServerError {
		return fmt.Errorf("report of endpoint %s: status %d", t.ID, reply.Status)
	}
	var got int64
	if reply.Status == http.StatusOK {
		got, _ = codec.StartFunc(raw)
	}
	if got == t.StartedAt {
		return nil
	}
	if got != 0 {
		t.BlockReplaced(t.set.Clock.Now())
	}
	return &StartError{Endpoint: t.ID, Want: t.StartedAt, Got: got}
}

// starts holds whether the process at an endpoint's address is the start that its entry names.
type starts struct {
	mu sync.Mutex
	// trustedUntil is until when the last confirmation counts, 0 without one, and forever while
	// a connection is open. failures and closings count how often no connection was open any
	// more.
	trustedUntil       clock.Millis
	failures, closings int
	// unstatedUntil is until when no start is asked because the process states none.
	unstatedUntil clock.Millis
	// asking is set while a call is under way or due. waiting holds what began since it was sent.
	asking  bool
	waiting []func()
}

const forever clock.Millis = math.MaxInt64

// close is called when no connection to the endpoint is open any more, because the last one has
// failed or was closed in order: the process may have ended, or may end unnoticed.
func (s *starts) close(failed bool, now clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if failed {
		s.trustedUntil = 0
		s.failures++
		return
	}
	s.trustedUntil = min(s.trustedUntil, now+trustTime)
	s.closings++
}

// WhenConfirmed calls a function once it is known that an answer which has begun comes from the start
// that the entry names: a process that states this start after the answer has begun was there before.
// It calls the function at once while an earlier confirmation counts. Otherwise another goroutine,
// which ends with the context, calls confirm to ask the process, and the function if that succeeds.
func (t *Target) WhenConfirmed(ctx context.Context, confirm func(ctx context.Context) error, then func()) {
	s, now := &t.starts, t.set.Clock.Now()
	s.mu.Lock()
	switch {
	case now < s.trustedUntil:
		s.mu.Unlock()
		then()
		return
	case now >= s.unstatedUntil:
		s.waiting = append(s.waiting, then)
	}
	begin := !s.asking && len(s.waiting) > 0
	s.asking = s.asking || begin
	s.mu.Unlock()
	if begin {
		go t.confirmWaiting(ctx, confirm)
	}
}

// confirmWaiting asks until nothing waits for a confirmation.
func (t *Target) confirmWaiting(ctx context.Context, confirm func(ctx context.Context) error) {
	s := &t.starts
	for {
		s.mu.Lock()
		batch, failures, closings := s.waiting, s.failures, s.closings
		s.waiting, s.asking = nil, len(batch) > 0
		s.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		err := t.confirmOnce(ctx, confirm)
		now, unstated := t.set.Clock.Now(), isUnstated(err)
		s.mu.Lock()
		switch {
		case unstated:
			s.unstatedUntil = now + trustTime
		case err != nil || s.failures != failures:
		case s.closings != closings:
			s.trustedUntil = now + trustTime
		default:
			s.trustedUntil = forever
		}
		s.mu.Unlock()
		for _, then := range batch {
			if err == nil {
				then()
			}
		}
	}
}

// confirmOnce asks until the process has answered, at most confirmTries times.
func (t *Target) confirmOnce(ctx context.Context, confirm func(ctx context.Context) error) error {
	pause := firstConfirmPause
	for try := 1; ; try++ {
		err := confirm(ctx)
		var other *StartError
		if err == nil || errors.As(err, &other) || try == confirmTries || t.Gone() || t.set.Clock.Sleep(ctx, pause) != nil {
			return err
		}
		pause *= 2
	}
}

func isUnstated(err error) bool {
	var other *StartError
	return errors.As(err, &other) && other.Got == 0
}
