package agent

import (
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/guard/fence"
	"github.com/jujubescale/jujubescale/internal/ops/admin"
)

// maxLookupTries is the number of attempts of a stage that a lookup checks. Entries
// make fewer attempts.
const maxLookupTries = 16

// States of an attempt in a lookup.
const (
	lookupQueued  = "queued"
	lookupRunning = "running"
	lookupKept    = "kept"
	lookupEnded   = "ended"
	lookupRefused = "refused"
)

// Lookup returns the recorded attempts of a request, or nil if there are none.
// Operators use it to find out what ran here when the entry that served the request
// no longer runs.
func (a *Agent) Lookup(request string) *admin.Request {
	a.mu.Lock()
	defer a.mu.Unlock()
	result := &admin.Request{RequestID: request, Process: a.settings.Process, State: "seen at the endpoint"}
	for stage := range manif.MaxStages {
		for try := range maxLookupTries {
			if attempt := a.lookup(token.Attempt{Request: request, Stage: stage, Try: try}); attempt != nil {
				result.Attempts = append(result.Attempts, *attempt)
			}
		}
	}
	if len(result.Attempts) == 0 {
		return nil
	}
	return result
}

// lookup returns the recorded state of an attempt, or nil. The caller holds the
// lock.
func (a *Agent) lookup(id token.Attempt) *admin.Attempt {
	result := &admin.Attempt{Stage: id.Stage, Try: id.Try, Pool: a.settings.Pool, Endpoint: a.settings.Endpoint}
	state := a.fence.State(id)
	switch at := a.open[id]; {
	case at != nil && at.stop == nil:
		result.State = lookupQueued
	case at != nil:
		result.State = lookupRunning
	case state == fence.Refused:
		result.State = lookupRefused
	case a.keep.Get(id) != nil:
		result.State = lookupKept
	case state != fence.Unseen:
		result.State = lookupEnded
	default:
		return nil
	}
	if kept := a.keep.Get(id); kept != nil && kept.Refuse != nil {
		result.Reason = kept.Refuse.Reason
	}
	return result
}
