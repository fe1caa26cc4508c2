// Package drive sends the load of an experiment to a system. It is an open-loop load
// generator: send times do not depend on the answers, so that a slow system gets no fewer
// requests.
package drive

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/bench/plan"
)

// Outcome is the result of a request from the caller's point of view.
type Outcome string

// Outcomes of a request.
const (
	// InTime is a complete, correct answer within the deadline.
	InTime Outcome = "inTime"
	// Late is a complete, correct answer after the deadline, or no answer until the timeout.
	Late Outcome = "late"
	// Refused is a refusal that does not count as Cut.
	Refused Outcome = "refused"
	// Cut is a request with a broken connection, a truncated answer, or a refusal because of
	// a failure after which the request may have run.
	Cut Outcome = "cut"
	// Wrong is an invalid answer, such as the answer to another request.
	Wrong Outcome = "wrong"
)

// Record is the result of one request. Durations count from its intended send time.
type Record struct {
	// At is the intended send time, counted from the start of the measurement.
	At           time.Duration
	Service      string
	Organisation string
	RequestID    string
	Mark         string
	First        time.Duration
	Took         time.Duration
	Outcome      Outcome
	Reason       fault.Reason
	Ran          fault.Ran
	Detail       string
	// Measured is set if the intended send time lies within the measurement.
	Measured bool
}

// Driver sends the requests of an experiment to entries.
type Driver struct {
	targets  func() []string
	client   *http.Client
	progress func(Progress)
}

// Progress is reported once a second. Sent is an estimate.
type Progress struct {
	Elapsed time.Duration
	Total   time.Duration
	Sent    int
}

// Option configures a Driver.
type Option func(*Driver)

// WithDial sets the function that opens connections to entries.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(d *Driver) { d.client.Transport = transport(dial) }
}

// WithProgress sets the function that receives progress reports.
func WithProgress(progress func(Progress)) Option { return func(d *Driver) { d.progress = progress } }

func transport(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Transport {
	const idle = 4096
	return &http.Transport{DialContext: dial, MaxIdleConns: idle, MaxIdleConnsPerHost: idle}
}

// New returns a driver. The function targets returns the base URLs of the entries that the
// load balancer currently uses.
func New(targets func() []string, opts ...Option) *Driver {
	d := &Driver{
		targets:  targets,
		client:   &http.Client{Transport: transport((&net.Dialer{}).DialContext)},
		progress: func(Progress) {},
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Run sends the load and returns a record of each request. It calls measurementBegins at
// the end of the warm-up. If ctx ends, it returns the records so far.
func (d *Driver) Run(ctx context.Context, e *plan.Experiment, measurementBegins func()) []Record {
	planned := drawArrivals(e)
	records := make([]Record, len(planned))
	warmup := time.Duration(e.WarmupMs) * time.Millisecond
	end := warmup + time.Duration(e.DurationMs)*time.Millisecond
	start := time.Now()
	timer := time.AfterFunc(warmup, measurementBegins)
	defer timer.Stop()
	done := d.reportProgress(start, end+time.Duration(e.CooldownMs)*time.Millisecond, len(planned))
	defer close(done)
	random := rand.New(rand.NewPCG(uint64(e.Seed), 0))
	var inFlight sync.WaitGroup
	for i := range planned {
		if wait(ctx, time.Until(start.Add(planned[i].at))) != nil {
			records = records[:i]
			break
		}
		inFlight.Add(1)
		target := random.Uint64()
		go func() {
			defer inFlight.Done()
			records[i] = d.send(ctx, e, &planned[i], start.Add(planned[i].at), target)
			records[i].At = planned[i].at - warmup
			records[i].Measured = planned[i].at >= warmup && planned[i].at < end
		}()
	}
	inFlight.Wait()
	d.client.CloseIdleConnections()
	return records
}

func wait(ctx context.Context, span time.Duration) error {
	if span <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (d *Driver) reportProgress(start time.Time, total time.Duration, planned int) chan struct{} {
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				elapsed := min(time.Since(start), total)
				d.progress(Progress{
					Elapsed: elapsed, Total: total, Sent: int(float64(planned) * float64(elapsed) / float64(total)),
				})
			case <-done:
				return
			}
		}
	}()
	return done
}
