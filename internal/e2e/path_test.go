// Package e2e_test tests the daemons through the interfaces that callers and
// operators use.
package e2e_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

// reply is the answer that a caller gets.
type reply struct {
	status int
	body   string
}

func call(t *testing.T, method, url string, header http.Header, body string) reply {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header = header
	request.Header.Set("Authorization", "Bearer "+whole.SampleToken)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return reply{status: response.StatusCode, body: string(content)}
}

// startSystem starts a system and waits until it answers a pipeline request.
func startSystem(t *testing.T, opts ...whole.Option) *whole.Whole {
	t.Helper()
	system, err := whole.New(opts...)
	assert.NilError(t, err)
	t.Cleanup(system.Close)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		got := call(t, http.MethodPost, system.URL()+"/v1/services/setup-sheets", http.Header{}, `{"input":"warm"}`)
		if got.status == http.StatusOK {
			return poll.Success()
		}
		return poll.Continue("%d %s", got.status, got.body)
	}, poll.WithTimeout(30*time.Second))
	return system
}

func TestPipelineReturnsCompleteAnswer(t *testing.T) {
	system := startSystem(t)
	got := call(t, http.MethodPost, system.URL()+"/v1/services/setup-sheets", http.Header{}, `{"input":{"echo":"fold-7"}}`)
	assert.Equal(t, got.status, http.StatusOK, got.body)
	var answer struct {
		RequestID string `json:"requestId"`
		Output    string `json:"output"`
	}
	assert.NilError(t, json.Unmarshal([]byte(got.body), &answer))
	assert.Assert(t, strings.Contains(answer.Output, "fold-7"), answer.Output)
}

func TestPipelineStreams(t *testing.T) {
	system := startSystem(t)
	header := http.Header{"Accept": []string{"text/event-stream"}}
	got := call(t, http.MethodPost, system.URL()+"/v1/services/setup-sheets", header, `{"input":"x"}`)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Assert(t, strings.Count(got.body, "event: token") > 1, got.body)
	assert.Assert(t, strings.Contains(got.body, "event: end"), got.body)
}

func TestPlainCallRunsOnce(t *testing.T) {
	system := startSystem(t)
	header := http.Header{"Idempotency-Key": []string{"reel-1"}}
	got := call(t, http.MethodPost, system.URL()+"/v1/services/orders/call/bookings", header, `{"reel":1}`)
	assert.Equal(t, got.status, http.StatusOK, got.body)
	assert.Equal(t, len(system.Ledger.Doubled()), 0)
}
