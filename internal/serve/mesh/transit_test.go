package mesh_test

import (
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/serve/mesh"
)

// Guards against a copy that seems fresh because the confirmation of a peer counts from its
// arrival, although it waited on the way.
func TestConfirmationThatWaitedIsNoYoungerThanItsWait(t *testing.T) {
	const waited = 900
	ages := make(chan clock.Millis, 10)
	receiver := mesh.New(t.Context(), mesh.Member{Name: "receiver", Incarnation: token.NewIncarnation()}, mesh.WithFollower(mesh.Follower{
		ProgressFunc: func() []wire.Progress { return nil },
		ConfirmFunc: func(progress []wire.Progress, _ clock.Millis) []string {
			ages <- progress[0].Age
			return nil
		},
	}))
	receiver.SetUpstream("upstream")
	server := httptest.NewServer(receiver.Handler())
	defer server.Close()
	defer receiver.Stop()

	var lag atomic.Int64
	local := clock.New()
	lagging := clock.New(clock.WithNow(func() clock.Millis { return local.Now() + 5000 - clock.Millis(lag.Load()) }))
	upstream, err := sess.Dial(t.Context(), strings.TrimPrefix(server.URL, "http://"), sess.WithClock(lagging),
		sess.WithHello(func() wire.Hello {
			return wire.Hello{Process: "upstream", Incarnation: token.NewIncarnation(), Relays: true}
		}))
	assert.NilError(t, err)
	defer upstream.Close(nil)
	confirm := func() clock.Millis {
		report := &wire.Sums{Whole: true, Regular: true, Progress: []wire.Progress{{Kind: "config", Age: 100}}}
		assert.NilError(t, upstream.Send(&wire.Frame{Kind: wire.KindReport, Sums: report}))
		return <-ages
	}
	began := local.Now()
	assert.Equal(t, confirm(), clock.Millis(100))
	// Until the receiver has sent ages itself, the bound counts from the fastest frame.
	fastest := local.Since(began) + 1
	lag.Store(waited)
	age := confirm()
	assert.Assert(t, age >= 100+waited-fastest, "%d ms, fastest frame %d ms", age, fastest)
}
