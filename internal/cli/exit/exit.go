// Package exit turns the end of a command into an exit code that scripts can
// rely on. docs/OPERATORS.md lists the codes.
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
	// OK says that the command did what it was asked to.
	OK Code = 0
	// Failed says that something unforeseen went wrong.
	Failed Code = 1
	// Usage says that the command line is wrong; nothing was done.
	Usage Code = 2
	// Invalid says that a document has faults, all of which were listed.
	Invalid Code = 3
	// Conflict says that another operator changed the object in between;
	// nothing was written.
	Conflict Code = 4
	// Unavailable says that the platform can't be used; nothing was written.
	Unavailable Code = 5
	// Unknown says that a write may or may not have taken effect.
	Unknown Code = 6
	// Unsafe says that what would remain does not bear the load and that
	// --force was not given; nothing was written.
	Unsafe Code = 7
	// NotInForce says that the change was accepted and was not seen in force
	// everywhere within the wait.
	NotInForce Code = 8
	// NotFound says that there is no such object, release or request.
	NotFound Code = 9
	// Cut says that a stop ended while requests were still open.
	Cut Code = 10
	// Denied says that the other end refused the certificate or the token.
	Denied Code = 11
	// Differs says that documents differ; only with --exit-code.
	Differs Code = 12
)

// Error ends a command with a code.
type Error struct {
	Code  Code
	Cause error
}

// Error implements error.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// With gives an error an exit code; nil stays nil.
func With(code Code, cause error) error {
	if cause == nil {
		return nil
	}
	return &Error{Code: code, Cause: cause}
}

// Of returns the code that an error ends a command with.
func Of(err error) Code {
	if err == nil {
		return OK
	}
	for _, of := range []func(error) Code{ofCoded, ofOperator, ofPlatform, ofDaemon} {
		if code := of(err); code != Failed {
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

// ofOperator judges the errors of an operator's action.
func ofOperator(err error) Code {
	var lost *apply.ConflictError
	var gaveUp *apply.GaveUpError
	var behind *apply.StoreBehindError
	var missing *apply.NotFoundError
	var notYet *apply.NotInForceError
	switch {
	case errors.As(err, &lost):
		return Conflict
	case errors.As(err, &gaveUp) && gaveUp.Unknown:
		return Unknown
	case errors.As(err, &behind):
		return Unavailable
	case errors.As(err, &missing):
		return NotFound
	case errors.As(err, &notYet):
		return NotInForce
	default:
		return Failed
	}
}

// ofPlatform judges the errors of a call to the platform.
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

// ofDaemon judges the errors of a request to a daemon.
func ofDaemon(err error) Code {
	var refused *fleet.StatusError
	if errors.As(err, &refused) && refused.Status == http.StatusUnauthorized {
		return Denied
	}
	return Failed
}

// Run executes a command line and returns the exit code. The command's context
// ends at the first SIGINT or SIGTERM, and Hurry tells of the second.
func Run(cmd *cobra.Command, args []string) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	hurry := make(chan struct{})
	ended := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		relay(signals, ended, cancel, hurry)
	}()
	code := RunContext(WithForceStop(ctx, hurry), cmd, args)
	close(ended)
	<-done
	return int(code)
}

// relay turns the first signal into the end of the context and the second
// into a closed channel.
func relay(signals <-chan os.Signal, ended <-chan struct{}, first func(), second chan<- struct{}) {
	for _, act := range []func(){first, func() { close(second) }} {
		select {
		case <-signals:
			act()
		case <-ended:
			return
		}
	}
}

type hurryKey struct{}

// WithForceStop gives a command the channel that closes when a stop must not wait
// any longer.
func WithForceStop(ctx context.Context, hurry <-chan struct{}) context.Context {
	return context.WithValue(ctx, hurryKey{}, hurry)
}

// ForceStop returns the channel that closes when a stop must not wait any longer;
// one that never closes when the context has none.
func ForceStop(ctx context.Context) <-chan struct{} {
	hurry, _ := ctx.Value(hurryKey{}).(<-chan struct{})
	return hurry
}

// RunContext executes a command line within a context.
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

// Args wraps a check of arguments so that its failure counts as a wrong
// command line.
func Args(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		return With(Usage, check(cmd, args))
	}
}

// Group makes a command that only holds subcommands: called without one, or
// with one that does not exist, it shows its help as a wrong command line.
func Group(cmd *cobra.Command) *cobra.Command {
	cmd.Args = func(at *cobra.Command, args []string) error {
		if len(args) == 0 {
			return nil
		}
		return With(Usage, fmt.Errorf("unknown command %q; see %s --help", args[0], at.CommandPath()))
	}
	cmd.RunE = func(at *cobra.Command, _ []string) error {
		_ = at.Help() // the error says enough if the help can't be printed
		return With(Usage, fmt.Errorf("%s wants a subcommand", at.CommandPath()))
	}
	return cmd
}
