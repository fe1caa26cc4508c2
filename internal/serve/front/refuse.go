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

// statusClientGone is the status that HTTP servers commonly log when the caller
// closed the connection before the answer. No caller receives it.
const statusClientGone = 499

// Delays until a retry can succeed, by what has to happen before it.
const (
	retryAfterReroute = 100 * clock.Millis(1) // another entry or endpoint takes the request
	retryAfterQueue   = 500 * clock.Millis(1) // queued work ends
	retryAfterChange  = clock.Second          // endpoints warm up, a zone or the platform recovers
)

// rule is the status and the retry delay for a reason.
type rule struct {
	reason fault.Reason
	status int
	// retryAfter is the delay for refusals that set none; 0 if a retry cannot
	// succeed.
	retryAfter clock.Millis
}

// rules returns the rules for all reasons. docs/CALLERS.md documents them.
func rules() []rule {
	return []rule{
		{fault.BadRequest, http.StatusBadRequest, 0},
		{fault.Unauthorized, http.StatusUnauthorized, 0},
		{fault.Forbidden, http.StatusForbidden, 0},
		{fault.UnknownService, http.StatusNotFound, 0},
		{fault.BodyTooLarge, http.StatusRequestEntityTooLarge, 0},
		{fault.TooManyOpen, http.StatusTooManyRequests, retryAfterQueue},
		{fault.NotReady, http.StatusServiceUnavailable, retryAfterChange},
		{fault.Isolated, http.StatusServiceUnavailable, retryAfterReroute},
		{fault.Leaving, http.StatusServiceUnavailable, retryAfterReroute},
		{fault.ZoneEvacuated, http.StatusServiceUnavailable, retryAfterReroute},
		{fault.Overloaded, http.StatusServiceUnavailable, retryAfterQueue},
		{fault.QueueFull, http.StatusServiceUnavailable, retryAfterQueue},
		{fault.ColdStart, http.StatusServiceUnavailable, retryAfterChange},
		{fault.DeadlineUnreachable, http.StatusServiceUnavailable, retryAfterQueue},
		{fault.DeadlinePassed, http.StatusGatewayTimeout, 0},
		{fault.NoEndpoint, http.StatusServiceUnavailable, retryAfterChange},
		{fault.EndpointFailed, http.StatusBadGateway, 0},
		{fault.AnswerBroken, http.StatusBadGateway, 0},
		{fault.KeyInUse, http.StatusConflict, retryAfterQueue},
		{fault.KeyDone, http.StatusConflict, 0},
		{fault.KeyUnavailable, http.StatusServiceUnavailable, retryAfterChange},
		{fault.OutcomeUnknown, http.StatusBadGateway, 0},
		{fault.Cancelled, statusClientGone, 0},
		{fault.RetryBudget, http.StatusServiceUnavailable, retryAfterChange},
		{fault.WrongEndpoint, http.StatusServiceUnavailable, retryAfterReroute},
		{fault.OldRelease, http.StatusServiceUnavailable, retryAfterQueue},
		{fault.DuplicateFrame, http.StatusBadGateway, 0},
		{fault.BackendRejected, http.StatusBadGateway, 0},
		{fault.InputLost, http.StatusServiceUnavailable, retryAfterReroute},
		{fault.UnknownRoute, http.StatusNotFound, 0},
		{fault.Quarantined, http.StatusServiceUnavailable, retryAfterChange},
		{fault.RateLimited, http.StatusServiceUnavailable, retryAfterChange},
		{fault.StreamUnknown, http.StatusServiceUnavailable, retryAfterChange},
		{fault.VersionGone, http.StatusServiceUnavailable, retryAfterChange},
		{fault.ConfigOutdated, http.StatusServiceUnavailable, retryAfterChange},
	}
}

var byReason = rulesByReason()

func rulesByReason() map[fault.Reason]rule {
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
	return rule{reason: reason, status: http.StatusBadGateway} // a reason that only newer agents send
}

// PromisesNotRun reports whether callers take a status as a promise that their request has not run
// and never will. They repeat requests that may run once only after such a status.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// retryAfter returns the delay in milliseconds after which the caller should
// retry, or 0 if a retry cannot succeed. Delays from the rules are randomised by
// up to a quarter either way, so that callers refused at the same time do not
// retry at the same time.
func retryAfter(refused *fault.RefusalError) clock.Millis {
	if refused.RetryAfter > 0 {
		return refused.RetryAfter
	}
	delay := ruleOf(refused.Reason).retryAfter
	if delay == 0 {
		return 0
	}
	return delay*3/4 + rand.N(delay/2)
}

// refusal is the JSON format of all refusals.
type refusal struct {
	Reason       fault.Reason `json:"reason"`
	Ran          fault.Ran    `json:"ran"`
	RetryAfterMs clock.Millis `json:"retryAfterMs"`
	RequestID    string       `json:"requestId"`
	Detail       string       `json:"detail,omitempty"`
}

func newRefusal(id string, err error) refusal {
	var refused *fault.RefusalError
	if !errors.As(err, &refused) {
		refused = &fault.RefusalError{Reason: fault.EndpointFailed, Ran: fault.MayHaveRun, Detail: err.Error()}
	}
	return refusal{
		Reason: refused.Reason, Ran: refused.Ran, RetryAfterMs: retryAfter(refused), RequestID: id, Detail: refused.Detail,
	}
}

// Refuse answers a request with a refusal and returns the HTTP status.
// Retry-After has fractions of a second, which callers of routed services
// parse, so that they do not wait longer than necessary.
func Refuse(w http.ResponseWriter, refused *fault.RefusalError) int {
	body := newRefusal(refused.RequestID, refused)
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
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has disconnected
}
