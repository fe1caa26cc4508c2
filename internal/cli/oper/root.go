// Package oper holds the command line of jujubectl, the operators' client.
package oper

import (
	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/cli/mancli"
	"github.com/jujubescale/jujubescale/internal/cli/quar"
	"github.com/jujubescale/jujubescale/internal/cli/reach"
	"github.com/jujubescale/jujubescale/internal/cli/rolls"
	"github.com/jujubescale/jujubescale/internal/cli/state"
	"github.com/jujubescale/jujubescale/internal/cli/zones"
	"github.com/jujubescale/jujubescale/internal/ops/build"
)

// New returns the root command of jujubectl.
func New() *cobra.Command {
	root := exit.Group(&cobra.Command{
		Use:   "jujubectl",
		Short: "Operates jujubescale: manifest, availability zones, endpoints, rollouts, status",
	})
	root.Version = build.Version()
	options := reach.New()
	options.AddFlags(root)
	root.AddCommand(
		mancli.New(options),
		zones.NewZone(options),
		zones.NewEndpoint(options),
		state.NewStatus(options),
		state.NewRequest(options),
		state.NewLosses(options),
		rolls.New(options),
		quar.New(options),
	)
	return root
}
