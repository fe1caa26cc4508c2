package e2e_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/flow/hedge"
	"github.com/jujubescale/jujubescale/internal/serve/entry"
	"github.com/jujubescale/jujubescale/internal/serve/trace"
	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

// counterSum returns the sum of a counter over all series with these labels.
func counterSum(t *testing.T, registry *prometheus.Registry, name string, labels map[string]string) float64 {
	t.Helper()
	families, err := registry.Gather()
	assert.NilError(t, err)
	total := 0.0
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			matches := 0
			for _, pair := range metric.GetLabel() {
				if want, named := labels[pair.GetName()]; named && want == pair.GetValue() {
					matches++
				}
			}
			if matches == len(labels) {
				total += metric.GetCounter().GetValue()
			}
		}
	}
	return total
}

// openStream starts a streamed request and reads the first token event. It
// returns a scanner of the lines that follow.
func openStream(ctx context.Context, t *testing.T, system *whole.Whole, tokens int) *bufio.Scanner {
	t.Helper()
	body := strings.NewReader(fmt.Sprintf(`{"input":{"echo":"long-sheet","tokens":%d},"stream":true}`, tokens))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, system.URL()+"/v1/services/setup-sheets", body)
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+whole.SampleToken)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	lines := bufio.NewScanner(response.Body)
	assert.Assert(t, lines.Scan())
	assert.Equal(t, lines.Text(), "event: token")
	return lines
}

// readStream reads the stream to its end. It returns the concatenated text of
// the remaining tokens and the complete output of the end event.
func readStream(t *testing.T, lines *bufio.Scanner) (text, output string) {
	t.Helper()
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		var event struct{ Text, Output string }
		assert.NilError(t, json.Unmarshal([]byte(data), &event))
		text += event.Text
		output += event.Output
	}
	return text, output
}

// endlessTokens is more than an engine generates in an hour.
const endlessTokens = 1_000_000

func slowEngines() whole.Option {
	return whole.WithShapes(whole.Shape{Pool: "engines", Endpoints: 3, TokenMs: 20, Tokens: 4})
}

// Guards against lost or repeated tokens when every open connection silently
// stops delivering data in the middle of a stream, as after a network device
// lost its connection table. New connections work. The stream must continue
// where it stopped.
func TestStreamResumesAfterSilentConnectionLoss(t *testing.T) {
	registry := prometheus.NewRegistry()
	system := startSystem(t, slowEngines(), whole.WithEntryOptions(entry.WithRegisterer(registry)))
	lines := openStream(t.Context(), t, system, 60)
	for _, zone := range []string{"za", "zb", "zc"} {
		system.Net.SilenceZone(zone)
	}
	text, output := readStream(t, lines)
	assert.Assert(t, strings.Contains(output, "long-sheet"), output)
	assert.Equal(t, text, output)
	lost := counterSum(t, registry, "jujubescale_entry_sessions_lost_total", map[string]string{"cause": "silent"})
	assert.Assert(t, lost > 0)
	assert.Assert(t, counterSum(t, registry, "jujubescale_entry_resumed_total", nil) > 0)
}

// eventually waits until done returns true. The message describes the state in
// which it returns false.
func eventually(t *testing.T, message string, done func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("%s", message)
	}, poll.WithDelay(2*time.Millisecond), poll.WithTimeout(time.Minute))
}

// Guards against an engine that continues to generate after the caller closed
// its connection in the middle of a stream. The engine must stop, because the
// answer can no longer be delivered.
func TestEngineStopsWhenCallerDisconnects(t *testing.T) {
	system := startSystem(t, slowEngines())
	ctx, cancel := context.WithCancel(t.Context())
	openStream(ctx, t, system, endlessTokens)
	running := func() int {
		total := 0
		for _, place := range system.Places {
			if place.Engine != nil {
				total += place.Slots().State().Running
			}
		}
		return total
	}
	assert.Equal(t, running(), 1)
	cancel()
	eventually(t, "the engine still runs the request", func() bool { return running() == 0 })
	eventually(t, "the request is still open", func() bool { return system.Fronts[0].Entry.Open() == 0 })
}

// Guards against an engine that continues after the deadline of the request.
// The caller must get a timeout error at the deadline.
func TestDeadlineStopsEngine(t *testing.T) {
	system := startSystem(t, slowEngines())
	header := http.Header{"X-Deadline-Ms": []string{"300"}}
	got := call(t, http.MethodPost, system.URL()+"/v1/services/setup-sheets", header,
		fmt.Sprintf(`{"input":{"tokens":%d}}`, endlessTokens))
	assert.Equal(t, got.status, http.StatusGatewayTimeout, got.body)
	for _, place := range system.Places {
		if place.Engine != nil {
			eventually(t, "the engine still runs the request", func() bool { return place.Slots().State().Running == 0 })
		}
	}
}

// Guards against a request that operators can't find by the id that its caller
// received.
func TestRequestCanBeLookedUp(t *testing.T) {
	system := startSystem(t)
	got := call(t, http.MethodPost, system.URL()+"/v1/services/setup-sheets", http.Header{}, `{"input":"x"}`)
	var answer struct{ RequestID string }
	assert.NilError(t, json.Unmarshal([]byte(got.body), &answer))
	request, found := system.Fronts[0].Entry.Request(answer.RequestID)
	assert.Assert(t, found)
	assert.Equal(t, request.State, trace.Answered)
	assert.Equal(t, len(request.Attempts), 4)
	assert.Equal(t, request.Attempts[3].Pool, "engines")
}

// Guards against requests that wait for one slow endpoint. One of three
// retrievers becomes a hundred times slower; without hedges or retries, a third
// of the requests, or all requests of its zone, would wait for it.
func TestRequestsAvoidStraggler(t *testing.T) {
	registry := prometheus.NewRegistry()
	system := startSystem(t, whole.WithEntryOptions(entry.WithRegisterer(registry)))
	sendRequest := func() reply {
		return call(t, http.MethodPost, system.URL()+"/v1/services/setup-sheets", http.Header{}, `{"input":"x"}`)
	}
	hedged := func() float64 {
		sum := 0.0
		for _, outcome := range []hedge.Outcome{hedge.Won, hedge.Lost} {
			sum += counterSum(t, registry, "jujubescale_entry_hedged_total", map[string]string{"pool": "retrievers", "outcome": string(outcome)})
		}
		return sum
	}
	// 25 calls add one hedge to the budget. On a busy machine some hedges are used
	// for calls that are slow by chance. Three must be left before the straggler
	// becomes slow.
	for calls := 0.0; calls < 25*(3+hedged()); calls++ {
		assert.Equal(t, sendRequest().status, http.StatusOK)
		assert.Assert(t, calls < 1000, "hedges are used as fast as the budget grows")
	}
	for _, place := range system.Places {
		if place.Pool == "retrievers" && place.Zone == system.Fronts[0].Zone {
			place.Slots().SetSlow(100)
		}
	}
	for range 10 {
		assert.Equal(t, sendRequest().status, http.StatusOK)
	}
	won := counterSum(t, registry, "jujubescale_entry_hedged_total", map[string]string{"pool": "retrievers", "outcome": "won"})
	retried := counterSum(t, registry, "jujubescale_entry_retried_total", map[string]string{"pool": "retrievers"})
	assert.Assert(t, won+retried > 0)
}

// Guards against requests that are interrupted by the planned stop of an entry
// under load. The entry first becomes not ready and tells its callers to close
// their connections, then the load balancer sends the callers to the other entry,
// then it stops.
func TestPlannedStopOfEntryInterruptsNoRequest(t *testing.T) {
	system := startSystem(t, whole.WithEntries(2))
	baseURLs := []string{"http://" + system.Fronts[0].Address, "http://" + system.Fronts[1].Address}
	stopping := system.Fronts[1].Entry
	removed := make(chan struct{})
	load := startLoad(t, 6, func() []string {
		select {
		case <-removed:
			return baseURLs[:1]
		default:
			return baseURLs
		}
	}, kindSheet, kindBooking)
	waitForRequests(t, load, 40)
	stopping.Leave("test")
	ready, _ := stopping.Ready()
	assert.Assert(t, !ready)
	waitForRequests(t, load, load.count()+20)
	close(removed)
	interrupted := stopping.Stop(t.Context(), system.Fronts[1].Shutdown)
	assert.Equal(t, len(interrupted), 0)
	waitForRequests(t, load, load.count()+20)
	outcomes := load.stop()
	assert.NilError(t, firstFailure(outcomes))
	checkRunCounts(t, outcomes, system.Ledger.Runs)
}
