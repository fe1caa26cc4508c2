package host_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/engine/conn"
	"github.com/jujubescale/jujubescale/internal/engine/spell"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/route/view"
	"github.com/jujubescale/jujubescale/internal/serve/host"
)

const pool = "encode"

// engine is a stage engine that speaks JSON of this test's own.
type engine struct {
	name   string
	server *httptest.Server
	// answer decides what becomes of each piece.
	answer func(piece spell.Piece) spell.Result
	refuse atomic.Bool
	hold   chan struct{}
	// lose is how many answers are lost: the call runs, and nothing is sent.
	lose    atomic.Int64
	running atomic.Int64

	mu    sync.Mutex
	made  []string
	freed []string
}

func newEngine(t *testing.T, name string) *engine {
	t.Helper()
	e := &engine{name: name}
	e.answer = func(piece spell.Piece) spell.Result {
		return spell.Result{Reference: fmt.Sprintf("%s/%s/%d", name, piece.Request, piece.Index)}
	}
	e.server = httptest.NewServer(http.HandlerFunc(e.serve))
	t.Cleanup(e.server.Close)
	return e
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/report":
		_ = json.NewEncoder(w).Encode(spell.StageReport{FreeLeast: 1000, FreeMost: 1000, Busy: e.running.Load() > 0})
		return
	case "/unused":
		var references []string
		_ = json.NewDecoder(r.Body).Decode(&references)
		e.mu.Lock()
		e.freed = append(e.freed, references...)
		e.mu.Unlock()
		return
	}
	if e.refuse.Load() {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var pieces []spell.Piece
	_ = json.NewDecoder(r.Body).Decode(&pieces)
	e.running.Add(1)
	if e.hold != nil {
		<-e.hold
	}
	results := make([]spell.Result, 0, len(pieces))
	e.mu.Lock()
	for _, piece := range pieces {
		results = append(results, e.answer(piece))
		e.made = append(e.made, piece.Request)
	}
	e.mu.Unlock()
	e.running.Add(-1)
	if e.lose.Add(-1) >= 0 {
		<-r.Context().Done()
		return
	}
	_ = json.NewEncoder(w).Encode(results)
}

// awaitFreed waits until so many results were given back.
func (e *engine) awaitFreed(t *testing.T, count int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		e.mu.Lock()
		defer e.mu.Unlock()
		if len(e.freed) == count {
			return poll.Success()
		}
		return poll.Continue("%v", e.freed)
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
}

func spelling() *spell.Spelling {
	return &spell.Spelling{
		PiecesPath: "/pieces", UnusedPath: "/unused", ReportPath: "/report",
		InstanceFunc: func(buf []byte, _ string) []byte { return buf },
		MarksFunc:    func(h http.Header) spell.Marks { return spell.Marks{NotRun: h.Get("Not-Run") != ""} },
		PiecesFunc:   func(pieces []spell.Piece) ([]byte, error) { return json.Marshal(pieces) },
		ResultsFunc: func(raw []byte, _ int) ([]spell.Result, error) {
			var results []spell.Result
			return results, json.Unmarshal(raw, &results)
		},
		ReportFunc: func(raw []byte) (spell.StageReport, error) {
			var report spell.StageReport
			return report, json.Unmarshal(raw, &report)
		},
		UnusedFunc: func(references []string) ([]byte, error) { return json.Marshal(references) },
	}
}

// bench is a host with its engines; extras are the repeats that are allowed.
type bench struct {
	*host.Host
	t      *testing.T
	extras atomic.Int64
}

func start(t *testing.T, engines ...*engine) *bench {
	t.Helper()
	return startWith(t, 20, engines...)
}

// startWith is start with calls that are expected to take so long.
func startWith(t *testing.T, callTime clock.Millis, engines ...*engine) *bench {
	t.Helper()
	b := &bench{t: t}
	b.extras.Store(100)
	routes := table.New(table.Content{Pools: []table.Pool{{
		Name: pool, Batching: &table.Batching{Calls: 1, Queue: 2, Pieces: 4, CallTime: callTime, PieceTime: 1, Room: 1000, Keep: 4000},
	}}})
	book := view.New()
	var entries []view.Entry
	for _, e := range engines {
		entries = append(entries, view.Entry{ID: e.name, StartedAt: 1, Address: strings.TrimPrefix(e.server.URL, "http://"), Pool: pool})
	}
	book.Sync(entries, 1, 0)
	book.Publish()
	groups := map[*view.Endpoint]*conn.Group{}
	book.Snapshot().Each(func(e *view.Endpoint) { groups[e] = conn.New(e.Address) })
	b.Host = host.New(t.Context(), host.Settings{
		Clock: clock.New(), Log: log.New(io.Discard), Spelling: spelling(),
		Table: func() *table.Table { return routes }, View: book.Snapshot,
		Conns: func(e *view.Endpoint) *conn.Group { return groups[e] },
		Retry: func(string) bool { return b.extras.Add(-1) >= 0 }, Earn: func(string) {},
		Meter: host.NewMeter(prometheus.NewRegistry()),
	})
	ended := make(chan struct{})
	go func() { b.Run(t.Context()); close(ended) }()
	t.Cleanup(func() { <-ended })
	return b
}

// ask asks for pieces of one request and returns where its end arrives.
func (b *bench) ask(request string, pieces int, timeLeft clock.Millis) (*host.Job, <-chan host.Outcome) {
	outcome := make(chan host.Outcome, 10)
	job := b.Submit(&wire.Pieces{
		Pool: pool, Request: request, Count: pieces, Key: "k", TimeLeft: timeLeft, Slack: timeLeft, Bytes: 100,
	}, func() {}, func(o host.Outcome) { outcome <- o })
	return job, outcome
}

func (b *bench) wait(outcome <-chan host.Outcome) host.Outcome {
	b.t.Helper()
	select {
	case o := <-outcome:
		return o
	case <-time.After(10 * time.Second):
		b.t.Fatal("no outcome")
		return host.Outcome{}
	}
}

// awaitBusy waits until every engine works on a call.
func (b *bench) awaitBusy() {
	b.t.Helper()
	poll.WaitOn(b.t, func(poll.LogT) poll.Result {
		if load, known := b.Load(pool); known && load.Free == 0 {
			return poll.Success()
		}
		return poll.Continue("not running")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
}

func TestPiecesAreMadeForTheirRequest(t *testing.T) {
	b := start(t, newEngine(t, "e1"))
	_, first := b.ask("r1", 2, 5000)
	_, second := b.ask("r2", 1, 5000)
	assert.DeepEqual(t, b.wait(first).References, []string{"e1/r1/0", "e1/r1/1"})
	assert.DeepEqual(t, b.wait(second).References, []string{"e1/r2/0"})
}

// An engine refuses calls, as one does that has another owner for a moment, and
// no repeat is allowed just then. The request is not failed for that: its pieces
// wait, and are made once a repeat is allowed.
func TestRefusedPiecesWaitForTheBudget(t *testing.T) {
	e := newEngine(t, "e1")
	e.refuse.Store(true)
	b := start(t, e)
	b.extras.Store(0)
	_, outcome := b.ask("r", 2, 5000)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if load, _ := b.Load(pool); len(load.Waiting) > 0 && load.Free == 0 {
			return poll.Success()
		}
		return poll.Continue("not refused yet")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
	e.refuse.Store(false)
	b.extras.Store(2)
	o := b.wait(outcome)
	assert.Equal(t, o.Reason, fault.Reason(""))
	assert.DeepEqual(t, o.References, []string{"e1/r/0", "e1/r/1"})
}

// An engine fails every piece. The request hears it after a few tries and does
// not wait for its deadline.
func TestPieceThatAlwaysFailsEnds(t *testing.T) {
	e := newEngine(t, "e1")
	e.answer = func(spell.Piece) spell.Result { return spell.Result{Failure: spell.FailedWork} }
	b := start(t, e)
	_, outcome := b.ask("r", 1, 60_000)
	assert.Equal(t, b.wait(outcome).Reason, fault.EndpointFailed)
	assert.Equal(t, len(e.made), 3)
}

// All processes were killed, and the results of their requests fill the engines
// for some seconds. An engine refuses a call that finds no memory within a
// millisecond. Called again at once, it refuses each piece three times before any
// memory is free again, and the callers who came first after the restart get
// nothing.
func TestEngineWithoutMemoryIsLeftAloneForAMoment(t *testing.T) {
	e := newEngine(t, "e1")
	var calls atomic.Int64
	freeFrom := time.Now().Add(300 * time.Millisecond)
	made := e.answer
	e.answer = func(piece spell.Piece) spell.Result {
		calls.Add(1)
		if time.Now().Before(freeFrom) {
			return spell.Result{Failure: spell.FailedRoom}
		}
		return made(piece)
	}
	b := start(t, e)
	_, outcome := b.ask("r1", 1, 8000)
	got := b.wait(outcome)
	assert.Equal(t, got.Reason, fault.Reason(""))
	assert.DeepEqual(t, got.References, []string{"e1/r1/0"})
	assert.Assert(t, calls.Load() <= 6, "%d calls", calls.Load())
}

// askInputs asks for a piece that reads inputs, and returns where the news that it
// has read them arrives, and its end.
func (b *bench) askInputs(request string) (fetched chan struct{}, outcome chan host.Outcome) {
	fetched, outcome = make(chan struct{}, 1), make(chan host.Outcome, 1)
	b.Submit(&wire.Pieces{
		Pool: pool, Request: request, Count: 1, Inputs: []string{"e9/i/0"}, TimeLeft: 8000, Slack: 8000, Bytes: 100,
	}, func() { fetched <- struct{}{} }, func(o host.Outcome) { outcome <- o })
	return fetched, outcome
}

// A pool has a new owner, and an engine still works for the one before. The new
// owner's call waits there, and reads its inputs later than in other calls. Were
// they given back by time alone, they would be gone by then, and all stages of
// the request would run again.
func TestInputsAreKeptWhereAnotherOwnerMayGoFirst(t *testing.T) {
	e := newEngine(t, "e1")
	e.hold = make(chan struct{})
	b := start(t, e)
	fetched, outcome := b.askInputs("first")
	b.awaitBusy()
	<-time.After(100 * time.Millisecond) // ten times as long as inputs take elsewhere
	assert.Equal(t, len(fetched), 0)
	e.hold <- struct{}{}
	assert.Equal(t, b.wait(outcome).Reason, fault.Reason(""))
}

// An engine answers in the time that its calls take. It has no other owner, and
// memory for its inputs is freed while the next call still runs.
func TestInputsAreFreedEarlyAtAnEngineThatKeepsTime(t *testing.T) {
	e := newEngine(t, "e1")
	e.hold = make(chan struct{})
	b := start(t, e)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, quick := b.askInputs("quick")
		e.hold <- struct{}{}
		assert.Equal(t, b.wait(quick).Reason, fault.Reason(""))
		fetched, held := b.askInputs("held")
		defer b.wait(held)
		defer func() { e.hold <- struct{}{} }()
		select {
		case <-fetched:
			return poll.Success()
		case <-time.After(200 * time.Millisecond):
			return poll.Continue("the quick call was not quick")
		}
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
}

// The process that asked was killed while its pieces wait and others are made.
// Nobody needs them: what waits is not made any more, and what was made is given
// back when the memory is wanted.
func TestQuestionsOfALostProcessEnd(t *testing.T) {
	e := newEngine(t, "e1")
	e.hold = make(chan struct{})
	b := start(t, e)
	running, outcome := b.ask("running", 4, 5000)
	b.awaitBusy()
	waiting, other := b.ask("waiting", 4, 5000)
	b.Abandon(running)
	b.Abandon(waiting)
	assert.Equal(t, b.wait(outcome).Reason, fault.Leaving)
	assert.Equal(t, b.wait(other).Reason, fault.Leaving)
	close(e.hold)
	_, next := b.ask("next", 4, 5000)
	assert.Equal(t, b.wait(next).Reason, fault.Reason(""))
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, request := range e.made {
		assert.Assert(t, request != "waiting")
	}
}

// A process that was killed had been handed results. They are given back though
// it never will, and only those that still lie there.
func TestResultsOfAnEndedProcessAreReclaimed(t *testing.T) {
	e := newEngine(t, "e1")
	b := start(t, e)
	_, outcome := b.ask("handed", 4, 5000)
	made := b.wait(outcome)
	unused := &wire.Unused{Pool: pool, References: append(made.References, "e1/long/gone"), Bytes: []int64{100, 100, 100, 100, 100}}
	b.Reclaim(unused)
	e.awaitFreed(t, len(made.References))
}

// The caller leaves while a call is under way. Nobody hears of its results, and
// what was made is given back when the memory is wanted.
func TestResultsOfADroppedRequestAreGivenBack(t *testing.T) {
	e := newEngine(t, "e1")
	e.hold = make(chan struct{})
	b := start(t, e)
	job, outcome := b.ask("gone", 4, 5000)
	b.awaitBusy()
	b.Drop(job)
	_, other := b.ask("other", 4, 5000)
	close(e.hold)
	assert.Equal(t, b.wait(other).Reason, fault.Reason(""))
	e.awaitFreed(t, 4)
	assert.Equal(t, len(outcome), 0)
}

// The owner leaves as planned. What runs ends here, and what only waits goes
// back at once, so that the next owner makes it.
func TestWaitingWorkIsGivenBackOnAPlannedStop(t *testing.T) {
	e := newEngine(t, "e1")
	e.hold = make(chan struct{})
	b := start(t, e)
	_, running := b.ask("running", 4, 5000)
	b.awaitBusy()
	_, waiting := b.ask("waiting", 4, 5000)
	b.Retire()
	assert.Equal(t, b.wait(waiting).Reason, fault.Leaving)
	close(e.hold)
	assert.Equal(t, b.wait(running).Reason, fault.Reason(""))
}

// Engines refuse, fail pieces, lack memory and lose inputs at random, and
// requests are dropped. Every request that stays hears exactly one end, and what
// it is given was made for it.
func TestEachRequestHearsOneEnd(t *testing.T) {
	var calls atomic.Int64
	failures := []spell.Failure{"", "", "", spell.FailedWork, "", spell.FailedRoom, "", "", spell.FailedInput, ""}
	var engines []*engine
	for i := range 3 {
		e := newEngine(t, fmt.Sprint("e", i))
		made := e.answer
		e.answer = func(piece spell.Piece) spell.Result {
			n := calls.Add(1)
			e.refuse.Store(n%17 < 3)
			if failure := failures[n%int64(len(failures))]; failure != "" {
				return spell.Result{Failure: failure}
			}
			return made(piece)
		}
		engines = append(engines, e)
	}
	b := start(t, engines...)
	b.extras.Store(1 << 20)
	const requests = 120
	outcomes := make([]<-chan host.Outcome, requests)
	for i := range requests {
		job, outcome := b.ask(fmt.Sprint("r", i), 1+i%3, 3000)
		if i%10 == 9 {
			b.Drop(job)
			continue
		}
		outcomes[i] = outcome
	}
	for i, outcome := range outcomes {
		if outcome == nil {
			continue
		}
		o := b.wait(outcome)
		for _, reference := range o.References {
			assert.Assert(t, strings.Contains(reference, fmt.Sprintf("/r%d/", i)), "%s for r%d", reference, i)
		}
		assert.Assert(t, o.Reason != "" || len(o.References) == 1+i%3)
	}
	for _, outcome := range outcomes {
		assert.Equal(t, len(outcome), 0, "a second end")
	}
}

// Guards against an engine that stands idle for the whole limit of a call, because
// the call's answer was lost on its way.
func TestLostAnswerIsNoticed(t *testing.T) {
	e := newEngine(t, "e1")
	e.lose.Store(1)
	b := startWith(t, 500, e)
	began := time.Now()
	_, outcome := b.ask("r", 2, 60_000)
	o := b.wait(outcome)
	assert.DeepEqual(t, o.References, []string{"e1/r/0", "e1/r/1"})
	assert.Equal(t, len(e.made), 4, "the pieces were made twice")
	// The limit of such a call is 2.4 s.
	assert.Assert(t, time.Since(began) < 2*time.Second, "%v", time.Since(began))
	assert.Equal(t, b.extras.Load(), int64(98))
}

// Guards against a slow engine whose call is taken for ended: it is asked, and says
// that it works.
func TestSlowEngineKeepsItsCall(t *testing.T) {
	e := newEngine(t, "e1")
	e.hold = make(chan struct{})
	b := start(t, e)
	_, outcome := b.ask("r", 1, 60_000)
	b.awaitBusy()
	time.AfterFunc(420*time.Millisecond, func() { close(e.hold) })
	assert.DeepEqual(t, b.wait(outcome).References, []string{"e1/r/0"})
	assert.Equal(t, len(e.made), 1)
}
