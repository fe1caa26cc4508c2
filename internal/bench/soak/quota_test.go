package soak_test

import (
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/bench/soak"
)

// quotaSeed was drawn on hosts with quotas when requests were run by services that only older versions allow.
const quotaSeed = 78004

// quotaRun is one run of 22 processes with quotas, of which each test below checks a part. Routes move between
// services in versions that stay large, beside kills, pauses and link cuts.
var quotaRun struct {
	once   sync.Once
	report *soak.Report
	err    error
}

func runWithQuotas(t *testing.T) *soak.Report {
	t.Helper()
	if testing.Short() {
		t.Skip("short mode: the run takes about 35 seconds")
	}
	quotaRun.once.Do(func() {
		quotaRun.report, quotaRun.err = soak.Run(t.Context(), soak.Options{
			Seed: quotaSeed, Length: 32 * time.Second, Gateways: 22, PerSecond: 60, Memory: 58_000, Routes: true, Moves: true, Quotas: true,
			Program: buildProgram(t), Folder: t.TempDir(), Out: os.Stderr,
		})
	})
	assert.NilError(t, quotaRun.err)
	t.Logf("seed %d: %+v", quotaSeed, *quotaRun.report)
	return quotaRun.report
}

func isStop(violation string) bool { return strings.Contains(violation, "planned stop") }

// Guards against requests that are run by a service, or denied, as only an older version allows.
func TestMovedRoutesAreRunByTheirServicesUnderQuotas(t *testing.T) {
	report := runWithQuotas(t)
	for _, violation := range report.Violations {
		if !isStop(violation) && isReported(violation, true, "") {
			t.Errorf("seed %d: %s", quotaSeed, violation)
		}
	}
	assert.Assert(t, strings.Contains(report.Moves, "moves"))
}

// Guards against large versions that come into force late because hosts have little processor time.
func TestLargeVersionsAreInForceInTimeUnderQuotas(t *testing.T) {
	lags := runWithQuotas(t).Lags
	assert.Assert(t, lags.Count > 50, "%v", lags)
	assert.Assert(t, lags.NinetyNinth <= time.Second && lags.OverBound == 0, "%v", lags)
}

// All hosts lose their power at once, or all connections between the processes fall silent. Guards against routes that
// were acknowledged before and that processes serve late, and against requests that are run by an older version.
func TestAcknowledgedRoutesAreServedAfterOutagesUnderQuotas(t *testing.T) {
	if testing.Short() {
		t.Skip("short mode: the run takes about 35 seconds")
	}
	runOptions(t, soak.Options{
		Seed: 78005, Length: 32 * time.Second, Gateways: 22, PerSecond: 60, Memory: 58_000, Routes: true, Moves: true, Quotas: true,
		Outages: true, Only: []soak.Kind{soak.PowerLoss, soak.SilenceSessions},
	}, "hosts with little processor time had not decoded the version yet")
}

// Guards against planned stops that exceed their grace period, or cut requests, because hosts have little processor
// time.
func TestPlannedStopsEndInTimeUnderQuotas(t *testing.T) {
	for _, violation := range runWithQuotas(t).Violations {
		if isStop(violation) {
			t.Errorf("seed %d: %s", quotaSeed, violation)
		}
	}
}
