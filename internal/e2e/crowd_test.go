package e2e_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

// outcome is the result of one request as its caller sees it.
type outcome struct {
	key     string
	kind    string
	at      time.Time
	status  int
	refused refusalBody
	// interrupted is true if the connection broke before the answer was complete.
	interrupted bool
	// wrong is true if the answer belongs to another request or is malformed.
	wrong bool
	body  string
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Reason       fault.Reason `json:"reason"`
	Ran          fault.Ran    `json:"ran"`
	RetryAfterMs int64        `json:"retryAfterMs"`
	RequestID    string       `json:"requestId"`
	Detail       string       `json:"detail"`
}

func (o *outcome) answered() bool { return o.status == http.StatusOK && !o.interrupted && !o.wrong }

// loadGenerator runs callers that send requests until it is stopped.
type loadGenerator struct {
	baseURLs func() []string
	client   *http.Client
	cancel   context.CancelFunc
	group    sync.WaitGroup
	next     atomic.Int64

	mu       sync.Mutex
	outcomes []outcome
}

// Kinds of calls that a load generator sends.
const (
	kindSheet   = "sheet"
	kindBooking = "booking"
)

// callPause is the shortest time between two requests of a caller. It prevents a
// refused caller from retrying in a busy loop, which would cause more refusals.
const callPause = 50 * time.Millisecond

// startLoad starts callers that send requests to the entries that baseURLs
// returns, in turn: sheets run through the pipeline, bookings are plain calls
// that must not run twice. The callers stop when the test ends at the latest.
func startLoad(t *testing.T, callers int, baseURLs func() []string, kinds ...string) *loadGenerator {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	g := &loadGenerator{
		baseURLs: baseURLs, cancel: cancel,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}, Timeout: 30 * time.Second},
	}
	for range callers {
		g.group.Go(func() {
			pace := time.NewTicker(callPause)
			defer pace.Stop()
			for ctx.Err() == nil {
				g.sendNext(kinds)
				<-pace.C
			}
		})
	}
	t.Cleanup(func() { g.stop() })
	return g
}

// stop stops the callers, waits for their open requests and returns all outcomes.
func (g *loadGenerator) stop() []outcome {
	g.cancel()
	g.group.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.outcomes
}

// count returns the number of completed requests.
func (g *loadGenerator) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.outcomes)
}

func (g *loadGenerator) sendNext(kinds []string) {
	number := g.next.Add(1)
	baseURLs := g.baseURLs()
	baseURL := baseURLs[int(number)%len(baseURLs)]
	kind := kinds[int(number)%len(kinds)]
	key := fmt.Sprintf("%s-%d.", kind, number)
	got := outcome{key: key, kind: kind}
	switch kind {
	case kindBooking:
		g.send(&got, baseURL+"/v1/services/orders/call/bookings", fmt.Sprintf(`{"echo":%q}`, key), key)
	default:
		g.send(&got, baseURL+"/v1/services/setup-sheets", fmt.Sprintf(`{"input":{"echo":%q}}`, key), "")
	}
	got.at = time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outcomes = append(g.outcomes, got)
}

func (g *loadGenerator) send(got *outcome, url, body, key string) {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		panic(err) // the tests build the URL, so it is valid
	}
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+whole.SampleToken)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := g.client.Do(request)
	if err != nil {
		got.interrupted = true
		got.body = err.Error()
		return
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	got.status = response.StatusCode
	got.body = string(content)
	got.interrupted = err != nil
	if got.status != http.StatusOK {
		if err := json.Unmarshal(content, &got.refused); err != nil && !got.interrupted {
			got.wrong = true
		}
		return
	}
	if got.kind == kindSheet {
		got.wrong = !strings.Contains(got.body, got.key)
	}
}

// outcomeCounts counts outcomes by result.
type outcomeCounts struct {
	answered, refused, interrupted, wrong int
	reasons                               map[fault.Reason]int
	// details holds one example of each reason.
	details map[fault.Reason]string
}

func countOutcomes(outcomes []outcome) outcomeCounts {
	total := outcomeCounts{reasons: make(map[fault.Reason]int), details: make(map[fault.Reason]string)}
	for i := range outcomes {
		got := &outcomes[i]
		switch {
		case got.wrong:
			total.wrong++
		case got.interrupted:
			total.interrupted++
		case got.answered():
			total.answered++
		default:
			total.refused++
			total.reasons[got.refused.Reason]++
			total.details[got.refused.Reason] = got.key + ": " + got.refused.Detail
		}
	}
	return total
}

// checkRunCounts compares the outcomes of bookings with their number of runs at
// the service: none ran twice, none ran that was reported as not run, and each
// answered one ran.
func checkRunCounts(t *testing.T, outcomes []outcome, runs func(key string) int) {
	t.Helper()
	for i := range outcomes {
		got := &outcomes[i]
		if got.kind != kindBooking {
			continue
		}
		ran := runs(got.key)
		assert.Check(t, ran <= 1, "%s ran %d times", got.key, ran)
		if got.answered() {
			assert.Check(t, ran == 1, "%s was answered but ran %d times", got.key, ran)
		}
		if got.refused.Ran == fault.NotRun {
			assert.Check(t, ran == 0, "%s ran but was reported as not run, reason %s: %s", got.key, got.refused.Reason, got.refused.Detail)
		}
	}
}

// firstFailure returns an error for the first outcome that is neither an answer
// nor a refusal, or nil.
func firstFailure(outcomes []outcome) error {
	for i := range outcomes {
		if got := &outcomes[i]; got.interrupted || got.wrong {
			return errors.New(got.key + ": " + got.body)
		}
	}
	return nil
}
