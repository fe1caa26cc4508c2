// Package meter holds the entry's metrics. Each refusal, retry, hedge and
// dropped frame has a counter for its reason, present from the start so that
// an operator sees a zero and not a gap.
package meter

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/flow/hedge"
	"github.com/jujubescale/jujubescale/internal/flow/stage"
)

// Use of engine time.
const (
	// UseUseful is engine time of stages whose request was answered whole.
	UseUseful = "useful"
	// UseWasted is engine time of everything else: losers of hedges, broken
	// attempts, and stages whose request was refused later.
	UseWasted = "wasted"
)

// Outcomes of claims.
const (
	ClaimHeld             = "held"
	ClaimReplayed         = "replayed"
	ClaimRefused          = "refused"
	ClaimOutcomeNotStored = "outcomeUnkept"
)

// Entry is the entry's metrics.
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

// New returns the metrics and registers them.
func New(registerer prometheus.Registerer) *Entry {
	e := &Entry{
		Answered:     counter("answered_total", "Requests answered whole, by service.", "service"),
		Refused:      counter("refused_total", "Requests refused, by reason and what is known of their running.", "reason", "ran"),
		Retried:      counter("retried_total", "Attempts repeated elsewhere, by pool and reason of the failed one.", "pool", "reason"),
		Hedged:       counter("hedged_total", "Second attempts beside slow ones, by pool and outcome.", "pool", "outcome"),
		Dropped:      counter("dropped_frames_total", "Frames dropped because they did not fit their request, by reason.", "reason"),
		Engine:       counter("engine_seconds_total", "Engine time by pool and use, in seconds.", "pool", "use"),
		Claims:       counter("claims_total", "Claims of idempotency keys, by outcome.", "outcome"),
		SessionsLost: counter("sessions_lost_total", "Sessions to agents that ended, by cause.", "cause"),
		StageSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "jujubescale_entry_stage_seconds", Help: "Time of answered stages with their retries, in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"pipeline", "stage"}),
		Sessions: gauge("sessions", "Open sessions to agents."),
		Open:     gauge("open_requests", "Requests of callers that are not finished."),
		Resumed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "jujubescale_entry_resumed_total", Help: "Attempts asked for again on a new session.",
		}),
		Cut: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "jujubescale_entry_cut_total", Help: "Requests that a planned stop cut at its time limit.",
		}),
	}
	e.present()
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

// present makes the counters of closed sets appear as zeros.
func (e *Entry) present() {
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

// Hedge counts how a hedge ended.
func (e *Entry) Hedge(pool string, outcome hedge.Outcome) {
	e.Hedged.WithLabelValues(pool, string(outcome)).Inc()
}

// Drop counts a dropped frame.
func (e *Entry) Drop(reason stage.DropReason) { e.Dropped.WithLabelValues(string(reason)).Inc() }

// EngineTime counts engine time.
func (e *Entry) EngineTime(pool, use string, span clock.Millis) {
	if span > 0 {
		e.Engine.WithLabelValues(pool, use).Add(span.Duration().Seconds())
	}
}
