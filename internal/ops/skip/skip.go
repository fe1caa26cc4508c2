// Package skip counts objects of other writers that are left out because they can't be read, and logs
// each by its name once.
package skip

import (
	"io"
	"sync"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubescale/jujubescale/internal/ops/logs"
)

const (
	// maxNames bounds the number of objects that are remembered as logged. Further ones are counted only.
	maxNames = 1000
	// maxText bounds the parts of a name and of an error that are logged, in bytes.
	maxText = 128
)

// Book counts and logs objects that can't be read. It is safe for concurrent use.
type Book struct {
	log     *log.Logger
	counter *prometheus.CounterVec

	mu     sync.Mutex
	logged map[[2]string]bool
}

// Option configures a Book.
type Option func(*Book)

// WithLog sets the logger.
func WithLog(l *log.Logger) Option { return func(b *Book) { b.log = l } }

// WithRegistry registers the counter.
func WithRegistry(r prometheus.Registerer) Option {
	return func(b *Book) { r.MustRegister(b.counter) }
}

// New returns an empty Book.
func New(opts ...Option) *Book {
	b := &Book{log: log.New(io.Discard), logged: make(map[[2]string]bool), counter: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "jujubescale_store_objects_unreadable_total", Help: "Objects of the store that were left out because they can't be read, by kind; each counts once.",
	}, []string{"kind"})}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Record counts and logs an object of a kind the first time that it can't be read. The name is "" if that
// can't be read either.
func (b *Book) Record(kind, name string, cause error) {
	name = cut(name)
	b.mu.Lock()
	known, full := b.logged[[2]string{kind, name}], len(b.logged) >= maxNames
	if !full {
		b.logged[[2]string{kind, name}] = true
	}
	b.mu.Unlock()
	if known {
		return
	}
	b.counter.WithLabelValues(kind).Inc()
	if !full {
		b.log.Warn("object left out", "kind", kind, "name", name, logs.KeyError, cut(cause.Error()))
	}
}

func cut(text string) string { return text[:min(len(text), maxText)] }
