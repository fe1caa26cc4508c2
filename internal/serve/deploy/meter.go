package deploy

import "github.com/prometheus/client_golang/prometheus"

// meter holds the counters of a Controller.
type meter struct {
	events   *prometheus.CounterVec
	requests *prometheus.CounterVec
	failures *prometheus.CounterVec
}

func newMeter(r prometheus.Registerer) *meter {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		vec := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
		r.MustRegister(vec)
		return vec
	}
	return &meter{
		events: counter("jujubescale_rollout_events_total",
			"Rollouts by pool and event: unreadable and refused orders, suspended candidates, recorded states.", "pool", "event"),
		requests: counter("jujubescale_rollout_candidate_requests_total", "Requests sent to a candidate version, by pool and version.", "pool", "version"),
		failures: counter("jujubescale_rollout_candidate_failures_total", "Failed answers of a candidate version, by pool and version.", "pool", "version"),
	}
}

func (m *meter) event(pool, event string) {
	if event != "" {
		m.events.WithLabelValues(pool, event).Inc()
	}
}

func (m *meter) sent(pool, version string) { m.requests.WithLabelValues(pool, version).Inc() }

func (m *meter) failed(pool, version string) { m.failures.WithLabelValues(pool, version).Inc() }
