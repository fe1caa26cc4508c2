package proc

import (
	"context"
	"errors"
	"fmt"

	"github.com/jujubescale/jujubescale/internal/cli/exit"
)

// Stopper is a planned stop. The first signal begins it; it ends when nothing
// is open any more, at the time limit, or at the second signal.
type Stopper struct {
	Process *Process
	// StopFunc tells all others that this process leaves, lets open work end
	// and, when the context is over first, returns a line for each piece of work
	// that it cut.
	StopFunc func(ctx context.Context) []string
	// Ports that serve until the end.
	Ports []*Port
}

// CutError says that a stop ended while work was open.
type CutError struct {
	Reason string
	Cut    []string
}

// Error implements error.
func (e *CutError) Error() string {
	return fmt.Sprintf("%s: %d requests were cut", e.Reason, len(e.Cut))
}

// Causes of a stop that does not wait any longer.
var (
	errSecondSignal = errors.New("second signal")
	errTimeLimit    = errors.New("time limit of the planned stop")
)

// Run blocks until the context ends, then stops in order. The command's
// context is over by then, so the stop has its own.
func (s *Stopper) Run(ctx context.Context) error {
	if err := s.wait(ctx); err != nil {
		return err
	}
	s.Process.Log.Info("leaving", "limitMs", int64(s.Process.Settings.DrainMs))
	bounded, release := s.bound(exit.ForceStop(ctx))
	defer release()
	cut := s.StopFunc(bounded)
	if len(cut) == 0 {
		s.Process.Log.Info("stopped", "cut", 0)
		return nil
	}
	return s.cut(context.Cause(bounded), cut)
}

// wait returns nil once the process shall stop, or the error of a port that
// ended by itself.
func (s *Stopper) wait(ctx context.Context) error {
	failed := make(chan error, len(s.Ports))
	for _, p := range s.Ports {
		go func() {
			if err := <-p.server.Done(); err != nil {
				failed <- fmt.Errorf("port %s: %w", p.name, err)
			}
		}()
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}

// bound returns the context of the stop: it ends at the time limit or at the
// second signal.
func (s *Stopper) bound(hurry <-chan struct{}) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(context.Background())
	limit, stopLimit := s.Process.Clock.After(s.Process.Settings.DrainMs)
	done := make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-limit:
			cancel(errTimeLimit)
		case <-hurry:
			cancel(errSecondSignal)
		case <-ctx.Done():
		}
	}()
	return ctx, func() {
		stopLimit()
		cancel(nil)
		<-done
	}
}

// cut says what was cut; an operator must be able to tell the callers.
func (s *Stopper) cut(cause error, lines []string) error {
	for _, line := range lines {
		s.Process.Log.Warn("request cut", "reason", cause, "what", line)
	}
	s.Process.Log.Warn("stopped", "reason", cause, "cut", len(lines))
	return exit.With(exit.Cut, &CutError{Reason: fmt.Sprint(cause), Cut: lines})
}
