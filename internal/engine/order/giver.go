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

// Limits of one order.
const (
	// quickLimit bounds an order that loads nothing.
	quickLimit = 3 * clock.Second
	// loadLimit bounds a load, which takes as long as the weight store needs.
	loadLimit = 10 * clock.Minute
	maxAnswer = 64 << 10
)

// FencedError says that the engine has seen a higher fencing number.
type FencedError struct {
	Fence   uint64
	Highest uint64
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("fencing number %d is old: the engine has seen %d", e.Fence, e.Highest)
}

// ExpiredError says that an order was not given because the lease had lapsed.
type ExpiredError struct {
	Order Order
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("lease lapsed before order %s of %s", e.Order.Op, e.Order.name())
}

// AnswerError says that the engine did not carry an order out, or that it is
// unknown whether it did.
type AnswerError struct {
	Order  Order
	Status int
	Cause  error
}

// Error implements error.
func (e *AnswerError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("order %s of %s has no answer: %v", e.Order.Op, e.Order.name(), e.Cause)
	}
	return fmt.Sprintf("order %s of %s was answered with status %d", e.Order.Op, e.Order.name(), e.Status)
}

// Unwrap returns the cause.
func (e *AnswerError) Unwrap() error { return e.Cause }

// SupersededError says that another agent took over the engine: this one
// gives no order any more.
type SupersededError struct {
	Holder string
	Fence  uint64
}

// Error implements error.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("agent %s gives the orders now, with fencing number %d", e.Holder, e.Fence)
}

// Issuer gives orders to one engine. It is used by one goroutine.
type Issuer struct {
	lease *lease.Lease
	// stepped is set when another agent took over.
	stepped *SupersededError
	// ignores says that the engine doesn't check fencing numbers: the agent is
	// the fence.
	ignores bool
	clock   *clock.Clock
	// sendFunc delivers one order.
	sendFunc func(ctx context.Context, order Order) error
}

// NewIssuer returns a giver that delivers orders with send.
func NewIssuer(c *clock.Clock, held *lease.Lease, ignores bool, send func(context.Context, Order) error) *Issuer {
	return &Issuer{clock: c, lease: held, ignores: ignores, sendFunc: send}
}

// Issue gives one order. Before it, the giver makes sure that it is the rightful
// one: its first act is to take a number above all that the platform knows,
// and each order renews the lease. When another agent took over, it steps back
// for good: two agents that seize from each other in turn would never settle.
func (g *Issuer) Issue(ctx context.Context, order Order) error {
	if err := g.ready(ctx); err != nil {
		return g.stepBack(err)
	}
	// The check comes last, after every wait: this process may have been paused
	// anywhere above, and another agent may have taken over meanwhile.
	if !g.lease.Valid() {
		return &ExpiredError{Order: order}
	}
	order.Fence = g.lease.Fence()
	err := g.sendFunc(ctx, order)
	var fenced *FencedError
	if !errors.As(err, &fenced) {
		return err
	}
	// The engine knows a higher number: another agent took over, which the
	// renewal finds out, or the platform's store was restored and lost count,
	// and then a number above the engine's is needed.
	if renew := g.lease.Renew(ctx); renew != nil {
		return g.stepBack(renew)
	}
	if seize := g.lease.Seize(ctx, fenced.Highest+1); seize != nil {
		return seize
	}
	return err
}

func (g *Issuer) stepBack(err error) error {
	var held *lease.HeldError
	if errors.As(err, &held) {
		g.stepped = &SupersededError{Holder: held.Holder, Fence: held.Fence}
		return g.stepped
	}
	return err
}

// ready takes the lease once, and renews it before each order. An engine that
// ignores fencing numbers gets no order before all that an earlier agent may
// have sent has arrived.
func (g *Issuer) ready(ctx context.Context) error {
	if g.stepped != nil {
		return g.stepped
	}
	if g.lease.Fence() == 0 {
		if err := g.lease.Seize(ctx, 0); err != nil {
			return err
		}
	}
	if quiet := g.lease.QuietPeriod(); g.ignores && quiet > 0 {
		if err := g.clock.Sleep(ctx, quiet); err != nil {
			return err
		}
	}
	return g.lease.Renew(ctx)
}

// Client gives orders over HTTP as docs/INTERFACES.md describes it.
type Client struct {
	url  string
	http *http.Client
}

// NewClient returns a client of the engine at a base URL.
func NewClient(base string, h *http.Client) *Client {
	return &Client{url: base + "/v1/orders", http: h}
}

// Send gives one order and waits until it is carried out.
func (c *Client) Send(ctx context.Context, order Order) error {
	limit := quickLimit
	if order.Loads() {
		limit = loadLimit
	}
	ctx, cancel := context.WithTimeout(ctx, limit.Duration())
	defer cancel()
	raw, err := json.Marshal(order)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	request.GetBody = nil // an order is never sent again by the transport
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
