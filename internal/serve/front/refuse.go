package front

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
)

// statusClientGone is what servers commonly log when the caller went away
// before its answer; nobody reads it.
const statusClientGone = 499

// Spans after which it is worth while to come back, by what has to pass first.
const (
	afterRoute  = 100 * clock.Millis(1) // another entry or endpoint takes over
	afterQueue  = 500 * clock.Millis(1) // work in front ends
	afterChange = clock.Second          // endpoints warm up, a zone returns, the platform answers
)

// rule is what a caller is told for a reason.
type rule struct {
	reason fault.Reason
	status int
	// again is when to come back if whoever refused gave no time; 0 where
	// waiting changes nothing.
	again clock.Millis
}

// rules is the one table of statuses; docs/CALLERS.md shows it.
func rules() []rule {
	return []rule{
		{fault.BadRequest, http.StatusBadRequest, 0},
		{fault.Unauthorized, http.StatusUnauthorized, 0},
		{fault.Forbidden, http.StatusForbidden, 0},
		{fault.UnknownService, http.StatusNotFound, 0},
		{fault.BodyTooLarge, http.StatusRequestEntityTooLarge, 0},
		{fault.TooManyOpen, http.StatusTooManyRequests, afterQueue},
		{fault.NotReady, http.StatusServiceUnavailable, afterChange},
		{fault.Isolated, http.StatusServiceUnavailable, afterRoute},
		{fault.Leaving, http.StatusServiceUnavailable, afterRoute},
		{fault.ZoneEvacuated, http.StatusServiceUnavailable, afterRoute},
		{fault.Overloaded, http.StatusServiceUnavailable, afterQueue},
		{fault.QueueFull, http.StatusServiceUnavailable, afterQueue},
		{fault.ColdStart, http.StatusServiceUnavailable, afterChange},
		{fault.DeadlineUnreachable, http.StatusServiceUnavailable, afterQueue},
		{fault.DeadlinePassed, http.StatusGatewayTimeout, 0},
		{fault.NoEndpoint, http.StatusServiceUnavailable, afterChange},
		{fault.EndpointFailed, http.StatusBadGateway, 0},
		{fault.AnswerBroken, http.StatusBadGateway, 0},
		{fault.KeyInUse, http.StatusConflict, afterQueue},
		{fault.KeyDone, http.StatusConflict, 0},
		{fault.KeyUnavailable, http.StatusServiceUnavailable, afterChange},
		{fault.OutcomeUnknown, http.StatusBadGateway, 0},
		{fault.Cancelled, statusClientGone, 0},
		{fault.RetryBudget, http.StatusServiceUnavailable, afterChange},
		{fault.WrongEndpoint, http.StatusServiceUnavailable, afterRoute},
		{fault.OldRelease, http.StatusServiceUnavailable, afterQueue},
		{fault.DuplicateFrame, http.StatusBadGateway, 0},
		{fault.BackendRejected, http.StatusBadGateway, 0},
		{fault.InputLost, http.StatusServiceUnavailable, afterRoute},
		{fault.UnknownRoute, http.StatusNotFound, 0},
		{fault.Quarantined, http.StatusServiceUnavailable, afterChange},
	}
}

var byReason = ruleTable()

func ruleTable() map[fault.Reason]rule {
	table := make(map[fault.Reason]rule)
	for _, r := range rules() {
		table[r.reason] = r
	}
	return table
}

func ruleOf(reason fault.Reason) rule {
	if known, found := byReason[reason]; found {
		return known
	}
	return rule{reason: reason, status: http.StatusBadGateway} // a reason of a newer agent
}

// comeBack returns when the caller shall come back, in milliseconds; 0 if
// waiting changes nothing. Times that nobody measured are spread by a quarter
// either way: callers refused together would otherwise return together.
func comeBack(refused *fault.RefusalError) clock.Millis {
	if refused.RetryAfter > 0 {
		return refused.RetryAfter
	}
	again := ruleOf(refused.Reason).again
	if again == 0 {
		return 0
	}
	return again*3/4 + rand.N(again/2)
}

// refusal is the one JSON shape of every refusal.
type refusal struct {
	Reason       fault.Reason `json:"reason"`
	Ran          fault.Ran    `json:"ran"`
	RetryAfterMs clock.Millis `json:"retryAfterMs"`
	RequestID    string       `json:"requestId"`
	Detail       string       `json:"detail,omitempty"`
}

func refusalOf(id string, err error) refusal {
	var refused *fault.RefusalError
	if !errors.As(err, &refused) {
		refused = &fault.RefusalError{Reason: fault.EndpointFailed, Ran: fault.MayHaveRun, Detail: err.Error()}
	}
	return refusal{
		Reason: refused.Reason, Ran: refused.Ran, RetryAfterMs: comeBack(refused), RequestID: id, Detail: refused.Detail,
	}
}

// Refuse answers a request that gets no other answer and returns the status.
// Callers of routed services read fractions of a second in Retry-After, so
// that none of them waits longer than it must.
func Refuse(w http.ResponseWriter, refused *fault.RefusalError) int {
	body := refusalOf(refused.RequestID, refused)
	if body.RetryAfterMs > 0 {
		seconds := float64(body.RetryAfterMs) / float64(clock.Second)
		w.Header().Set("Retry-After", strconv.FormatFloat(seconds, 'f', -1, 64))
	}
	writeBody(w, body)
	return ruleOf(refused.Reason).status
}

func writeRefusal(w http.ResponseWriter, body refusal) {
	if body.RetryAfterMs > 0 {
		seconds := (body.RetryAfterMs + clock.Second - 1) / clock.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	writeBody(w, body)
}

func writeBody(w http.ResponseWriter, body refusal) {
	w.Header().Set("Content-Type", contentTypeJSON)
	w.WriteHeader(ruleOf(body.Reason).status)
	_ = json.NewEncoder(w).Encode(body) // a caller that is gone reads nothing
}
