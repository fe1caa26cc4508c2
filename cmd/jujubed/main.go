// Command jujubed runs the daemons: the entry, the agent and the gateway.
package main

import (
	"os"

	"github.com/jujubescale/jujubescale/internal/cli/daemon"
	"github.com/jujubescale/jujubescale/internal/cli/exit"
)

func main() {
	daemon.CatchReloads() // reading the settings takes a while on a slow host
	os.Exit(exit.Run(daemon.New(), os.Args[1:]))
}
