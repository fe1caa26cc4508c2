package soak_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/bench/soak"
)

// minPressedShare is the least part of the usual share that is served at the first attempt that
// a gateway reads while the balancer is uneven.
const minPressedShare = 0.9

// Guards against a gateway that reads requests which it can't serve, because the balancer hands
// it most new connections.
func TestPressedGatewayReadsOnlyWhatItCanServe(t *testing.T) {
	if testing.Short() {
		t.Skip("short mode: each case takes 8 seconds")
	}
	program := buildProgram(t)
	for scarce, perSecond := range map[soak.Scarce]int{soak.Link: 60, soak.Processor: 400, soak.Descriptors: 160, soak.Places: 100, soak.Nothing: 60} {
		t.Run(string(scarce), func(t *testing.T) {
			report, err := soak.Press(t.Context(), soak.PressOptions{
				Scarce: scarce, Gateways: 6, PerSecond: perSecond, Before: 2 * time.Second, Length: 8 * time.Second, Program: program, Folder: t.TempDir(),
			})
			assert.NilError(t, err)
			t.Logf("%+v", *report)
			assert.Check(t, report.After >= minPressedShare*report.Before, "%.3f were served, %.3f before", report.After, report.Before)
		})
	}
}
