package agent

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubescale/jujubescale/internal/link/wire"
)

const namespace = "jujubescale"

const subsystem = "agent"

// meter holds the agent's metrics.
type meter struct {
	calls           prometheus.Counter
	answers         prometheus.Counter
	refusals        *prometheus.CounterVec
	dropped         *prometheus.CounterVec
	coldDrops       *prometheus.CounterVec
	engineSeconds   *prometheus.CounterVec
	resumed         prometheus.Counter
	asks            prometheus.Counter
	readingsFailed  prometheus.Counter
	sessionsRefused prometheus.Counter
	waited          prometheus.Histogram
}

// newMeter registers the metrics; gauges read the agent under its lock.
func newMeter(a *Agent) *meter {
	m := &meter{
		calls:           counter("calls_total", "Call frames that arrived."),
		answers:         counter("answers_total", "Calls answered whole."),
		refusals:        counters("refusals_total", "Refusals by reason and by whether the work may have run.", "reason", "ran"),
		dropped:         counters("frames_dropped_total", "Frames that were dropped, by reason.", "reason"),
		coldDrops:       counters("cold_drops_total", "Drops to the cold limit, by cause.", "cause"),
		engineSeconds:   counters("engine_seconds_total", "Time that runs took at the endpoint: useful for whole answers, else wasted.", "result"),
		resumed:         counter("streams_resumed_total", "Engine streams taken up again after a cut."),
		asks:            counter("asks_total", "Entries that asked for an outcome after silence."),
		readingsFailed:  counter("load_readings_failed_total", "Load reports that could not be read."),
		sessionsRefused: counter("sessions_refused_total", "Sessions that were refused."),
		waited: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "queue_seconds", Help: "Time that work waited before it ran.",
			Buckets: []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2},
		}),
	}
	registerer := prometheus.WrapRegistererWith(
		prometheus.Labels{"pool": a.settings.Pool, "endpoint": a.settings.Endpoint}, a.registerer)
	registerer.MustRegister(m.calls, m.answers, m.refusals, m.dropped, m.coldDrops, m.engineSeconds,
		m.resumed, m.asks, m.readingsFailed, m.sessionsRefused, m.waited,
		a.gauge("running", "Work that runs at the endpoint, with what others left there.", func() int { return a.gate.Running() }),
		a.gauge("foreign", "Work at the endpoint that this agent did not start.", func() int { return a.gate.Foreign() }),
		a.gauge("queued", "Work that waits.", func() int { return a.gate.Queued() }),
		a.gauge("limit", "Most work that may run at once.", func() int { return a.gate.Limit() }),
		a.gauge("sessions", "Open sessions.", func() int { return len(a.sessions) }),
		a.gauge("kept_bytes", "Memory of answers kept until acknowledged.", func() int { return a.keep.Used() }),
		a.gauge("kept_expired", "Answers dropped without an acknowledgement since the start.", func() int { return a.keep.Expired() }),
		a.gauge("fenced", "Attempts and keys remembered so that none runs twice.", func() int { return a.fence.Size() }),
	)
	return m
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help})
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(
		prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help}, labels)
}

func (a *Agent) gauge(name, help string, read func() int) prometheus.GaugeFunc {
	return prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help},
		func() float64 {
			a.mu.Lock()
			defer a.mu.Unlock()
			return float64(read())
		})
}

func (m *meter) refuse(refuse *wire.Refuse) {
	m.refusals.WithLabelValues(string(refuse.Reason), string(refuse.Ran)).Inc()
}

func (m *meter) engineTime(took time.Duration, useful bool) {
	result := "wasted"
	if useful {
		result = "useful"
	}
	m.engineSeconds.WithLabelValues(result).Add(took.Seconds())
}
