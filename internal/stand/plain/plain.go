// Package plain is the stand-in for a plain service. It counts how often each
// call ran, because some calls must not be repeated.
package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/jujubescale/jujubescale/internal/stand/slots"
)

// Ledger counts the runs of each call, over all endpoints of a service.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: make(map[string]int)} }

// Runs returns how often the call with an Idempotency-Key, echo mark or request
// id ran.
func (l *Ledger) Runs(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[key]
}

// Doubled returns the keys of the calls that ran more than once, in no order.
func (l *Ledger) Doubled() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var doubled []string
	for key, runs := range l.runs {
		if runs > 1 {
			doubled = append(doubled, key)
		}
	}
	return doubled
}

// add counts a run once for each distinct key that is not empty.
func (l *Ledger) add(keys ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := make(map[string]bool, len(keys))
	for _, key := range keys {
		if key != "" && !seen[key] {
			l.runs[key]++
			seen[key] = true
		}
	}
}

// Plain is one endpoint of a plain service.
type Plain struct {
	work     time.Duration
	ledger   *Ledger
	Slots    *slots.Slots
	Frontend *slots.Frontend

	mu    sync.Mutex
	close CloseAt
}

// CloseAt is the point of a call at which the endpoint closes the connection
// without an answer.
type CloseAt string

// Points of a call: before it runs, after it takes effect but before the work,
// and after the work.
const (
	CloseNever  CloseAt = ""
	CloseBefore CloseAt = "before"
	CloseDuring CloseAt = "during"
	CloseAfter  CloseAt = "after"
)

// Option configures a Plain.
type Option func(*settings)

type settings struct {
	capacity slots.Config
	work     time.Duration
	lag      time.Duration
	ledger   *Ledger
}

// WithCapacity sets the capacity of the endpoint.
func WithCapacity(capacity slots.Config) Option { return func(s *settings) { s.capacity = capacity } }

// WithWork sets the engine time of one call.
func WithWork(work time.Duration) Option { return func(s *settings) { s.work = work } }

// WithLoadLag sets the age of the load report.
func WithLoadLag(lag time.Duration) Option { return func(s *settings) { s.lag = lag } }

// WithLedger shares one ledger among the endpoints of a service.
func WithLedger(ledger *Ledger) Option { return func(s *settings) { s.ledger = ledger } }

// New returns a warm endpoint.
func New(opts ...Option) *Plain {
	s := settings{
		capacity: slots.Config{Limit: 16, ColdLimit: 4, ColdWork: 200 * time.Millisecond},
		work:     5 * time.Millisecond,
		ledger:   NewLedger(),
	}
	for _, opt := range opts {
		opt(&s)
	}
	capacity := slots.New(s.capacity)
	return &Plain{work: s.work, ledger: s.ledger, Slots: capacity, Frontend: slots.NewFrontend(capacity, s.lag)}
}

// Handler returns the endpoint's HTTP interface: GET /v1/load, and any other
// method and path as a call.
func (p *Plain) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/v1/load", p.Frontend.ServeLoad)
	router.HandleFunc("/*", p.serveCall)
	return p.Frontend.Guard(router)
}

// SetClose makes the endpoint close the connection of each call without an
// answer, at a point of the call.
func (p *Plain) SetClose(at CloseAt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.close = at
}

// Runs returns how often the call with a key ran, over all endpoints that share
// the ledger.
func (p *Plain) Runs(key string) int { return p.ledger.Runs(key) }

// maxBody is the maximum size of a request body, in bytes.
const maxBody = 4 << 20

type answer struct {
	Path string `json:"path"`
	Echo string `json:"echo,omitempty"`
}

func (p *Plain) serveCall(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	closeAt := p.close
	p.mu.Unlock()
	if closeAt == CloseBefore {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "request body cannot be read", http.StatusBadRequest)
		return
	}
	id := r.Header.Get("X-Request-Id")
	run, err := p.Slots.Begin(id, 0)
	if err != nil {
		slots.Refuse(w, err)
		return
	}
	echo := slots.EchoOf(json.RawMessage(body))
	// The call takes effect at its start, and the effect stays if the work is
	// aborted.
	p.ledger.add(r.Header.Get("Idempotency-Key"), echo, id)
	if closeAt == CloseDuring {
		run.End(false)
		panic(http.ErrAbortHandler)
	}
	err = run.Work(r.Context(), p.work)
	run.End(err == nil)
	if err != nil || closeAt == CloseAfter || p.Frontend.ShouldTruncate() {
		panic(http.ErrAbortHandler)
	}
	slots.WriteJSON(w, http.StatusOK, answer{Path: r.URL.Path, Echo: echo})
}
