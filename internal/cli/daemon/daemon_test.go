package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/cli/daemon"
	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/ops/admin"
	"github.com/jujubescale/jujubescale/internal/plat/client"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/share/apply"
	"github.com/jujubescale/jujubescale/internal/stand/plat"
	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

// logBuffer collects the log output of a daemon.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(raw []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(raw)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// running is a daemon that runs in the test process.
type running struct {
	log       *logBuffer
	signal    context.CancelFunc
	forceStop chan struct{}
	code      chan exit.Code
}

func start(t *testing.T, args ...string) *running {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{log: &logBuffer{}, signal: cancel, forceStop: make(chan struct{}), code: make(chan exit.Code, 1)}
	cmd := daemon.New()
	cmd.SetErr(r.log)
	cmd.SetOut(r.log)
	go func() { r.code <- exit.RunContext(exit.WithForceStop(ctx, r.forceStop), cmd, args) }()
	t.Cleanup(cancel)
	return r
}

// address waits until the daemon has logged that it serves, and returns the
// address that the line holds under the key name.
func (r *running) address(t *testing.T, name string) string {
	t.Helper()
	pattern := regexp.MustCompile(`msg=serving .*\b` + name + `=(\S+)`)
	r.waitLog(t, pattern.String())
	return pattern.FindStringSubmatch(r.log.String())[1]
}

func (r *running) waitLog(t *testing.T, pattern string) {
	t.Helper()
	expression := regexp.MustCompile(pattern)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if expression.MatchString(r.log.String()) {
			return poll.Success()
		}
		return poll.Continue("no %q in:\n%s", pattern, r.log.String())
	}, poll.WithTimeout(30*time.Second))
}

// service is a plain service whose bookings block until release is closed.
type service struct {
	entered chan struct{}
	release chan struct{}
}

func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/bookings" {
		http.NotFound(w, r)
		return
	}
	s.entered <- struct{}{}
	<-s.release
	_, _ = io.WriteString(w, `{"booked":true}`)
}

// system is an entry, an agent and the plain service that they serve.
type system struct {
	service  *service
	platform *plat.Plat
	url      string
	agent    *running
	entry    *running
	callers  string
}

func newSystem(t *testing.T, entryArgs ...string) *system {
	t.Helper()
	return newSystemWith(t, nil, entryArgs)
}

func newSystemWith(t *testing.T, agentArgs, entryArgs []string) *system {
	t.Helper()
	s := &system{platform: plat.New(), service: &service{entered: make(chan struct{}, 8), release: make(chan struct{})}}
	platform := httptest.NewServer(s.platform.Handler())
	t.Cleanup(platform.Close)
	endpoint := httptest.NewServer(s.service)
	t.Cleanup(endpoint.Close)
	s.url = platform.URL
	operator := apply.New(client.New(platform.URL).Store())
	_, err := operator.Apply(t.Context(), whole.Sample(), apply.Change{Who: "test"})
	assert.NilError(t, err)
	both := []string{"--availability-zone=za", "--platform-url=" + platform.URL, "--operators=127.0.0.1:0"}
	s.agent = start(t, slices.Concat([]string{
		"agent", "--process=agent-1", "--sessions=127.0.0.1:0", "--pool=orders", "--endpoint=orders-1",
		"--kind=plain", "--endpoint-url=" + endpoint.URL,
	}, both, agentArgs)...)
	s.platform.SetHosts([]store.Host{{
		Name: "host-1", Address: s.agent.address(t, "sessions"), AvailabilityZone: "za", Role: "agent",
		Pool: "orders", Endpoint: "orders-1", State: store.HostLive,
	}})
	s.entry = start(t, slices.Concat([]string{
		"entry", "--process=entry-1", "--callers=127.0.0.1:0", "--balancer-lag-ms=1",
	}, both, entryArgs)...)
	s.callers = "http://" + s.entry.address(t, "callers")
	return s
}

type reply struct {
	status int
	body   string
	err    error
}

// book sends a booking, waits until it reaches the service, and returns a channel
// that receives the answer.
func (s *system) book(t *testing.T) <-chan reply {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		got := call(http.MethodGet, s.callers+"/v1/services/orders/call/stock/reel")
		if got.status == http.StatusNotFound {
			return poll.Success()
		}
		return poll.Continue("%+v", got)
	}, poll.WithTimeout(30*time.Second))
	answer := make(chan reply, 1)
	go func() { answer <- call(http.MethodPost, s.callers+"/v1/services/orders/call/bookings") }()
	<-s.service.entered
	return answer
}

func call(method, url string) reply {
	request, err := http.NewRequest(method, url, strings.NewReader(`{"reel":1}`))
	if err != nil {
		return reply{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+whole.SampleToken)
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, body: string(body), err: err}
}

// Guards against a planned stop that cuts open requests: the open booking gets a
// complete answer, and the process ends with code 0.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	s := newSystem(t)
	answer := s.book(t)
	s.entry.signal()
	s.entry.waitLog(t, "msg=leaving")
	close(s.service.release)
	got := <-answer
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK, got.body)
	assert.Equal(t, <-s.entry.code, exit.OK)
	s.agent.signal()
	assert.Equal(t, <-s.agent.code, exit.OK)
}

// Guards against requests that are cut without a trace: after a second SIGTERM the
// process ends at once and logs the ids of the cut requests.
func TestSecondSignalLogsCutRequests(t *testing.T) {
	s := newSystem(t)
	answer := s.book(t)
	s.entry.signal()
	s.entry.waitLog(t, "msg=leaving")
	close(s.entry.forceStop)
	assert.Equal(t, <-s.entry.code, exit.Cut)
	s.entry.waitLog(t, `msg="request cut" .*reason="second signal" what=[0-9a-f]{24}`)
	close(s.service.release)
	<-answer
}

// Guards against a planned stop that waits forever for a request that doesn't end:
// at the time limit the process ends and logs the ids of the cut requests.
func TestTimeLimitLogsCutRequests(t *testing.T) {
	s := newSystem(t, "--drain-ms=50")
	answer := s.book(t)
	s.entry.signal()
	assert.Equal(t, <-s.entry.code, exit.Cut)
	s.entry.waitLog(t, `msg="request cut" .*reason="time limit of the planned stop" what=[0-9a-f]{24}`)
	close(s.service.release)
	<-answer
}

func TestStatusOnTheOperatorsPort(t *testing.T) {
	s := newSystem(t)
	base := "http://" + s.entry.address(t, "operators")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		response, err := http.Get(base + admin.PathStatus)
		if err != nil {
			return poll.Error(err)
		}
		defer func() { _ = response.Body.Close() }()
		var status admin.Status
		if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
			return poll.Error(err)
		}
		if status.Release == 1 && status.Ready && status.Process == "entry-1" {
			return poll.Success()
		}
		return poll.Continue("%+v", status)
	}, poll.WithTimeout(30*time.Second))
}

func TestInvalidSettingsAreListedAndNothingStarts(t *testing.T) {
	r := start(t, "entry", "--process=entry-1", "--callers=localhost:1", "--drain-ms=x")
	assert.Equal(t, <-r.code, exit.Invalid)
	assert.Assert(t, strings.Contains(r.log.String(), "--drain-ms"), r.log.String())
	r = start(t, "entry", "--process=entry-1", "--callers=localhost:1")
	assert.Equal(t, <-r.code, exit.Invalid)
	for _, path := range []string{"availabilityZone", "platformUrl", "operators", "callers"} {
		assert.Assert(t, strings.Contains(r.log.String(), path+": "), r.log.String())
	}
}

func TestUnknownFlagIsAUsageError(t *testing.T) {
	r := start(t, "agent", "--pol=x")
	assert.Equal(t, <-r.code, exit.Usage)
}

// The start fails if another process listens on the address, and the error names
// the step.
func TestAddressInUse(t *testing.T) {
	s := newSystem(t)
	taken := strings.TrimPrefix(s.callers, "http://")
	r := start(t, "entry", "--process=entry-2", "--availability-zone=za", "--platform-url="+s.url,
		"--operators=127.0.0.1:0", "--callers="+taken)
	assert.Equal(t, <-r.code, exit.Failed)
	assert.Assert(t, strings.Contains(r.log.String(), "callers' port"), r.log.String())
}

// Guards against callers that exhaust the memory of the process: a request above
// one of the limits is refused, and other requests are served.
func TestLimitsForCallers(t *testing.T) {
	s := newSystem(t, "--max-body-bytes=1000", "--max-header-bytes=4096", "--max-open=1")
	answer := s.book(t)
	send := func(body, header string) int {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.callers+"/v1/services/orders/call/bookings", strings.NewReader(body))
		assert.NilError(t, err)
		request.Header.Set("Authorization", "Bearer "+whole.SampleToken)
		request.Header.Set("X-Large", header)
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		return response.StatusCode
	}
	assert.Equal(t, send("{}", ""), http.StatusTooManyRequests, "more open requests than allowed")
	close(s.service.release)
	assert.Equal(t, (<-answer).status, http.StatusOK)
	assert.Equal(t, send("{}", strings.Repeat("x", 32<<10)), http.StatusRequestHeaderFieldsTooLarge)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		// The slot of the booking is released shortly after its answer.
		status := send(strings.Repeat(" ", 2000), "")
		if status == http.StatusRequestEntityTooLarge {
			return poll.Success()
		}
		return poll.Continue("%d", status)
	}, poll.WithTimeout(30*time.Second))
}
