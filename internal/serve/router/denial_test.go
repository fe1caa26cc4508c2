package router_test

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/platform/stand"
)

// Guards against a request that is decided by the table before a change and denied with the proof
// of the table after it.
func TestRequestDuringTheDecodingOfAVersionIsNotDenied(t *testing.T) {
	t.Parallel()
	b := start(t, 1)
	g := b.gateways[0]
	b.Store.SetFault(stand.StoreFault{Hang: true})
	prefix := b.addRoutes(1, 7)
	b.Publish()
	time.Sleep(2500 * time.Millisecond)
	b.decodeTime.Store(int64(700 * time.Millisecond))
	b.Store.SetFault(stand.StoreFault{})
	var group sync.WaitGroup
	var denied, served atomic.Int64
	for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		group.Go(func() {
			switch got := b.send(g, publicLookup(prefix+"x")); {
			case got.Status == http.StatusNotFound:
				denied.Add(1)
			case got.Complete:
				served.Add(1)
			}
		})
	}
	group.Wait()
	assert.Check(t, denied.Load() == 0, "%d requests denied although the store had acknowledged their route 2.5 s before", denied.Load())
	assert.Check(t, served.Load() > 0)
}

// Guards against requests that are denied for good because one element of every later version can't
// be read.
func TestVersionThatCanNotBeReadDeniesNoRequest(t *testing.T) {
	for name, change := range map[string]func(document map[string]any){
		"whole document": func(document map[string]any) { document["routes"] = "none" },
		"version":        func(document map[string]any) { document["version"] = "next" },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := start(t, 2)
			prefix := b.addRoutes(1, 7)
			b.Config.Version++
			b.writeChangedConfig(change)
			time.Sleep(2500 * time.Millisecond)
			for _, g := range b.gateways {
				got := b.send(g, publicLookup(prefix+"x"))
				assert.Check(t, got.Status == http.StatusServiceUnavailable && got.RetryAfter > 0, "%d, return after %v", got.Status, got.RetryAfter)
				assert.Check(t, b.send(g, lookup()).Complete, "a request that the configuration in force allows")
			}
			b.Publish()
			for _, g := range b.gateways {
				b.sendUntil(g, func() *stand.Request { return publicLookup(prefix + "x") }, func(got stand.Outcome) bool { return got.Complete })
				b.sendUntil(g, func() *stand.Request { return publicLookup("/unknown/x") }, func(got stand.Outcome) bool { return got.Status == http.StatusNotFound })
			}
		})
	}
}

// Guards against a whole version that is not in force because of one element of it.
func TestOddElementsOfAVersionKeepOutNothingElse(t *testing.T) {
	for name, change := range map[string]func(document map[string]any){
		"fractions of whole numbers": func(document map[string]any) {
			each(document, "routes", func(route map[string]any) {
				route["attempts"], route["priority"] = json.Number("2.0"), json.Number("1e0")
			})
			each(document, "services", func(service map[string]any) { service["maxConns"] = json.Number("64.0") })
		},
		"a route of another type": func(document map[string]any) { document["routes"] = append(document["routes"].([]any), 7, "odd", nil) },
		"a service of another type": func(document map[string]any) {
			document["services"] = append(document["services"].([]any), []any{}, true)
		},
		"a tenant of another type": func(document map[string]any) { document["tenants"] = append(document["tenants"].([]any), "odd", 7) },
		"limits of another type":   func(document map[string]any) { document["limits"] = "none" },
		"a field of another type": func(document map[string]any) {
			each(document, "routes", func(route map[string]any) { route["resumable"] = "soon" })
		},
		"a number out of range": func(document map[string]any) {
			each(document, "routes", func(route map[string]any) { route["priority"] = json.Number("1e999") })
		},
		"fields that nobody knows":   func(document map[string]any) { document["later"] = map[string]any{"version": "x"} },
		"null instead of an element": func(document map[string]any) { document["tenants"] = append(document["tenants"].([]any), nil) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := start(t, 1)
			prefix := b.addRoutes(1, 7)
			b.Config.Version++
			b.writeChangedConfig(change)
			g := b.gateways[0]
			b.sendUntil(g, func() *stand.Request { return publicLookup(prefix + "x") }, func(got stand.Outcome) bool { return got.Complete })
			assert.Check(t, b.send(g, lookup()).Complete)
		})
	}
}

// Guards against a request that is denied because the store has lost the version that added its route, at a
// gateway that was cut off when that was acknowledged, while others know it.
func TestVersionThatTheStoreHasLostDeniesNoRequestAtAGatewayThatMissedIt(t *testing.T) {
	h := newHeld()
	b := startBench(t, 3, testConfig(), &bench{heldFunc: func(index int) *held {
		if index == 0 {
			return h
		}
		return nil
	}})
	t.Cleanup(h.release)
	before := b.Store.Copy()
	h.set(func(h *held) { h.peersIn, h.peersOut, h.store = true, true, true })
	prefix := b.addRoutes(1, 7)
	b.Publish()
	for _, g := range b.gateways[1:] {
		b.sendUntil(g, func() *stand.Request { return publicLookup(prefix + "x") }, func(got stand.Outcome) bool { return got.Complete })
	}
	time.Sleep(2 * time.Second)
	b.Store.Restore(before)
	h.release()
	var last stand.Outcome
	for end := time.Now().Add(3500 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		last = b.send(b.gateways[0], publicLookup(prefix+"x"))
		assert.Check(t, last.Status != http.StatusNotFound, "%d", last.Status)
	}
	assert.Check(t, last.Complete, "%+v", last)
	b.WriteAgain()
	for _, g := range b.gateways {
		b.sendUntil(g, func() *stand.Request { return publicLookup(prefix + "x") }, func(got stand.Outcome) bool { return got.Complete })
		b.sendUntil(g, func() *stand.Request { return publicLookup("/unknown/x") }, func(got stand.Outcome) bool { return got.Status == http.StatusNotFound })
	}
}

// writeChangedConfig writes the configuration with a change of its document.
func (b *bench) writeChangedConfig(change func(document map[string]any)) {
	document := b.Config.Document()
	change(document)
	raw, err := json.Marshal(document)
	assert.NilError(b.t, err)
	b.Store.PutRaw("config", "main", raw)
}

// each changes all elements of a list of a document.
func each(document map[string]any, list string, change func(element map[string]any)) {
	for _, element := range document[list].([]any) {
		if object, ok := element.(map[string]any); ok {
			change(object)
		}
	}
}
