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
	config.Meter, config.Trace = meter.New(prometheus.NewRegistry()), trace.New(trace.Capacity)
	known := peers.New("za", config.Holder, config.Meter)
	t.Cleanup(known.Close)
	config.Runs = runs.New(known, config.Meter)
	config.Gate = func() *fault.RefusalError { return nil }
	config.Leaving = func() bool { return false }
	config.Ready = func(http.ResponseWriter, *http.Request) {}
	return New(config)
}

// Every refusal has the one shape, its status from the one table, a request id
// that operators can look for, and an "ran" that is true.
func TestRefusalsOfTheFrontItself(t *testing.T) {
	const sheets, bookings = "/v1/services/sheets", "/v1/services/orders/call/bookings"
	good := http.Header{"Authorization": {"Bearer " + testToken}}
	with := func(name, value string) http.Header {
		header := good.Clone()
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
		{"unknown service", "POST", "/v1/services/none", `{}`, good, fault.UnknownService, fault.NotRun},
		{"service of others", "POST", "/v1/services/other", `{}`, good, fault.Forbidden, fault.NotRun},
		{"no such path", "POST", "/v2/services", `{}`, good, fault.UnknownService, fault.NotRun},
		{"wrong method", "GET", sheets, ``, good, fault.BadRequest, fault.NotRun},
		{"bad body", "POST", sheets, `[`, good, fault.BadRequest, fault.NotRun},
		{"body too large", "POST", sheets, strings.Repeat("x", 65), good, fault.BodyTooLarge, fault.NotRun},
		{"bad deadline", "POST", sheets, `{"input":1}`, with(headerDeadline, "soon"), fault.BadRequest, fault.NotRun},
		{"bad key", "POST", bookings, `{}`, with(headerKey, "a b"), fault.BadRequest, fault.NotRun},
		{"undeclared call", "POST", "/v1/services/orders/call/none", `{}`, good, fault.UnknownService, fault.NotRun},
		{"no endpoint", "POST", sheets, `{"input":1}`, good, fault.NoEndpoint, fault.NotRun},
		{"no endpoint for a call", "POST", bookings, `{}`, good, fault.NoEndpoint, fault.NotRun},
		{"key without a platform", "POST", bookings, `{}`, with(headerKey, "k"), fault.KeyUnavailable, fault.MayHaveRun},
		{"key of a call that may be repeated", "POST", sheets, `{"input":1}`, with(headerKey, "k"), fault.NoEndpoint, fault.NotRun},
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

// One organisation opens requests without end. It must not take the places of
// the others, nor all callers together the entry's memory.
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

// A refusal before the key's claim is held says nothing of an earlier request
// under the same key, which may have run.
func TestKeyedRefusalBeforeItsClaimIsNotCalledNotRun(t *testing.T) {
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
