package router_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/platform/stand"
)

// awaitReady waits until all gateways are ready.
func (b *bench) awaitReady() {
	b.t.Helper()
	for _, g := range b.gateways {
		poll.WaitOn(b.t, func(poll.LogT) poll.Result {
			if b.isReady(g) {
				return poll.Success()
			}
			return poll.Continue("not ready")
		}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
	}
}

// Guards against a stream that goes on at the version of another stream of the same request, which
// is all that is known of it because all gateways were killed.
func TestStreamIsNotJoinedWithOneBegunAnewAfterAllGatewaysWereKilled(t *testing.T) {
	for name, leaves := range map[string]bool{"the first version has left": true, "both versions serve": false} {
		t.Run(name, func(t *testing.T) {
			b := startVersions(t, 5, steadyEngine)
			versions := make(map[string]string)
			for _, e := range b.Engines(models) {
				versions[e.ID] = e.Version
			}
			broken := b.begunStreams(40, 5, longGuide, func() { b.killAndStart() })
			assert.Assert(t, len(broken) > 20, "%d of 40 streams were broken off", len(broken))
			b.awaitReady()
			for _, e := range b.Engines(models) {
				if leaves && e.Version == "v1" {
					b.Remove(e)
				}
			}
			time.Sleep(500 * time.Millisecond) // the gateways have read the entries by then
			anew, began := make([]*stand.Request, len(broken)), make([]string, len(broken))
			for i, s := range broken {
				began[i] = versions[b.Ledger.Runs(s.Resumes)[0]]
				next := *s
				next.ID, next.Resumes, next.LastEvent = stand.NewID(), "", 0
				anew[i] = &next
				s.Resumes = ""
			}
			b.sendAll(anew, b.gateways)
			joined := 0
			for i, got := range b.sendAll(broken, b.gateways) {
				if got.LastEvent > broken[i].LastEvent && versions[b.Ledger.Runs(broken[i].ID)[0]] != began[i] {
					joined++
				}
			}
			assert.Equal(t, joined, 0, "of %d streams", len(broken))
		})
	}
}
