package apply

import (
	"context"
	"fmt"
	"sort"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/share/head"
)

const askInterval = 50 * clock.Millis(1)

// History returns the heads of the newest releases, newest first.
func (o *Operator) History(ctx context.Context, limit int) ([]*head.Head, error) {
	current, _, err := o.read(ctx)
	if err != nil || current == nil {
		return nil, err
	}
	objects, err := o.store.List(ctx, head.HistoryPrefix)
	if err != nil {
		return nil, err
	}
	releases := make([]uint64, 0, len(objects))
	for _, object := range objects {
		if release, ok := head.HistoryRelease(object.Name); ok && release < current.Release {
			releases = append(releases, release)
		}
	}
	sort.Slice(releases, func(i, j int) bool { return releases[i] > releases[j] })
	heads := []*head.Head{current}
	for _, release := range releases {
		if len(heads) >= limit {
			break
		}
		h, err := o.headAt(ctx, release)
		if err != nil {
			return nil, err
		}
		heads = append(heads, h)
	}
	return heads, nil
}

// ProcessRelease is the release that is in force in one daemon.
type ProcessRelease struct {
	Process string
	Release uint64
	// Cause is the error if the daemon did not answer.
	Cause error
}

// NotInForceError lists the daemons in which the release is not in force yet.
type NotInForceError struct {
	Release uint64
	Behind  []ProcessRelease
}

// Error implements error.
func (e *NotInForceError) Error() string {
	text := fmt.Sprintf("release %d is not in force in %d processes", e.Release, len(e.Behind))
	for _, daemon := range e.Behind {
		text += fmt.Sprintf("; %s: release %d", daemon.Process, daemon.Release)
		if daemon.Cause != nil {
			text += fmt.Sprintf(" (%v)", daemon.Cause)
		}
	}
	return text
}

// WaitInForce calls ask until the release is in force in all daemons that it
// returns. After limit it fails with NotInForceError, also if ask returns no
// daemon.
func (o *Operator) WaitInForce(ctx context.Context, release uint64, limit clock.Millis, ask func(context.Context) []ProcessRelease) error {
	deadline := o.clock.Now() + limit
	for {
		answers := ask(ctx)
		behind := olderThan(answers, release)
		if len(answers) > 0 && len(behind) == 0 {
			return nil
		}
		if o.clock.Now() >= deadline {
			return &NotInForceError{Release: release, Behind: behind}
		}
		if err := o.clock.Sleep(ctx, askInterval); err != nil {
			return err
		}
	}
}

func olderThan(answers []ProcessRelease, release uint64) []ProcessRelease {
	var behind []ProcessRelease
	for _, answer := range answers {
		if answer.Release < release {
			behind = append(behind, answer)
		}
	}
	return behind
}
