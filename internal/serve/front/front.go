// Package front serves an entry's callers over HTTP. It authenticates them,
// checks which services they may call, enforces limits and deadlines, sends
// complete or streamed answers, and writes all refusals in one JSON format.
package front

import (
	"context"
	"net/http"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/flow/claim"
	"github.com/jujubescale/jujubescale/internal/guard/body"
	"github.com/jujubescale/jujubescale/internal/serve/meter"
	"github.com/jujubescale/jujubescale/internal/serve/runs"
	"github.com/jujubescale/jujubescale/internal/serve/trace"
	"github.com/jujubescale/jujubescale/internal/serve/upload"
	"github.com/jujubescale/jujubescale/internal/share/spread"
)

// Config configures a Front. All fields but Claims must be set.
type Config struct {
	Clock  *clock.Clock
	Log    *log.Logger
	Holder *spread.Holder
	Meter  *meter.Entry
	Trace  *trace.Trace
	// Registerer registers the metrics of the bodies.
	Registerer prometheus.Registerer
	// Runs executes the stages of requests.
	Runs *runs.Runs
	// Claims stores the claims of idempotency keys. Without it, calls that have
	// a key and may not be repeated are refused.
	Claims *claim.Registry
	// Gate returns a refusal while all new requests must be refused, else nil.
	Gate func() *fault.RefusalError
	// Leaving reports whether the process is draining.
	Leaving func() bool
	// Ready answers the load balancer's readiness checks.
	Ready http.HandlerFunc
	// Base cancels all requests when it is cancelled.
	Base context.Context
	// MaxBodyBytes is the largest request body, in bytes.
	MaxBodyBytes int64
	// MemoryBytes is the memory of the process. The bodies of open requests take a fifth of it; see serve/upload.
	MemoryBytes int64
	// MaxOpen is the largest number of open requests of all callers.
	MaxOpen int
	// MaxOpenPerOrganisation is the largest number of open requests of an
	// organisation for which the manifest sets no limit.
	MaxOpenPerOrganisation int
}

// Front is the HTTP interface for callers.
type Front struct {
	config Config
	open   openRequests
	bodies *upload.Book
}

// New returns a Front.
func New(config Config) *Front {
	ledger := body.New(body.Limits{Memory: config.MemoryBytes})
	return &Front{config: config, bodies: upload.New(ledger, config.Registerer, upload.WithClock(config.Clock), upload.WithLog(config.Log))}
}

// Sweep makes bodies that stall give way to others. It must be called several times a second.
func (f *Front) Sweep() { f.bodies.Sweep() }

// Open returns the number of open requests.
func (f *Front) Open() int { return f.open.count() }

// OpenRequests returns the IDs of the open requests.
func (f *Front) OpenRequests() []string { return f.open.list() }
