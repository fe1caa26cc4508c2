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
	coldLimitDrops  *prometheus.CounterVec
	engineSeconds   *prometheus.CounterVec
	resumed         prometheus.Counter
	asks            prometheus.Counter
	readingsFailed  prometheus.Counter
	sessionsRefused prometheus.Counter
	queueSeconds    prometheus.Histogram
}

// newMeter creates and registers the metrics. The gauges read the state of the
// agent under its lock.
func newMeter(a *Agent) *meter {
	m := &meter{
		calls:           counter("calls_total", "Call frames received."),
		answers:         counter("answers_total", "Calls with a complete answer."),
		refusals:        counters("refusals_total", "Refused calls, by reason and by whether the work may have run.", "reason", "ran"),
		dropped:         counters("frames_dropped_total", "Dropped frames, by reason.", "reason"),
		coldLimitDrops:  counters("cold_drops_total", "Drops to the cold limit, by cause.", "cause"),
		engineSeconds:   counters("engine_seconds_total", "Duration of runs at the endpoint, in seconds: useful if the answer was complete, else wasted.", "result"),
		resumed:         counter("streams_resumed_total", "Engine streams resumed after they were interrupted."),
		asks:            counter("asks_total", "Requests from entries for the outcome of an attempt, sent after silence."),
		readingsFailed:  counter("load_readings_failed_total", "Failed readings of the load report."),
		sessionsRefused: counter("sessions_refused_total", "Refused sessions."),
		queueSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "queue_seconds", Help: "Time from the arrival of queued calls to their start, in seconds.",
			Buckets: []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2},
		}),
	}
	registerer := prometheus.WrapRegistererWith(
		prometheus.Labels{"pool": a.settings.Pool, "endpoint": a.settings.Endpoint}, a.registerer)
	registerer.MustRegister(m.calls, m.answers, m.refusals, m.dropped, m.coldLimitDrops, m.engineSeconds,
		m.resumed, m.asks, m.readingsFailed, m.sessionsRefused, m.queueSeconds,
		a.gauge("running", "Calls running at the endpoint, including foreign ones.", func() int { return a.gate.Running() }),
		a.gauge("foreign", "Calls at the endpoint that another process started.", func() int { return a.gate.Foreign() }),
		a.gauge("queued", "Queued calls.", func() int { return a.gate.Queued() }),
		a.gauge("limit", "Current concurrency limit of the endpoint.", func() int { return a.gate.Limit() }),
		a.gauge("sessions", "Open sessions.", func() int { return len(a.sessions) }),
		a.gauge("kept_bytes", "Memory used by unacknowledged answers, in bytes.", func() int { return a.keep.Used() }),
		a.gauge("kept_expired", "Answers dropped without an acknowledgement since the start.", func() int { return a.keep.Expired() }),
		a.gauge("fenced", "Recorded attempts and idempotency keys, which must not run twice.", func() int { return a.fence.Size() }),
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

func (m *meter) countRefusal(refuse *wire.Refuse) {
	m.refusals.WithLabelValues(string(refuse.Reason), string(refuse.Ran)).Inc()
}

func (m *meter) countEngineTime(took time.Duration, useful bool) {
	result := "wasted"
	if useful {
		result = "useful"
	}
	m.engineSeconds.WithLabelValues(result).Add(took.Seconds())
}
