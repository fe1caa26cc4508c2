package engine_test

import (
	"bufio"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/stand/engine"
	"github.com/jujubescale/jujubescale/internal/stand/slots"
)

func serve(t *testing.T, e *engine.Engine) string {
	t.Helper()
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	return server.URL
}

func post(t *testing.T, url, body string) (int, []string) {
	t.Helper()
	response, err := http.Post(url, "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	defer func() { assert.Check(t, response.Body.Close()) }()
	var lines []string
	for scanner := bufio.NewScanner(response.Body); scanner.Scan(); {
		lines = append(lines, scanner.Text())
	}
	return response.StatusCode, lines
}

func newFastEngine(opts ...engine.Option) *engine.Engine {
	return engine.New(append([]engine.Option{engine.WithTimes(0, 0, time.Millisecond)}, opts...)...)
}

func TestStreamResumesWithoutRunningAgain(t *testing.T) {
	e := newFastEngine()
	url := serve(t, e) + "/v1/generate"
	status, lines := post(t, url, `{"id":"r/0/0","input":{"echo":"x","tokens":4}}`)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, len(lines), 5)
	assert.Equal(t, lines[0], `{"index":0,"token":"echo=x "}`)
	_, rest := post(t, url, `{"id":"r/0/0","from":3}`)
	assert.DeepEqual(t, rest, lines[3:])
	assert.Equal(t, len(e.Slots.TakeUsage()), 1)
	status, _ = post(t, url, `{"id":"other","from":3}`)
	assert.Equal(t, status, http.StatusNotFound)
}

func TestCancelFreesTheSlot(t *testing.T) {
	e := engine.New(engine.WithTimes(0, 0, time.Minute))
	url := serve(t, e) + "/v1/generate"
	response, err := http.Post(url, "application/json", strings.NewReader(`{"id":"r/0/0"}`))
	assert.NilError(t, err)
	defer func() { assert.Check(t, response.Body.Close()) }()
	request, err := http.NewRequest(http.MethodDelete, url+"/r/0/0", http.NoBody)
	assert.NilError(t, err)
	cancelled, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	assert.NilError(t, cancelled.Body.Close())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if e.Slots.State().Running == 0 {
			return poll.Success()
		}
		return poll.Continue("still running")
	}, poll.WithTimeout(30*time.Second))
}

// A cold engine that gets more work than its cold limit crashes: it aborts the
// connections of its callers and restarts cold.
func TestColdEngineCrashesAboveColdLimit(t *testing.T) {
	e := engine.New(
		engine.WithTimes(0, 0, time.Minute),
		engine.WithCapacity(slots.Config{Limit: 8, ColdLimit: 1, ColdWork: time.Second}))
	e.Slots.Restart()
	url := serve(t, e) + "/v1/generate"
	first, err := http.Post(url, "application/json", strings.NewReader(`{"id":"a/0/0"}`))
	assert.NilError(t, err)
	defer func() { assert.Check(t, first.Body.Close()) }()
	_, err = http.Post(url, "application/json", strings.NewReader(`{"id":"b/0/0"}`))
	assert.Assert(t, err != nil)
	state := e.Slots.State()
	assert.Equal(t, state.ColdCrashes, 1)
	assert.Equal(t, state.StartID, uint64(3))
	assert.Equal(t, state.Running, 0)
}

func TestOldFenceIsRefusedWhereChecked(t *testing.T) {
	e := newFastEngine(engine.WithFenceCheck())
	url := serve(t, e) + "/v1/orders"
	status, _ := post(t, url, `{"op":"load","model":"m","version":"2","fence":7}`)
	assert.Equal(t, status, http.StatusOK)
	status, lines := post(t, url, `{"op":"unload","model":"m","version":"2","fence":6}`)
	assert.Equal(t, status, http.StatusConflict)
	assert.Equal(t, lines[0], `{"highest":7}`)
	assert.Equal(t, len(e.Orders()), 1)
}

func TestPrefixCacheIsLimited(t *testing.T) {
	e := newFastEngine(engine.WithCacheSize(1))
	url := serve(t, e) + "/v1/generate"
	for id, prefix := range map[string]string{"a/0/0": "p", "b/0/0": "q"} {
		post(t, url, `{"id":"`+id+`","input":{"tokens":1,"prefix":"`+prefix+`"}}`)
	}
	post(t, url, `{"id":"c/0/0","input":{"tokens":1,"prefix":"p"}}`)
	post(t, url, `{"id":"d/0/0","input":{"tokens":1,"prefix":"p"}}`)
	hits, misses := e.Hits()
	assert.Equal(t, hits+misses, 4)
	assert.Assert(t, hits >= 1 && misses >= 2)
}
