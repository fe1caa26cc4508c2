// Package load polls the load report of an endpoint. A report is out of date when
// it arrives, so each Report carries the instant that it describes.
package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/jujubescale/jujubescale/internal/base/bound"
	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// DefaultInterval is the default polling interval in ms. The endpoint is on the
	// same host, so ten small calls a second cost about a thousandth of a core.
	DefaultInterval clock.Millis = 100
	// DefaultTimeout is the default timeout of one call in ms.
	DefaultTimeout clock.Millis = 400
	// maxReport is the maximum size of a report in bytes.
	maxReport = 64 << 10
)

// Report is one load report. AsOf is the instant that it describes, on the clock
// of this process.
type Report struct {
	StartID string
	Running int
	Queued  int
	Limit   int
	Cold    bool
	// Warm is set only if the report states explicitly that the endpoint is not cold.
	// If the report has no such field, both Cold and Warm are false.
	Warm   bool
	Models []string
	Role   string
	AsOf   clock.Millis
}

// Outstanding returns the number of running and queued requests.
func (r *Report) Outstanding() int { return r.Running + r.Queued }

// Reading is the result of one poll. Exactly one of Report, Err and Unsupported is
// set; Unsupported means that the endpoint has no load reports.
type Reading struct {
	Report      *Report
	Unsupported bool
	Err         error
	At          clock.Millis
}

// StatusError is returned when the endpoint answered with a failure status.
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
	// AsOfMs is the age of the report in ms.
	AsOfMs int64 `json:"asOfMs"`
}

// Poller reads the load report at a fixed interval.
type Poller struct {
	url       string
	clock     *clock.Clock
	client    *http.Client
	interval  clock.Millis
	timeout   clock.Millis
	onReading func(Reading)
	pollNow   chan struct{}
	done      chan struct{}
}

// Option configures a Poller.
type Option func(*Poller)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(p *Poller) { p.clock = c } }

// WithInterval sets the polling interval and the timeout of one call.
func WithInterval(interval, timeout clock.Millis) Option {
	return func(p *Poller) { p.interval, p.timeout = interval, timeout }
}

// New returns a Poller of the endpoint at a base URL that passes each reading to
// onReading.
func New(base string, onReading func(Reading), opts ...Option) *Poller {
	p := &Poller{
		url: base + "/v1/load", clock: clock.New(), interval: DefaultInterval, timeout: DefaultTimeout,
		client:    &http.Client{Transport: bound.NewTransport(&http.Transport{MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: bound.MaxHeadBytes})},
		onReading: onReading, pollNow: make(chan struct{}, 1), done: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Start polls in the background until the context ends.
func (p *Poller) Start(ctx context.Context) {
	go func() {
		defer close(p.done)
		defer p.client.CloseIdleConnections()
		p.loop(ctx)
	}()
}

// Done closes once the poller has ended.
func (p *Poller) Done() <-chan struct{} { return p.done }

// PollNow triggers a reading without waiting for the interval.
func (p *Poller) PollNow() {
	select {
	case p.pollNow <- struct{}{}:
	default:
	}
}

func (p *Poller) loop(ctx context.Context) {
	for {
		reading := p.Read(ctx)
		if ctx.Err() != nil {
			return
		}
		p.onReading(reading)
		due, stop := p.clock.After(p.interval)
		select {
		case <-due:
		case <-p.pollNow:
			stop()
		case <-ctx.Done():
			stop()
			return
		}
	}
}

// Read reads the report once.
func (p *Poller) Read(ctx context.Context) Reading {
	// The age of the report is counted back from before the request. If the report
	// were taken as newer than it is, an endpoint that has since crashed would seem
	// warm.
	requestedAt := p.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, p.timeout.Duration())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url, http.NoBody)
	if err != nil {
		return Reading{Err: err, At: requestedAt}
	}
	response, err := p.client.Do(request)
	if err != nil {
		return Reading{Err: err, At: p.clock.Now()}
	}
	defer func() { _ = response.Body.Close() }()
	return p.parse(response, requestedAt)
}

func (p *Poller) parse(response *http.Response, requestedAt clock.Millis) Reading {
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
		Cold: b.Cold != nil && *b.Cold, Warm: b.Cold != nil && !*b.Cold, Models: b.Models, Role: b.Role, AsOf: requestedAt - clock.Millis(max(b.AsOfMs, 0)),
	}}
}
