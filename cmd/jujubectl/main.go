// Command jujubectl is the operators' command-line client.
package main

import (
	"os"

	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/cli/oper"
)

func main() {
	os.Exit(exit.Run(oper.New(), os.Args[1:]))
}
