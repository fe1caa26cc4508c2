package drive

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/bench/plan"
)

// answerGrace is the time after the deadline for which a caller waits for an answer.
const answerGrace = 2 * time.Second

// maxAnswer is the largest size of an answer in bytes.
const maxAnswer = 16 << 20

// input is a caller's input in the format of the stand-in engines.
type input struct {
	Echo   string  `json:"echo"`
	Prefix string  `json:"prefix,omitempty"`
	Size   float64 `json:"size"`
}

type runBody struct {
	Input  input `json:"input"`
	Stream bool  `json:"stream"`
}

// answer holds the fields of all kinds of answers: of a pipeline, of a plain service and of
// a refusal.
type answer struct {
	Output json.RawMessage `json:"output"`
	Echo   string          `json:"echo"`
	Path   string          `json:"path"`
	Reason fault.Reason    `json:"reason"`
	Ran    fault.Ran       `json:"ran"`
	Detail string          `json:"detail"`
}

func (d *Driver) send(ctx context.Context, e *plan.Experiment, a *arrival, at time.Time, target uint64) Record {
	deadline := time.Duration(e.DeadlineMs(a.kind.Service)) * time.Millisecond
	ctx, cancel := context.WithDeadline(ctx, at.Add(deadline+answerGrace))
	defer cancel()
	record := Record{Service: a.kind.Service, Organisation: a.from.Name, Mark: a.mark}
	response, err := d.sendToFirstReachable(ctx, a, target)
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		record.RequestID = response.Header.Get("X-Request-Id")
		record.read(response, a, at)
	} else {
		record.setFailure(err)
	}
	record.Took = time.Since(at)
	if record.Outcome == InTime && record.Took > deadline {
		record.Outcome = Late
	}
	return record
}

// sendToFirstReachable sends the request to one entry. If the connection fails, it tries
// the next entry, like a load balancer.
func (d *Driver) sendToFirstReachable(ctx context.Context, a *arrival, target uint64) (*http.Response, error) {
	targets := d.targets()
	if len(targets) == 0 {
		return nil, errors.New("no entry in rotation")
	}
	var err error
	for try := range targets {
		var response *http.Response
		request := newRequest(ctx, targets[(target+uint64(try))%uint64(len(targets))], a)
		response, err = d.client.Do(request)
		var refused *net.OpError
		if err == nil || !errors.As(err, &refused) || refused.Op != "dial" {
			return response, err
		}
	}
	return nil, err
}

func newRequest(ctx context.Context, base string, a *arrival) *http.Request {
	url, method, body := base+"/v1/services/"+a.kind.Service, http.MethodPost, encode(a)
	if a.kind.Path != "" {
		url, method = url+"/call"+a.path, a.kind.Method
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		panic(err) // method and URL come from a checked experiment
	}
	// Prevents retries by the transport: a call that runs twice must be a fault of the
	// system and not of this tool.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+a.from.Token)
	return request
}

func encode(a *arrival) []byte {
	in := input{Echo: a.mark, Prefix: a.prefix, Size: a.size}
	var body []byte
	var err error
	if a.kind.Path != "" {
		body, err = json.Marshal(in)
	} else {
		body, err = json.Marshal(runBody{Input: in, Stream: a.kind.Stream})
	}
	if err != nil {
		panic(err) // plain structs always encode
	}
	return body
}

func (r *Record) setFailure(err error) {
	r.Outcome = Cut
	if errors.Is(err, context.DeadlineExceeded) {
		r.Outcome = Late
	}
	r.Detail = err.Error()
}

func (r *Record) read(response *http.Response, a *arrival, at time.Time) {
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		r.readStream(response.Body, a, at)
		return
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		r.setFailure(err)
		return
	}
	r.setOutcome(body, a)
}

// readStream reads server-sent events up to the last event of the answer.
func (r *Record) readStream(body io.Reader, a *arrival, at time.Time) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxAnswer)
	event := ""
	for scanner.Scan() {
		line := scanner.Text()
		if name, found := strings.CutPrefix(line, "event: "); found {
			event = name
		}
		data, found := strings.CutPrefix(line, "data: ")
		switch {
		case !found:
		case event == "end" || event == "refused":
			r.setOutcome([]byte(data), a)
			return
		case r.First == 0:
			r.First = time.Since(at)
		}
	}
	if err := scanner.Err(); err != nil {
		r.setFailure(err)
		return
	}
	r.Outcome, r.Detail = Cut, "stream ended without its end event"
}

// setOutcome sets the outcome by the content of a complete answer or refusal.
func (r *Record) setOutcome(body []byte, a *arrival) {
	var got answer
	if err := json.Unmarshal(body, &got); err != nil {
		r.Outcome, r.Detail = Wrong, err.Error()
		return
	}
	switch {
	case got.Reason != "":
		r.setRefusal(&got)
	case a.kind.Path != "" && (got.Echo == a.mark || strings.HasSuffix(got.Path, a.mark)):
		r.Outcome = InTime
	case a.kind.Path == "" && isComplete(got.Output, a.mark):
		r.Outcome = InTime
	default:
		r.Outcome, r.Detail = Wrong, string(body)
	}
}

func (r *Record) setRefusal(got *answer) {
	r.Outcome, r.Reason, r.Ran, r.Detail = Refused, got.Reason, got.Ran, got.Detail
	switch got.Reason {
	case fault.EndpointFailed, fault.OutcomeUnknown, fault.AnswerBroken, fault.Cancelled:
		if got.Ran != fault.NotRun {
			r.Outcome = Cut
		}
	default:
	}
}

// isComplete reports whether a generated answer belongs to the mark and has all its tokens.
// The first token holds the mark, the last one the number of tokens before it.
func isComplete(output json.RawMessage, mark string) bool {
	var text string
	if json.Unmarshal(output, &text) != nil {
		return false
	}
	fields := strings.Fields(text)
	last := len(fields) - 1
	return last >= 0 && fields[0] == "echo="+mark && fields[last] == fmt.Sprintf("end=%d", last)
}
