// Package detect finds out which endpoints crashed and under which requests, and keeps the
// records of both. A crash is told from a broken connection by a probe.
package detect

import (
	"context"
	"errors"
	"sync"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/engine/conn"
	"github.com/jujubescale/jujubescale/internal/flow/blame"
	"github.com/jujubescale/jujubescale/internal/flow/crash"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/route/view"
	"github.com/jujubescale/jujubescale/internal/serve/target"
)

const (
	// maxQueuedProbes bounds the queued probes of endpoints, maxProbes the concurrent ones.
	maxQueuedProbes = 512
	maxProbes       = 16
	// probeTimeout bounds one probe. An endpoint that has ended refuses connections at
	// once.
	probeTimeout = 250 * clock.Millis(1)
	// closingTime is the time in which the system closes all connections of a process that ends.
	closingTime = 50 * clock.Millis(1)
	// keepUnfinished is how long after its end an attempt without a complete answer counts
	// as work that its endpoint may still run: the entry of a crashed endpoint is removed
	// some seconds after the crash.
	keepUnfinished = 5 * clock.Second
	// maxUnfinished bounds the number of those attempts.
	maxUnfinished = 2048
)

// Attempt is an attempt that ended without a complete answer at an endpoint that may have
// crashed while it ran the request.
type Attempt struct {
	Request string
	// Key identifies the request. It is zero if only the endpoint is to be probed.
	Key    crash.Key
	Target *target.Target
	// At is when the attempt ended.
	At clock.Millis
	// Parts are the prompt's shared parts, Events the events of the attempt.
	Parts  []blame.Part
	Events int

	done chan struct{}
}

// Detector holds the probes to run, the attempts that a crash would be counted for, and the
// requests and parts of prompts under which endpoints crashed.
type Detector struct {
	clock    *clock.Clock
	log      *log.Logger
	registry prometheus.Registerer
	meter    *meter
	peers    Peers
	requests *crash.Tracker
	parts    *blame.Tracker
	probes   chan Attempt

	mu sync.Mutex
	// byEndpoint holds the attempts that this process has ended or that were answered with
	// a failure.
	byEndpoint map[*view.Endpoint][]Attempt
	count      int
}

// Option changes a Detector.
type Option func(*Detector)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(d *Detector) { d.clock = c } }

// WithLog sets the logger.
func WithLog(l *log.Logger) Option { return func(d *Detector) { d.log = l } }

// WithRegistry sets where the metrics are registered.
func WithRegistry(r prometheus.Registerer) Option { return func(d *Detector) { d.registry = r } }

// New returns a Detector without records. Run executes its probes.
func New(opts ...Option) *Detector {
	d := &Detector{
		clock: clock.New(), log: log.Default(), registry: prometheus.NewRegistry(), requests: crash.New(), parts: blame.New(),
		peers:  Peers{OwnerFunc: func(string) string { return "" }, ReportFunc: func() {}},
		probes: make(chan Attempt, maxQueuedProbes), byEndpoint: make(map[*view.Endpoint][]Attempt),
	}
	for _, opt := range opts {
		opt(d)
	}
	d.meter = newMeter(d.registry)
	return d
}

// Requests returns the record of requests that crashed endpoints.
func (d *Detector) Requests() *crash.Tracker { return d.requests }

// Probe queues a probe of the attempt's endpoint and returns a channel that is closed when the
// crashes are counted that it finds. If the queue is full, the probe is dropped and logged.
func (d *Detector) Probe(attempt Attempt) <-chan struct{} {
	attempt.done = make(chan struct{})
	select {
	case d.probes <- attempt:
	default:
		close(attempt.done)
		d.log.Info("endpoint not looked at", "request", attempt.Request, "endpoint", attempt.Target.ID)
	}
	return attempt.done
}

// ProbeAgain queues a probe of an endpoint that refused a connection or whose entry was
// removed, if it has unfinished attempts.
func (d *Detector) ProbeAgain(t *target.Target) {
	if d.has(t.Endpoint) {
		d.Probe(Attempt{Target: t, At: d.clock.Now()})
	}
}

// Keep stores an attempt that this process has ended or whose answer was a failure.
func (d *Detector) Keep(attempt Attempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.count >= maxUnfinished {
		d.expire(attempt.At)
	}
	if d.count < maxUnfinished {
		d.byEndpoint[attempt.Target.Endpoint] = append(d.byEndpoint[attempt.Target.Endpoint], attempt)
		d.count++
	}
}

// expire drops attempts older than keepUnfinished; the caller holds the lock.
func (d *Detector) expire(now clock.Millis) {
	d.count = 0
	for e, all := range d.byEndpoint {
		kept := all[:0]
		for _, attempt := range all {
			if now-attempt.At <= keepUnfinished {
				kept = append(kept, attempt)
			}
		}
		if d.byEndpoint[e] = kept; len(kept) == 0 {
			delete(d.byEndpoint, e)
		}
		d.count += len(kept)
	}
}

// has reports whether an endpoint has unfinished attempts.
func (d *Detector) has(e *view.Endpoint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.byEndpoint[e]) > 0
}

// takeRecent removes and returns the recent unfinished attempts at an endpoint.
func (d *Detector) takeRecent(e *view.Endpoint, now clock.Millis) []Attempt {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	all := d.byEndpoint[e]
	d.count -= len(all)
	delete(d.byEndpoint, e)
	return all
}

// Run runs the queued probes until the context ends.
func (d *Detector) Run(ctx context.Context) {
	var probes sync.WaitGroup
	defer probes.Wait()
	probes.Go(func() { d.restate(ctx) })
	slots := make(chan struct{}, maxProbes)
	for {
		select {
		case attempt := <-d.probes:
			slots <- struct{}{}
			probes.Go(func() {
				begun := d.countCrashes(ctx, attempt)
				close(attempt.done)
				<-slots
				d.chargeBegun(ctx, begun)
			})
		case <-ctx.Done():
			return
		}
	}
}

// countCrashes probes the endpoint of a failed attempt. If the endpoint has crashed, it
// counts a crash for each request that the endpoint was running. It returns the attempts whose
// answer the endpoint had begun, which chargeBegun counts.
func (d *Detector) countCrashes(ctx context.Context, failed Attempt) (begun []Attempt) {
	if !Crashed(ctx, failed.Target) {
		if failed.Key != (crash.Key{}) {
			d.Keep(failed) // the endpoint may still be about to end
		}
		return nil
	}
	if failed.Key != (crash.Key{}) {
		d.Keep(failed)
	}
	_ = d.clock.Sleep(ctx, groupDelay) // without it, fewer are known that ran together
	all := d.takeRecent(failed.Target.Endpoint, d.clock.Now())
	d.recordParts(failed.Target, all)
	for _, attempt := range all {
		if attempt.Events > 0 {
			begun = append(begun, attempt)
			continue
		}
		d.chargeRequest(&attempt)
	}
	return begun
}

// chargeBegun counts a crash for requests whose answer the endpoint had begun. Their culprit may
// have come from a peer, which reports it meanwhile.
func (d *Detector) chargeBegun(ctx context.Context, begun []Attempt) {
	if len(begun) == 0 || d.clock.Sleep(ctx, peerReportTime) != nil {
		return
	}
	for _, attempt := range begun {
		d.chargeRequest(&attempt)
	}
}

// peerReportTime is the time within which peers report a crash under a part.
const peerReportTime = 300 * clock.Millis(1)

// chargeRequest counts a crash for the request of an attempt, unless a part of another request
// explains the crash.
func (d *Detector) chargeRequest(attempt *Attempt) {
	run := runOf(attempt.Target)
	if d.parts.Explains(run, attempt.Parts) {
		d.log.Info("request at a crashed endpoint not suspected", "request", attempt.Request, "endpoint", attempt.Target.ID, "events", attempt.Events)
		return
	}
	crashes, quarantined := d.requests.RecordCrash(attempt.Key, run, d.clock.Now())
	d.meter.crashes.WithLabelValues(attempt.Target.Pool).Inc()
	d.log.Info("endpoint crashed under request", "request", attempt.Request, "key", attempt.Key, "pool", attempt.Target.Pool,
		"endpoint", attempt.Target.ID, "born", attempt.Target.StartedAt, "endedMs", int64(d.clock.Since(attempt.At)), "crashes", crashes, "parts", ids(attempt.Parts), "events", attempt.Events)
	if quarantined {
		d.recordQuarantine(attempt.Key, "crashes seen by this process")
	}
}

// Crashed reports whether an endpoint ended without a planned stop: it has restarted, or
// its address refuses connections.
func Crashed(ctx context.Context, t *target.Target) bool {
	switch {
	case t.Leaving():
		return false
	case t.Restarted():
		return true
	}
	return errors.Is(probe(ctx, t), syscall.ECONNREFUSED)
}

// Ended reports whether an endpoint can't be shown to go on: it has restarted, or its address takes
// no connection. A planned stop may end it in the middle of an answer, too. It blocks for closingTime
// at least: the port of a process that ends takes connections until all others are closed.
func Ended(ctx context.Context, t *target.Target) bool {
	if probe(ctx, t) != nil || t.Restarted() {
		return true
	}
	return clock.New().Sleep(ctx, closingTime) != nil || probe(ctx, t) != nil || t.Restarted()
}

// probe opens a connection to an endpoint and closes it.
func probe(ctx context.Context, t *target.Target) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	opened, err := conn.Dial(ctx, "tcp", t.Address)
	if err != nil {
		return err
	}
	return opened.Close() // nothing was sent
}

func (d *Detector) recordQuarantine(key crash.Key, cause string) {
	d.meter.quarantines.Inc()
	d.log.Warn("request quarantined", "key", key, "cause", cause, "forMs", int64(crash.QuarantineTime))
}

// TakeUnsent returns the crash reports that peers have not been sent yet.
func (d *Detector) TakeUnsent() []wire.Crash {
	reports, dropped := d.requests.TakeUnsent()
	if dropped > 0 {
		d.log.Warn("crashes not reported", "dropped", dropped)
	}
	var crashes []wire.Crash
	for _, report := range reports {
		crashes = append(crashes, wire.Crash{Key: report.Key[:], Endpoint: report.Endpoint, Cleared: report.Cleared})
	}
	return crashes
}

// AddPeers records the crash reports of a peer.
func (d *Detector) AddPeers(crashes []wire.Crash, parts []wire.PartReport) {
	d.addPeerParts(parts)
	reports := make([]crash.Report, 0, len(crashes))
	for _, c := range crashes {
		if len(c.Key) == len(crash.Key{}) {
			reports = append(reports, crash.Report{Key: crash.Key(c.Key), Endpoint: c.Endpoint, Cleared: c.Cleared})
		}
	}
	for _, key := range d.requests.AddReports(reports, d.clock.Now()) {
		d.recordQuarantine(key, "crashes reported by peers")
	}
}

// SetStored applies the quarantines that the platform's store lists, and lifts those that it
// no longer lists.
func (d *Detector) SetStored(listed []crash.Stored) {
	began, lifted := d.requests.SetStored(listed, d.clock.Now())
	for _, key := range began {
		d.recordQuarantine(key, "platform's store")
	}
	for _, key := range lifted {
		d.log.Info("quarantine lifted", "key", key)
	}
}
