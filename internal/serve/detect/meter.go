package detect

import "github.com/prometheus/client_golang/prometheus"

// meter holds the metrics of a Detector.
type meter struct {
	crashes     *prometheus.CounterVec
	quarantines prometheus.Counter
}

func newMeter(r prometheus.Registerer) *meter {
	m := &meter{
		crashes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jujubescale_routed_crashes_total", Help: "Requests that an endpoint was running when it crashed, by pool.",
		}, []string{"pool"}),
		quarantines: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "jujubescale_routed_quarantines_total", Help: "Requests quarantined because several endpoints crashed while running them.",
		}),
	}
	r.MustRegister(m.crashes, m.quarantines)
	return m
}
