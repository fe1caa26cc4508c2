package router

import "github.com/prometheus/client_golang/prometheus"

// meter counts the reports of peers that were ignored.
type meter struct {
	reports *prometheus.CounterVec
}

func newMeter(r prometheus.Registerer) *meter {
	m := &meter{reports: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "jujubescale_peer_reports_ignored_total", Help: "Reports of peers that were ignored, by reason.",
	}, []string{"reason"})}
	r.MustRegister(m.reports)
	return m
}

func (m *meter) countIgnored(reason string) { m.reports.WithLabelValues(reason).Inc() }
