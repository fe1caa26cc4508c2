package mancli

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/cli/reach"
	"github.com/jujubescale/jujubescale/internal/conf/manif"
)

// checkOptions are the arguments of `manifest check`.
type checkOptions struct {
	file string
}

// CheckResult is the result of a check.
type CheckResult struct {
	Valid  bool    `json:"valid"`
	Faults []Fault `json:"faults,omitempty"`
}

// Fault is one fault of a manifest.
type Fault struct {
	Path    string `json:"path"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

func newCheck(shared *reach.Options) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Lists all faults of a manifest; needs no platform",
		Long:  "Lists all faults of a manifest with their path, value and the allowed values. If FILE\nis -, reads the standard input. Exit code 3 if there are faults.",
		Args:  exit.Args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return runCheck(cmd, shared, checkOptions{file: args[0]})
		},
	}
}

func runCheck(cmd *cobra.Command, shared *reach.Options, options checkOptions) error {
	manifest, err := read(cmd, options.file)
	var list *fault.InvalidListError
	if err != nil && !errors.As(err, &list) {
		return err
	}
	if list == nil {
		return shared.Print(cmd.OutOrStdout(), CheckResult{Valid: true}, func(out io.Writer) { writeSummary(out, manifest) })
	}
	result := CheckResult{}
	for _, f := range list.Faults {
		result.Faults = append(result.Faults, Fault(f))
	}
	printErr := shared.Print(cmd.OutOrStdout(), result, func(out io.Writer) { _, _ = fmt.Fprintln(out, list.Error()) })
	return errors.Join(printErr, exit.With(exit.Invalid, &FaultsError{File: options.file, Count: len(list.Faults)}))
}

// FaultsError is the error of a check that found faults.
type FaultsError struct {
	File  string
	Count int
}

// Error implements error.
func (e *FaultsError) Error() string { return fmt.Sprintf("%s has %d faults", e.File, e.Count) }

func writeSummary(out io.Writer, m *manif.Manifest) {
	_, _ = fmt.Fprintf(out, "valid: %d pipelines, %d services, %d pools, %d organisations, %d availability zones\n",
		len(m.Pipelines), len(m.Services), len(m.Pools), len(m.Organisations), len(m.AvailabilityZones))
}
