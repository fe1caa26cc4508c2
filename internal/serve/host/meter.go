package host

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubescale/jujubescale/internal/base/fault"
)

// Meter holds the counters of a Host.
type Meter struct {
	calls    *prometheus.CounterVec
	pieces   *prometheus.CounterVec
	failures *prometheus.CounterVec
	refusals *prometheus.CounterVec
	repeats  *prometheus.CounterVec
}

// NewMeter registers the counters.
func NewMeter(r prometheus.Registerer) *Meter {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		vec := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
		r.MustRegister(vec)
		return vec
	}
	return &Meter{
		calls:    counter("jujubescale_stage_calls_total", "Calls to stage engines by pool.", "pool"),
		pieces:   counter("jujubescale_stage_pieces_total", "Pieces in calls to stage engines by pool.", "pool"),
		failures: counter("jujubescale_stage_calls_failed_total", "Calls to stage engines that failed or were refused, by pool.", "pool"),
		repeats:  counter("jujubescale_stage_calls_again_total", "Calls to stage engines sent again at once because a reused connection failed, by pool.", "pool"),
		refusals: counter("jujubescale_stage_refusals_total", "Stages of requests that ended without results, by pool and reason.", "pool", "reason"),
	}
}

func (m *Meter) call(pool string, pieces int) {
	m.calls.WithLabelValues(pool).Inc()
	m.pieces.WithLabelValues(pool).Add(float64(pieces))
}

func (m *Meter) failed(pool string) { m.failures.WithLabelValues(pool).Inc() }

func (m *Meter) sentAgain(pool string) { m.repeats.WithLabelValues(pool).Inc() }

func (m *Meter) refused(pool string, reason fault.Reason) {
	m.refusals.WithLabelValues(pool, string(reason)).Inc()
}
