// Package call limits the rate of calls to the platform. Each call has a reason,
// which sets its priority; calls that control availability zones have the highest.
// While the platform refuses calls, the package backs off with jitter. It counts
// all calls by reason and outcome.
package call

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/plat/store"
)

// Reason is the purpose of a call. Lower values have a higher priority.
type Reason int

// Reasons, from the highest to the lowest priority.
const (
	// Zone is the watch of the configuration's head, which contains the availability
	// zones, and changes by operators.
	Zone Reason = iota
	// Lease acquires and renews leases, which protect engines from stale orders.
	Lease
	// Claim reads and writes claims, which ensure that non-idempotent requests run at
	// most once.
	Claim
	// Config reads sections of the configuration.
	Config
	// Roster reads the platform's list of hosts.
	Roster

	reasonCount
)

// String returns the value of the metrics label for the reason.
func (r Reason) String() string {
	switch r {
	case Zone:
		return "zone"
	case Lease:
		return "lease"
	case Claim:
		return "claim"
	case Config:
		return "config"
	default:
		return "roster"
	}
}

// Values of the metrics label for the outcome of a call.
const (
	outcomeOK          = "ok"
	outcomeConflict    = "conflict"
	outcomeUnknown     = "unknown"
	outcomeUnavailable = "unavailable"
	outcomeBudget      = "budget"
	outcomeBackoff     = "backoff"
	outcomeFailed      = "failed"
)

// Limits of a Caller. The budget of one process shrinks as the fleet grows; see
// SetFleetSize. Rates are in calls per second.
const (
	defaultMaxRate = 200.0
	// burstSeconds is the size of a burst in seconds of calls at the allowed rate.
	burstSeconds = 2
	// fleetRate is the limit for all entries together. Most of these calls may be for
	// claims of idempotency keys, of which four in five are writes, and the platform
	// accepts several hundred writes per second.
	fleetRate    = 500.0
	minRate      = 1.0
	firstBackoff = 100 * clock.Millis(1)
	maxBackoff   = 5 * clock.Second
	// zoneProbeInterval is the interval at which calls for zones are sent during a
	// backoff.
	zoneProbeInterval = 250 * clock.Millis(1)
)

// Caller limits and counts the calls of this process to the platform.
type Caller struct {
	inner   *store.Store
	clock   *clock.Clock
	maxRate float64
	rate    float64
	burst   float64

	mu           sync.Mutex
	tokens       float64
	refilledAt   clock.Millis
	backoff      clock.Millis
	backoffUntil clock.Millis
	probeAt      clock.Millis
	// answeredAt is the instant of the platform's last answer.
	answeredAt clock.Millis

	calls *prometheus.CounterVec
	bytes *prometheus.CounterVec
}

// Option configures a Caller.
type Option func(*Caller)

// WithClock replaces the clock.
func WithClock(c *clock.Clock) Option { return func(k *Caller) { k.clock = c } }

// WithRate sets the maximum number of calls per second, which applies to a fleet of
// any size, and the size of a burst.
func WithRate(maxRate, burst float64) Option {
	return func(k *Caller) { k.maxRate, k.burst = maxRate, burst }
}

// WithRegisterer registers the metrics of the caller.
func WithRegisterer(r prometheus.Registerer) Option {
	return func(k *Caller) { r.MustRegister(k.calls, k.bytes) }
}

// New returns a Caller that sends its calls to a store.
func New(inner *store.Store, opts ...Option) *Caller {
	k := &Caller{
		inner: inner, clock: clock.New(), maxRate: defaultMaxRate, burst: defaultMaxRate * burstSeconds,
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jujubescale_platform_calls_total",
			Help: "Calls to the platform by call, reason and outcome; calls with the outcome budget or backoff were not sent.",
		}, []string{"call", "reason", "outcome"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jujubescale_platform_value_bytes_total",
			Help: "Bytes of values read from and written to the platform.",
		}, []string{"reason", "direction"}),
	}
	for _, opt := range opts {
		opt(k)
	}
	k.rate = k.maxRate
	k.tokens = k.burst
	k.refilledAt = k.clock.Now()
	return k
}

// SetFleetSize adapts the budget to the number of processes that share the
// platform.
func (k *Caller) SetFleetSize(processes int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rate = min(k.maxRate, max(minRate, fleetRate/float64(max(processes, 1))))
	k.burst = burstSeconds * k.rate
}

// Rate returns the number of calls per second that this process may make at
// present.
func (k *Caller) Rate() float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.rate
}

// ThrottledError is the cause of an UnavailableError if the call was not sent to
// the platform.
type ThrottledError struct {
	Reason Reason
	// LimitedBy is "budget" or "backoff".
	LimitedBy string
}

// Error implements error.
func (e *ThrottledError) Error() string {
	return fmt.Sprintf("call for %s not sent because of the %s", e.Reason, e.LimitedBy)
}

// Store returns a store whose calls have the given reason.
func (k *Caller) Store(reason Reason) *store.Store {
	return &store.Store{
		GetFunc: func(ctx context.Context, name string) (store.Object, error) {
			return run(k, "get", reason, name, func() (store.Object, error) { return k.inner.Get(ctx, name) })
		},
		PutFunc: func(ctx context.Context, name string, want store.Revision, value []byte) (store.Object, error) {
			k.bytes.WithLabelValues(reason.String(), "written").Add(float64(len(value)))
			return run(k, "put", reason, name, func() (store.Object, error) { return k.inner.Put(ctx, name, want, value) })
		},
		DeleteFunc: func(ctx context.Context, name string, want store.Revision) error {
			_, err := run(k, "delete", reason, name, func() (store.Object, error) {
				return store.Object{}, k.inner.Delete(ctx, name, want)
			})
			return err
		},
		WatchFunc: func(ctx context.Context, name string, seen store.Revision, wait clock.Millis) (store.Object, error) {
			return run(k, "watch", reason, name, func() (store.Object, error) { return k.inner.Watch(ctx, name, seen, wait) })
		},
		ListFunc: func(ctx context.Context, prefix string) ([]store.Object, error) {
			return run(k, "list", reason, prefix, func() ([]store.Object, error) { return k.inner.List(ctx, prefix) })
		},
		HostsFunc: func(ctx context.Context, query store.HostQuery) (store.HostPage, error) {
			return run(k, "hosts", reason, "hosts", func() (store.HostPage, error) { return k.inner.Hosts(ctx, query) })
		},
	}
}

func run[T any](k *Caller, name string, reason Reason, object string, call func() (T, error)) (T, error) {
	if limitedBy, after := k.admit(reason); limitedBy != "" {
		k.calls.WithLabelValues(name, reason.String(), limitedBy).Inc()
		var zero T
		return zero, &store.UnavailableError{
			Name: object, RetryAfter: after, Cause: &ThrottledError{Reason: reason, LimitedBy: limitedBy},
		}
	}
	result, err := call()
	k.calls.WithLabelValues(name, reason.String(), k.recordOutcome(err)).Inc()
	if got, ok := any(result).(store.Object); ok && err == nil && name != "put" {
		k.bytes.WithLabelValues(reason.String(), "read").Add(float64(len(got.Value)))
	}
	return result, err
}

// admit takes one call from the budget. If the call must not be sent, it returns
// what limits it and the time in ms after which to retry. Each reason leaves a part
// of the budget for reasons of higher priority. Calls for zones are never limited
// by the budget, and during a backoff they are sent every zoneProbeInterval.
func (k *Caller) admit(reason Reason) (limitedBy string, after clock.Millis) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	k.tokens = min(k.burst, k.tokens+float64(now-k.refilledAt)*k.rate/float64(clock.Second))
	k.refilledAt = now
	if now < k.backoffUntil {
		if reason != Zone || now < k.probeAt {
			return outcomeBackoff, k.backoffUntil - now
		}
		k.probeAt = now + zoneProbeInterval
	}
	reserve := k.burst / 2 * float64(reason) / float64(reasonCount)
	if missing := reserve + 1 - k.tokens; reason != Zone && missing > 0 {
		return outcomeBudget, clock.Millis(missing/k.rate*float64(clock.Second)) + 1
	}
	k.tokens = max(k.tokens-1, -k.burst)
	return "", 0
}

// recordOutcome updates the backoff after a call and returns the outcome for the
// metrics.
func (k *Caller) recordOutcome(err error) string {
	var conflict *store.ConflictError
	var unknown *store.UnknownError
	var unavailable *store.UnavailableError
	switch {
	case err == nil:
		k.recordAnswer()
		return outcomeOK
	case errors.As(err, &conflict):
		k.recordAnswer()
		return outcomeConflict
	case errors.As(err, &unavailable):
		if !errors.Is(err, context.Canceled) {
			k.extendBackoff(unavailable.RetryAfter)
		}
		return outcomeUnavailable
	case errors.As(err, &unknown):
		return outcomeUnknown
	default:
		return outcomeFailed
	}
}

func (k *Caller) recordAnswer() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.backoff, k.backoffUntil, k.probeAt = 0, 0, 0
	k.answeredAt = k.clock.Now()
}

// LastAnswer returns the instant of the platform's last answer, 0 before the first.
func (k *Caller) LastAnswer() clock.Millis {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.answeredAt
}

// extendBackoff starts or lengthens the backoff. The jitter prevents the processes
// of a fleet from retrying at the same instant when the platform recovers.
func (k *Caller) extendBackoff(after clock.Millis) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.backoff = min(max(2*k.backoff, firstBackoff), maxBackoff)
	span := max(after, k.backoff/2) + rand.N(k.backoff/2+1)
	now := k.clock.Now()
	k.backoffUntil = now + span
	k.probeAt = now + min(zoneProbeInterval, span)
}
