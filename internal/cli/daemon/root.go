// Package daemon is the command line of jujubed, the program of the hosts.
package daemon

import (
	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/cli/exit"
)

// New returns the root command of jujubed.
func New() *cobra.Command {
	root := exit.Group(&cobra.Command{
		Use:   "jujubed",
		Short: "Serves multi-stage model pipelines: the entry, the agent and the gateway",
	})
	root.AddCommand(newEntry(), newAgent(), newGateway())
	return root
}
