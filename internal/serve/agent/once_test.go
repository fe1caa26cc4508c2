package agent_test

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/serve/agent"
	"github.com/jujubescale/jujubescale/internal/share/spread"
	"github.com/jujubescale/jujubescale/internal/stand/plain"
)

func newBooking(key string) wire.Call {
	return wire.Call{Method: http.MethodPost, Path: "/bookings", Key: key, Body: []byte(`{"echo":"` + key + `"}`)}
}

// The connection to the service is closed before, during and after a booking. The
// test guards against the answer "not run" for a booking that ran, and against a
// second run.
func TestBookingRunsAtMostOnce(t *testing.T) {
	cases := []struct {
		name    string
		closeAt plain.CloseAt
		ran     fault.Ran
		runs    int
	}{
		{"closes before", plain.CloseBefore, fault.MayHaveRun, 0},
		{"closes during", plain.CloseDuring, fault.MayHaveRun, 1},
		{"closes after", plain.CloseAfter, fault.MayHaveRun, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			service := plain.New()
			_, address := startAgent(t, manif.KindPlain, startServer(t, service.Handler()))
			p := dial(t, address).awaitReady()
			service.SetClose(tc.closeAt)
			refuse := p.refusal(p.send(newBooking("k")))
			assert.Equal(t, refuse.Reason, fault.EndpointFailed)
			assert.Equal(t, refuse.Ran, tc.ran)
			assert.Equal(t, service.Runs("k"), tc.runs)
			service.SetClose(plain.CloseNever)
			assert.Equal(t, p.refusal(p.send(newBooking("k"))).Reason, fault.KeyDone)
			assert.Equal(t, service.Runs("k"), tc.runs)
		})
	}
}

// A call frame arrives twice, or long after the agent has answered for its attempt.
// The test guards against running a booking that was reported as not run: it may
// have been retried elsewhere and would run twice.
func TestLateAndDuplicateFrames(t *testing.T) {
	setUp := func(t *testing.T) (*plain.Plain, *spread.Holder, *testEntry) {
		service, holder := plain.New(), newHolder(manif.KindPlain, 2, 8)
		_, address := startAgent(t, manif.KindPlain, startServer(t, service.Handler()), agent.WithHolder(holder))
		return service, holder, dial(t, address).awaitReady()
	}
	t.Run("duplicate after its end", func(t *testing.T) {
		service, _, p := setUp(t)
		c := newBooking("k")
		c.ID = p.send(c)
		end, refuse := p.result(c.ID)
		assert.Assert(t, end != nil, "%+v", refuse)
		assert.NilError(t, p.s.Send(&wire.Frame{Kind: wire.KindAck, Ack: &wire.Ack{ID: c.ID}}))
		p.send(c)
		assert.Equal(t, p.ask(c.ID, p.s.Peer().Incarnation, 0), wire.StateUnknown)
		assert.Equal(t, service.Runs("k"), 1)
	})
	t.Run("late after its refusal", func(t *testing.T) {
		service, holder, p := setUp(t)
		setZone(holder, spread.ZoneEvacuated)
		c := newBooking("k")
		c.ID = p.send(c)
		refuse := p.refusal(c.ID)
		assert.Equal(t, refuse.Reason, fault.ZoneEvacuated)
		assert.Equal(t, refuse.Ran, fault.NotRun)
		setZone(holder, spread.ZoneIn)
		p.send(c)
		assert.Equal(t, p.refusal(c.ID).Reason, fault.DuplicateFrame)
		assert.Equal(t, service.Runs("k"), 0)
		end, _ := p.result(p.send(newBooking("k"))) // the key itself is free
		assert.Assert(t, end != nil)
	})
	t.Run("late after an ask on another session", func(t *testing.T) {
		service, _, old := setUp(t)
		fresh := dial(t, old.address)
		c := newBooking("k")
		c.ID.Request = "late"
		assert.Equal(t, fresh.ask(c.ID, old.s.Peer().Incarnation, 0), wire.StateRefused)
		assert.Equal(t, fresh.refusal(c.ID).Ran, fault.NotRun)
		old.send(c)
		assert.Equal(t, old.refusal(c.ID).Ran, fault.NotRun)
		assert.Equal(t, service.Runs("k"), 0)
	})
	t.Run("ask of an entry without an earlier session", func(t *testing.T) {
		_, _, p := setUp(t) // the agent has no record of an earlier session of this entry
		c := newBooking("k")
		c.ID.Request = "forgotten"
		assert.Equal(t, p.ask(c.ID, p.s.Peer().Incarnation, 0), wire.StateUnknown)
	})
	t.Run("late after a cancellation", func(t *testing.T) {
		service, _, p := setUp(t)
		c := newBooking("k")
		c.ID.Request = "late"
		assert.NilError(t, p.s.Send(&wire.Frame{Kind: wire.KindCancel, Cancel: &wire.Cancel{ID: c.ID}}))
		p.send(c)
		assert.Equal(t, p.refusal(c.ID).Ran, fault.NotRun)
		assert.Equal(t, service.Runs("k"), 0)
	})
}

// The agent was replaced after the call was sent. The test guards against the
// answer "not run" from the new agent, because the old one may have run the call.
func TestOutcomeIsUnknownToAnotherIncarnation(t *testing.T) {
	service := plain.New()
	_, address := startAgent(t, manif.KindPlain, startServer(t, service.Handler()))
	p := dial(t, address).awaitReady()
	other := p.s.Peer().Incarnation + 1
	id := newBooking("k").ID
	id.Request = "old"
	assert.Equal(t, p.ask(id, other, 0), wire.StateUnknown)
	c := newBooking("k")
	c.Target = other
	refuse := p.refusal(p.send(c))
	assert.Equal(t, refuse.Reason, fault.WrongEndpoint)
	assert.Equal(t, refuse.Ran, fault.MayHaveRun)
	c.Target = 0
	c.Endpoint = "another"
	refuse = p.refusal(p.send(c))
	assert.Equal(t, refuse.Reason, fault.WrongEndpoint)
	assert.Equal(t, refuse.Ran, fault.NotRun)
	assert.Equal(t, service.Runs("k"), 0)
}

// Two entries send calls with the same key at once. The second call must not run, and
// must not be refused as not run, because the first one may have run.
func TestKeyInUse(t *testing.T) {
	service := plain.New(plain.WithWork(time.Minute))
	_, address := startAgent(t, manif.KindPlain, startServer(t, service.Handler()))
	one, two := dial(t, address).awaitReady(), dial(t, address)
	first := newBooking("k")
	first.ID.Request = "first"
	one.send(first)
	waitFor(t, "first call runs", func() bool { return service.Runs("k") == 1 })
	refuse := two.refusal(two.send(newBooking("k")))
	assert.Equal(t, refuse.Reason, fault.KeyInUse)
	assert.Equal(t, refuse.Ran, fault.MayHaveRun)
	assert.Equal(t, service.Runs("k"), 1)
}

// A call must be refused as not run if no connection to the service can be opened.
func TestNoConnectionIsNotRun(t *testing.T) {
	service := plain.New()
	server := startServer(t, service.Handler())
	_, address := startAgent(t, manif.KindPlain, "http://127.0.0.1:1")
	_ = server
	p := dial(t, address)
	refuse := p.refusal(p.send(newBooking("k")))
	assert.Equal(t, refuse.Ran, fault.NotRun)
}

// The agent is slow while a session opens, and right afterwards the entry sends an
// Ask for a call on a second session. The test guards against the answer "unknown",
// which would fail the caller's booking: the entry was connected a moment ago, so
// the agent can answer "not run".
func TestAskRightAfterTheSessionOpened(t *testing.T) {
	service := plain.New()
	_, address := startAgent(t, manif.KindPlain, startServer(t, service.Handler()), agent.WithLog(slowLog()))
	c := newBooking("k")
	c.ID.Request = "late"
	old := dial(t, address).awaitReady()
	fresh := dial(t, address)
	assert.Equal(t, fresh.ask(c.ID, old.s.Peer().Incarnation, 0), wire.StateRefused)
	assert.Equal(t, fresh.refusal(c.ID).Ran, fault.NotRun)
}

// slowLog returns a logger that blocks for 300 ms on the line "session open".
func slowLog() *log.Logger {
	l := log.New(&slowWriter{})
	l.SetLevel(log.DebugLevel)
	return l
}

type slowWriter struct{}

func (*slowWriter) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("session open")) {
		time.Sleep(300 * time.Millisecond)
	}
	return len(line), nil
}
