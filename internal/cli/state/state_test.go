package state_test

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/cli/desk"
	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/cli/state"
	"github.com/jujubescale/jujubescale/internal/ops/admin"
	"github.com/jujubescale/jujubescale/internal/ops/losses"
	"github.com/jujubescale/jujubescale/internal/ops/record"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

func TestStatus(t *testing.T) {
	d := desk.New(t)
	d.Apply(t, whole.Sample(), "anna")
	d.AddDaemon(t, store.Host{Name: "entry-1", Role: "entry", AvailabilityZone: "za"}).SetStatus(func(s *admin.Status) { s.Release = 1 })
	d.AddDaemon(t, store.Host{Name: "entry-2", Role: "entry", AvailabilityZone: "zb"}).SetStatus(func(s *admin.Status) {
		s.Ready, s.NotReady = false, "leaving"
	})
	d.AddDaemon(t, store.Host{Name: "entry-3", Role: "entry", AvailabilityZone: "zc"}).Close()
	ran := d.Run(t, state.NewStatus, "status")
	assert.Equal(t, ran.Code, exit.OK, ran.Err)
	for _, part := range []string{"release 1 by anna", "ready", "not ready: leaving", "not seen: "} {
		assert.Assert(t, strings.Contains(ran.Out, part), ran.Out)
	}
	var status state.Status
	d.Run(t, state.NewStatus, "status", "--output=json", "--role=entry").JSON(t, &status)
	assert.Equal(t, len(status.Daemons), 3)
	assert.Equal(t, d.Run(t, state.NewStatus, "status", "--output=yaml").Code, exit.Usage)
}

// A request is found although only one of the entries has a record of it.
func TestRequestIsFoundOnAnyDaemon(t *testing.T) {
	d := desk.New(t)
	d.AddDaemon(t, store.Host{Name: "entry-1", Role: "entry"})
	d.AddDaemon(t, store.Host{Name: "entry-2", Role: "entry"}).SetRequest(&admin.Request{
		RequestID: "5f", Process: "entry-2", Service: "orders", State: "refused", Reason: fault.QueueFull, Ran: fault.NotRun,
		Attempts: []admin.Attempt{{Pool: "orders", Endpoint: "orders-1", State: "refused", Reason: fault.QueueFull}},
	})
	ran := d.Run(t, state.NewRequest, "request", "show", "5f")
	assert.Equal(t, ran.Code, exit.OK, ran.Err)
	assert.Assert(t, strings.Contains(ran.Out, "queueFull notRun"), ran.Out)
	missing := d.Run(t, state.NewRequest, "request", "show", "60")
	assert.Equal(t, missing.Code, exit.NotFound)
	assert.Assert(t, strings.Contains(missing.Err, "none of 2 daemons"), missing.Err)
}

// Guards against access without a token: the status shows that a daemon refused the
// call and nothing else about it.
func TestDaemonsThatRequireAToken(t *testing.T) {
	d := desk.New(t)
	d.Apply(t, whole.Sample(), "anna")
	sum := sha256.Sum256([]byte("secret"))
	d.AddDaemon(t, store.Host{Name: "entry-1", Role: "entry"}, admin.WithTokenHashes([]string{hex.EncodeToString(sum[:])}))
	ran := d.Run(t, state.NewStatus, "status")
	assert.Assert(t, strings.Contains(ran.Out, "answered status 401"), ran.Out)
}

// The history of a failed request can be shown from the logs of several processes
// alone, without a call to a daemon.
func TestRequestIsTracedThroughLogs(t *testing.T) {
	d := desk.New(t)
	const log = `time=2026-03-01T10:00:04.200Z level=info msg="request ended" process=gw-1 request=5f status=503 reason=noEndpoint
time=2026-03-01T10:00:04.000Z level=info msg="request sent" process=gw-1 request=5f endpoint=i-7
time=2026-03-01T10:00:04.100Z level=info msg="endpoint changed" process=gw-2 endpoint=i-7 what=gone
`
	ran := d.RunWith(t, log, state.NewRequest, "request", "trace", "5f")
	assert.Equal(t, ran.Code, exit.OK, ran.Err)
	lines := strings.Split(strings.TrimSpace(ran.Out), "\n")
	assert.Equal(t, len(lines), 3, ran.Out)
	assert.Assert(t, strings.HasPrefix(lines[0], "+0 ms") && strings.Contains(lines[0], "request sent"), ran.Out)
	assert.Assert(t, strings.HasPrefix(lines[1], "+100 ms") && strings.Contains(lines[1], "what=gone"), ran.Out)
	assert.Assert(t, strings.Contains(lines[2], "reason=noEndpoint"), ran.Out)
	var history record.History
	d.RunWith(t, log, state.NewRequest, "request", "trace", "5f", "--output=json").JSON(t, &history)
	assert.Equal(t, len(history.Lines), 3)
	assert.Equal(t, d.RunWith(t, log, state.NewRequest, "request", "trace", "other").Code, exit.NotFound)
	assert.Equal(t, d.RunWith(t, log, state.NewRequest, "request", "trace", "").Code, exit.Usage)
}

// The report shows from the logs of several processes which requests were not answered
// in time, and the cause.
func TestLossesAreReadFromLogs(t *testing.T) {
	d := desk.New(t)
	const log = `time=2026-03-01T10:00:04.200Z level=info msg="request ended" process=gw-1 request=5f route=r status=503 reason=overloaded pool=enc
time=2026-03-01T10:00:04.300Z level=info msg="request ended" process=gw-2 request=60 route=r status=200 reason= objectiveMs=1900 firstMs=1500 stagesMs=1400
`
	ran := d.RunWith(t, log, state.NewLosses, "losses")
	assert.Equal(t, ran.Code, exit.OK, ran.Err)
	assert.Assert(t, strings.Contains(ran.Out, "overloaded"), ran.Out)
	ran = d.RunWith(t, log, state.NewLosses, "losses", "--csv")
	assert.Equal(t, ran.Out, "route,outcome,cause,pool,attempts,lateMs\nr,refused,overloaded,enc,1,0\n")
	var report losses.Report
	d.RunWith(t, log, state.NewLosses, "losses", "--output=json").JSON(t, &report)
	assert.Equal(t, report.Routes[0].Attempts, 2)
	name := filepath.Join(t.TempDir(), "one.log")
	assert.NilError(t, os.WriteFile(name, []byte(log), 0o600))
	chart := filepath.Join(t.TempDir(), "losses.svg")
	assert.Equal(t, d.Run(t, state.NewLosses, "losses", "--chart="+chart, name, name).Code, exit.OK)
	drawn, err := os.ReadFile(chart)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(drawn), "<svg"))
}

func TestLossesThatCannotBeRead(t *testing.T) {
	d := desk.New(t)
	for _, tt := range []struct {
		name string
		args []string
		code exit.Code
		want string
	}{
		{"no end of a request", nil, exit.NotFound, "none of 1 lines"},
		{"no such file", []string{"missing.log"}, exit.Usage, "missing.log"},
		{"interval of length 0", []string{"--every=0"}, exit.Usage, "--every is 0"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ran := d.RunWith(t, "nothing here\n", state.NewLosses, append([]string{"losses"}, tt.args...)...)
			assert.Equal(t, ran.Code, tt.code)
			assert.Assert(t, strings.Contains(ran.Err, tt.want), ran.Err)
		})
	}
}
