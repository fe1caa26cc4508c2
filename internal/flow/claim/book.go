package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/plat/store"
)

const (
	// Prefix is the first part of the object name of each claim.
	Prefix = "claims/"
	// Retention is how long a claim is stored. Afterwards its key can be used
	// again.
	Retention = 24 * clock.Hour
	// MaxAnswerBytes is the size of the largest answer that is stored for replay.
	MaxAnswerBytes = 4 << 10

	// clockSkew is added to the deadline of a call before its holder is presumed
	// to have ended, because the clocks of hosts differ.
	clockSkew = 5 * clock.Second
	// defaultClaimsPerSecond limits the claims of one entry. Each claim takes two
	// writes, and all processes share the several hundred writes a second that
	// the platform allows.
	defaultClaimsPerSecond = 50

	writeAttempts = 5
	writeBackoff  = 200 * clock.Millis(1)
)

// Call is a call with an idempotency key.
type Call struct {
	Organisation string
	Service      string
	Key          string
	// Fingerprint is a hash of method, path and body.
	Fingerprint uint64
	Request     string
	// TimeLeft is the time until the deadline of the call.
	TimeLeft clock.Millis
}

// Hold is a claim that this process created and has to finish.
type Hold struct {
	name    string
	version store.Revision
	record  Record
}

// Outcome is how a call with a claim ended.
type Outcome struct {
	State       State
	Status      int
	ContentType string
	Digest      uint64
	Answer      []byte
}

// Registry creates, finishes and deletes claims in the platform's store.
type Registry struct {
	store         *store.Store
	clock         *clock.Clock
	wallClock     func() time.Time
	limiter       *rate.Limiter
	platformCalls func() float64

	pending sync.WaitGroup
}

// Option configures a Registry.
type Option func(*Registry)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(r *Registry) { r.clock = c } }

// WithWallClock sets the wall clock. It determines only when a claim is deleted and
// whether a refusal reports a key in use or an unknown outcome.
func WithWallClock(wall func() time.Time) Option { return func(r *Registry) { r.wallClock = wall } }

// WithRate sets the maximum number of claims a second.
func WithRate(perSecond float64) Option {
	return func(r *Registry) { r.limiter = rate.NewLimiter(rate.Limit(perSecond), int(perSecond)+1) }
}

// callsPerClaim is the mean number of platform calls for one claim: a conditional
// write each for the claim and its outcome, and a read if a write gets no answer.
const callsPerClaim = 2.5

// WithPlatformCalls limits the claims by the number of platform calls a second
// that the process may currently make. It overrides WithRate.
func WithPlatformCalls(calls func() float64) Option {
	return func(r *Registry) { r.platformCalls = calls }
}

// New returns a registry that keeps its claims in s.
func New(s *store.Store, opts ...Option) *Registry {
	r := &Registry{store: s, clock: clock.New(), wallClock: time.Now, limiter: rate.NewLimiter(defaultClaimsPerSecond, defaultClaimsPerSecond)}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Name returns the object name of a claim. It contains only a hash of the key,
// because keys may contain confidential data of callers.
func Name(organisation, service, key string) string {
	hash := sha256.New()
	for _, part := range []string{organisation, service, key} {
		hash.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	sum := hex.EncodeToString(hash.Sum(nil)[:16])
	return Prefix + sum[:2] + "/" + sum
}

// Claim creates the claim for a call. It returns a hold if the call is to run, a
// record if the stored answer is to be replayed, or a fault.RefusalError.
func (r *Registry) Claim(ctx context.Context, call Call) (*Hold, *Record, error) {
	if !r.allow() {
		return nil, nil, &fault.RefusalError{
			Reason: fault.KeyUnavailable, Ran: fault.MayHaveRun, RetryAfter: clock.Second,
			Detail: "rate limit of calls with an idempotency key exceeded",
		}
	}
	nowMs := r.wallClock().UnixMilli()
	initial := Record{
		Nonce: strconv.FormatUint(rand.Uint64(), 36) + strconv.FormatUint(rand.Uint64(), 36), Fingerprint: call.Fingerprint,
		State: Started, Request: call.Request, AtMs: nowMs, UntilMs: nowMs + int64(call.TimeLeft+clockSkew),
	}
	name := Name(call.Organisation, call.Service, call.Key)
	claimer := NewClaimer(initial, nowMs)
	step := claimer.Begin()
	for {
		switch step.Action {
		case Run:
			return &Hold{name: name, version: step.Version, record: initial}, nil, nil
		case Replay:
			return nil, &step.Current, nil
		case Refuse:
			if step.ClaimMayRemain {
				r.runAsync(ctx, func(ctx context.Context) { r.withdraw(ctx, name, initial) })
			}
			return nil, nil, &fault.RefusalError{Reason: step.Reason, Ran: step.Ran, Detail: refusalDetail(step.Reason)}
		default:
			step = claimer.Next(r.execute(ctx, name, step, initial))
		}
	}
}

// allow reports whether the rate limit permits another claim. A claim whose
// outcome can't be written for want of platform calls would leave the outcome of
// its key unknown for good.
func (r *Registry) allow() bool {
	if r.platformCalls != nil {
		claims := r.platformCalls() / callsPerClaim
		r.limiter.SetLimit(rate.Limit(claims))
		r.limiter.SetBurst(int(claims) + 1)
	}
	return r.limiter.Allow()
}

func refusalDetail(reason fault.Reason) string {
	switch reason {
	case fault.BadRequest:
		return "the idempotency key was used with another call"
	case fault.KeyUnavailable:
		return "the platform is unavailable, so it is unknown whether a call with this key has run"
	default:
		return ""
	}
}

// execute runs one step against the platform's store.
func (r *Registry) execute(ctx context.Context, name string, step Step, record Record) (Event, store.Revision, Record) {
	if step.Action == Lookup {
		object, err := r.store.Get(ctx, name)
		if err != nil {
			return Unavailable, store.Revision{}, Record{}
		}
		return eventOf(Read, object)
	}
	value, err := json.Marshal(record)
	if err != nil {
		return Unavailable, store.Revision{}, Record{}
	}
	object, err := r.store.Put(ctx, name, step.Version, value)
	var conflict *store.ConflictError
	var unavailable *store.UnavailableError
	switch {
	case err == nil:
		return Wrote, object.Version, Record{}
	case errors.As(err, &conflict):
		return eventOf(Conflict, conflict.Current)
	case errors.As(err, &unavailable):
		return Unavailable, store.Revision{}, Record{}
	default:
		// After any other error the write may have taken effect.
		return Indeterminate, store.Revision{}, Record{}
	}
}

// eventOf returns the arguments of Claimer.Next for an object that was read.
func eventOf(event Event, object store.Object) (Event, store.Revision, Record) {
	if object.Version.IsZero() {
		return event, store.Revision{}, Record{}
	}
	record, err := Decode(object.Value)
	if err != nil {
		// The object is not a valid claim; treat its call as one that may have run.
		return event, object.Version, Record{State: Unknown}
	}
	return event, object.Version, record
}

// runAsync runs work in a goroutine that Wait waits for. The work is not cancelled
// with ctx.
func (r *Registry) runAsync(ctx context.Context, work func(context.Context)) {
	r.pending.Add(1)
	go func() {
		defer r.pending.Done()
		work(context.WithoutCancel(ctx))
	}()
}

// Wait waits until all outcomes are written or have failed, or until ctx ends. A
// planned stop calls it so that no key is left without its outcome.
func (r *Registry) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.pending.Wait()
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// FinishAsync writes the outcome of a call in the background, so that the answer
// is not delayed. It calls failed if the outcome could not be written; the claim
// then keeps its state, and no call with the key runs again.
func (r *Registry) FinishAsync(ctx context.Context, hold *Hold, outcome Outcome, failed func(error)) {
	r.runAsync(ctx, func(ctx context.Context) {
		if err := r.Finish(ctx, hold, outcome); err != nil {
			failed(err)
		}
	})
}

// Finish writes the outcome of a call, with up to writeAttempts attempts.
func (r *Registry) Finish(ctx context.Context, hold *Hold, outcome Outcome) error {
	record := hold.record
	record.State = outcome.State
	record.Status = outcome.Status
	record.ContentType = outcome.ContentType
	record.Digest = outcome.Digest
	if outcome.State == Done && len(outcome.Answer) <= MaxAnswerBytes {
		record.Answer = outcome.Answer
		record.AnswerKept = true
	}
	return r.writeUntilKnown(ctx, hold.name, hold.version, record)
}

// writeUntilKnown repeats a conditional write until it is known whether it took
// effect, at most writeAttempts times. The condition ensures that at most one of
// the writes takes effect.
func (r *Registry) writeUntilKnown(ctx context.Context, name string, version store.Revision, record Record) error {
	backoff := writeBackoff
	var err error
	for range writeAttempts {
		event, _, current := r.execute(ctx, name, Step{Action: Write, Version: version}, record)
		if event == Wrote || (event == Conflict && current.Nonce == record.Nonce && current.State == record.State) {
			return nil
		}
		if event == Conflict {
			return &store.ConflictError{Name: name, Want: version}
		}
		err = &store.UnknownError{Name: name, Cause: errors.New("write of the claim was not confirmed")}
		if r.clock.Sleep(ctx, backoff) != nil {
			return err
		}
		backoff *= 2
	}
	return err
}

// withdraw marks a claim of a call that did not run, in case the claim was stored
// although its write was not confirmed. Otherwise the next call with the key
// would be refused with an unknown outcome.
func (r *Registry) withdraw(ctx context.Context, name string, record Record) {
	for range writeAttempts {
		object, err := r.store.Get(ctx, name)
		if err == nil {
			_, version, current := eventOf(Read, object)
			if !version.IsZero() && current.Nonce == record.Nonce {
				record.State = NotRun
				_ = r.writeUntilKnown(ctx, name, version, record)
			}
			return
		}
		if r.clock.Sleep(ctx, clock.Second) != nil {
			return
		}
	}
}
