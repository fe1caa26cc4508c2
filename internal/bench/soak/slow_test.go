package soak

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/platform/stand"
)

// Guards against undetected requests that may run once only and that a planned stop cuts, also in the last part of its
// grace period.
func TestCutRequestsAreChecked(t *testing.T) {
	cut, once, stopping := stand.Outcome{Status: http.StatusBadGateway}, &stand.Request{AtMostOnce: true}, &incarnation{terminated: time.Now().Add(-grace)}
	cases := map[string]struct {
		run         *run
		request     *stand.Request
		incarnation *incarnation
		got         stand.Outcome
		violations  int
	}{
		"cut at the end of the grace period": {&run{}, once, stopping, cut, 1},
		"refused as not run":                 {&run{}, once, stopping, stand.Outcome{Status: http.StatusServiceUnavailable}, 0},
		"may be repeated":                    {&run{}, &stand.Request{}, stopping, cut, 0},
		"no planned stop":                    {&run{}, once, &incarnation{}, cut, 0},
		"ended before SIGTERM":               {&run{}, once, &incarnation{terminated: time.Now().Add(time.Minute)}, cut, 0},
		"an engine is ending":                {&run{faults: faultLog{endingEngines: 1}}, once, stopping, cut, 0},
		"a fault":                            {&run{faults: faultLog{faults: []*fault{{kind: StoreDown, from: time.Now().Add(-time.Second)}}}}, once, stopping, cut, 0},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			tt.run.checkCut(tt.request, &process{name: "gateway-0"}, tt.incarnation, time.Now().Add(-time.Second), tt.got)
			assert.Equal(t, len(tt.run.violations), tt.violations, tt.run.violations)
		})
	}
}
