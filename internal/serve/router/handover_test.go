package router_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// handoverCount returns the number of handovers with an outcome.
func (g *gateway) handoverCount(t *testing.T, outcome string) int {
	t.Helper()
	families, err := g.registry.Gather()
	assert.NilError(t, err)
	for _, family := range families {
		if family.GetName() != "jujubescale_handovers_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			if metric.GetLabel()[0].GetValue() == outcome {
				return int(metric.GetCounter().GetValue())
			}
		}
	}
	return 0
}

func (g *gateway) awaitHandovers(t *testing.T, outcome string, count int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := g.handoverCount(t, outcome); got != count {
			return poll.Continue("%d %s", got, outcome)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
}

// Guards against a planned stop after which the successor knows neither the engines that
// still work for the previous owner nor its retry budget.
func TestPlannedStopHandsPoolsOver(t *testing.T) {
	b := start(t, 2)
	for _, g := range b.gateways {
		assert.Assert(t, b.send(g, draft()).Complete)
	}
	draining, successor := b.gateways[0], b.gateways[1]
	if draining.Owner(encode) == "gateway-2" {
		draining, successor = successor, draining
	}
	owned := 1
	if draining.Owner(retrieval) == draining.Owner(encode) {
		owned = 2
	}
	draining.StartDrain(0)
	successor.awaitHandovers(t, "used", owned)
	// Beside load, a receipt may arrive after the time for it.
	assert.Equal(t, draining.handoverCount(t, "sent")+draining.handoverCount(t, "unconfirmed"), owned)
	assert.Assert(t, b.send(draining, draft()).Complete)
	successor.StartDrain(0)
	assert.Equal(t, successor.handoverCount(t, "sent"), 0, "no process is left that owns pools")
	assert.Assert(t, b.send(successor, draft()).Complete, "the last process serves until it ends")
}

// Guards against handovers that are used twice, for an earlier run of the receiver, or by a
// process that doesn't own the pool. Their calls and budget would count for nothing or twice.
func TestHandoversThatDoNotApplyAreCounted(t *testing.T) {
	b := start(t, 1)
	g := b.gateways[0]
	incarnation, err := strconv.ParseUint(g.Incarnation(), 16, 64)
	assert.NilError(t, err)
	s, err := sess.Dial(t.Context(), g.Address, sess.WithHello(func() wire.Hello {
		return wire.Hello{Process: "gone", Incarnation: 5, Role: "gateway", Relays: true, Handovers: true}
	}))
	assert.NilError(t, err)
	defer s.Close(nil)
	run := token.Incarnation(incarnation)
	for _, test := range []struct {
		outcome  string
		handover *wire.Handover
	}{
		{outcome: "used", handover: &wire.Handover{To: run, Pool: encode, Extras: 1500}},
		{outcome: "repeated", handover: &wire.Handover{To: run, Pool: encode, Extras: 1500}},
		{outcome: "otherRun", handover: &wire.Handover{To: run + 1, Pool: retrieval}},
		{outcome: "notSuccessor", handover: &wire.Handover{To: run, Pool: "unknown"}},
		{outcome: "invalid", handover: &wire.Handover{To: run, Pool: retrieval, Extras: -1}},
	} {
		assert.NilError(t, s.Send(&wire.Frame{Kind: wire.KindHandover, Handover: test.handover}))
		g.awaitHandovers(t, test.outcome, 1)
	}
	assert.Assert(t, b.send(g, draft()).Complete)
}
