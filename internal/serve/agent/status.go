package agent

import (
	"maps"
	"slices"

	"github.com/jujubescale/jujubescale/internal/guard/drain"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/ops/admin"
	"github.com/jujubescale/jujubescale/internal/ops/build"
)

// Status returns the status that the agent shows on the operators' port.
func (a *Agent) Status() admin.Status {
	load := a.load()
	reason, refuses := a.Refuses()
	status := admin.Status{
		Process: a.settings.Process, Role: "agent", Host: a.settings.Host,
		AvailabilityZone: a.settings.AvailabilityZone, Incarnation: a.incarnation.String(),
		Version: build.Version(), Release: a.holder.Number(), Ready: !refuses, NotReady: string(reason),
		Leaving: a.leaving(), Open: load.Running + load.Queued,
		Sessions: admin.DescribeSessions(a.clock, a.openSessions()), UptimeMs: a.clock.Since(a.started),
		Endpoint: &admin.Endpoint{
			Pool: a.settings.Pool, Endpoint: a.settings.Endpoint,
			Running: load.Running, Queued: load.Queued, Limit: load.Limit, Cold: load.Cold,
		},
	}
	if status.Release == 0 {
		status.Ready, status.NotReady = false, "no configuration in force yet"
	}
	return status
}

// leaving reports whether a planned stop has begun.
func (a *Agent) leaving() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.drain.Has(drain.CauseLeaving)
}

func (a *Agent) openSessions() []*sess.Session {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Collect(maps.Keys(a.sessions))
}
