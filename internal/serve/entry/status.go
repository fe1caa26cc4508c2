package entry

import (
	"github.com/jujubescale/jujubescale/internal/ops/admin"
	"github.com/jujubescale/jujubescale/internal/ops/build"
)

// Status returns the entry's state for the operators' port.
func (e *Entry) Status() admin.Status {
	ready, reason := e.Ready()
	return admin.Status{
		Process: e.settings.Process, Role: "entry", Host: e.settings.Host,
		AvailabilityZone: e.settings.AvailabilityZone, Incarnation: e.incarnation.String(),
		Version: build.Version(), Release: e.holder.Number(), Ready: ready, NotReady: reason,
		Leaving: e.Leaving(), Open: e.Open(), Sessions: admin.DescribeSessions(e.clock, e.Sessions()),
		UptimeMs: e.clock.Since(e.startedAt),
	}
}

// Lookup returns the trace of a request for the operators' port, or nil if it is
// not stored.
func (e *Entry) Lookup(id string) *admin.Request {
	request, found := e.Request(id)
	if !found {
		return nil
	}
	shown := &admin.Request{
		RequestID: request.ID, Process: e.settings.Process, Organisation: request.Organisation, Service: request.Service,
		State: string(request.State), Reason: request.Reason, Ran: request.Ran, AgeMs: e.clock.Since(request.BeganAt),
	}
	for _, a := range request.Attempts {
		shown.Attempts = append(shown.Attempts, admin.Attempt{
			Stage: a.Stage, Try: a.Try, Pool: a.Pool, Endpoint: a.Endpoint, State: string(a.State), Reason: a.Reason, TookMs: a.Took,
		})
	}
	return shown
}
