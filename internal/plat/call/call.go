// Package call spends the platform's limited rate: every call to the platform
// has a reason, reasons have priorities, and the control of availability
// zones goes first. It backs off with jitter while the platform refuses and
// counts each call by reason and outcome.
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

// Reason says what a call is for. Lower values go first.
type Reason int

// Reasons in the order of their priority.
const (
	// Zone is the watch of the head, which carries the zones, and operators' changes.
	Zone Reason = iota
	// Lease keeps orders to engines safe.
	Lease
	// Claim keeps non-idempotent requests at most once.
	Claim
	// Config reads sections of the configuration.
	Config
	// Roster reads the list of hosts.
	Roster

	reasons
)

// String returns the reason as it stands in metrics.
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

// Outcomes of a call in metrics.
const (
	outcomeOK          = "ok"
	outcomeConflict    = "conflict"
	outcomeUnknown     = "unknown"
	outcomeUnavailable = "unavailable"
	outcomeBudget      = "budget"
	outcomeBackoff     = "backoff"
	outcomeFailed      = "failed"
)

// Defaults of a Caller. The budget of one process shrinks as the fleet grows:
// see SetFleet.
const (
	defaultMost = 200.0
	// burstSpan is how many seconds' worth of calls may come at once.
	burstSpan = 2
	// fleetRate is what all entries together may call a second. Most of it may
	// be claims of idempotency keys, four in five of whose calls are writes, and
	// the platform takes several hundred of those.
	fleetRate    = 500.0
	leastRate    = 1.0
	firstBackoff = 100 * clock.Millis(1)
	maxBackoff   = 5 * clock.Second
	// zoneProbe is how often the most urgent calls try a platform that refuses.
	zoneProbe = 250 * clock.Millis(1)
)

// Caller stands between this process and the platform.
type Caller struct {
	inner *store.Store
	clock *clock.Clock
	most  float64
	rate  float64
	burst float64

	mu      sync.Mutex
	tokens  float64
	filled  clock.Millis
	backoff clock.Millis
	until   clock.Millis
	probeAt clock.Millis
	// heard is when the platform answered last.
	heard clock.Millis

	calls *prometheus.CounterVec
	bytes *prometheus.CounterVec
}

// Option changes a Caller while it is built.
type Option func(*Caller)

// WithClock replaces the clock.
func WithClock(c *clock.Clock) Option { return func(k *Caller) { k.clock = c } }

// WithRate sets the most calls a second, however small the fleet is, and how
// many may come at once.
func WithRate(most, burst float64) Option {
	return func(k *Caller) { k.most, k.burst = most, burst }
}

// WithRegisterer publishes the counters.
func WithRegisterer(r prometheus.Registerer) Option {
	return func(k *Caller) { r.MustRegister(k.calls, k.bytes) }
}

// New returns a caller in front of a store.
func New(inner *store.Store, opts ...Option) *Caller {
	k := &Caller{
		inner: inner, clock: clock.New(), most: defaultMost, burst: defaultMost * burstSpan,
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jujubescale_platform_calls_total",
			Help: "Calls to the platform by call, reason and outcome; budget and backoff were not sent.",
		}, []string{"call", "reason", "outcome"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jujubescale_platform_value_bytes_total",
			Help: "Bytes of values read from and written to the platform.",
		}, []string{"reason", "direction"}),
	}
	for _, opt := range opts {
		opt(k)
	}
	k.rate = k.most
	k.tokens = k.burst
	k.filled = k.clock.Now()
	return k
}

// SetFleetSize sets the budget by the number of processes that share the platform.
func (k *Caller) SetFleetSize(processes int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rate = min(k.most, max(leastRate, fleetRate/float64(max(processes, 1))))
	k.burst = burstSpan * k.rate
}

// Rate returns the calls a second that this process may make now.
func (k *Caller) Rate() float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.rate
}

// ThrottledError is the cause of an UnavailableError when this process did not
// ask the platform.
type ThrottledError struct {
	Reason Reason
	// LimitedBy is "budget" or "backoff".
	LimitedBy string
}

// Error implements error.
func (e *ThrottledError) Error() string {
	return fmt.Sprintf("call for %s held back by the %s", e.Reason, e.LimitedBy)
}

// Store returns the seam for calls of one reason.
func (k *Caller) Store(reason Reason) *store.Store {
	return &store.Store{
		GetFunc: func(ctx context.Context, name string) (store.Object, error) {
			return run(k, "get", reason, name, func() (store.Object, error) { return k.inner.Get(ctx, name) })
		},
		PutFunc: func(ctx context.Context, name string, want uint64, value []byte) (store.Object, error) {
			k.bytes.WithLabelValues(reason.String(), "written").Add(float64(len(value)))
			return run(k, "put", reason, name, func() (store.Object, error) { return k.inner.Put(ctx, name, want, value) })
		},
		DeleteFunc: func(ctx context.Context, name string, want uint64) error {
			_, err := run(k, "delete", reason, name, func() (store.Object, error) {
				return store.Object{}, k.inner.Delete(ctx, name, want)
			})
			return err
		},
		WatchFunc: func(ctx context.Context, name string, seen uint64, wait clock.Millis) (store.Object, error) {
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
	if why, after := k.admit(reason); why != "" {
		k.calls.WithLabelValues(name, reason.String(), why).Inc()
		var none T
		return none, &store.UnavailableError{
			Name: object, RetryAfter: after, Cause: &ThrottledError{Reason: reason, LimitedBy: why},
		}
	}
	result, err := call()
	k.calls.WithLabelValues(name, reason.String(), k.note(err)).Inc()
	if got, ok := any(result).(store.Object); ok && err == nil && name != "put" {
		k.bytes.WithLabelValues(reason.String(), "read").Add(float64(len(got.Value)))
	}
	return result, err
}

// admit takes one call from the budget. Each reason leaves a part of the
// budget to those before it; zones are never held back by the budget and only
// shortly by the backoff.
func (k *Caller) admit(reason Reason) (why string, after clock.Millis) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	k.tokens = min(k.burst, k.tokens+float64(now-k.filled)*k.rate/float64(clock.Second))
	k.filled = now
	if now < k.until {
		if reason != Zone || now < k.probeAt {
			return outcomeBackoff, k.until - now
		}
		k.probeAt = now + zoneProbe
	}
	reserve := k.burst / 2 * float64(reason) / float64(reasons)
	if missing := reserve + 1 - k.tokens; reason != Zone && missing > 0 {
		return outcomeBudget, clock.Millis(missing/k.rate*float64(clock.Second)) + 1
	}
	k.tokens = max(k.tokens-1, -k.burst)
	return "", 0
}

// note learns from a call's outcome and names it.
func (k *Caller) note(err error) string {
	var conflict *store.ConflictError
	var unknown *store.UnknownError
	var unavailable *store.UnavailableError
	switch {
	case err == nil:
		k.answered()
		return outcomeOK
	case errors.As(err, &conflict):
		k.answered()
		return outcomeConflict
	case errors.As(err, &unavailable):
		if !errors.Is(err, context.Canceled) {
			k.refused(unavailable.RetryAfter)
		}
		return outcomeUnavailable
	case errors.As(err, &unknown):
		return outcomeUnknown
	default:
		return outcomeFailed
	}
}

func (k *Caller) answered() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.backoff, k.until, k.probeAt = 0, 0, 0
	k.heard = k.clock.Now()
}

// LastAnswer returns the instant of the platform's last answer, 0 before the first.
func (k *Caller) LastAnswer() clock.Millis {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.heard
}

// refused lengthens the backoff. The jitter keeps the processes of a fleet
// from coming back to a platform that recovers all at the same instant.
func (k *Caller) refused(after clock.Millis) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.backoff = min(max(2*k.backoff, firstBackoff), maxBackoff)
	span := max(after, k.backoff/2) + rand.N(k.backoff/2+1)
	now := k.clock.Now()
	k.until = now + span
	k.probeAt = now + min(zoneProbe, span)
}
