package gate

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// Meter holds the metrics of a gate.
type Meter struct {
	requests   *prometheus.CounterVec
	refused    *prometheus.CounterVec
	duration   *prometheus.HistogramVec
	firstEvent *prometheus.HistogramVec
	stages     *prometheus.HistogramVec
	retries    *prometheus.CounterVec
	returns    *prometheus.CounterVec
	lacking    *prometheus.CounterVec
	unended    *prometheus.CounterVec
	resumes    *prometheus.CounterVec
	notResumed *prometheus.CounterVec
}

// latencyBuckets are the upper bounds of latency histograms, in seconds, around the
// objectives of 0.15 to 2.7 s that routes have.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 0.8, 1.1, 1.5, 2, 2.7, 4, 6, 10, 20}

// NewMeter creates and registers the metrics.
func NewMeter(r prometheus.Registerer) *Meter {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		vec := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
		r.MustRegister(vec)
		return vec
	}
	histogram := func(name, help string, labels ...string) *prometheus.HistogramVec {
		vec := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: latencyBuckets}, labels)
		r.MustRegister(vec)
		return vec
	}
	m := &Meter{
		requests:   counter("jujubescale_routed_requests_total", "Requests of routed services by route and status.", "route", "status"),
		refused:    counter("jujubescale_routed_refusals_total", "Requests of routed services without a complete answer of an endpoint, by reason.", "reason"),
		retries:    counter("jujubescale_routed_retries_total", "Requests sent to another endpoint, by pool and reason.", "pool", "reason"),
		returns:    counter("jujubescale_routed_returns_total", "Requests sent again after a refusal with a retry time, by route.", "route"),
		lacking:    counter("jujubescale_routed_lacking_total", "Requests refused because the host lacks a resource (memory, fileDescriptors, link).", "resource"),
		unended:    counter("jujubescale_routed_unended_total", "Requests refused or not repeated during a planned stop, because they were not expected to end before it, by step (arrived, chosen).", "step"),
		resumes:    counter("jujubescale_routed_stream_resumes_total", "Attempts that resume a stream at an endpoint, by who resumes it (gateway, caller) and by the endpoint's software version compared with that of the stream's first endpoint (same, other, unknown).", "by", "version"),
		notResumed: counter("jujubescale_routed_streams_not_resumed_total", "Streams that were not resumed at another endpoint, by who would resume them (gateway, caller) and reason.", "by", "reason"),
		duration:   histogram("jujubescale_routed_request_seconds", "Time from a request's head to the end of its answer, by route.", "route"),
		firstEvent: histogram("jujubescale_routed_first_event_seconds", "Time from a request's head to the first event of its answer, by route.", "route"),
		stages:     histogram("jujubescale_routed_stages_seconds", "Time of the stages that precede a request, by route.", "route"),
	}
	return m
}

func seconds(span clock.Millis) float64 { return float64(span) / float64(clock.Second) }

func (m *Meter) requestEnded(route, reason string, status int, took clock.Millis) {
	m.requests.WithLabelValues(route, strconv.Itoa(status)).Inc()
	m.duration.WithLabelValues(route).Observe(seconds(took))
	if reason != "" {
		m.refused.WithLabelValues(reason).Inc()
	}
}
