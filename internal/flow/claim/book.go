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
	// Prefix of the names of claims in the platform.
	Prefix = "claims/"
	// Retention is how long a claim stands; a key may be used anew after that.
	Retention = 24 * clock.Hour
	// MaxAnswerBytes is the largest answer that is kept for replay, in bytes.
	MaxAnswerBytes = 4 << 10

	// grace is added to a holder's deadline before it counts as dead: clocks of
	// hosts differ.
	grace = 5 * clock.Second
	// defaultRate bounds the claims of one entry a second: each is two writes,
	// and all processes share the platform's several hundred.
	defaultRate = 50

	finishTries = 5
	finishPause = 200 * clock.Millis(1)
)

// Call says what is to be claimed.
type Call struct {
	Organisation string
	Service      string
	Key          string
	// Fingerprint of method, path and body.
	Fingerprint uint64
	Request     string
	// TimeLeft is the time left to the call.
	TimeLeft clock.Millis
}

// Hold is a claim that this process holds.
type Hold struct {
	name    string
	version uint64
	record  Record
}

// Outcome of a call under a claim.
type Outcome struct {
	State       State
	Status      int
	ContentType string
	Digest      uint64
	Answer      []byte
}

// Registry claims keys through the platform.
type Registry struct {
	store *store.Store
	clock *clock.Clock
	wall  func() time.Time
	limit *rate.Limiter
	calls func() float64

	pending sync.WaitGroup
}

// Option changes a Book while it is built.
type Option func(*Registry)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(b *Registry) { b.clock = c } }

// WithWallClock sets the wall clock, which only cleaning and messages depend on.
func WithWallClock(wall func() time.Time) Option { return func(b *Registry) { b.wall = wall } }

// WithRate sets the claims a second.
func WithRate(perSecond float64) Option {
	return func(b *Registry) { b.limit = rate.NewLimiter(rate.Limit(perSecond), int(perSecond)+1) }
}

// callsPerClaim is what a keyed call costs at the platform: its claim and its
// outcome are a conditional write each, and some have to be read back.
const callsPerClaim = 2.5

// WithPlatformCalls bounds the claims by the calls a second that the process
// may make to the platform at the time.
func WithPlatformCalls(calls func() float64) Option { return func(b *Registry) { b.calls = calls } }

// New returns a book over the platform's store.
func New(s *store.Store, opts ...Option) *Registry {
	b := &Registry{store: s, clock: clock.New(), wall: time.Now, limit: rate.NewLimiter(defaultRate, defaultRate)}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Name returns the object's name of a claim. Keys may hold what callers do not
// want to see stored, so only their hash is.
func Name(organisation, service, key string) string {
	hash := sha256.New()
	for _, part := range []string{organisation, service, key} {
		hash.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	sum := hex.EncodeToString(hash.Sum(nil)[:16])
	return Prefix + sum[:2] + "/" + sum
}

// Claim claims a key. It returns a hold, or the record of a call that is done
// and whose answer is kept, or a RefusalError.
func (b *Registry) Claim(ctx context.Context, want Call) (*Hold, *Record, error) {
	if !b.allow() {
		return nil, nil, &fault.RefusalError{
			Reason: fault.KeyUnavailable, Ran: fault.MayHaveRun, RetryAfter: clock.Second,
			Detail: "more keyed calls a second than the platform bears",
		}
	}
	nowMs := b.wall().UnixMilli()
	mine := Record{
		Nonce: strconv.FormatUint(rand.Uint64(), 36) + strconv.FormatUint(rand.Uint64(), 36), Fingerprint: want.Fingerprint,
		State: Started, Request: want.Request, AtMs: nowMs, UntilMs: nowMs + int64(want.TimeLeft+grace),
	}
	name := Name(want.Organisation, want.Service, want.Key)
	claimer := NewClaimer(mine, nowMs)
	step := claimer.Begin()
	for {
		switch step.Action {
		case Run:
			return &Hold{name: name, version: step.Version, record: mine}, nil, nil
		case Replay:
			return nil, &step.Current, nil
		case Refuse:
			if step.ClaimMayRemain {
				b.soon(ctx, func(ctx context.Context) { b.withdraw(ctx, name, mine) })
			}
			return nil, nil, &fault.RefusalError{Reason: step.Reason, Ran: step.Ran, Detail: detailOf(step.Reason)}
		default:
			step = claimer.Next(b.try(ctx, name, step, mine))
		}
	}
}

// allow takes one claim from the budget. A claim that is begun without the
// calls to write its outcome would leave the key in the dark for good.
func (b *Registry) allow() bool {
	if b.calls != nil {
		claims := b.calls() / callsPerClaim
		b.limit.SetLimit(rate.Limit(claims))
		b.limit.SetBurst(int(claims) + 1)
	}
	return b.limit.Allow()
}

func detailOf(reason fault.Reason) string {
	switch reason {
	case fault.BadRequest:
		return "the idempotency key was used with another call"
	case fault.KeyUnavailable:
		return "the platform can't be asked whether this key has run"
	default:
		return ""
	}
}

// try carries out one step at the platform.
func (b *Registry) try(ctx context.Context, name string, step Step, record Record) (Event, uint64, Record) {
	if step.Action == Lookup {
		object, err := b.store.Get(ctx, name)
		if err != nil {
			return Unavailable, 0, Record{}
		}
		return found(Read, object)
	}
	value, err := json.Marshal(record)
	if err != nil {
		return Unavailable, 0, Record{}
	}
	object, err := b.store.Put(ctx, name, step.Version, value)
	var conflict *store.ConflictError
	var unavailable *store.UnavailableError
	switch {
	case err == nil:
		return Wrote, object.Version, Record{}
	case errors.As(err, &conflict):
		return found(Conflict, conflict.Current)
	case errors.As(err, &unavailable):
		return Unavailable, 0, Record{}
	default:
		// Any other error proves nothing about the write.
		return Indeterminate, 0, Record{}
	}
}

func found(event Event, object store.Object) (Event, uint64, Record) {
	if object.Version == 0 {
		return event, 0, Record{}
	}
	record, err := Decode(object.Value)
	if err != nil {
		// An object that is no claim: treat it as a call that may have run.
		return event, object.Version, Record{State: Unknown}
	}
	return event, object.Version, record
}

// soon runs work that no caller waits for. Wait waits for its end.
func (b *Registry) soon(ctx context.Context, work func(context.Context)) {
	b.pending.Add(1)
	go func() {
		defer b.pending.Done()
		work(context.WithoutCancel(ctx))
	}()
}

// Wait waits until all outcomes are written or given up, so that a planned
// stop leaves no key without its outcome, or until the context ends.
func (b *Registry) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.pending.Wait()
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// FinishAsync writes the outcome of a call without holding up its answer, and
// calls failed if it could not be written: the claim then stays as it is, and
// the key never runs again.
func (b *Registry) FinishAsync(ctx context.Context, hold *Hold, outcome Outcome, failed func(error)) {
	b.soon(ctx, func(ctx context.Context) {
		if err := b.Finish(ctx, hold, outcome); err != nil {
			failed(err)
		}
	})
}

// Finish writes the outcome of a call. It is tried a few times.
func (b *Registry) Finish(ctx context.Context, hold *Hold, outcome Outcome) error {
	record := hold.record
	record.State = outcome.State
	record.Status = outcome.Status
	record.ContentType = outcome.ContentType
	record.Digest = outcome.Digest
	if outcome.State == Done && len(outcome.Answer) <= MaxAnswerBytes {
		record.Answer = outcome.Answer
		record.AnswerKept = true
	}
	return b.settle(ctx, hold.name, hold.version, record)
}

// settle repeats one conditional write until its effect is known. Repeating is
// safe: the condition lets at most one of the writes take effect.
func (b *Registry) settle(ctx context.Context, name string, version uint64, record Record) error {
	pause := finishPause
	var err error
	for range finishTries {
		event, _, current := b.try(ctx, name, Step{Action: Write, Version: version}, record)
		if event == Wrote || (event == Conflict && current.Nonce == record.Nonce && current.State == record.State) {
			return nil
		}
		if event == Conflict {
			return &store.ConflictError{Name: name, Want: version}
		}
		err = &store.UnknownError{Name: name, Cause: errors.New("outcome of the claim not written")}
		if b.clock.Sleep(ctx, pause) != nil {
			return err
		}
		pause *= 2
	}
	return err
}

// withdraw marks a claim of ours that may stand although the call did not run,
// so that the caller's next try need not end as unknown.
func (b *Registry) withdraw(ctx context.Context, name string, record Record) {
	for range finishTries {
		object, err := b.store.Get(ctx, name)
		if err == nil {
			_, version, current := found(Read, object)
			if version != 0 && current.Nonce == record.Nonce {
				record.State = NotRun
				_ = b.settle(ctx, name, version, record)
			}
			return
		}
		if b.clock.Sleep(ctx, clock.Second) != nil {
			return
		}
	}
}
