package router_test

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/platform/stand"
)

const (
	sharedMemory = 20_000
	sharedSlots  = 16
)

// startShared returns a deployment with three model engines that share their hosts, which all
// gateways know.
func startShared(t *testing.T, gateways int) *bench {
	t.Helper()
	b := start(t, gateways)
	b.Config.Services[1].Memory, b.Config.Services[1].Slots = sharedMemory, sharedSlots
	b.addModels(0)
	for _, e := range b.Engines(models) {
		b.Remove(e)
	}
	for i := range 3 {
		_, err := b.Add(&stand.Engine{
			Service: models, Kind: stand.Model, Zone: []string{zoneA, zoneB}[i%2],
			WorkTime: 5 * time.Millisecond, EventInterval: 100 * time.Millisecond, Events: 8,
		})
		assert.NilError(t, err)
	}
	b.awaitKnown(models)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, g := range b.gateways {
			if g.Gate().Config.Table().Pool(models).Generation.Tokens != sharedMemory {
				return poll.Continue("the configuration is not in force")
			}
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
	engines := b.Engines(models)
	for _, e := range engines {
		e.SetMemory(sharedMemory, true)
	}
	b.load(2*time.Second, []time.Duration{200 * time.Millisecond}, ownSummary) // too few to fill an engine
	for _, g := range b.gateways {
		b.sendUntil(g, ownSummary, func(stand.Outcome) bool { return g.Gate().Limits().Shared() == int64(len(engines)) })
	}
	return b
}

// sizedSummary is a summary of which one in ten needs four times as much memory as the others.
func sizedSummary() *stand.Request {
	request := ownSummary()
	request.PromptTokens, request.OutputTokens = 900, 100
	if rand.IntN(10) == 0 {
		request.PromptTokens, request.OutputTokens = 3600, 400
	}
	return request
}

// Guards against gateways that together send an engine more than it has memory and places for,
// and against refused requests that wait or have run.
func TestEnginesHoldNoMoreThanTheirMemoryAtTwiceTheDemand(t *testing.T) {
	b := startShared(t, 4)
	// About 15 requests fit into each of three engines. They take 0.8 s, so that 56 a second
	// can be served; 114 a second arrive.
	outcomes := b.load(6*time.Second, []time.Duration{35 * time.Millisecond}, sizedSummary)
	refused := 0
	for _, outcome := range outcomes {
		switch outcome.Status {
		case http.StatusOK:
		case http.StatusServiceUnavailable:
			refused++
			assert.Check(t, outcome.RetryAfter > 0, "%+v", outcome)
		default:
			t.Errorf("%+v", outcome)
		}
	}
	t.Logf("%d of %d requests refused", refused, len(outcomes))
	assert.Assert(t, refused > 0 && refused < len(outcomes), "the demand must exceed what the engines hold")
	for _, e := range b.Engines(models) {
		tokens, places := e.MostHeld()
		t.Logf("%s: at most %d tokens and %d requests", e.ID, tokens, places)
		assert.Check(t, tokens <= sharedMemory && places <= sharedSlots, "%s: %d, %d", e.ID, tokens, places)
		assert.Check(t, tokens > sharedMemory*7/10 || places > sharedSlots*7/10)
	}
}

// Guards against engines that crash because all gateways were killed, so that none of them knows
// that new engines share their hosts.
func TestGatewaysKnowSharedPoolsAfterAllWereKilled(t *testing.T) {
	b := startShared(t, 3)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, name := range b.Store.Names("members") {
			if object, _ := b.Store.Get("members", name); !strings.Contains(string(object.Spec), models) {
				return poll.Continue("%s: %s", name, object.Spec)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
	b.killAndStart()
	for _, g := range b.gateways {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if b.isReady(g) {
				return poll.Success()
			}
			return poll.Continue("not ready")
		}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
		assert.DeepEqual(t, g.Gate().Limits().SharedPools(), []string{models})
	}
}

// Guards against member entries that grow with every pool that ever shared its hosts.
func TestMemberEntriesStateConfiguredPoolsOnly(t *testing.T) {
	b := start(t, 1)
	g := b.gateways[0]
	var entry map[string]json.RawMessage
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		object, found := b.Store.Get("members", "gateway-1")
		if !found {
			return poll.Continue("not listed")
		}
		if err := json.Unmarshal(object.Spec, &entry); err != nil {
			return poll.Error(err)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
	entry["name"], entry["sharedPools"] = json.RawMessage(`"gateway-9"`), json.RawMessage(`["gone","`+models+`"]`)
	b.Store.Put("members", "gateway-9", entry)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if object, _ := b.Store.Get("members", "gateway-1"); strings.Contains(string(object.Spec), models) {
			assert.Assert(t, !strings.Contains(string(object.Spec), "gone"), "%s", object.Spec)
			return poll.Success()
		}
		return poll.Continue("%v", g.Gate().Limits().SharedPools())
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}
