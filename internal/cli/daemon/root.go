// Package daemon holds the command line of jujubed, the program that runs the
// entry, the agent and the gateway.
package daemon

import (
	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/cli/exit"
)

// New returns the root command of jujubed.
func New() *cobra.Command {
	root := exit.Group(&cobra.Command{
		Use:   "jujubed",
		Short: "Runs a daemon that serves multi-stage model pipelines: entry, agent or gateway",
	})
	root.AddCommand(newEntry(), newAgent(), newGateway())
	return root
}
