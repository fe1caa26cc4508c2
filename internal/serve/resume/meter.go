package resume

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubescale/jujubescale/internal/flow/origin"
)

// Reasons for which an origin is dropped.
const (
	droppedFull      = "full"
	droppedQueue     = "queue"
	droppedMalformed = "malformed"
)

type meter struct {
	kept    prometheus.GaugeFunc
	sent    *prometheus.CounterVec
	found   *prometheus.CounterVec
	dropped *prometheus.CounterVec
	written prometheus.Counter
}

func newMeter(book *origin.Book) *meter {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
	}
	return &meter{
		kept: prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "jujubescale_stream_origins", Help: "Streams of which this process keeps where they began.",
		}, func() float64 { return float64(book.Len()) }),
		sent:    counter("jujubescale_stream_origins_sent_total", "Origins of streams sent to peers, own ones to the aggregator or forwarded to the processes that keep them.", "kind"),
		found:   counter("jujubescale_stream_origins_found_total", "Searches for the origin of a stream that a caller resumes, by result (known, unknown, contradictory) and by who knew it (self, peer, none).", "result", "source"),
		dropped: counter("jujubescale_stream_origins_dropped_total", "Origins of streams that were not kept or sent, by reason (full, queue, malformed).", "reason"),
		written: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "jujubescale_stream_origins_written_total", Help: "Origins of streams in objects written to the platform's store, also those that an object held before.",
		}),
	}
}

func (m *meter) register(r prometheus.Registerer) {
	r.MustRegister(m.kept, m.sent, m.found, m.dropped, m.written)
}
