package e2e_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

// Guards against a refusal when all endpoints of a small pool stall briefly. The
// entry abandons each of them as a straggler and has no endpoint left, although
// most of the time until the deadline remains. The caller must get its answer
// after the stall.
func TestRequestSurvivesStallOfAWholePool(t *testing.T) {
	system := startSystem(t, whole.WithEndpoints(2))
	sendRequest := func() reply {
		return call(t, http.MethodPost, system.URL()+"/v1/services/setup-sheets", http.Header{}, `{"input":"x"}`)
	}
	for range 40 {
		assert.Equal(t, sendRequest().status, http.StatusOK)
	}
	stall := func(factor float64) {
		for _, place := range system.Places {
			if place.Pool == "retrievers" {
				place.Slots().SetSlow(factor)
			}
		}
	}
	stall(60)
	timer := time.AfterFunc(time.Second, func() { stall(1) })
	defer timer.Stop()
	got := sendRequest()
	assert.Equal(t, got.status, http.StatusOK, got.body)
}
