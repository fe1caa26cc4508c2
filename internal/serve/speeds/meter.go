package speeds

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

// rangeBounds are the upper bounds of the ranges of slowdowns by which endpoints are counted.
var rangeBounds = []float64{0.5, 0.8, 1.25, 1.7, 2.5, 8}

// meter holds the metrics of a Tracker.
type meter struct {
	slowdowns   *prometheus.GaugeVec
	lateGaps    *prometheus.CounterVec
	malformed   prometheus.Counter
	implausible prometheus.Counter
	// counts is the number of endpoints in each range during a refresh.
	counts []int
}

func newMeter() *meter {
	return &meter{
		slowdowns: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "jujubescale_endpoint_slowdown", Help: "Endpoints whose learned time for a unit of work, relative to the median of their pool, is at most the bound and above the next smaller one.",
		}, []string{"upTo"}),
		lateGaps: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jujubescale_routed_late_gaps_total", Help: "Times between two events of a stream that exceeded the allowed gap, by route.",
		}, []string{"route"}),
		malformed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "jujubescale_endpoint_load_malformed_total", Help: "Answers of endpoints whose stated load is malformed.",
		}),
		implausible: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "jujubescale_endpoint_speeds_implausible_total", Help: "Sums of endpoints' speeds from peers that were dropped because their values are implausible.",
		}),
		counts: make([]int, len(rangeBounds)),
	}
}

func (m *meter) register(r prometheus.Registerer) {
	r.MustRegister(m.slowdowns, m.lateGaps, m.malformed, m.implausible)
}

func (m *meter) begin() { clear(m.counts) }

func (m *meter) count(slowdown float64) {
	for i, bound := range rangeBounds {
		if slowdown <= bound {
			m.counts[i]++
			return
		}
	}
}

func (m *meter) end() {
	for i, bound := range rangeBounds {
		m.slowdowns.WithLabelValues(strconv.FormatFloat(bound, 'f', -1, 64)).Set(float64(m.counts[i]))
	}
}
