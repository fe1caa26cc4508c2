// Package pool is the stand-in for an encoder, retriever or reranker.
package pool

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/jujubescale/jujubescale/internal/stand/slots"
)

// Pool is one endpoint that answers POST /v1/run.
type Pool struct {
	kind     string
	work     time.Duration
	Slots    *slots.Slots
	Frontend *slots.Frontend
}

// Option configures a Pool.
type Option func(*settings)

type settings struct {
	capacity slots.Config
	work     time.Duration
	lag      time.Duration
}

// WithCapacity sets the capacity of the endpoint.
func WithCapacity(capacity slots.Config) Option { return func(s *settings) { s.capacity = capacity } }

// WithWork sets the engine time of one run.
func WithWork(work time.Duration) Option { return func(s *settings) { s.work = work } }

// WithLoadLag sets the age of the load report.
func WithLoadLag(lag time.Duration) Option { return func(s *settings) { s.lag = lag } }

// New returns a warm endpoint of a kind: encode, retrieve or rerank.
func New(kind string, opts ...Option) *Pool {
	s := settings{
		capacity: slots.Config{Limit: 16, ColdLimit: 4, ColdWork: 200 * time.Millisecond},
		work:     5 * time.Millisecond,
	}
	for _, opt := range opts {
		opt(&s)
	}
	capacity := slots.New(s.capacity)
	return &Pool{kind: kind, work: s.work, Slots: capacity, Frontend: slots.NewFrontend(capacity, s.lag)}
}

// Handler returns the endpoint's HTTP interface.
func (p *Pool) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post("/v1/run", p.serveRun)
	router.Get("/v1/load", p.Frontend.ServeLoad)
	return p.Frontend.Guard(router)
}

type runRequest struct {
	Input    json.RawMessage `json:"input"`
	Previous json.RawMessage `json:"previous"`
}

type output struct {
	Kind string `json:"kind"`
	// Echo repeats the caller's echo mark, which makes mixed-up answers
	// detectable.
	Echo string `json:"echo,omitempty"`
}

type runAnswer struct {
	Output output `json:"output"`
}

// maxBody is the maximum size of a request body, in bytes.
const maxBody = 4 << 20

func (p *Pool) serveRun(w http.ResponseWriter, r *http.Request) {
	var request runRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&request); err != nil {
		http.Error(w, "body is not a run request", http.StatusBadRequest)
		return
	}
	run, err := p.Slots.Begin(r.Header.Get("X-Request-Id"), 0)
	if err != nil {
		slots.Refuse(w, err)
		return
	}
	err = run.Work(r.Context(), p.work)
	run.End(err == nil)
	if err != nil || p.Frontend.ShouldTruncate() {
		panic(http.ErrAbortHandler)
	}
	slots.WriteJSON(w, http.StatusOK, runAnswer{Output: output{Kind: p.kind, Echo: slots.EchoOf(request.Input)}})
}
