package entry

import (
	"github.com/jujubescale/jujubescale/internal/ops/admin"
	"github.com/jujubescale/jujubescale/internal/ops/build"
)

// Status returns what the entry says of itself on the operators' port.
func (e *Entry) Status() admin.Status {
	ready, why := e.Ready()
	return admin.Status{
		Process: e.settings.Process, Role: "entry", Host: e.settings.Host,
		AvailabilityZone: e.settings.AvailabilityZone, Incarnation: e.incarnation.String(),
		Version: build.Version(), Release: e.holder.Number(), Ready: ready, NotReady: why,
		Leaving: e.Leaving(), Open: e.Open(), Sessions: admin.DescribeSessions(e.clock, e.Sessions()),
		UptimeMs: e.clock.Since(e.began),
	}
}

// Lookup returns what the entry remembers of a request, or nil.
func (e *Entry) Lookup(id string) *admin.Request {
	known, found := e.Request(id)
	if !found {
		return nil
	}
	shown := &admin.Request{
		RequestID: known.ID, Process: e.settings.Process, Organisation: known.Organisation, Service: known.Service,
		State: string(known.State), Reason: known.Reason, Ran: known.Ran, AgeMs: e.clock.Since(known.BeganAt),
	}
	for _, a := range known.Attempts {
		shown.Attempts = append(shown.Attempts, admin.Attempt{
			Stage: a.Stage, Try: a.Try, Pool: a.Pool, Endpoint: a.Endpoint, State: string(a.State), Reason: a.Reason, TookMs: a.Took,
		})
	}
	return shown
}
