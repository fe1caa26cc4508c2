// Package front serves the callers of an entry over HTTP: who may call what,
// under which bounds and deadline, whole or streamed answers, and the one shape
// of every refusal.
package front

import (
	"context"
	"net/http"

	"github.com/charmbracelet/log"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/flow/claim"
	"github.com/jujubescale/jujubescale/internal/serve/meter"
	"github.com/jujubescale/jujubescale/internal/serve/runs"
	"github.com/jujubescale/jujubescale/internal/serve/trace"
	"github.com/jujubescale/jujubescale/internal/share/spread"
)

// Config is what a Front works with. All fields but Book must be set.
type Config struct {
	Clock  *clock.Clock
	Log    *log.Logger
	Holder *spread.Holder
	Meter  *meter.Entry
	Trace  *trace.Trace
	// Runs carries requests through their stages.
	Runs *runs.Runs
	// Claims claims idempotency keys; without it calls that carry one and may
	// not be repeated are refused.
	Claims *claim.Registry
	// Gate may refuse all new work.
	Gate func() *fault.RefusalError
	// Leaving reports whether a planned stop has begun.
	Leaving func() bool
	// Ready answers the balancer.
	Ready http.HandlerFunc
	// Base ends all requests when it ends.
	Base context.Context
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// MaxOpen bounds the open requests of all callers.
	MaxOpen int
	// MaxOpenPerOrganisation bounds the open requests of an organisation whose manifest
	// names no bound.
	MaxOpenPerOrganisation int
}

// Front serves callers.
type Front struct {
	config Config
	open   openRequests
}

// New returns a front.
func New(config Config) *Front { return &Front{config: config} }

// Open returns the number of requests that are not finished.
func (f *Front) Open() int { return f.open.count() }

// OpenRequests returns the ids of the requests that are not finished.
func (f *Front) OpenRequests() []string { return f.open.list() }
