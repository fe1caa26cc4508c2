// Package exit runs commands and maps their errors to stable exit codes for scripts.
// docs/OPERATORS.md lists the codes.
package exit

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/ops/fleet"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/share/apply"
)

// Code is the exit code of a command.
type Code int

// Exit codes. The numbers are part of the interface and never change.
const (
	// OK means that the command succeeded.
	OK Code = 0
	// Failed means an error that has no other code.
	Failed Code = 1
	// Usage means that the command line is invalid; nothing was done.
	Usage Code = 2
	// Invalid means that a document has faults, all of which were listed.
	Invalid Code = 3
	// Conflict means that another operator has changed the object in the meantime;
	// nothing was written.
	Conflict Code = 4
	// Unavailable means that the platform can't be used; nothing was written.
	Unavailable Code = 5
	// Unknown means that a write may or may not have taken effect.
	Unknown Code = 6
	// Unsafe means that the remaining endpoints lack the capacity for the load and that
	// --force was not given; nothing was written.
	Unsafe Code = 7
	// NotInForce means that the change was accepted but was not in force on all
	// daemons within the wait, or that a rollout was rolled back.
	NotInForce Code = 8
	// NotFound means that there is no such object, release or request.
	NotFound Code = 9
	// Cut means that a stop ended while requests were still open.
	Cut Code = 10
	// Denied means that a daemon refused the certificate or the token.
	Denied Code = 11
	// Differs means that documents differ; only used with --exit-code.
	Differs Code = 12
)

// Error is an error with an exit code.
type Error struct {
	Code  Code
	Cause error
}

// Error implements error.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// With returns cause as an Error with an exit code, or nil if cause is nil.
func With(code Code, cause error) error {
	if cause == nil {
		return nil
	}
	return &Error{Code: code, Cause: cause}
}

// Of returns the exit code for an error; OK for nil, and Failed for unknown errors.
func Of(err error) Code {
	if err == nil {
		return OK
	}
	for _, codeFunc := range []func(error) Code{ofCoded, ofOperator, ofPlatform, ofDaemon} {
		if code := codeFunc(err); code != Failed {
			return code
		}
	}
	return Failed
}

func ofCoded(err error) Code {
	var coded *Error
	var invalid *fault.InvalidListError
	switch {
	case errors.As(err, &coded):
		return coded.Code
	case errors.As(err, &invalid):
		return Invalid
	default:
		return Failed
	}
}

// ofOperator returns the code for an error of apply.Operator.
func ofOperator(err error) Code {
	var conflict *apply.ConflictError
	var gaveUp *apply.GaveUpError
	var behind *apply.StoreBehindError
	var missing *apply.NotFoundError
	var notInForce *apply.NotInForceError
	switch {
	case errors.As(err, &conflict):
		return Conflict
	case errors.As(err, &gaveUp) && gaveUp.Unknown:
		return Unknown
	case errors.As(err, &behind):
		return Unavailable
	case errors.As(err, &missing):
		return NotFound
	case errors.As(err, &notInForce):
		return NotInForce
	default:
		return Failed
	}
}

// ofPlatform returns the code for an error of a call to the platform.
func ofPlatform(err error) Code {
	var conflict *store.ConflictError
	var unavailable *store.UnavailableError
	var unknown *store.UnknownError
	switch {
	case errors.As(err, &conflict):
		return Conflict
	case errors.As(err, &unavailable):
		return Unavailable
	case errors.As(err, &unknown):
		return Unknown
	default:
		return Failed
	}
}

// ofDaemon returns the code for an error of a request to a daemon.
func ofDaemon(err error) Code {
	var refused *fleet.StatusError
	if errors.As(err, &refused) && refused.Status == http.StatusUnauthorized {
		return Denied
	}
	return Failed
}

// Run executes a command line and returns the exit code. The command's context ends at
// the first SIGINT or SIGTERM; the channel of ForceStop is closed at the second.
func Run(cmd *cobra.Command, args []string) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	forceStop := make(chan struct{})
	ended := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		handleSignals(signals, ended, cancel, forceStop)
	}()
	code := RunContext(WithForceStop(ctx, forceStop), cmd, args)
	close(ended)
	<-done
	return int(code)
}

// handleSignals calls first at the first signal and closes second at the second. It
// returns after the second signal or when ended is closed.
func handleSignals(signals <-chan os.Signal, ended <-chan struct{}, first func(), second chan<- struct{}) {
	for _, act := range []func(){first, func() { close(second) }} {
		select {
		case <-signals:
			act()
		case <-ended:
			return
		}
	}
}

type forceStopKey struct{}

// WithForceStop returns a context with a channel that is closed when a planned stop
// must end at once.
func WithForceStop(ctx context.Context, forceStop <-chan struct{}) context.Context {
	return context.WithValue(ctx, forceStopKey{}, forceStop)
}

// ForceStop returns the channel of WithForceStop, or nil, which blocks forever, if the
// context has none.
func ForceStop(ctx context.Context) <-chan struct{} {
	forceStop, _ := ctx.Value(forceStopKey{}).(<-chan struct{})
	return forceStop
}

// RunContext executes a command line within a context, prints its error and returns the
// exit code.
func RunContext(ctx context.Context, cmd *cobra.Command, args []string) Code {
	cmd.SilenceUsage = true
	cmd.SilenceErrors = true
	cmd.SetFlagErrorFunc(func(at *cobra.Command, err error) error {
		return With(Usage, fmt.Errorf("%w; see %s --help", err, at.CommandPath()))
	})
	cmd.SetArgs(args)
	err := cmd.ExecuteContext(ctx)
	if err != nil {
		cmd.PrintErrln("error: " + err.Error())
	}
	return Of(err)
}

// Args wraps a check of arguments so that its errors have the code Usage.
func Args(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		return With(Usage, check(cmd, args))
	}
}

// Group makes cmd a command that only holds subcommands. Without a subcommand it prints
// its help; then, and with an unknown one, it returns an error with the code Usage.
func Group(cmd *cobra.Command) *cobra.Command {
	cmd.Args = func(at *cobra.Command, args []string) error {
		if len(args) == 0 {
			return nil
		}
		return With(Usage, fmt.Errorf("unknown command %q; see %s --help", args[0], at.CommandPath()))
	}
	cmd.RunE = func(at *cobra.Command, _ []string) error {
		_ = at.Help() // the error below is enough if the help can't be printed
		return With(Usage, fmt.Errorf("%s needs a subcommand", at.CommandPath()))
	}
	return cmd
}
