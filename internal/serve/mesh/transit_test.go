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
	here := clock.New()
	began := here.Now()
	p := newConfirmingPeer(t)
	age := p.confirm(t, 0)
	assert.Assert(t, age >= 100 && age <= 100+here.Since(began)+1, "%d ms", age)
	p.lag.Store(waited)
	age = p.confirm(t, 0)
	assert.Assert(t, age >= 100+waited, "%d ms", age)
}

// Guards against a copy that seems fresh because a peer's ages count from the sending of its message, although it has
// packed objects or stood still since it took them.
func TestAgesCountFromTheInstantAtWhichTheyWereTaken(t *testing.T) {
	const before = 700
	p := newConfirmingPeer(t)
	p.confirm(t, 0)
	age := p.confirm(t, before)
	assert.Assert(t, age >= 100+before, "%d ms", age)
}

// confirmingPeer is the upstream of a process. It confirms a state that is 100 ms old.
type confirmingPeer struct {
	local, clock *clock.Clock
	session      *sess.Session
	ages         chan clock.Millis
	// lag is how long its frames are on their way.
	lag atomic.Int64
}

func newConfirmingPeer(t *testing.T) *confirmingPeer {
	t.Helper()
	p := &confirmingPeer{local: clock.New(), ages: make(chan clock.Millis, 10)}
	p.clock = clock.New(clock.WithNow(func() clock.Millis { return p.local.Now() + 5000 - clock.Millis(p.lag.Load()) }))
	receiver := mesh.New(t.Context(), mesh.Member{Name: "receiver", Incarnation: token.NewIncarnation()}, mesh.WithFollower(mesh.Follower{
		ProgressFunc: func() []wire.Progress { return nil },
		ConfirmFunc: func(progress []wire.Progress, _ clock.Millis) []string {
			p.ages <- progress[0].Age
			return nil
		},
	}))
	receiver.SetUpstream("upstream")
	server := httptest.NewServer(receiver.Handler())
	var err error
	p.session, err = sess.Dial(t.Context(), strings.TrimPrefix(server.URL, "http://"), sess.WithClock(p.clock),
		sess.WithHello(func() wire.Hello {
			return wire.Hello{Process: "upstream", Incarnation: token.NewIncarnation(), Relays: true}
		}))
	assert.NilError(t, err)
	t.Cleanup(func() {
		p.session.Close(nil)
		receiver.Stop()
		server.Close()
	})
	return p
}

// confirm sends a confirmation whose ages were taken some time before, and returns the age that the receiver sees.
func (p *confirmingPeer) confirm(t *testing.T, before clock.Millis) clock.Millis {
	t.Helper()
	report := &wire.Sums{Whole: true, Regular: true, Progress: []wire.Progress{{Kind: "config", Age: 100}}, AsOf: p.clock.Now() - before}
	assert.NilError(t, p.session.Send(&wire.Frame{Kind: wire.KindReport, Sums: report}))
	return <-p.ages
}
