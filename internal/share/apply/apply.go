// Package apply implements the operators' actions on the configuration: apply,
// rollback, history, evacuating and returning availability zones, and disabling and
// enabling endpoints. Each action is one conditional update of the head object, so of several
// operators at the same time only one succeeds and the others get a conflict.
// Each write is identified by its nonce, so that an action whose answer is lost
// is neither repeated nor reported as failed.
package apply

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/share/head"
)

// Defaults of an Operator.
const (
	defaultTries = 8
	minPause     = 20 * clock.Millis(1)
	maxPause     = 2 * clock.Second
)

// Operator reads and changes the configuration in the platform's store.
type Operator struct {
	store *store.Store
	clock *clock.Clock
	tries int
	// CheckFunc returns an error for an invalid manifest. If it is nil, every
	// manifest is accepted.
	CheckFunc func(*manif.Manifest) error
	// FleetFunc returns the newest release in force in any daemon that answers,
	// or 0 if none does. It serves to detect that the store was restored to an
	// older state. If it is nil, this is not checked.
	FleetFunc func(ctx context.Context) uint64
	// NonceFunc returns a random nonce for a write.
	NonceFunc func() string
	// WallFunc returns the wall clock time that the history shows.
	WallFunc func() time.Time
}

// Option configures an Operator.
type Option func(*Operator)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(o *Operator) { o.clock = c } }

// WithCheck sets the check that a manifest must pass.
func WithCheck(check func(*manif.Manifest) error) Option {
	return func(o *Operator) { o.CheckFunc = check }
}

// WithFleet sets the function that returns the newest release in force.
func WithFleet(fleet func(ctx context.Context) uint64) Option {
	return func(o *Operator) { o.FleetFunc = fleet }
}

// WithNonce sets the source of nonces.
func WithNonce(nonce func() string) Option { return func(o *Operator) { o.NonceFunc = nonce } }

// WithTries sets how often an action is tried if the store is unavailable or
// other operators write at the same time.
func WithTries(tries int) Option { return func(o *Operator) { o.tries = tries } }

// New returns an operator for the configuration in a store.
func New(platform *store.Store, opts ...Option) *Operator {
	o := &Operator{
		store: platform, clock: clock.New(), tries: defaultTries,
		NonceFunc: token.NewRequestID, WallFunc: time.Now,
	}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// Change describes who makes a change, and why.
type Change struct {
	Who    string
	Reason string
	// Expected is the release that the operator has seen, or 0 for any. An apply
	// or a rollback fails with a conflict if another operator has changed the
	// manifest since, a change of a zone if another operator has changed the
	// same zone. A change of an endpoint is not checked for such conflicts.
	Expected uint64
}

// Result is the result of an action. Changed is false if the configuration
// already was as requested.
type Result struct {
	Head    *head.Head
	Changed bool
}

// ConflictError is returned if other operators made conflicting changes since
// the expected release. Between holds the releases since then, oldest first.
type ConflictError struct {
	Expected uint64
	Current  uint64
	Between  []*head.Head
}

// Error implements error. The text lists who changed what.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("release is %d, not %d", e.Current, e.Expected)
	for _, h := range e.Between {
		text += fmt.Sprintf("; %d: %s %s by %s", h.Release, h.Action, h.Subject, h.ChangedBy)
	}
	return text
}

// StoreBehindError is returned if daemons have a newer release in force than the
// store holds, because the store was restored to an older state. The daemons
// write their release back. A change made before that would never take effect.
type StoreBehindError struct {
	Store uint64
	Fleet uint64
}

// Error implements error.
func (e *StoreBehindError) Error() string {
	return fmt.Sprintf("store holds release %d but release %d is in force; wait until the daemons have written it back", e.Store, e.Fleet)
}

// NotFoundError is returned if a release, zone or pool doesn't exist.
type NotFoundError struct {
	Kind string
	Name string
}

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("no %s %q", e.Kind, e.Name) }

// Config is one release with its decoded manifest.
type Config struct {
	Head     *head.Head
	Manifest *manif.Manifest
}

// Current reads the newest release. It returns nil and no error if there is none
// yet.
func (o *Operator) Current(ctx context.Context) (*Config, error) {
	current, _, err := o.read(ctx)
	if err != nil || current == nil {
		return nil, err
	}
	return o.load(ctx, current)
}

// At reads the given release.
func (o *Operator) At(ctx context.Context, release uint64) (*Config, error) {
	h, err := o.headAt(ctx, release)
	if err != nil {
		return nil, err
	}
	return o.load(ctx, h)
}

// Apply stores a manifest as a new release. Zones and endpoints that are out of
// use stay so.
func (o *Operator) Apply(ctx context.Context, manifest *manif.Manifest, change Change) (Result, error) {
	if o.CheckFunc != nil {
		if err := o.CheckFunc(manifest); err != nil {
			return Result{}, err
		}
	}
	sections, err := head.Split(manifest)
	if err != nil {
		return Result{}, err
	}
	return o.change(ctx, change, edit{
		action:      head.ActionApply,
		newSections: sections,
		collides: func(current *head.Head) bool {
			return current.ManifestRelease > change.Expected && change.Expected != 0
		},
		done: func(current *head.Head) bool { return slices.Equal(current.Sections, refsOf(sections)) },
		edit: func(next *head.Head) {
			next.Sections = refsOf(sections)
			next.ManifestRelease = next.Release
		},
	})
}

// Rollback stores the manifest of an older release as a new release. It doesn't
// change zones and endpoints, since a rollback must not send work to a zone that
// was evacuated in the meantime.
func (o *Operator) Rollback(ctx context.Context, release uint64, change Change) (Result, error) {
	old, err := o.headAt(ctx, release)
	if err != nil {
		return Result{}, err
	}
	return o.change(ctx, change, edit{
		action:  head.ActionRollback,
		subject: strconv.FormatUint(release, 10),
		collides: func(current *head.Head) bool {
			return current.ManifestRelease > change.Expected && change.Expected != 0
		},
		done: func(current *head.Head) bool { return slices.Equal(current.Sections, old.Sections) },
		edit: func(next *head.Head) {
			next.Sections = old.Sections
			next.ManifestRelease = next.Release
		},
	})
}

func refsOf(sections []head.Section) []head.Ref {
	refs := make([]head.Ref, 0, len(sections))
	for i := range sections {
		refs = append(refs, sections[i].Ref)
	}
	return refs
}

func (o *Operator) load(ctx context.Context, h *head.Head) (*Config, error) {
	raws := make([][]byte, 0, len(h.Sections))
	for _, ref := range h.Sections {
		object, err := o.get(ctx, ref.Object())
		if err != nil {
			return nil, err
		}
		raws = append(raws, object.Value)
	}
	manifest, err := head.Join(h.Sections, raws)
	if err != nil {
		return nil, err
	}
	return &Config{Head: h, Manifest: manifest}, nil
}

// get reads an object and retries while the store is unavailable: an operator
// would rather wait some two seconds, as with the default number of tries, than
// see the command fail because of one refused call.
func (o *Operator) get(ctx context.Context, name string) (store.Object, error) {
	pause := minPause
	for try := 1; ; try++ {
		object, err := o.store.Get(ctx, name)
		var unavailable *store.UnavailableError
		if err == nil || try >= o.tries || !errors.As(err, &unavailable) {
			return object, err
		}
		if err := o.clock.Sleep(ctx, max(pause, unavailable.RetryAfter)); err != nil {
			return store.Object{}, err
		}
		pause = min(2*pause, maxPause)
	}
}
