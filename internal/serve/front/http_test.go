package front

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/serve/meter"
	"github.com/jujubescale/jujubescale/internal/serve/peers"
	"github.com/jujubescale/jujubescale/internal/serve/runs"
	"github.com/jujubescale/jujubescale/internal/serve/trace"
	"github.com/jujubescale/jujubescale/internal/share/spread"
)

const testToken = "secret"

func testManifest() *manif.Manifest {
	hash := sha256.Sum256([]byte(testToken))
	return &manif.Manifest{
		Pools: []manif.Pool{{Name: "p", Kind: manif.KindEncode}, {Name: "plain", Kind: manif.KindPlain}},
		Pipelines: []manif.Pipeline{{Name: "line", DeadlineMs: 3000, Stages: []manif.Stage{
			{Name: "one", Kind: manif.KindEncode, Pool: "p"},
		}}},
		Services: []manif.Service{
			{Name: "sheets", Pipeline: "line"},
			{Name: "other", Pipeline: "line"},
			{Name: "orders", Pool: "plain", Calls: []manif.PlainCall{{Method: "POST", Path: "/bookings", NotIdempotent: true}}},
		},
		Organisations: []manif.Organisation{{
			Name: "o", TokenHashes: []string{hex.EncodeToString(hash[:])}, Services: []string{"sheets", "orders"},
		}},
	}
}

func newTestFront(t *testing.T, config Config) *Front {
	t.Helper()
	config.Holder = &spread.Holder{}
	config.Holder.Accept(spread.New(1, testManifest(), nil))
	config.Clock, config.Log, config.Base = clock.New(), log.New(io.Discard), t.Context()
	config.Registerer = prometheus.NewRegistry()
	config.Meter, config.Trace = meter.New(config.Registerer), trace.New(trace.DefaultCapacity)
	agents := peers.New("za", config.Holder, config.Meter)
	t.Cleanup(agents.Close)
	config.Runs = runs.New(agents, config.Meter)
	config.Gate = func() *fault.RefusalError { return nil }
	config.Leaving = func() bool { return false }
	config.Ready = func(http.ResponseWriter, *http.Request) {}
	return New(config)
}

// Each refusal has the common JSON format, the status of its reason, a request
// ID that operators can look up, and the correct value of "ran".
func TestRefusalReasonsAndFormat(t *testing.T) {
	const sheets, bookings = "/v1/services/sheets", "/v1/services/orders/call/bookings"
	authorized := http.Header{"Authorization": {"Bearer " + testToken}}
	with := func(name, value string) http.Header {
		header := authorized.Clone()
		header.Set(name, value)
		return header
	}
	tests := []struct {
		name, method, path, body string
		header                   http.Header
		reason                   fault.Reason
		ran                      fault.Ran
	}{
		{"no token", "POST", sheets, `{"input":1}`, http.Header{}, fault.Unauthorized, fault.NotRun},
		{"wrong token", "POST", sheets, `{"input":1}`, http.Header{"Authorization": {"Bearer x"}}, fault.Unauthorized, fault.NotRun},
		{"unknown service", "POST", "/v1/services/none", `{}`, authorized, fault.UnknownService, fault.NotRun},
		{"service the organisation may not call", "POST", "/v1/services/other", `{}`, authorized, fault.Forbidden, fault.NotRun},
		{"no such path", "POST", "/v2/services", `{}`, authorized, fault.UnknownService, fault.NotRun},
		{"wrong method", "GET", sheets, ``, authorized, fault.BadRequest, fault.NotRun},
		{"bad body", "POST", sheets, `[`, authorized, fault.BadRequest, fault.NotRun},
		{"body too large", "POST", sheets, strings.Repeat("x", 65), authorized, fault.BodyTooLarge, fault.NotRun},
		{"bad deadline", "POST", sheets, `{"input":1}`, with(headerDeadline, "soon"), fault.BadRequest, fault.NotRun},
		{"bad key", "POST", bookings, `{}`, with(headerKey, "a b"), fault.BadRequest, fault.NotRun},
		{"undeclared call", "POST", "/v1/services/orders/call/none", `{}`, authorized, fault.UnknownService, fault.NotRun},
		{"no endpoint", "POST", sheets, `{"input":1}`, authorized, fault.NoEndpoint, fault.NotRun},
		{"no endpoint for a call", "POST", bookings, `{}`, authorized, fault.NoEndpoint, fault.NotRun},
		{"key without a platform", "POST", bookings, `{}`, with(headerKey, "k"), fault.KeyUnavailable, fault.MayHaveRun},
		{"key for a call that may be repeated", "POST", sheets, `{"input":1}`, with(headerKey, "k"), fault.NoEndpoint, fault.NotRun},
	}
	f := newTestFront(t, Config{MaxBodyBytes: 64, MaxOpen: 100, MaxOpenPerOrganisation: 100})
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			request := httptest.NewRequest(test.method, test.path, strings.NewReader(test.body))
			request.Header = test.header.Clone()
			recorder := httptest.NewRecorder()
			f.Handler().ServeHTTP(recorder, request)
			var got refusal
			assert.NilError(t, json.Unmarshal(recorder.Body.Bytes(), &got), recorder.Body.String())
			assert.Equal(t, got.Reason, test.reason, got.Detail)
			assert.Equal(t, got.Ran, test.ran)
			assert.Equal(t, recorder.Code, ruleOf(test.reason).status)
			assert.Assert(t, got.RequestID != "" && got.RequestID == recorder.Header().Get(headerRequestID))
		})
	}
	assert.Equal(t, f.Open(), 0)
}

// One organisation opens requests without limit. It must not use up the open
// requests of the others, and all callers together must not exhaust the entry's
// memory.
func TestOpenRequestsAreBounded(t *testing.T) {
	config := Config{MaxOpen: 3, MaxOpenPerOrganisation: 2}
	small, large := &manif.Organisation{Name: "small"}, &manif.Organisation{Name: "large"}
	var open openRequests
	assert.Assert(t, open.begin("1", large, &config) == nil)
	assert.Assert(t, open.begin("2", large, &config) == nil)
	assert.Equal(t, open.begin("3", large, &config).Reason, fault.TooManyOpen)
	assert.Assert(t, open.begin("4", small, &config) == nil)
	assert.Equal(t, open.begin("5", small, &config).Reason, fault.TooManyOpen)
	open.end("1")
	assert.Assert(t, open.begin("6", small, &config) == nil)
	assert.Equal(t, open.count(), 3)
}

// A request with a key is refused before it holds the claim. An earlier request
// with the same key may have run, so the refusal must not report "not run".
func TestKeyedRefusalBeforeClaimReportsMayHaveRun(t *testing.T) {
	f := newTestFront(t, Config{MaxOpen: 1, MaxOpenPerOrganisation: 1})
	assert.Assert(t, f.open.begin("other", &manif.Organisation{Name: "x"}, &f.config) == nil)
	request := httptest.NewRequest(http.MethodPost, "/v1/services/orders/call/bookings", strings.NewReader(`{}`))
	request.Header.Set("Authorization", "Bearer "+testToken)
	request.Header.Set(headerKey, "k")
	recorder := httptest.NewRecorder()
	f.Handler().ServeHTTP(recorder, request)
	var got refusal
	assert.NilError(t, json.Unmarshal(recorder.Body.Bytes(), &got))
	assert.Equal(t, got.Reason, fault.TooManyOpen)
	assert.Equal(t, got.Ran, fault.MayHaveRun)
}
