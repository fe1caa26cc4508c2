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

// Spans of following the platform.
const (
	watchWait   = 20 * clock.Second
	pollPause   = 30 * clock.Second
	retryPause  = 200 * clock.Millis(1)
	retryLimit  = 5 * clock.Second
	repairPause = 500 * clock.Millis(1)
)

// Follower learns of new releases from the platform: by a watch on the head
// when this process is chosen to watch, else by a slow read that only catches
// what the peers missed.
type Follower struct {
	learner *Learner
	// heads is called for the head, sections for everything else; they differ
	// in the priority of their calls.
	heads    *store.Store
	sections *store.Store
	clock    *clock.Clock
	log      *log.Logger
	// watchFunc reports whether this process is one of those that watch.
	watchFunc func() bool
	// kick wakes a follower that doesn't watch.
	kick     chan struct{}
	repaired prometheus.Counter
}

// FollowOption changes a Follower while it is built.
type FollowOption func(*Follower)

// WithWatch sets who decides whether this process watches.
func WithWatch(watch func() bool) FollowOption { return func(f *Follower) { f.watchFunc = watch } }

// WithFollowClock sets the clock.
func WithFollowClock(c *clock.Clock) FollowOption { return func(f *Follower) { f.clock = c } }

// WithFollowLog sets the logger.
func WithFollowLog(l *log.Logger) FollowOption { return func(f *Follower) { f.log = l } }

// WithFollowRegisterer publishes the counters.
func WithFollowRegisterer(r prometheus.Registerer) FollowOption {
	return func(f *Follower) { r.MustRegister(f.repaired) }
}

// NewFollower returns a follower that offers what it finds to a learner.
func NewFollower(learner *Learner, heads, sections *store.Store, opts ...FollowOption) *Follower {
	f := &Follower{
		learner: learner, heads: heads, sections: sections, clock: clock.New(), log: log.Default(),
		watchFunc: func() bool { return true },
		kick:      make(chan struct{}, 1),
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

// Trigger asks for one read soon, for instance when a message shows a newer
// release and no peer can give it.
func (f *Follower) Trigger() {
	select {
	case f.kick <- struct{}{}:
	default:
	}
}

// Read reads the head once and offers it. It reports whether the platform
// answered.
func (f *Follower) Read(ctx context.Context) (store.Object, bool) {
	object, err := f.heads.Get(ctx, head.Object)
	if err != nil {
		return object, false
	}
	f.offer(ctx, FromRead, object)
	return object, true
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	seen := uint64(0)
	pause := retryPause
	for ctx.Err() == nil {
		object, source, err := f.next(ctx, seen)
		settled := err == nil
		if settled && object.Version != seen {
			settled = f.offer(ctx, source, object)
		}
		if !settled {
			// Half of the pause is drawn, so that the processes of a fleet
			// don't come back to the platform at the same instant.
			_ = f.clock.Sleep(ctx, pause/2+rand.N(pause/2+1))
			pause = min(2*pause, retryLimit)
			continue
		}
		seen, pause = object.Version, retryPause
	}
}

func (f *Follower) next(ctx context.Context, seen uint64) (store.Object, Source, error) {
	if f.watchFunc() {
		object, err := f.heads.Watch(ctx, head.Object, seen, watchWait)
		return object, FromWatch, err
	}
	if seen != 0 {
		due, stop := f.clock.After(pollPause/2 + rand.N(pollPause))
		defer stop()
		select {
		case <-due:
		case <-f.kick:
		case <-ctx.Done():
			return store.Object{}, FromRead, ctx.Err()
		}
	}
	object, err := f.heads.Get(ctx, head.Object)
	return object, FromRead, err
}

// offer gives an object to the learner and reports whether it is settled: an
// incomplete one must be tried again.
func (f *Follower) offer(ctx context.Context, source Source, object store.Object) bool {
	if object.Version == 0 {
		return f.repair(ctx)
	}
	verdict, err := f.learner.Offer(ctx, source, object.Value, f.section)
	if err != nil {
		f.log.Warn("configuration not taken", "source", source, "verdict", verdict, "version", object.Version, "error", err)
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

// MissingError says that an object which a head names does not exist.
type MissingError struct {
	Name string
}

// Error implements error.
func (e *MissingError) Error() string { return "no object " + e.Name }

func (f *Follower) section(ctx context.Context, ref head.Ref) ([]byte, error) {
	object, err := f.sections.Get(ctx, ref.Object())
	if err == nil && object.Version == 0 {
		// A stale read can miss a section that was just written: this is no
		// proof that the head is invalid.
		err = &MissingError{Name: ref.Object()}
	}
	return object.Value, err
}

// repair writes the release in force here back when the store has lost it. A
// store that was restored to an older state would otherwise number the next
// change like one that is in force already, and no process would take it. One
// old read proves nothing: it may be stale or late. So the head is read again,
// at once and after a pause, and the write is conditional on the last read.
func (f *Follower) repair(ctx context.Context) bool {
	held, raw, sections := f.learner.Snapshot()
	if held == nil {
		return true
	}
	object, err := f.heads.Get(ctx, head.Object)
	if err != nil {
		return false
	}
	if head.ReleaseOf(object.Value) >= held.Release {
		return true
	}
	if f.clock.Sleep(ctx, repairPause+rand.N(repairPause)) != nil {
		return false
	}
	if object, err = f.heads.Get(ctx, head.Object); err != nil {
		return false
	}
	if head.ReleaseOf(object.Value) >= held.Release {
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
		f.log.Warn("store was behind; release written back", "release", held.Release)
	}
	return err == nil || errors.As(err, &conflict)
}

func (f *Follower) restore(ctx context.Context, section head.Section) error {
	_, err := f.sections.Put(ctx, section.Ref.Object(), 0, section.Raw)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) && bytes.Equal(conflict.Current.Value, section.Raw) {
		return nil
	}
	return err
}
