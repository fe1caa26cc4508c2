// Package plain is the stand-in for a plain service, some of whose calls may
// not be repeated: it counts how often each call ran.
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

// Ledger counts the runs of each call over all endpoints of a service.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: make(map[string]int)} }

// Runs returns how often the call with this Idempotency-Key, echo mark or
// request id ran.
func (l *Ledger) Runs(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[key]
}

// Doubled returns the keys that ran more than once.
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

// CloseAt says when the endpoint closes the connection of a call without an
// answer.
type CloseAt string

// Moments at which a connection is closed.
const (
	CloseNever  CloseAt = ""
	CloseBefore CloseAt = "before"
	CloseDuring CloseAt = "during"
	CloseAfter  CloseAt = "after"
)

// Option changes a Plain while it is built.
type Option func(*settings)

type settings struct {
	capacity slots.Config
	work     time.Duration
	lag      time.Duration
	ledger   *Ledger
}

// WithCapacity sets what the endpoint bears.
func WithCapacity(capacity slots.Config) Option { return func(s *settings) { s.capacity = capacity } }

// WithWork sets the engine time of one call.
func WithWork(work time.Duration) Option { return func(s *settings) { s.work = work } }

// WithLoadLag sets how old the load report is.
func WithLoadLag(lag time.Duration) Option { return func(s *settings) { s.lag = lag } }

// WithLedger shares one ledger among the endpoints of a service.
func WithLedger(ledger *Ledger) Option { return func(s *settings) { s.ledger = ledger } }

// New returns an endpoint.
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
// answer, at that moment of its run.
func (p *Plain) SetClose(at CloseAt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.close = at
}

// Runs returns how often the call with this key ran at this service.
func (p *Plain) Runs(key string) int { return p.ledger.Runs(key) }

// maxBody bounds a request body.
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
		http.Error(w, "body can't be read", http.StatusBadRequest)
		return
	}
	id := r.Header.Get("X-Request-Id")
	run, err := p.Slots.Begin(id, 0)
	if err != nil {
		slots.Refuse(w, err)
		return
	}
	echo := slots.EchoOf(json.RawMessage(body))
	// The effect happens as the call begins, and it stays when the work is cut.
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
