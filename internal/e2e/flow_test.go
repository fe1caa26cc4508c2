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

// counted returns the sum of a counter over the labels that are given.
func counted(t *testing.T, registry *prometheus.Registry, name string, labels map[string]string) float64 {
	t.Helper()
	families, err := registry.Gather()
	assert.NilError(t, err)
	total := 0.0
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			fits := 0
			for _, pair := range metric.GetLabel() {
				if want, named := labels[pair.GetName()]; named && want == pair.GetValue() {
					fits++
				}
			}
			if fits == len(labels) {
				total += metric.GetCounter().GetValue()
			}
		}
	}
	return total
}

// openStream starts a streamed request and returns the reader behind the first
// token.
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

// readStream returns the text of the tokens that are left and the whole output
// of the end event.
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

// endless is more tokens than an engine makes in an hour.
const endless = 1_000_000

func slowEngines() whole.Option {
	return whole.WithShapes(whole.Shape{Pool: "engines", Endpoints: 3, TokenMs: 20, Tokens: 4})
}

// In mid-stream something between the ends loses track of every open
// connection: nothing arrives and nothing breaks, while new ones work. The
// caller's text must go on where it stopped, whole, with nothing twice.
func TestStreamGoesOnAfterSilence(t *testing.T) {
	registry := prometheus.NewRegistry()
	system := started(t, slowEngines(), whole.WithEntryOptions(entry.WithRegisterer(registry)))
	lines := openStream(t.Context(), t, system, 60)
	for _, zone := range []string{"za", "zb", "zc"} {
		system.Net.SilenceZone(zone)
	}
	text, output := readStream(t, lines)
	assert.Assert(t, strings.Contains(output, "long-sheet"), output)
	assert.Equal(t, text, output)
	lost := counted(t, registry, "jujubescale_entry_sessions_lost_total", map[string]string{"cause": "silent"})
	assert.Assert(t, lost > 0)
	assert.Assert(t, counted(t, registry, "jujubescale_entry_resumed_total", nil) > 0)
}

// eventually waits for a condition.
func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(2*time.Millisecond), poll.WithTimeout(time.Minute))
}

// The caller closes its connection in mid-stream. Nobody will read the answer,
// so the engine must stop; otherwise it works for the dead.
func TestEngineStopsWhenCallerGoes(t *testing.T) {
	system := started(t, slowEngines())
	ctx, cancel := context.WithCancel(t.Context())
	openStream(ctx, t, system, endless)
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
	eventually(t, "the engine still works", func() bool { return running() == 0 })
	eventually(t, "the request is still open", func() bool { return system.Fronts[0].Entry.Open() == 0 })
}

// The deadline passes while the engine works. The caller is told at the
// deadline, and the engine stops.
func TestDeadlineStopsEngine(t *testing.T) {
	system := started(t, slowEngines())
	header := http.Header{"X-Deadline-Ms": []string{"300"}}
	got := call(t, http.MethodPost, system.URL()+"/v1/services/setup-sheets", header,
		fmt.Sprintf(`{"input":{"tokens":%d}}`, endless))
	assert.Equal(t, got.status, http.StatusGatewayTimeout, got.body)
	for _, place := range system.Places {
		if place.Engine != nil {
			eventually(t, "the engine still works", func() bool { return place.Slots().State().Running == 0 })
		}
	}
}

// An operator looks a request up by the id that the caller was given.
func TestRequestCanBeLookedUp(t *testing.T) {
	system := started(t)
	got := call(t, http.MethodPost, system.URL()+"/v1/services/setup-sheets", http.Header{}, `{"input":"x"}`)
	var answer struct{ RequestID string }
	assert.NilError(t, json.Unmarshal([]byte(got.body), &answer))
	request, found := system.Fronts[0].Entry.Request(answer.RequestID)
	assert.Assert(t, found)
	assert.Equal(t, request.State, trace.Answered)
	assert.Equal(t, len(request.Attempts), 4)
	assert.Equal(t, request.Attempts[3].Pool, "engines")
}

// One of three retrievers gets a hundred times slower. Without a way round it
// a third of the requests, or all of its own zone, would wait for it.
func TestStragglerIsWorkedAround(t *testing.T) {
	registry := prometheus.NewRegistry()
	system := started(t, whole.WithEntryOptions(entry.WithRegisterer(registry)))
	once := func() reply {
		return call(t, http.MethodPost, system.URL()+"/v1/services/setup-sheets", http.Header{}, `{"input":"x"}`)
	}
	hedged := func() float64 {
		sum := 0.0
		for _, outcome := range []hedge.Outcome{hedge.Won, hedge.Lost} {
			sum += counted(t, registry, "jujubescale_entry_hedged_total", map[string]string{"pool": "retrievers", "outcome": string(outcome)})
		}
		return sum
	}
	// Each hedge is earned by 25 calls. Beside other load some are spent on calls
	// that are slow by chance; three are left when the straggler begins.
	for calls := 0.0; calls < 25*(3+hedged()); calls++ {
		assert.Equal(t, once().status, http.StatusOK)
		assert.Assert(t, calls < 1000, "hedges are spent as fast as they are earned")
	}
	for _, place := range system.Places {
		if place.Pool == "retrievers" && place.Zone == system.Fronts[0].Zone {
			place.Slots().SetSlow(100)
		}
	}
	for range 10 {
		assert.Equal(t, once().status, http.StatusOK)
	}
	won := counted(t, registry, "jujubescale_entry_hedged_total", map[string]string{"pool": "retrievers", "outcome": "won"})
	retried := counted(t, registry, "jujubescale_entry_retried_total", map[string]string{"pool": "retrievers"})
	assert.Assert(t, won+retried > 0)
}

// An entry is stopped as planned under load, once its callers go elsewhere as
// a balancer makes them. No request may be cut, and answers tell callers to
// close their connections.
func TestPlannedStopOfEntryCutsNothing(t *testing.T) {
	system := started(t, whole.WithEntries(2))
	bases := []string{"http://" + system.Fronts[0].Address, "http://" + system.Fronts[1].Address}
	stopping := system.Fronts[1].Entry
	left := make(chan struct{})
	c := startCrowd(t, 6, func() []string {
		select {
		case <-left:
			return bases[:1]
		default:
			return bases
		}
	}, kindSheet, kindBooking)
	waitFor(t, c, 40)
	stopping.Leave("test")
	ready, _ := stopping.Ready()
	assert.Assert(t, !ready)
	waitFor(t, c, c.count()+20)
	close(left)
	cut := stopping.Stop(t.Context(), system.Fronts[1].Shutdown)
	assert.Equal(t, len(cut), 0)
	waitFor(t, c, c.count()+20)
	outcomes := c.stop()
	assert.NilError(t, firstBad(outcomes))
	checkOnce(t, outcomes, system.Ledger.Runs)
}
