// Package engine is the stand-in for a model engine: continuous batching,
// streams of tokens that resume and cancel, a prefix cache in limited memory,
// orders with fencing numbers, and KV export and import.
package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/jujubescale/jujubescale/internal/stand/slots"
)

// Engine is one model engine.
type Engine struct {
	settings settings
	Slots    *slots.Slots
	Frontend *slots.Frontend
	cache    *cache

	start   sync.Mutex
	mu      sync.Mutex
	runs    map[string]*stream
	models  map[string]bool
	role    string
	highest uint64
	orders  []Order
}

// Option changes an Engine while it is built.
type Option func(*settings)

type settings struct {
	capacity    slots.Config
	prefill     time.Duration
	cached      time.Duration
	perToken    time.Duration
	tokens      int
	lag         time.Duration
	cacheSize   int
	models      []string
	checksFence bool
	load        func(done <-chan struct{}) bool
	resumeFor   time.Duration
	eventDelay  time.Duration
	eventGaps   int
}

// WithEventFaults makes cache events late, and leaves out one in every gap of
// them (0: none).
func WithEventFaults(delay time.Duration, gap int) Option {
	return func(s *settings) { s.eventDelay, s.eventGaps = delay, gap }
}

// WithCapacity sets what the engine bears.
func WithCapacity(capacity slots.Config) Option { return func(s *settings) { s.capacity = capacity } }

// WithTimes sets the engine time of a prompt, of a prompt whose prefix is
// cached, and of one token.
func WithTimes(prefill, cached, perToken time.Duration) Option {
	return func(s *settings) { s.prefill, s.cached, s.perToken = prefill, cached, perToken }
}

// WithTokens sets how many tokens an answer has when nobody asks for a number.
func WithTokens(tokens int) Option { return func(s *settings) { s.tokens = tokens } }

// WithLoadLag sets how old the load report is.
func WithLoadLag(lag time.Duration) Option { return func(s *settings) { s.lag = lag } }

// WithCacheSize sets how many prefixes the cache holds.
func WithCacheSize(prefixes int) Option { return func(s *settings) { s.cacheSize = prefixes } }

// WithModels sets the models, as name@version, that the engine has at its start.
func WithModels(models ...string) Option { return func(s *settings) { s.models = models } }

// WithFenceCheck makes the engine refuse orders with an old fencing number.
func WithFenceCheck() Option { return func(s *settings) { s.checksFence = true } }

// WithLoader replaces how a model's weights are loaded; it reports whether
// they came before done closed.
func WithLoader(load func(done <-chan struct{}) bool) Option {
	return func(s *settings) { s.load = load }
}

// New returns a warm engine.
func New(opts ...Option) *Engine {
	s := settings{
		capacity: slots.Config{Limit: 8, ColdLimit: 2, ColdWork: time.Second},
		prefill:  30 * time.Millisecond, cached: 5 * time.Millisecond, perToken: 5 * time.Millisecond,
		tokens: 16, cacheSize: 64, resumeFor: 30 * time.Second,
		load: func(<-chan struct{}) bool { return true },
	}
	for _, opt := range opts {
		opt(&s)
	}
	capacity := slots.New(s.capacity)
	e := &Engine{
		settings: s, Slots: capacity, Frontend: slots.NewFrontend(capacity, s.lag), cache: newCache(s),
	}
	capacity.OnReset(e.lose)
	e.lose()
	return e
}

// Handler returns the engine's HTTP interface as docs/INTERFACES.md has it.
func (e *Engine) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post("/v1/generate", e.serveGenerate)
	router.Delete("/v1/generate/*", e.serveCancel)
	router.Get("/v1/load", e.serveLoad)
	router.Get("/v1/cache/events", e.serveEvents)
	router.Post("/v1/orders", e.serveOrder)
	router.Get("/v1/kv/*", e.serveExport)
	router.Put("/v1/kv/*", e.serveImport)
	return e.Frontend.Guard(router)
}

// lose forgets what an engine's process keeps in memory: the cache, the
// streams, and all models but those it starts with.
func (e *Engine) lose() {
	e.cache.clear()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = make(map[string]*stream)
	e.models = make(map[string]bool)
	for _, model := range e.settings.models {
		e.models[model] = true
	}
}

// Orders returns the orders that took effect, in that sequence.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

// StreamCount returns how many streams the engine remembers.
func (e *Engine) StreamCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	load := e.Frontend.Report()
	e.mu.Lock()
	for model := range e.models {
		load.Models = append(load.Models, model)
	}
	load.Role = e.role
	e.mu.Unlock()
	slots.WriteJSON(w, http.StatusOK, load)
}
