package agent_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// After the crash of an entry, operators look up the state of its requests at the
// agent: running, kept or ended.
func TestLookupReturnsStateOfAttempt(t *testing.T) {
	release := make(chan struct{})
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/run" {
			<-release
		}
		_, _ = io.WriteString(w, `{"output":1,"startId":"s","limit":8}`)
	}))
	t.Cleanup(endpoint.Close)
	a, address := startAgent(t, manif.KindEncode, endpoint.URL)
	entry := dial(t, address).awaitReady()
	id := entry.send(wire.Call{Idempotent: true})
	waitForState := func(want string) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			found := a.Lookup(id.Request)
			if found != nil && len(found.Attempts) == 1 && found.Attempts[0].State == want {
				return poll.Success()
			}
			return poll.Continue("%+v", found)
		}, poll.WithTimeout(testTimeout), poll.WithDelay(time.Millisecond))
	}
	waitForState("running")
	close(release)
	entry.receive(id, wire.KindEnd)
	waitForState("kept")
	assert.NilError(t, entry.s.Send(&wire.Frame{Kind: wire.KindAck, Ack: &wire.Ack{ID: id}}))
	waitForState("ended")
	assert.Assert(t, a.Lookup("another") == nil)
}
