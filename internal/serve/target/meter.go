package target

import "github.com/prometheus/client_golang/prometheus"

// meter holds the counters of the connections to endpoints.
type meter struct {
	dials      prometheus.Counter
	full       prometheus.Counter
	distrusted prometheus.Counter
	requests   *prometheus.CounterVec
	duplicates *prometheus.CounterVec
}

func newMeter(r prometheus.Registerer) *meter {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	}
	vector := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
	}
	m := &meter{
		dials:      counter("jujubescale_endpoint_connections_total", "New connections to endpoints."),
		full:       counter("jujubescale_endpoint_connections_full_total", "Requests not sent to an endpoint because all connections that this process may have to it were in use."),
		distrusted: counter("jujubescale_endpoint_connections_distrusted_total", "Times an endpoint began to need new connections because it had sent a duplicate or malformed answer."),
		requests:   vector("jujubescale_endpoint_requests_total", "Requests to endpoints by kind of work and by whether their connection was new or reused.", "work", "connection"),
		duplicates: vector("jujubescale_endpoint_duplicates_total", "Duplicate answers of endpoints that were skipped, by the kind of work that waited for an answer.", "work"),
	}
	r.MustRegister(m.dials, m.full, m.distrusted, m.requests, m.duplicates)
	return m
}

func (m *meter) used(work string, reused bool) {
	connection := "new"
	if reused {
		connection = "reused"
	}
	m.requests.WithLabelValues(work, connection).Inc()
}

func (m *meter) skipped(work string) { m.duplicates.WithLabelValues(work).Inc() }
