package permit

import "github.com/prometheus/client_golang/prometheus"

// meter holds the metrics of a Book.
type meter struct {
	limited    prometheus.GaugeFunc
	statements *prometheus.CounterVec
}

func newMeter(b *Book) *meter {
	return &meter{
		limited: prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "jujubescale_limited_endpoints", Help: "Endpoints that state how many requests per second they accept from all processes.",
		}, func() float64 { return float64(b.Limited()) }),
		statements: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jujubescale_endpoint_limit_changes_total", Help: "Changes of endpoints' limits, and malformed limits, by result.",
		}, []string{"result"}),
	}
}

func (m *meter) register(r prometheus.Registerer) {
	r.MustRegister(m.limited, m.statements)
}
