package state_test

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/cli/desk"
	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/cli/state"
	"github.com/jujubescale/jujubescale/internal/ops/admin"
	"github.com/jujubescale/jujubescale/internal/ops/record"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

func TestStatus(t *testing.T) {
	d := desk.New(t)
	d.Apply(t, whole.Sample(), "anna")
	d.Add(t, store.Host{Name: "entry-1", Role: "entry", AvailabilityZone: "za"}).Set(func(s *admin.Status) { s.Release = 1 })
	d.Add(t, store.Host{Name: "entry-2", Role: "entry", AvailabilityZone: "zb"}).Set(func(s *admin.Status) {
		s.Ready, s.NotReady = false, "leaving"
	})
	d.Add(t, store.Host{Name: "entry-3", Role: "entry", AvailabilityZone: "zc"}).Close()
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

// A caller reports the id of a request that failed. Only one entry saw it.
func TestRequestIsFoundWhereverItWas(t *testing.T) {
	d := desk.New(t)
	d.Add(t, store.Host{Name: "entry-1", Role: "entry"})
	d.Add(t, store.Host{Name: "entry-2", Role: "entry"}).Remember(&admin.Request{
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

// An operator without the token learns nothing of a daemon.
func TestDaemonsThatWantAToken(t *testing.T) {
	d := desk.New(t)
	d.Apply(t, whole.Sample(), "anna")
	sum := sha256.Sum256([]byte("secret"))
	d.Add(t, store.Host{Name: "entry-1", Role: "entry"}, admin.WithTokenHashes([]string{hex.EncodeToString(sum[:])}))
	ran := d.Run(t, state.NewStatus, "status")
	assert.Assert(t, strings.Contains(ran.Out, "answered status 401"), ran.Out)
}

// A caller reports a failed request, and all that is left are the logs of
// several processes. The command shows its way through them without asking any
// daemon.
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
