package router_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/platform/stand"
)

// Guards against a stream without length or chunks that ends as complete although its engine, which
// had said that it leaves, ended in the middle.
func TestStreamCutByALeavingEngineIsNotComplete(t *testing.T) {
	b := start(t, 1)
	for _, e := range b.Engines(models) {
		b.Remove(e)
	}
	e := &stand.Engine{Service: models, Kind: stand.Model, Zone: zoneA, WorkTime: 5 * time.Millisecond, EventInterval: 50 * time.Millisecond, Events: 40}
	_, err := b.Add(e)
	assert.NilError(t, err)
	e.SetUnframed(true)
	g := b.gateways[0]
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if g.KnownEndpoints(models) == 1 {
			return poll.Success()
		}
		return poll.Continue("%d engines known", g.KnownEndpoints(models))
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
	got := make(chan stand.Outcome)
	go func() {
		s := summary()
		s.Events = 40
		got <- b.send(g, s)
	}()
	time.Sleep(500 * time.Millisecond)
	b.Register(e, false, 0)
	time.Sleep(500 * time.Millisecond) // the gateway knows that it leaves
	e.Stop()
	outcome := <-got
	assert.Assert(t, outcome.LastEvent > 0 && outcome.LastEvent < 40, "%+v", outcome)
	assert.Assert(t, !outcome.Complete, "%+v", outcome)
}
