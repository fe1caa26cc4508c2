// Package devel holds the command line of jujubedev, the developers' tool.
package devel

import (
	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/cli/exit"
)

// New returns the root command of jujubedev.
func New() *cobra.Command {
	root := exit.Group(&cobra.Command{
		Use:   "jujubedev",
		Short: "Runs the whole system on embedded stand-ins, generates load and measures",
	})
	root.AddCommand(newBounds(), newUp(), newStand(), newLoad(), newMeasure(), newRollouts(), newSlope(), newSoak(), newCrowd(), newReturns())
	return root
}
