package order

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/plat/lease"
)

// Limits of one order and its answer.
const (
	// orderTimeout is the timeout of orders that load nothing.
	orderTimeout = 3 * clock.Second
	// loadTimeout is the timeout of a load, whose duration depends on the weight
	// store.
	loadTimeout = 10 * clock.Minute
	// maxAnswer is the maximum size of an answer in bytes.
	maxAnswer = 64 << 10
)

// FencedError is returned when the engine has seen a higher fencing number.
type FencedError struct {
	Fence   uint64
	Highest uint64
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("fencing number %d is stale: the engine has seen %d", e.Fence, e.Highest)
}

// ExpiredError is returned when an order was not issued because the lease had
// expired.
type ExpiredError struct {
	Order Order
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("lease expired before order %s of %s", e.Order.Op, e.Order.name())
}

// AnswerError is returned when the engine did not execute an order, or when it is
// unknown whether it did.
type AnswerError struct {
	Order  Order
	Status int
	Cause  error
}

// Error implements error.
func (e *AnswerError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("order %s of %s has no valid answer: %v", e.Order.Op, e.Order.name(), e.Cause)
	}
	return fmt.Sprintf("order %s of %s was answered with status %d", e.Order.Op, e.Order.name(), e.Status)
}

// Unwrap returns the cause.
func (e *AnswerError) Unwrap() error { return e.Cause }

// SupersededError is returned when another agent has taken over the engine. The
// Issuer then issues no further orders.
type SupersededError struct {
	Holder string
	Fence  uint64
}

// Error implements error.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("agent %s has taken over the engine with fencing number %d", e.Holder, e.Fence)
}

// Issuer issues orders to one engine. It is not safe for concurrent use.
type Issuer struct {
	lease *lease.Lease
	// superseded is set when another agent took over.
	superseded *SupersededError
	// ignoresFencing is set if the engine doesn't check fencing numbers, so that the
	// agent must prevent stale orders itself.
	ignoresFencing bool
	clock          *clock.Clock
	// sendFunc sends one order to the engine.
	sendFunc func(ctx context.Context, order Order) error
}

// NewIssuer returns an Issuer that sends orders with send. ignoresFencing means
// that the engine doesn't check fencing numbers.
func NewIssuer(c *clock.Clock, held *lease.Lease, ignoresFencing bool, send func(context.Context, Order) error) *Issuer {
	return &Issuer{clock: c, lease: held, ignoresFencing: ignoresFencing, sendFunc: send}
}

// Issue issues one order. It first makes sure that this agent holds the lease: the
// first call seizes it with a fencing number above all that the platform has stored,
// and each call renews it. Once another agent has taken over, all calls fail with
// a SupersededError, because two agents would otherwise seize the lease from each
// other indefinitely.
func (i *Issuer) Issue(ctx context.Context, order Order) error {
	if err := i.ready(ctx); err != nil {
		return i.recordSuperseded(err)
	}
	// Check the lease after everything that may wait: this process may have been
	// paused anywhere above while another agent took over.
	if !i.lease.Valid() {
		return &ExpiredError{Order: order}
	}
	order.Fence = i.lease.Fence()
	err := i.sendFunc(ctx, order)
	var fenced *FencedError
	if !errors.As(err, &fenced) {
		return err
	}
	// The engine has seen a higher number. Either another agent took over, and the
	// renewal fails, or the platform's store was restored from an older state, and
	// the lease needs a number above the engine's.
	if renewErr := i.lease.Renew(ctx); renewErr != nil {
		return i.recordSuperseded(renewErr)
	}
	if seizeErr := i.lease.Seize(ctx, fenced.Highest+1); seizeErr != nil {
		return seizeErr
	}
	return err
}

func (i *Issuer) recordSuperseded(err error) error {
	var held *lease.HeldError
	if errors.As(err, &held) {
		i.superseded = &SupersededError{Holder: held.Holder, Fence: held.Fence}
		return i.superseded
	}
	return err
}

// ready seizes the lease for the first order and renews it for each. If the engine
// ignores fencing numbers, it waits until no order of an earlier agent can still
// be in transit.
func (i *Issuer) ready(ctx context.Context) error {
	if i.superseded != nil {
		return i.superseded
	}
	if i.lease.Fence() == 0 {
		if err := i.lease.Seize(ctx, 0); err != nil {
			return err
		}
	}
	if quietPeriod := i.lease.QuietPeriod(); i.ignoresFencing && quietPeriod > 0 {
		if err := i.clock.Sleep(ctx, quietPeriod); err != nil {
			return err
		}
	}
	return i.lease.Renew(ctx)
}

// Client sends orders over HTTP as described in docs/INTERFACES.md.
type Client struct {
	url  string
	http *http.Client
}

// NewClient returns a Client of the engine at a base URL.
func NewClient(base string, h *http.Client) *Client {
	return &Client{url: base + "/v1/orders", http: h}
}

// Send sends one order and waits until the engine has executed it. It fails with a
// FencedError or an AnswerError.
func (c *Client) Send(ctx context.Context, order Order) error {
	timeout := orderTimeout
	if order.Loads() {
		timeout = loadTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	raw, err := json.Marshal(order)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	request.GetBody = nil // the transport must not repeat an order
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return &AnswerError{Order: order, Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return &AnswerError{Order: order, Cause: err}
	}
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		var answer struct {
			Highest uint64 `json:"highest"`
		}
		if err := json.Unmarshal(body, &answer); err != nil {
			return &AnswerError{Order: order, Status: response.StatusCode, Cause: err}
		}
		return &FencedError{Fence: order.Fence, Highest: answer.Highest}
	default:
		return &AnswerError{Order: order, Status: response.StatusCode}
	}
}
