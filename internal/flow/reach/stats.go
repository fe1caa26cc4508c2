package reach

import "sync"

// RouteStats holds statistics of a route's requests in this process.
type RouteStats struct {
	// Correction is the error of past estimates, Admitted the share of requests that were
	// admitted in time.
	Correction Correction
	Admitted   Admissions
}

// Routes holds the statistics of each route, created on first use. The zero value is empty. It is safe for
// concurrent use.
type Routes struct{ records sync.Map }

// Get returns the statistics of a route.
func (r *Routes) Get(name string) *RouteStats {
	if record, found := r.records.Load(name); found {
		return record.(*RouteStats)
	}
	record, _ := r.records.LoadOrStore(name, new(RouteStats))
	return record.(*RouteStats)
}
