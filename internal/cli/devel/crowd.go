package devel

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/bench/soak"
)

// crowdOptions are the flags of `jujubedev crowd`.
type crowdOptions struct {
	program   string
	folder    string
	crowds    []string
	callers   int
	bodyBytes int
	memoryMb  float64
	linkMbps  float64
	share     float64
	maxFds    int
	seconds   float64
}

// newCrowd returns the command that plays callers which don't keep to the limits.
func newCrowd() *cobra.Command {
	var options crowdOptions
	command := &cobra.Command{
		Use:   "crowd --program PATH",
		Short: "Plays many callers that don't keep to the limits, and measures what the gateway uses",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runCrowds(command, &options)
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.program, "program", "target/jujubed", "path of jujubed")
	flags.StringVar(&options.folder, "folder", "", "folder for settings and logs (default: a temporary one)")
	flags.StringSliceVar(&options.crowds, "crowds", nil, "crowds such as chunkedShort (default: all)")
	flags.IntVar(&options.callers, "callers", 400, "number of connections")
	flags.IntVar(&options.bodyBytes, "body-bytes", 1<<20, "largest body that the configuration allows")
	flags.Float64Var(&options.memoryMb, "memory", 284, "memory of the gateway's host in megabytes")
	flags.Float64Var(&options.linkMbps, "link", 1000, "bandwidth of its link in megabits per second")
	flags.Float64Var(&options.share, "share", 0, "its share of a processor, 0 without limit")
	flags.IntVar(&options.maxFds, "fds", 4100, "number of its file descriptors")
	flags.Float64Var(&options.seconds, "seconds", 8, "length of each crowd")
	return command
}

func runCrowds(command *cobra.Command, options *crowdOptions) error {
	folder := options.folder
	if folder == "" {
		temporary, err := os.MkdirTemp("", "crowd")
		if err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(temporary) }()
		folder = temporary
	}
	crowds := soak.Crowds()
	if len(options.crowds) > 0 {
		crowds = nil
		for _, name := range options.crowds {
			crowds = append(crowds, soak.Crowd(name))
		}
	}
	for _, crowd := range crowds {
		own := filepath.Join(folder, string(crowd))
		if err := os.MkdirAll(own, 0o700); err != nil {
			return err
		}
		report, err := soak.PlayCrowd(command.Context(), soak.CrowdOptions{
			Crowd: crowd, Callers: options.callers, BodyBytes: options.bodyBytes, MemoryMb: options.memoryMb, LinkMbps: options.linkMbps, Share: options.share,
			MaxFds: options.maxFds, Length: time.Duration(options.seconds * float64(time.Second)), Program: options.program, Folder: own,
		})
		if err != nil {
			return fmt.Errorf("crowd %s: %w", crowd, err)
		}
		command.Printf("%-16s %s\n", crowd, report)
	}
	return nil
}
