package spread

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/share/head"
)

// Timeouts and pauses of a Follower.
const (
	watchTimeout  = 20 * clock.Second
	pollInterval  = 30 * clock.Second
	retryPause    = 200 * clock.Millis(1)
	maxRetryPause = 5 * clock.Second
	repairPause   = 500 * clock.Millis(1)
)

// Follower reads new releases from the platform. A process that is a watcher
// watches the head. Any other process gets releases from its peers, and reads
// the head at long intervals in case the peers missed one.
type Follower struct {
	learner *Learner
	// heads reads and writes the head, sections all other objects. Their calls
	// have different priorities.
	heads    *store.Store
	sections *store.Store
	clock    *clock.Clock
	log      *log.Logger
	// watchFunc reports whether this process is a watcher.
	watchFunc func() bool
	// trigger makes a follower that doesn't watch read the head at once.
	trigger  chan struct{}
	repaired prometheus.Counter
}

// FollowOption configures a Follower.
type FollowOption func(*Follower)

// WithWatch sets the function that reports whether this process is a watcher.
func WithWatch(watch func() bool) FollowOption { return func(f *Follower) { f.watchFunc = watch } }

// WithFollowClock sets the clock.
func WithFollowClock(c *clock.Clock) FollowOption { return func(f *Follower) { f.clock = c } }

// WithFollowLog sets the logger.
func WithFollowLog(l *log.Logger) FollowOption { return func(f *Follower) { f.log = l } }

// WithFollowRegisterer registers the metrics.
func WithFollowRegisterer(r prometheus.Registerer) FollowOption {
	return func(f *Follower) { r.MustRegister(f.repaired) }
}

// NewFollower returns a follower that offers each head it reads to a learner.
func NewFollower(learner *Learner, heads, sections *store.Store, opts ...FollowOption) *Follower {
	f := &Follower{
		learner: learner, heads: heads, sections: sections, clock: clock.New(), log: log.Default(),
		watchFunc: func() bool { return true },
		trigger:   make(chan struct{}, 1),
		repaired: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "jujubescale_config_repairs_total",
			Help: "Heads written back after the store was found restored to an older state.",
		}),
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Trigger requests one read of the head without waiting for the interval, for
// instance if a frame shows a newer release that no peer can send.
func (f *Follower) Trigger() {
	select {
	case f.trigger <- struct{}{}:
	default:
	}
}

// Read reads the head once and offers it to the learner. It returns the object,
// and whether the platform answered.
func (f *Follower) Read(ctx context.Context) (store.Object, bool) {
	object, err := f.heads.Get(ctx, head.Object)
	if err != nil {
		return object, false
	}
	f.offer(ctx, FromRead, object)
	return object, true
}

// Run reads new releases until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var lastVersion store.Revision
	pause := retryPause
	for ctx.Err() == nil {
		object, source, err := f.next(ctx, lastVersion)
		done := err == nil
		if done && object.Version != lastVersion {
			done = f.offer(ctx, source, object)
		}
		if !done {
			// Half of the pause is random, so that the processes of a fleet
			// don't retry at the same instant.
			_ = f.clock.Sleep(ctx, pause/2+rand.N(pause/2+1))
			pause = min(2*pause, maxRetryPause)
			continue
		}
		lastVersion, pause = object.Version, retryPause
	}
}

func (f *Follower) next(ctx context.Context, lastVersion store.Revision) (store.Object, Source, error) {
	if f.watchFunc() {
		object, err := f.heads.Watch(ctx, head.Object, lastVersion, watchTimeout)
		return object, FromWatch, err
	}
	if !lastVersion.IsZero() {
		due, stop := f.clock.After(pollInterval/2 + rand.N(pollInterval))
		defer stop()
		select {
		case <-due:
		case <-f.trigger:
		case <-ctx.Done():
			return store.Object{}, FromRead, ctx.Err()
		}
	}
	object, err := f.heads.Get(ctx, head.Object)
	return object, FromRead, err
}

// offer offers an object to the learner. It returns false if the object must be
// read again, for instance because a section could not be fetched.
func (f *Follower) offer(ctx context.Context, source Source, object store.Object) bool {
	if object.Version.IsZero() {
		return f.repair(ctx)
	}
	verdict, err := f.learner.Offer(ctx, source, object.Value, f.section)
	if err != nil {
		f.log.Warn("configuration not accepted", "source", source, "verdict", verdict, "version", object.Version, "error", err)
	}
	switch verdict {
	case Incomplete:
		return false
	case Older, Conflicting, Invalid:
		return f.repair(ctx)
	default:
		return true
	}
}

// MissingError is returned if an object that a head refers to does not exist.
type MissingError struct {
	Name string
}

// Error implements error.
func (e *MissingError) Error() string { return "no object " + e.Name }

func (f *Follower) section(ctx context.Context, ref head.Ref) ([]byte, error) {
	object, err := f.sections.Get(ctx, ref.Object())
	if err == nil && object.Version.IsZero() {
		// A stale read can miss a section that was just written, so the head
		// need not be invalid.
		err = &MissingError{Name: ref.Object()}
	}
	return object.Value, err
}

// repair writes the newest release known here back if the store has lost it.
// Otherwise, in a store that was restored to an older state, the next change
// would get a number that is already in force, and all processes would ignore
// it. One old read can be stale or late. Therefore the head is read twice more,
// at once and after a pause, and the write is conditional on the last read.
// It returns false if the repair must be retried.
func (f *Follower) repair(ctx context.Context) bool {
	current, raw, sections := f.learner.Snapshot()
	if current == nil {
		return true
	}
	object, err := f.heads.Get(ctx, head.Object)
	if err != nil {
		return false
	}
	if head.ReleaseOf(object.Value) >= current.Release {
		return true
	}
	if f.clock.Sleep(ctx, repairPause+rand.N(repairPause)) != nil {
		return false
	}
	if object, err = f.heads.Get(ctx, head.Object); err != nil {
		return false
	}
	if head.ReleaseOf(object.Value) >= current.Release {
		return true
	}
	for i := range sections {
		if err := f.restore(ctx, sections[i]); err != nil {
			return false
		}
	}
	_, err = f.heads.Put(ctx, head.Object, object.Version, raw)
	var conflict *store.ConflictError
	if err == nil {
		f.repaired.Inc()
		f.log.Warn("store had an older release; wrote the current one back", "release", current.Release)
	}
	return err == nil || errors.As(err, &conflict)
}

func (f *Follower) restore(ctx context.Context, section head.Section) error {
	_, err := f.sections.Put(ctx, section.Ref.Object(), store.Revision{}, section.Raw)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) && bytes.Equal(conflict.Current.Value, section.Raw) {
		return nil
	}
	return err
}
