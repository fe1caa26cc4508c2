// Package load reads an endpoint's load report, which lags, and tells the agent
// from when it is.
package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// DefaultInterval between two readings. The endpoint is on the same host:
	// ten small calls a second cost about a thousandth of a core.
	DefaultInterval clock.Millis = 100
	// DefaultTimeout of one reading.
	DefaultTimeout clock.Millis = 400
	maxReport                   = 64 << 10
)

// Report is one load report. AsOf is the instant it describes on this
// process's clock.
type Report struct {
	StartID string
	Running int
	Queued  int
	Limit   int
	Cold    bool
	// Warm is set only if the endpoint says in so many words that it is not cold.
	Warm   bool
	Models []string
	Role   string
	AsOf   clock.Millis
}

// Outstanding is the work that the endpoint has.
func (r *Report) Outstanding() int { return r.Running + r.Queued }

// Reading is the result of one poll. Exactly one of Report and Err is set,
// or Absent for an endpoint that gives no reports.
type Reading struct {
	Report      *Report
	Unsupported bool
	Err         error
	At          clock.Millis
}

// StatusError says that the endpoint gave no report.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("load report: status %d", e.Status) }

type body struct {
	// StartID may be a number or a string; only equality counts.
	StartID json.RawMessage `json:"startId"`
	Running int             `json:"running"`
	Queued  int             `json:"queued"`
	Limit   int             `json:"limit"`
	Cold    *bool           `json:"cold"`
	Models  []string        `json:"models"`
	Role    string          `json:"role"`
	// AsOfMs is the age of the report in milliseconds.
	AsOfMs int64 `json:"asOfMs"`
}

// Poller reads the load report again and again.
type Poller struct {
	url      string
	clock    *clock.Clock
	client   *http.Client
	interval clock.Millis
	timeout  clock.Millis
	take     func(Reading)
	poke     chan struct{}
	done     chan struct{}
}

// Option changes a Poller while it is built.
type Option func(*Poller)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(p *Poller) { p.clock = c } }

// WithInterval sets the span between two readings, and the timeout of one.
func WithInterval(interval, timeout clock.Millis) Option {
	return func(p *Poller) { p.interval, p.timeout = interval, timeout }
}

// New returns a poller of the endpoint at a base URL that hands each reading
// to take.
func New(base string, take func(Reading), opts ...Option) *Poller {
	p := &Poller{
		url: base + "/v1/load", clock: clock.New(), interval: DefaultInterval, timeout: DefaultTimeout,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		take:   take, poke: make(chan struct{}, 1), done: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Start reads until the context ends.
func (p *Poller) Start(ctx context.Context) {
	go func() {
		defer close(p.done)
		defer p.client.CloseIdleConnections()
		p.loop(ctx)
	}()
}

// Done closes once the poller has ended.
func (p *Poller) Done() <-chan struct{} { return p.done }

// PollNow asks for a reading at once.
func (p *Poller) PollNow() {
	select {
	case p.poke <- struct{}{}:
	default:
	}
}

func (p *Poller) loop(ctx context.Context) {
	for {
		reading := p.Read(ctx)
		if ctx.Err() != nil {
			return
		}
		p.take(reading)
		due, stop := p.clock.After(p.interval)
		select {
		case <-due:
		case <-p.poke:
			stop()
		case <-ctx.Done():
			stop()
			return
		}
	}
}

// Read reads the report once.
func (p *Poller) Read(ctx context.Context) Reading {
	// The report is as old as it says, counted from before it was asked for:
	// taken for newer than it is, it would show an endpoint warm that has since
	// fallen over.
	asked := p.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, p.timeout.Duration())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url, http.NoBody)
	if err != nil {
		return Reading{Err: err, At: asked}
	}
	response, err := p.client.Do(request)
	if err != nil {
		return Reading{Err: err, At: p.clock.Now()}
	}
	defer func() { _ = response.Body.Close() }()
	return p.parse(response, asked)
}

func (p *Poller) parse(response *http.Response, asked clock.Millis) Reading {
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusNotImplemented:
		return Reading{Unsupported: true, At: p.clock.Now()}
	default:
		return Reading{Err: &StatusError{Status: response.StatusCode}, At: p.clock.Now()}
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxReport))
	if err != nil {
		return Reading{Err: err, At: p.clock.Now()}
	}
	var b body
	if err := json.Unmarshal(raw, &b); err != nil {
		return Reading{Err: err, At: p.clock.Now()}
	}
	return Reading{At: p.clock.Now(), Report: &Report{
		StartID: string(b.StartID), Running: max(b.Running, 0), Queued: max(b.Queued, 0), Limit: max(b.Limit, 0),
		Cold: b.Cold != nil && *b.Cold, Warm: b.Cold != nil && !*b.Cold, Models: b.Models, Role: b.Role, AsOf: asked - clock.Millis(max(b.AsOfMs, 0)),
	}}
}
