package host

import (
	"context"
	"fmt"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	// A call is overdue after overdueFactor times its expected duration plus
	// overdueMargin. Then the owner requests the engine's report to see whether the
	// call still runs. Reports are a few hundred milliseconds old.
	overdueFactor = 1.2
	overdueMargin = 300 * clock.Millis(1)
	// reportInterval is the pause between two requests for the report of an engine
	// that is still busy.
	reportInterval = 300 * clock.Millis(1)
)

// LostAnswerError is returned when an engine has ended a call whose answer did not
// arrive.
type LostAnswerError struct {
	Endpoint string
}

// Error implements error.
func (e *LostAnswerError) Error() string {
	return fmt.Sprintf("endpoint %s has ended the call, but its answer did not arrive", e.Endpoint)
}

// watchAnswer cancels an overdue call once its engine reports that it is idle: the
// answer was lost. Otherwise the engine would stay idle until the call times out,
// which takes long because it allows for slow engines.
func (h *Host) watchAnswer(ctx context.Context, cancel context.CancelCauseFunc, e *engine, expected float64) {
	pause := clock.Millis(overdueFactor*expected) + overdueMargin
	for ; h.Clock.Sleep(ctx, pause) == nil; pause = reportInterval {
		if !h.mayReport(e) {
			continue
		}
		report, err := h.fetchReport(e.Endpoint)
		if err == nil && !report.Busy {
			cancel(&LostAnswerError{Endpoint: e.ID})
			return
		}
	}
}

// mayReport counts a request for a report and reports whether the limit of the engine allows
// it.
func (h *Host) mayReport(e *engine) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.takeLimit(e, h.Clock.Now())
}
