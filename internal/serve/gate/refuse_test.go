package gate

import (
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/serve/front"
)

// Guards against a reason, also one that another process sends or that is added later, whose status
// tells the caller of a request that may have run that it has not run.
func TestRefusalOfARequestThatMayHaveRunPromisesNothing(t *testing.T) {
	for _, reason := range append(fault.Reasons(), "unknown to this process") {
		w := httptest.NewRecorder()
		status := front.Refuse(w, ambiguousRefusal(&fault.RefusalError{Reason: reason, Ran: fault.NotRun, RetryAfter: 100}))
		assert.Assert(t, !front.PromisesNotRun(status), "reason %s: status %d", reason, status)
		assert.Equal(t, w.Header().Get("Retry-After"), "", "reason %s", reason)
	}
}
