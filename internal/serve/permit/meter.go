package permit

import "github.com/prometheus/client_golang/prometheus"

// meter holds the metrics of a Book.
type meter struct {
	limited    prometheus.GaugeFunc
	statements *prometheus.CounterVec
	permits    *prometheus.CounterVec
	endpoints  *endpointCollector
	// states counts what endpoints state of themselves.
	states  *prometheus.CounterVec
	leaving prometheus.GaugeFunc
	resting prometheus.GaugeFunc
	// rooms counts the questions for leases of engine capacity.
	rooms  *prometheus.CounterVec
	shared prometheus.GaugeFunc
}

func newMeter(b *Book) *meter {
	return &meter{
		limited: prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "jujubescale_limited_endpoints", Help: "Endpoints that state how many requests per second they accept from all processes.",
		}, func() float64 { return float64(b.Limited()) }),
		statements: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jujubescale_endpoint_limit_changes_total", Help: "Changes of endpoints' limits, and malformed limits, by result.",
		}, []string{"result"}),
		permits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jujubescale_endpoint_permits_total", Help: "Requests for permits to send to endpoints with a limit, by result.",
		}, []string{"result"}),
		endpoints: &endpointCollector{book: b},
		states: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jujubescale_endpoint_statements_total", Help: "Statements of endpoints that they want no requests, by kind and result.",
		}, []string{"kind", "result"}),
		leaving: prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "jujubescale_leaving_endpoints", Help: "Endpoints that have stated in an answer that they leave.",
		}, func() float64 { leaving, _ := b.countStates(); return float64(leaving) }),
		resting: prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "jujubescale_resting_endpoints", Help: "Endpoints that have asked this process for a rest that is not over.",
		}, func() float64 { _, resting := b.countStates(); return float64(resting) }),
		rooms: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jujubescale_engine_leases_total", Help: "Questions to owners for leases of engine capacity and for their renewal, by kind and result.",
		}, []string{"kind", "result"}),
		shared: prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "jujubescale_shared_engines", Help: "Engines that share their hosts, whose capacity is reserved across all processes.",
		}, func() float64 { return float64(b.Shared()) }),
	}
}

func (m *meter) register(r prometheus.Registerer) {
	r.MustRegister(m.limited, m.statements, m.permits, m.endpoints, m.states, m.leaving, m.resting, m.rooms, m.shared)
}

var (
	limitDesc = prometheus.NewDesc("jujubescale_endpoint_limit",
		"Requests per second that a limited endpoint accepts from all processes together.", []string{"endpoint"}, nil)
	grantedDesc = prometheus.NewDesc("jujubescale_endpoint_permits_granted_total",
		"Permits that this process granted as the owner of a limited endpoint.", []string{"endpoint"}, nil)
)

// endpointCollector reports the endpoints that have a limit now, so that the number of
// series does not grow with the endpoints that once had one.
type endpointCollector struct {
	book *Book
}

// Describe implements prometheus.Collector.
func (c *endpointCollector) Describe(descs chan<- *prometheus.Desc) {
	descs <- limitDesc
	descs <- grantedDesc
}

// Collect implements prometheus.Collector.
func (c *endpointCollector) Collect(metrics chan<- prometheus.Metric) {
	c.book.mu.Lock()
	defer c.book.mu.Unlock()
	for endpoint, known := range c.book.entries {
		if limit := known.stated.Limit(); limit > 0 {
			metrics <- prometheus.MustNewConstMetric(limitDesc, prometheus.GaugeValue, limit, endpoint)
			metrics <- prometheus.MustNewConstMetric(grantedDesc, prometheus.CounterValue, float64(known.granted), endpoint)
		}
	}
}
