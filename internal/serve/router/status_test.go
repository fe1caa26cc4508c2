package router_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/platform/stand"
)

// longAnswer is the size of an answer that a gateway passes on without reading it completely.
const longAnswer = 1 << 20

// promises are the statuses that callers take as a promise that a request has not run, and that an
// engine may answer without a proof of it.
var promises = map[int]bool{http.StatusRequestTimeout: true, http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true}

// Guards against a status of an engine that tells the caller of a request which may run once only
// that it has not run, although the engine ran it. All other statuses of engines are passed on.
func TestEngineStatusPromisesNotRunOnlyIfTheRequestMayBeRepeated(t *testing.T) {
	for name, request := range map[string]func() *stand.Request{"booking": booking, "lookup": lookup, "stream": summary, "resumable stream": draft} {
		for _, status := range []int{400, 404, 408, 409, 413, 429, 431, 500, 502, 503, 504, 599} {
			for size, body := range map[string]string{"short": "text", "long": stand.PadBody(longAnswer)} {
				t.Run(fmt.Sprintf("%s/%s/%d", name, size, status), func(t *testing.T) {
					b, r := start(t, 1), request()
					b.setFault(stand.Fault{Every: 1, Fail: true, FailStatus: status})
					r.Body = body
					got := b.send(b.gateways[0], r)
					assert.Assert(t, len(b.Ledger.Runs(r.ID)) > 0, "%+v", got)
					if r.AtMostOnce && promises[status] {
						assert.Equal(t, got.Status, http.StatusBadGateway, "%+v", got)
						assert.Assert(t, !got.Sealed && got.RetryAfter == 0, "%+v", got)
						return
					}
					assert.Equal(t, got.Status, status, "%+v", got)
					assert.Assert(t, got.Sealed && got.RetryAfter == time.Second, "%+v", got)
				})
			}
		}
	}
}

// Guards against the same promise in answers that are cut or bear no seal. A refusal that proves
// that the request has not run still reaches the caller as such.
func TestIncompleteFailureOfAnEnginePromisesNothing(t *testing.T) {
	for status := range promises {
		for name, fault := range map[string]stand.Fault{
			"cut": {Fail: true, Truncate: true}, "no seal": {Fail: true, NoSeal: true}, "cut without a seal": {Fail: true, Truncate: true, NoSeal: true},
			"refused": {Refuse: true, RefuseStatus: status},
		} {
			t.Run(fmt.Sprintf("%s/%d", name, status), func(t *testing.T) {
				b := start(t, 1)
				fault.Every, fault.FailStatus = 1, status
				b.setFault(fault)
				for _, r := range []*stand.Request{booking(), summary()} {
					got := b.send(b.gateways[0], r)
					runs, want := 1, http.StatusBadGateway
					if fault.Refuse {
						runs, want = 0, http.StatusServiceUnavailable
					}
					assert.Equal(t, got.Status, want, "%+v", got)
					assert.Equal(t, len(b.Ledger.Runs(r.ID)), runs, "%+v", got)
				}
			})
		}
	}
}

// setFault sets the fault of all engines that run callers' requests.
func (b *bench) setFault(fault stand.Fault) {
	for _, service := range []string{orders, models} {
		for _, e := range b.Engines(service) {
			e.SetFault(fault)
		}
	}
}
