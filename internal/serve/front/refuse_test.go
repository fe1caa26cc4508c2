package front

import (
	"net/http"
	"os"
	"regexp"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/fault"
)

// A reason has no status or is not documented, so callers cannot tell whether
// to retry.
func TestEveryReasonIsDocumentedWithItsStatus(t *testing.T) {
	page, err := os.ReadFile("../../../docs/CALLERS.md")
	assert.NilError(t, err)
	documented := map[fault.Reason]string{}
	for _, row := range regexp.MustCompile("(?m)^\\| `(\\w+)` \\| (\\d+) \\| \\S").FindAllStringSubmatch(string(page), -1) {
		documented[fault.Reason(row[1])] = row[2]
	}
	assert.Equal(t, len(rules()), len(fault.Reasons()))
	assert.Equal(t, len(documented), len(fault.Reasons()))
	for _, reason := range fault.Reasons() {
		assert.Equal(t, documented[reason], strconv.Itoa(ruleOf(reason).status), "reason %s", reason)
	}
}

// A temporary refusal has no retry delay, so all refused callers retry at once
// and at the same time.
func TestTemporaryRefusalsHaveARetryDelay(t *testing.T) {
	temporary := map[int]bool{
		http.StatusServiceUnavailable: true, http.StatusTooManyRequests: true, http.StatusConflict: true,
	}
	for _, reason := range fault.Reasons() {
		status := ruleOf(reason).status
		delay := retryAfter(fault.Refuse(reason, ""))
		wantDelay := temporary[status] && reason != fault.KeyDone
		assert.Equal(t, delay > 0, wantDelay, "reason %s: %d ms", reason, delay)
	}
	withDelay := &fault.RefusalError{Reason: fault.QueueFull, RetryAfter: 42}
	assert.Equal(t, int(retryAfter(withDelay)), 42)
}
