package detect

import "github.com/prometheus/client_golang/prometheus"

// meter holds the metrics of a Detector.
type meter struct {
	crashes     *prometheus.CounterVec
	quarantines prometheus.Counter
	// held counts the requests that were held back because of a part, acquitted the parts that
	// were answered after crashes.
	held, acquitted prometheus.Counter
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
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	}
	m.held = counter("jujubescale_routed_parts_held_total", "Requests not sent to an endpoint because endpoints crashed under a part of their prompt.")
	m.acquitted = counter("jujubescale_routed_parts_acquitted_total", "Parts of prompts that were answered after endpoints had crashed under them.")
	r.MustRegister(m.crashes, m.quarantines, m.held, m.acquitted)
	return m
}
