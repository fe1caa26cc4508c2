package engine

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/jujubescale/jujubescale/internal/stand/slots"
)

// event is one change of the prefix cache.
type event struct {
	Seq    uint64 `json:"seq"`
	Prefix string `json:"prefix"`
	Op     string `json:"op"`
	at     time.Time
}

type eventList struct {
	Events []event `json:"events"`
}

// maxEvents is the number of latest events that are kept. A reader that is
// further behind misses the older ones.
const maxEvents = 1024

// cache is an LRU cache of prompt prefixes, the least recently used first.
type cache struct {
	mu        sync.Mutex
	size      int
	delay     time.Duration
	dropEvery int
	prefixes  []string
	seq       uint64
	events    []event
	hits      int
	misses    int
}

func newCache(s settings) *cache {
	return &cache{size: s.cacheSize, delay: s.eventDelay, dropEvery: s.dropEventEvery}
}

// lookupOrAdd reports whether the prefix is cached, and adds it if not. The prefix
// becomes the most recently used.
func (c *cache) lookupOrAdd(prefix string) bool {
	if prefix == "" {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.touch(prefix) {
		c.hits++
		return true
	}
	c.misses++
	c.add(prefix)
	return false
}

// touch reports whether the prefix is cached, and makes it the most recently
// used.
func (c *cache) touch(prefix string) bool {
	for i, cached := range c.prefixes {
		if cached == prefix {
			c.prefixes = append(append(c.prefixes[:i:i], c.prefixes[i+1:]...), prefix)
			return true
		}
	}
	return false
}

// add caches a prefix and evicts the least recently used one if the cache is
// over its size.
func (c *cache) add(prefix string) {
	c.prefixes = append(c.prefixes, prefix)
	c.publish(prefix, "add")
	if len(c.prefixes) > c.size {
		c.publish(c.prefixes[0], "drop")
		c.prefixes = c.prefixes[1:]
	}
}

// publish records an event, or skips its sequence number if this event is one
// to drop.
func (c *cache) publish(prefix, op string) {
	c.seq++
	if c.dropEvery > 0 && c.seq%uint64(c.dropEvery) == 0 {
		return
	}
	c.events = append(c.events, event{Seq: c.seq, Prefix: prefix, Op: op, at: time.Now()})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prefixes, c.events = nil, nil
}

// Hits returns how many prompts had their prefix in the cache, and how many had
// not.
func (e *Engine) Hits() (hits, misses int) {
	e.cache.mu.Lock()
	defer e.cache.mu.Unlock()
	return e.cache.hits, e.cache.misses
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	list := eventList{Events: []event{}}
	e.cache.mu.Lock()
	for _, event := range e.cache.events {
		if event.Seq > after && time.Since(event.at) >= e.cache.delay {
			list.Events = append(list.Events, event)
		}
	}
	e.cache.mu.Unlock()
	slots.WriteJSON(w, http.StatusOK, list)
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	prefix := chi.URLParam(r, "*")
	e.cache.mu.Lock()
	cached := e.cache.touch(prefix)
	e.cache.mu.Unlock()
	if !cached {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if _, err := io.WriteString(w, "kv:"+prefix); err != nil {
		return // the client disconnected
	}
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	prefix := chi.URLParam(r, "*")
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil || string(body) != "kv:"+prefix {
		http.Error(w, "body is not the KV cache of this prefix", http.StatusBadRequest)
		return
	}
	e.cache.mu.Lock()
	if !e.cache.touch(prefix) {
		e.cache.add(prefix)
	}
	e.cache.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}
