package router

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// meter counts the reports of peers that were ignored and the handovers, and shows the age
// of the configuration.
type meter struct {
	reports   *prometheus.CounterVec
	handovers *prometheus.CounterVec
	// unread counts the connections of callers closed before a request was read.
	unread *prometheus.CounterVec
}

// newMeter returns a meter. The function configAge returns the age of the configuration in
// milliseconds, storeEra the store's era, and lostObjects the number of objects that are used
// although the store has lost them.
func newMeter(r prometheus.Registerer, configAge func() clock.Millis, storeEra func() uint64, lostObjects func() int) *meter {
	m := &meter{reports: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "jujubescale_peer_reports_ignored_total", Help: "Reports of peers that were ignored, by reason.",
	}, []string{"reason"})}
	m.handovers = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "jujubescale_handovers_total", Help: "Pools and shards handed over during planned stops, by outcome: sent or unconfirmed at the process that stops; used, or the reason why not, at its successor.",
	}, []string{"outcome"})
	m.unread = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "jujubescale_routed_connections_unread_total", Help: "New connections of callers closed before a request was read, by what another request lacked (link, memory, fileDescriptors, late, endpoints).",
	}, []string{"reason"})
	age := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "jujubescale_config_age_seconds", Help: "Time since the store confirmed the configuration in force, to this process or to the peer that relays it.",
	}, func() float64 { return configAge().Duration().Seconds() })
	era := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "jujubescale_store_era", Help: "Latest era that the store has stated; it rises when the store comes back from a copy. 0 if it has stated none.",
	}, func() float64 { return float64(storeEra()) })
	lost := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "jujubescale_store_lost_objects", Help: "Objects that are used although the store has lost them since it came back from a copy.",
	}, func() float64 { return float64(lostObjects()) })
	r.MustRegister(m.reports, m.handovers, m.unread, age, era, lost)
	return m
}

func (m *meter) countIgnored(reason string) { m.reports.WithLabelValues(reason).Inc() }

func (m *meter) countHandover(outcome string) { m.handovers.WithLabelValues(outcome).Inc() }
