// Package unread counts the fields of endpoints' answers that the product does not know.
// Such a field may state a condition that the product has to meet.
package unread

import (
	"io"
	"sync"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
)

const (
	// maxFields bounds the number of different fields that are logged and counted by name.
	maxFields = 32
	// maxName bounds the part of a field's name that is kept, in bytes.
	maxName = 64
	// otherFields is the label of all fields beyond maxFields.
	otherFields = "other"
)

// Fields counts unknown fields and logs each name once. It is safe for concurrent use.
type Fields struct {
	log     *log.Logger
	counter *prometheus.CounterVec

	mu    sync.Mutex
	names map[string]bool
}

// Option configures Fields.
type Option func(*Fields)

// WithLog sets the logger.
func WithLog(l *log.Logger) Option { return func(f *Fields) { f.log = l } }

// WithRegistry registers the counter.
func WithRegistry(r prometheus.Registerer) Option {
	return func(f *Fields) { r.MustRegister(f.counter) }
}

// New returns an empty Fields.
func New(opts ...Option) *Fields {
	f := &Fields{log: log.New(io.Discard), names: make(map[string]bool), counter: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "jujubescale_answer_fields_unknown_total", Help: "Fields of endpoints' answers that no code reads, by name.",
	}, []string{"field"})}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Record counts the unknown fields of an answer of an endpoint.
func (f *Fields) Record(endpoint string, names []string) {
	for _, name := range names {
		f.record(endpoint, name[:min(len(name), maxName)])
	}
}

func (f *Fields) record(endpoint, name string) {
	f.mu.Lock()
	known := f.names[name]
	switch {
	case known:
	case len(f.names) < maxFields:
		f.names[name] = true
	default:
		known, name = true, otherFields
	}
	f.mu.Unlock()
	f.counter.WithLabelValues(name).Inc()
	if !known {
		f.log.Warn("unknown field in an answer", "field", name, "endpoint", endpoint)
	}
}
