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

// Guards against a pressed gateway on a small host that reads more requests than its processor can serve
// in time, or closes its connections by a mistaken size of requests, and then refuses what it has read.
func TestPressedGatewayOnASmallHostReadsOnlyWhatItCanServe(t *testing.T) {
	if testing.Short() {
		t.Skip("short mode: takes 40 seconds")
	}
	const length = 8 * time.Second
	streams := []float64{0.49, 0.35, 0.16}
	reports, err := soak.PressHosts(t.Context(), soak.HostPressOptions{
		Gateways: 22, PerSecond: 300, Mix: streams, Before: 4 * time.Second,
		Turns:   []soak.PressTurn{{Length: length}, {Length: length}, {Restarted: true, Length: length}},
		Program: buildProgram(t), Folder: t.TempDir(),
	})
	assert.NilError(t, err)
	for i, report := range reports {
		t.Logf("turn %d: %+v", i, report)
		assert.Check(t, report.After >= minPressedShare*report.Before, "turn %d: %.3f were served, %.3f before", i, report.After, report.Before)
	}
}
