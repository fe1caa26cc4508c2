package admin_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/ops/admin"
)

func get(handler http.Handler, path, bearer string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodGet, path, nil)
	if bearer != "" {
		request.Header.Set("Authorization", "Bearer "+bearer)
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder
}

func paths() []string {
	return []string{admin.PathMetrics, admin.PathHealth, admin.PathReady, admin.PathStatus, admin.PathRequest + "5f"}
}

// Guards against paths of the operators' port that are served without a valid
// token, including the health check.
func TestEveryPathNeedsToken(t *testing.T) {
	sum := sha256.Sum256([]byte("right"))
	handler := admin.New(
		admin.WithTokenHashes([]string{hex.EncodeToString(sum[:])}),
		admin.WithStatus(func() admin.Status { return admin.Status{Ready: true} }),
		admin.WithRequest(func(string) *admin.Request { return &admin.Request{} }),
	).Handler()
	for _, path := range paths() {
		t.Run(path, func(t *testing.T) {
			assert.Equal(t, get(handler, path, "").Code, http.StatusUnauthorized)
			assert.Equal(t, get(handler, path, "wrong").Code, http.StatusUnauthorized)
			assert.Equal(t, get(handler, path, "right").Code, http.StatusOK)
		})
	}
}

func TestReadinessFollowsStatus(t *testing.T) {
	status := admin.Status{NotReady: "no configuration in force yet"}
	handler := admin.New(admin.WithStatus(func() admin.Status { return status })).Handler()
	got := get(handler, admin.PathReady, "")
	assert.Equal(t, got.Code, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(got.Body.String(), "no configuration"))
	status = admin.Status{Ready: true}
	assert.Equal(t, get(handler, admin.PathReady, "").Code, http.StatusOK)
}

func TestStatusAndRequest(t *testing.T) {
	handler := admin.New(
		admin.WithStatus(func() admin.Status { return admin.Status{Process: "entry-1", Release: 7} }),
		admin.WithRequest(func(id string) *admin.Request {
			if id != "5f" {
				return nil
			}
			return &admin.Request{RequestID: id, State: "running"}
		}),
	).Handler()
	var status admin.Status
	assert.NilError(t, json.Unmarshal(get(handler, admin.PathStatus, "").Body.Bytes(), &status))
	assert.Equal(t, status.Release, uint64(7))
	var request admin.Request
	assert.NilError(t, json.Unmarshal(get(handler, admin.PathRequest+"5f", "").Body.Bytes(), &request))
	assert.Equal(t, request.State, "running")
	assert.Equal(t, get(handler, admin.PathRequest+"other", "").Code, http.StatusNotFound)
}

func TestMetricsAreServed(t *testing.T) {
	registry := prometheus.NewRegistry()
	counter := prometheus.NewCounter(prometheus.CounterOpts{Name: "jujubescale_test_total", Help: "x"})
	registry.MustRegister(counter)
	counter.Inc()
	body := get(admin.New(admin.WithGatherer(registry)).Handler(), admin.PathMetrics, "").Body.String()
	assert.Assert(t, strings.Contains(body, "jujubescale_test_total 1"), body)
}
