package front

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// deadlineRecorder records the write deadline of an answer.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (r *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	r.deadline = t
	return nil
}

// Guards against connections that stay open for good because their callers read no refusal.
func TestRefusalsHaveAWriteDeadline(t *testing.T) {
	f := newTestFront(t, Config{MaxBodyBytes: 64, MaxOpen: 100, MaxOpenPerOrganisation: 100})
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	f.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/services/sheets", nil))
	assert.Equal(t, w.Code, http.StatusUnauthorized)
	assert.Assert(t, !w.deadline.IsZero())
}
