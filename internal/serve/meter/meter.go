// Package meter defines the metrics of the entry. Refusals, retries, hedges and
// dropped frames are counted by reason or outcome. The counters of refusals, dropped
// frames and claims exist from the start, so that operators see a zero and not a gap.
package meter

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/flow/hedge"
	"github.com/jujubescale/jujubescale/internal/flow/stage"
)

// Uses of engine time.
const (
	// UseUseful is engine time of stages whose request got a complete answer.
	UseUseful = "useful"
	// UseWasted is all other engine time: hedges that lost, failed attempts, and
	// stages whose request was refused later.
	UseWasted = "wasted"
)

// Outcomes of claims.
const (
	ClaimHeld             = "held"
	ClaimReplayed         = "replayed"
	ClaimRefused          = "refused"
	ClaimOutcomeNotStored = "outcomeUnkept"
)

// Entry holds the metrics of an entry.
type Entry struct {
	Answered     *prometheus.CounterVec
	Refused      *prometheus.CounterVec
	Retried      *prometheus.CounterVec
	Hedged       *prometheus.CounterVec
	Dropped      *prometheus.CounterVec
	StageSeconds *prometheus.HistogramVec
	Engine       *prometheus.CounterVec
	Claims       *prometheus.CounterVec
	SessionsLost *prometheus.CounterVec
	Sessions     prometheus.Gauge
	Open         prometheus.Gauge
	Resumed      prometheus.Counter
	Cut          prometheus.Counter
}

// New creates the metrics and registers them.
func New(registerer prometheus.Registerer) *Entry {
	e := &Entry{
		Answered:     counter("answered_total", "Requests with a complete answer, by service.", "service"),
		Refused:      counter("refused_total", "Refused requests, by reason and by whether the work may have run.", "reason", "ran"),
		Retried:      counter("retried_total", "Retries at another endpoint, by pool and reason of the failed attempt.", "pool", "reason"),
		Hedged:       counter("hedged_total", "Hedges (second attempts in parallel with slow ones), by pool and outcome.", "pool", "outcome"),
		Dropped:      counter("dropped_frames_total", "Frames dropped because they did not match the state of their request, by reason.", "reason"),
		Engine:       counter("engine_seconds_total", "Engine time, by pool and use, in seconds.", "pool", "use"),
		Claims:       counter("claims_total", "Claims of idempotency keys, by outcome.", "outcome"),
		SessionsLost: counter("sessions_lost_total", "Sessions to agents that ended, by cause.", "cause"),
		StageSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "jujubescale_entry_stage_seconds", Help: "Duration of answered stages including retries, in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"pipeline", "stage"}),
		Sessions: gauge("sessions", "Open sessions to agents."),
		Open:     gauge("open_requests", "Open requests of callers."),
		Resumed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "jujubescale_entry_resumed_total", Help: "Attempts resumed on a new session.",
		}),
		Cut: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "jujubescale_entry_cut_total", Help: "Requests cut at the time limit of a planned stop.",
		}),
	}
	e.initCounters()
	registerer.MustRegister(e.Answered, e.Refused, e.Retried, e.Hedged, e.Dropped, e.Engine, e.Claims,
		e.SessionsLost, e.StageSeconds, e.Sessions, e.Open, e.Resumed, e.Cut)
	return e
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "jujubescale_entry_" + name, Help: help}, labels)
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: "jujubescale_entry_" + name, Help: help})
}

// initCounters creates the counters with a fixed set of label values, so that they are
// exported as zeros.
func (e *Entry) initCounters() {
	for _, reason := range fault.Reasons() {
		e.Refused.WithLabelValues(string(reason), string(fault.NotRun))
	}
	for _, reason := range stage.DropReasons() {
		e.Dropped.WithLabelValues(string(reason))
	}
	for _, outcome := range []string{ClaimHeld, ClaimReplayed, ClaimRefused, ClaimOutcomeNotStored} {
		e.Claims.WithLabelValues(outcome)
	}
}

// Hedge counts a hedge by its outcome.
func (e *Entry) Hedge(pool string, outcome hedge.Outcome) {
	e.Hedged.WithLabelValues(pool, string(outcome)).Inc()
}

// Drop counts a dropped frame.
func (e *Entry) Drop(reason stage.DropReason) { e.Dropped.WithLabelValues(string(reason)).Inc() }

// EngineTime adds engine time of a pool to one of its uses.
func (e *Entry) EngineTime(pool, use string, span clock.Millis) {
	if span > 0 {
		e.Engine.WithLabelValues(pool, use).Add(span.Duration().Seconds())
	}
}
