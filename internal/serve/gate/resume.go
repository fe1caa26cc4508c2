package gate

import (
	"github.com/jujubescale/jujubescale/internal/route/view"
)

// Values of the labels of the metric of resumed streams.
const (
	resumedByGateway = "gateway"
	resumedByCaller  = "caller"

	versionSame    = "same"
	versionOther   = "other"
	versionUnknown = "unknown"
)

// recordResume logs and counts an attempt that resumes a stream at an endpoint: after a break
// within one answer, or because the caller asks for the rest of an earlier answer.
func (g *Gate) recordResume(req *request, e *view.Endpoint) {
	if req.LastEvent == "" {
		return
	}
	by, first, compared := resumedByCaller, "", versionUnknown
	if req.firstEndpoint != nil {
		by, first = resumedByGateway, req.firstEndpoint.Version
	}
	switch {
	case first == "" || e.Version == "":
	case first == e.Version:
		compared = versionSame
	default:
		compared = versionOther
	}
	g.meter.resumes.WithLabelValues(by, compared).Inc()
	g.Log.Info("stream resumed", "request", req.Request, "resumes", req.Resumes, "lastEvent", req.LastEvent, "by", by,
		"pool", req.pool.Name, "endpoint", e.ID, "version", e.Version, "firstVersion", first, "compared", compared)
}
