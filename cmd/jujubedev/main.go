// Command jujubedev is the developers' tool: it runs the whole system on stand-ins, generates load and measures.
package main

import (
	"os"

	"github.com/jujubescale/jujubescale/internal/cli/devel"
	"github.com/jujubescale/jujubescale/internal/cli/exit"
)

func main() {
	os.Exit(exit.Run(devel.New(), os.Args[1:]))
}
