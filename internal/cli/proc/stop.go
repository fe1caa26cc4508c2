package proc

import (
	"context"
	"errors"
	"fmt"

	"github.com/jujubescale/jujubescale/internal/cli/exit"
)

// Stopper runs a planned stop. The first signal starts it. It ends when no work is
// open any more, at the time limit, or at the second signal.
type Stopper struct {
	Process *Process
	// StopFunc announces to other processes that this one leaves and waits until
	// open work ends. If the context ends before, it returns one line for each piece
	// of work that it cut.
	StopFunc func(ctx context.Context) []string
	// Ports are the ports whose failure ends the process.
	Ports []*Port
}

// CutError is the error of a stop that ended while work was open.
type CutError struct {
	Reason string
	Cut    []string
}

// Error implements error.
func (e *CutError) Error() string {
	return fmt.Sprintf("%s: %d requests were cut", e.Reason, len(e.Cut))
}

// Causes of the end of a stop that cut work.
var (
	errSecondSignal = errors.New("second signal")
	errTimeLimit    = errors.New("time limit of the planned stop")
)

// Run blocks until the context ends, then runs the planned stop with a context of
// its own, because the command's context has ended. It returns the error of a port
// that failed, or a CutError if the stop cut work.
func (s *Stopper) Run(ctx context.Context) error {
	if err := s.wait(ctx); err != nil {
		return err
	}
	s.Process.Log.Info("leaving", "limitMs", int64(s.Process.Settings.DrainMs))
	stopping, release := s.stopContext(exit.ForceStop(ctx))
	defer release()
	cut := s.StopFunc(stopping)
	if len(cut) == 0 {
		s.Process.Log.Info("stopped", "cut", 0)
		return nil
	}
	return s.reportCut(context.Cause(stopping), cut)
}

// wait returns nil when the context ends, or the error of the first port that fails.
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

// stopContext returns a context that ends at the time limit of the stop or when
// forceStop is closed, and a function that releases its resources.
func (s *Stopper) stopContext(forceStop <-chan struct{}) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(context.Background())
	limit, stopLimit := s.Process.Clock.After(s.Process.Settings.DrainMs)
	done := make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-limit:
			cancel(errTimeLimit)
		case <-forceStop:
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

// reportCut logs each request that was cut, so that an operator can inform the
// callers, and returns the error of the stop.
func (s *Stopper) reportCut(cause error, lines []string) error {
	for _, line := range lines {
		s.Process.Log.Warn("request cut", "reason", cause, "what", line)
	}
	s.Process.Log.Warn("stopped", "reason", cause, "cut", len(lines))
	return exit.With(exit.Cut, &CutError{Reason: fmt.Sprint(cause), Cut: lines})
}
