package slope

import (
	"context"
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

func TestFitOfExactLineHasNoError(t *testing.T) {
	line := Fit([]Point{{1, 5}, {2, 7}, {3, 9}, {10, 23}})
	assert.Assert(t, math.Abs(line.Slope-2) < 1e-9 && math.Abs(line.Base-3) < 1e-9, line)
	assert.Assert(t, line.Error < 1e-9 && line.R2 > 1-1e-9, line)
}

func TestEveryProbeOfConfigurationAndMembersRuns(t *testing.T) {
	for _, probe := range Probes() {
		if probe.X == "sessions" || probe.X == "heartbeats" || probe.X == "agents" {
			continue
		}
		t.Run(probe.Name, func(t *testing.T) {
			_, err := probe.MeasureFunc(context.Background(), 10)
			assert.NilError(t, err)
		})
	}
}

func TestProbeSessionsOpenAndClose(t *testing.T) {
	s, err := openSessions(context.Background(), 3)
	assert.NilError(t, err)
	assert.Assert(t, s.bytes.Load() > 0)
	s.close()
}
