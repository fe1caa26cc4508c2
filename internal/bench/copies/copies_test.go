// Package copies_test plays a store that comes back from copies again and again, with real gateways.
package copies_test

import (
	"os/exec"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/bench/soak"
)

// minCalmShare is the least share of the requests that are served once nothing has happened for a while.
const minCalmShare = 0.95

// Guards against requests that are decided by contents which the store never had or has replaced: after a return from a copy,
// other contents get the numbers of the lost ones, and peers take the one for the other.
func TestNumbersOfLostWritesStandForTheirNewContents(t *testing.T) {
	if testing.Short() {
		t.Skip("short mode: the plays take 50 seconds")
	}
	program := filepath.Join(t.TempDir(), "jujubed")
	out, err := exec.Command("go", "build", "-o", program, "../../../cmd/jujubed").CombinedOutput()
	assert.NilError(t, err, string(out))
	for _, tt := range []struct {
		name    string
		options soak.ReturnOptions
	}{
		{"large configuration, 6 gateways", soak.ReturnOptions{Seed: 2, Gateways: 6, Large: true}},
		{"large configuration, 3 gateways that are disturbed", soak.ReturnOptions{Seed: 1, Gateways: 3, Large: true, Strikes: true}},
		{"small configuration, 3 gateways that are disturbed", soak.ReturnOptions{Seed: 3, Gateways: 3, Strikes: true}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			options := tt.options
			options.Returns, options.Program, options.Folder, options.Out = 6, program, t.TempDir(), t.Output()
			report, err := soak.PlayReturns(t.Context(), options)
			assert.NilError(t, err)
			t.Log(report)
			for _, violation := range report.Violations {
				t.Log(violation)
			}
			assert.Check(t, report.Late == 0, "%d of %d requests were decided late", report.Late, report.Asked)
			assert.Check(t, report.NotApplied == 0, "%d differences were not applied", report.NotApplied)
			assert.Check(t, len(report.Violations) == 0)
			assert.Check(t, float64(report.CalmServed) >= minCalmShare*float64(report.CalmAsked), "%d of %d requests were served at the end", report.CalmServed, report.CalmAsked)
		})
	}
}
