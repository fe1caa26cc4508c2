package apply

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/share/head"
)

// edit describes how one action changes the head.
type edit struct {
	action  head.Action
	subject string
	// newSections are written before the head that refers to them.
	newSections []head.Section
	// collides reports whether another operator has made a conflicting change
	// since the expected release.
	collides func(current *head.Head) bool
	// done reports whether the head needs no change.
	done func(current *head.Head) bool
	// edit changes a copy of the head, which becomes the next release.
	edit func(next *head.Head)
}

// GaveUpError is returned if an action failed after its last try. If Unknown is
// set, a write without an answer may still take effect.
type GaveUpError struct {
	Tries   int
	Unknown bool
	Cause   error
}

// Error implements error.
func (e *GaveUpError) Error() string {
	if e.Unknown {
		return fmt.Sprintf("gave up after %d tries; the change may still take effect: %v", e.Tries, e.Cause)
	}
	return fmt.Sprintf("gave up after %d tries; nothing was changed: %v", e.Tries, e.Cause)
}

// Unwrap returns the cause.
func (e *GaveUpError) Unwrap() error { return e.Cause }

// attempt is the state of one action across its tries.
type attempt struct {
	edit   edit
	change Change
	// nonce is the same for all tries. It identifies an earlier write of this
	// action whose answer was lost.
	nonce string
	// outcomeUnknown is set after a write of the head got no answer.
	outcomeUnknown bool
	// sectionsWritten is set after all sections were written.
	sectionsWritten bool
	// shown is the head that the last conflict has shown. A read may return an older one.
	shown store.Object
}

// change performs one action. It reads the head, checks for conflicts, writes
// the sections, and then writes the head on the condition that it is unchanged.
// If another operator has written the head in the meantime, it retries with the
// newer head, so that changes of different objects both succeed.
func (o *Operator) change(ctx context.Context, change Change, e edit) (Result, error) {
	a := &attempt{edit: e, change: change, nonce: o.NonceFunc()}
	pause := minPause
	for try := 1; ; try++ {
		result, err := o.try(ctx, a)
		if err == nil || !retryable(err) {
			return result, err
		}
		if try >= o.tries {
			return Result{}, &GaveUpError{Tries: try, Unknown: a.outcomeUnknown, Cause: err}
		}
		if stopped := o.clock.Sleep(ctx, pause); stopped != nil {
			return Result{}, &GaveUpError{Tries: try, Unknown: a.outcomeUnknown, Cause: stopped}
		}
		pause = min(2*pause, maxPause)
	}
}

// retryable reports whether the action may succeed on a newer head or when the
// platform is available again.
func retryable(err error) bool {
	var conflict *store.ConflictError
	var unknown *store.UnknownError
	var unavailable *store.UnavailableError
	return errors.As(err, &conflict) || errors.As(err, &unknown) || errors.As(err, &unavailable)
}

func (o *Operator) try(ctx context.Context, a *attempt) (Result, error) {
	current, version, err := o.readSince(ctx, &a.shown)
	if err != nil {
		return Result{}, err
	}
	if a.outcomeUnknown {
		own, err := o.findNonce(ctx, current, a.nonce)
		if err != nil || own != nil {
			return Result{Head: own, Changed: own != nil}, err
		}
	}
	next, err := o.next(ctx, current, a)
	if err != nil || next == nil {
		return Result{Head: current}, err
	}
	if !a.sectionsWritten {
		if err := o.writeSections(ctx, missing(current, a.edit.newSections)); err != nil {
			return Result{}, err
		}
		a.sectionsWritten = true
	}
	if err := o.writeHistory(ctx, current); err != nil {
		return Result{}, err
	}
	if err := o.writeHead(ctx, version, next); err != nil {
		var unknown *store.UnknownError
		a.outcomeUnknown = a.outcomeUnknown || errors.As(err, &unknown)
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			a.shown = conflict.Current
		}
		return Result{}, err
	}
	return Result{Head: next, Changed: true}, nil
}

// next returns the head of the next release, or nil if no change is needed.
func (o *Operator) next(ctx context.Context, current *head.Head, a *attempt) (*head.Head, error) {
	change, e := a.change, a.edit
	if current == nil {
		if e.action != head.ActionApply {
			return nil, &NotFoundError{Kind: "release", Name: "current"}
		}
		if change.Expected != 0 {
			return nil, &ConflictError{Expected: change.Expected}
		}
		current = &head.Head{}
	}
	if o.FleetFunc != nil {
		if fleet := o.FleetFunc(ctx); fleet > current.Release {
			return nil, &StoreBehindError{Store: current.Release, Fleet: fleet}
		}
	}
	if change.Expected > current.Release {
		return nil, &ConflictError{Expected: change.Expected, Current: current.Release}
	}
	if e.done(current) {
		return nil, nil
	}
	if e.collides(current) {
		return nil, o.conflict(ctx, change.Expected, current)
	}
	next := *current
	next.Release++
	next.Nonce = a.nonce
	next.ChangedBy = change.Who
	next.ChangedAt = o.WallFunc().UTC().Format(time.RFC3339)
	next.Action = e.action
	next.Subject = e.subject
	next.Reason = change.Reason
	e.edit(&next)
	return &next, nil
}

func (o *Operator) conflict(ctx context.Context, expected uint64, current *head.Head) error {
	conflict := &ConflictError{Expected: expected, Current: current.Release}
	for release := expected + 1; release < current.Release; release++ {
		if h, err := o.headAt(ctx, release); err == nil {
			conflict.Between = append(conflict.Between, h)
		}
	}
	conflict.Between = append(conflict.Between, current)
	return conflict
}

// read returns the head and its version. The head is nil if there is none.
func (o *Operator) read(ctx context.Context) (*head.Head, store.Revision, error) {
	return o.readSince(ctx, &store.Object{})
}

// readSince reads the head, or returns the known one if that is newer: a read may be stale.
func (o *Operator) readSince(ctx context.Context, known *store.Object) (*head.Head, store.Revision, error) {
	object, err := o.store.Get(ctx, head.Object)
	if err == nil && object.Version.Before(known.Version) {
		object = *known
	}
	if err != nil || object.Version.IsZero() {
		return nil, store.Revision{}, err
	}
	current, err := head.Decode(object.Value)
	return current, object.Version, err
}

func (o *Operator) headAt(ctx context.Context, release uint64) (*head.Head, error) {
	current, _, err := o.read(ctx)
	if err != nil {
		return nil, err
	}
	if current != nil && current.Release == release {
		return current, nil
	}
	object, err := o.get(ctx, head.HistoryObject(release))
	if err != nil {
		return nil, err
	}
	if object.Version.IsZero() {
		return nil, &NotFoundError{Kind: "release", Name: fmt.Sprint(release)}
	}
	return head.Decode(object.Value)
}

// findNonce returns the head that an earlier try wrote but got no answer for, or
// nil. It is the current head or, if another operator has written since, an
// object of the history: each operator stores the current head there before
// writing the next one.
func (o *Operator) findNonce(ctx context.Context, current *head.Head, nonce string) (*head.Head, error) {
	if current == nil {
		return nil, nil
	}
	if current.Nonce == nonce {
		return current, nil
	}
	// Each try writes the release that follows the head it read. With few tries,
	// an earlier write is one of the releases just below the current one.
	for back := uint64(1); back <= uint64(o.tries) && back < current.Release; back++ {
		object, err := o.store.Get(ctx, head.HistoryObject(current.Release-back))
		if err != nil {
			return nil, err
		}
		if object.Version.IsZero() {
			continue
		}
		if h, err := head.Decode(object.Value); err == nil && h.Nonce == nonce {
			return h, nil
		}
	}
	return nil, nil
}

// missing returns the sections to which the current head doesn't refer. The
// others are in the store already.
func missing(current *head.Head, sections []head.Section) []head.Section {
	if current == nil {
		return sections
	}
	return slices.DeleteFunc(slices.Clone(sections), func(s head.Section) bool {
		return slices.Contains(current.Sections, s.Ref)
	})
}

func (o *Operator) writeSections(ctx context.Context, sections []head.Section) error {
	for i := range sections {
		if err := o.create(ctx, sections[i].Ref.Object(), sections[i].Raw); err != nil {
			return err
		}
	}
	return nil
}

// writeHistory stores the current head in the history. It must be called before
// the next head is written, so that the history lacks no release.
func (o *Operator) writeHistory(ctx context.Context, current *head.Head) error {
	if current == nil {
		return nil
	}
	raw, err := current.Encode()
	if err != nil {
		return err
	}
	return o.create(ctx, head.HistoryObject(current.Release), raw)
}

// create writes an immutable object. It succeeds if the object already exists
// with the same content, so it is safe to write again after a lost answer.
func (o *Operator) create(ctx context.Context, name string, value []byte) error {
	pause := minPause
	for try := 1; ; try++ {
		_, err := o.store.Put(ctx, name, store.Revision{}, value)
		if err == nil {
			return nil
		}
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			if bytes.Equal(conflict.Current.Value, value) {
				return nil
			}
			return &head.DocumentError{Name: name, Cause: "exists with other content"}
		}
		if try >= o.tries {
			return err
		}
		if err := o.clock.Sleep(ctx, pause); err != nil {
			return err
		}
		pause = min(2*pause, clock.Second)
	}
}

func (o *Operator) writeHead(ctx context.Context, version store.Revision, next *head.Head) error {
	raw, err := next.Encode()
	if err != nil {
		return err
	}
	if !head.Fits(raw) {
		return &head.DocumentError{Name: head.Object, Cause: "too large for one object"}
	}
	_, err = o.store.Put(ctx, head.Object, version, raw)
	return err
}
