package e2e_test

import (
	"os"
	"testing"

	"github.com/jujubescale/jujubescale/internal/cli/daemon"
	"github.com/jujubescale/jujubescale/internal/cli/devel"
	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/cli/oper"
)

// programEnv is the environment variable that makes this test binary run as one
// of the programs. Tests can start, kill and freeze real processes without
// building the programs first.
const programEnv = "E2E_PROGRAM"

func TestMain(m *testing.M) {
	switch os.Getenv(programEnv) {
	case "jujubed":
		os.Exit(exit.Run(daemon.New(), os.Args[1:]))
	case "jujubectl":
		os.Exit(exit.Run(oper.New(), os.Args[1:]))
	case "jujubedev":
		os.Exit(exit.Run(devel.New(), os.Args[1:]))
	default:
		os.Exit(m.Run())
	}
}
