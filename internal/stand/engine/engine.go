// Package engine is the stand-in for a model engine. It has continuous
// batching, token streams that can be resumed and cancelled, a prefix cache of
// limited size, orders with fencing numbers, and KV cache export and import.
package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/jujubescale/jujubescale/internal/stand/slots"
)

// Engine is one simulated model engine.
type Engine struct {
	settings settings
	Slots    *slots.Slots
	Frontend *slots.Frontend
	cache    *cache

	start        sync.Mutex
	mu           sync.Mutex
	streams      map[string]*stream
	models       map[string]bool
	role         string
	highestFence uint64
	orders       []Order
}

// Option configures an Engine.
type Option func(*settings)

type settings struct {
	capacity       slots.Config
	prefill        time.Duration
	cachedPrefill  time.Duration
	perToken       time.Duration
	tokens         int
	loadLag        time.Duration
	cacheSize      int
	models         []string
	checksFence    bool
	load           func(done <-chan struct{}) bool
	resumeFor      time.Duration
	eventDelay     time.Duration
	dropEventEvery int
}

// WithEventFaults delays cache events, and drops every event whose sequence
// number is a multiple of dropEvery (0 drops none).
func WithEventFaults(delay time.Duration, dropEvery int) Option {
	return func(s *settings) { s.eventDelay, s.dropEventEvery = delay, dropEvery }
}

// WithCapacity sets the capacity of the engine.
func WithCapacity(capacity slots.Config) Option { return func(s *settings) { s.capacity = capacity } }

// WithTimes sets the engine time of a prompt, of a prompt whose prefix is
// cached, and of one generated token.
func WithTimes(prefill, cached, perToken time.Duration) Option {
	return func(s *settings) { s.prefill, s.cachedPrefill, s.perToken = prefill, cached, perToken }
}

// WithTokens sets the number of tokens of an answer if the request names none.
func WithTokens(tokens int) Option { return func(s *settings) { s.tokens = tokens } }

// WithLoadLag sets the age of the load report.
func WithLoadLag(lag time.Duration) Option { return func(s *settings) { s.loadLag = lag } }

// WithCacheSize sets the capacity of the prefix cache, in prefixes.
func WithCacheSize(prefixes int) Option { return func(s *settings) { s.cacheSize = prefixes } }

// WithModels sets the models, as name@version, that the engine has loaded after
// a start.
func WithModels(models ...string) Option { return func(s *settings) { s.models = models } }

// WithFenceCheck makes the engine reject orders whose fencing number is lower
// than the highest one received.
func WithFenceCheck() Option { return func(s *settings) { s.checksFence = true } }

// WithLoader sets the function that loads a model's weights. The function
// reports whether the load finished before done was closed.
func WithLoader(load func(done <-chan struct{}) bool) Option {
	return func(s *settings) { s.load = load }
}

// New returns an engine that is warm, with its start models loaded.
func New(opts ...Option) *Engine {
	s := settings{
		capacity: slots.Config{Limit: 8, ColdLimit: 2, ColdWork: time.Second},
		prefill:  30 * time.Millisecond, cachedPrefill: 5 * time.Millisecond, perToken: 5 * time.Millisecond,
		tokens: 16, cacheSize: 64, resumeFor: 30 * time.Second,
		load: func(<-chan struct{}) bool { return true },
	}
	for _, opt := range opts {
		opt(&s)
	}
	capacity := slots.New(s.capacity)
	e := &Engine{
		settings: s, Slots: capacity, Frontend: slots.NewFrontend(capacity, s.loadLag), cache: newCache(s),
	}
	capacity.OnReset(e.dropState)
	e.dropState()
	return e
}

// Handler returns the engine's HTTP interface, as specified in
// docs/INTERFACES.md.
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

// dropState drops what a restart of the engine's process loses: the prefix cache,
// the streams, and all models except the start models.
func (e *Engine) dropState() {
	e.cache.clear()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams = make(map[string]*stream)
	e.models = make(map[string]bool)
	for _, model := range e.settings.models {
		e.models[model] = true
	}
}

// Orders returns the orders that took effect, oldest first.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

// StreamCount returns the number of streams that can be resumed or cancelled.
func (e *Engine) StreamCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.streams)
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
