package whole

import "time"

// InRotation returns the base URLs of the entries to which the load balancer
// currently sends callers.
func (w *Whole) InRotation() []string {
	urls := make([]string, 0, len(w.Fronts))
	for _, front := range w.Fronts {
		if !front.outOfRotation.Load() {
			urls = append(urls, "http://"+front.Address)
		}
	}
	return urls
}

// Running returns the total number of runs at all endpoints.
func (w *Whole) Running() int {
	running := 0
	for _, place := range w.Places {
		running += place.Slots().State().Running
	}
	return running
}

// LastStart returns the time at which the newest run began at any endpoint of a
// zone.
func (w *Whole) LastStart(zone string) time.Time {
	var last time.Time
	for _, place := range w.Places {
		if at := place.Slots().State().LastStart; place.Zone == zone && at.After(last) {
			last = at
		}
	}
	return last
}
