// Package mancli holds the subcommands of `jujubectl manifest`.
package mancli

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/cli/reach"
	"github.com/jujubescale/jujubescale/internal/conf/check"
	"github.com/jujubescale/jujubescale/internal/conf/decode"
	"github.com/jujubescale/jujubescale/internal/conf/manif"
)

// New returns the manifest command with its subcommands.
func New(options *reach.Options) *cobra.Command {
	cmd := exit.Group(&cobra.Command{
		Use:   "manifest",
		Short: "Checks, compares, applies and rolls back the manifest",
	})
	cmd.AddCommand(newCheck(options), newDiff(options), newApply(options), newHistory(options), newRollback(options))
	return cmd
}

// stdin is the file name that stands for the standard input.
const stdin = "-"

// read reads and checks a manifest file.
func read(cmd *cobra.Command, file string) (*manif.Manifest, error) {
	raw, err := readFile(cmd, file)
	if err != nil {
		return nil, exit.With(exit.Usage, err)
	}
	return check.Manifest(raw)
}

// readFile reads at most one byte more than a manifest may have, so that the error for
// a larger file is about its size and not about an unexpected end.
func readFile(cmd *cobra.Command, file string) ([]byte, error) {
	if file == stdin {
		return io.ReadAll(io.LimitReader(cmd.InOrStdin(), decode.MaxBytes+1))
	}
	opened, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = opened.Close() }() // the file was only read
	return io.ReadAll(io.LimitReader(opened, decode.MaxBytes+1))
}
