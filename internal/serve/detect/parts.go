package detect

import (
	"context"
	"fmt"
	"strconv"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/blame"
	"github.com/jujubescale/jujubescale/internal/flow/crash"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/serve/target"
)

const (
	// groupDelay is the time in which all requests that a crash broke off become known.
	groupDelay = 5 * clock.Millis(1)
	// askTimeout bounds the wait for the answer of one owner of a part.
	askTimeout = 60 * clock.Millis(1)
	// restateInterval is the interval at which the owner of a part reports it again.
	restateInterval = 4 * clock.Second
	// partOwners is the number of processes that may decide on a part in turn: its owner, and
	// its deputies if that can't be reached.
	partOwners = 3
)

// Peers are the other processes, with which a Detector shares what it knows of parts.
type Peers struct {
	// Self is the name of this process, and OwnerFunc returns the process that owns a subject.
	Self      string
	OwnerFunc func(subject string) string
	// AskFunc asks a process for the trial of parts.
	AskFunc func(ctx context.Context, to string, request *wire.PermitRequest) (*wire.Permit, error)
	// ReportFunc sends the unsent reports at once.
	ReportFunc func()
}

// WithPeers sets the other processes.
func WithPeers(p Peers) Option { return func(d *Detector) { d.peers = p } }

// HeldError reports that a request holds a part under which engines crash.
type HeldError struct {
	Part blame.Part
	// Wait is the time until the part may be tried.
	Wait clock.Millis
}

// Error implements error.
func (e *HeldError) Error() string {
	return fmt.Sprintf("endpoints crashed under part %q of the prompt, key %s", e.Part.ID, e.Part.Key)
}

// PartSubject returns the subject by which the owner of a part is chosen: rank 0 for the owner,
// higher ranks for its deputies.
func PartSubject(key crash.Key, rank int) string { return fmt.Sprintf("part/%s/%d", key, rank) }

// Parts returns the record of parts.
func (d *Detector) Parts() *blame.Tracker { return d.parts }

// AdmitParts decides whether a request whose prompt has these shared parts may be sent to an
// engine of a version. It reports whether the request is the trial of parts that are held back; one
// under which an engine has crashed before is only if no other was for a while. If it may not be
// sent, the error is a *HeldError.
func (d *Detector) AdmitParts(ctx context.Context, request string, key crash.Key, parts []blame.Part, version string) (trial bool, err error) {
	verdict := d.parts.Check(parts, version, d.clock.Now())
	if len(verdict.Held) == 0 {
		return false, nil
	}
	if d.requests.Crashes(key) > 0 {
		verdict.Wait += repeatDelay
	}
	if verdict.Wait <= 0 {
		granted, wait := d.askTrial(ctx, verdict.Held, version)
		if granted {
			d.log.Info("part of a prompt tried", "request", request, "parts", ids(verdict.Held), "version", version)
			return true, nil
		}
		verdict.Wait = wait
		d.parts.Postpone(verdict.Held, d.clock.Now()+wait)
	}
	d.meter.held.Inc()
	return false, &HeldError{Part: verdict.Held[0], Wait: verdict.Wait}
}

// repeatDelay is the time for which other requests may be the trial of a part before one is that
// is repeated after a crash: it may be bad itself, which tells nothing of its parts.
const repeatDelay = clock.Second

// noOwnerWait is the time after which the owner of a part is asked again if none has answered.
const noOwnerWait = 300 * clock.Millis(1)

// askTrial asks the owner of the first part, or a deputy, for the trial of parts.
func (d *Detector) askTrial(ctx context.Context, parts []blame.Part, version string) (granted bool, wait clock.Millis) {
	trial := &wire.PartTrial{Version: version}
	for _, part := range parts {
		trial.Keys = append(trial.Keys, part.Key[:])
	}
	asked := make(map[string]bool)
	for rank := range partOwners {
		subject := PartSubject(parts[0].Key, rank)
		owner := d.peers.OwnerFunc(subject)
		if asked[owner] {
			continue
		}
		asked[owner] = true
		if owner == d.peers.Self {
			return d.parts.TakeTrial(parts, version, d.clock.Now())
		}
		bounded, cancel := context.WithTimeout(ctx, askTimeout.Duration())
		permit, err := d.peers.AskFunc(bounded, owner, &wire.PermitRequest{Known: wire.EndpointLimit{Endpoint: subject}, Trial: trial})
		cancel()
		if err == nil && permit.Trial {
			return permit.Granted, permit.Wait
		}
		d.log.Info("owner of a part gave no answer", "owner", owner, "part", parts[0].ID, logs.KeyError, err)
	}
	return false, noOwnerWait
}

// AnswerTrial answers a peer's request for the trial of parts.
func (d *Detector) AnswerTrial(request *wire.PartTrial) *wire.Permit {
	parts := make([]blame.Part, 0, len(request.Keys))
	for _, key := range request.Keys {
		if len(key) == len(crash.Key{}) {
			parts = append(parts, blame.Part{Key: crash.Key(key)})
		}
	}
	permit := &wire.Permit{Trial: true, Wait: noOwnerWait}
	if len(parts) > 0 {
		permit.Granted, permit.Wait = d.parts.TakeTrial(parts, request.Version, d.clock.Now())
	}
	return permit
}

// RecordAnswer records the first event of an answer to a prompt with these shared parts.
func (d *Detector) RecordAnswer(request string, t *target.Target, parts []blame.Part) {
	acquitted := d.parts.RecordAnswer(runOf(t), t.Version, parts, d.clock.Now())
	if len(acquitted) > 0 {
		d.meter.acquitted.Add(float64(len(acquitted)))
		d.log.Info("parts of a prompt answered", "request", request, "parts", ids(acquitted), "endpoint", t.ID, "version", t.Version)
		d.peers.ReportFunc()
	}
}

// runOf names the run of an endpoint from its start to its end.
func runOf(t *target.Target) string { return t.ID + "/" + strconv.FormatInt(t.StartedAt, 10) }

// recordParts counts a crash for the parts of the requests that waited for their first event. A
// request that is repeated as it was tells nothing new of its parts.
func (d *Detector) recordParts(t *target.Target, attempts []Attempt) {
	var suspects [][]blame.Part
	for i := range attempts {
		if a := &attempts[i]; a.Events == 0 && len(a.Parts) > 0 && d.requests.Crashes(a.Key) == 0 {
			suspects = append(suspects, a.Parts)
		}
	}
	if len(suspects) == 0 {
		return
	}
	charged := d.parts.RecordCrash(runOf(t), t.Version, suspects, d.clock.Now())
	d.log.Info("endpoint crashed under parts", "endpoint", t.ID, "born", t.StartedAt, "version", t.Version, "requests", len(suspects), "parts", ids(charged))
	d.peers.ReportFunc()
}

// maxLogged bounds the parts named in one line of the log.
const maxLogged = 8

func ids(parts []blame.Part) []string {
	names := make([]string, 0, min(len(parts), maxLogged))
	for _, part := range parts[:min(len(parts), maxLogged)] {
		names = append(names, part.ID)
	}
	return names
}

// restate repeats what this process knows of the parts that it owns, until the context ends.
func (d *Detector) restate(ctx context.Context) {
	for d.clock.Sleep(ctx, restateInterval) == nil {
		if !d.parts.Empty() {
			d.parts.Restate(func(key crash.Key) bool { return d.peers.OwnerFunc(PartSubject(key, 0)) == d.peers.Self }, d.clock.Now())
		}
	}
}

// TakeUnsentParts returns the reports of parts that peers have not been sent yet.
func (d *Detector) TakeUnsentParts() []wire.PartReport {
	reports, dropped := d.parts.TakeUnsent()
	if dropped > 0 {
		d.log.Warn("parts not reported", "dropped", dropped)
	}
	var encoded []wire.PartReport
	for i := range reports {
		r := &reports[i]
		report := wire.PartReport{
			Key: r.Part.Key[:], ID: r.Part.ID, Version: r.Version, Engine: r.Engine, Answer: uint8(r.Answer), Alone: r.Alone, Proven: r.Proven,
		}
		if s := r.State; s != nil {
			report.State = &wire.PartState{Engines: s.Engines, Separate: s.Separate, Episodes: s.Episodes, Alone: s.Alone, Age: s.Age}
		}
		encoded = append(encoded, report)
	}
	return encoded
}

// addPeerParts records the reports of a peer.
func (d *Detector) addPeerParts(encoded []wire.PartReport) {
	reports := make([]blame.Report, 0, len(encoded))
	for i := range encoded {
		r := &encoded[i]
		if len(r.Key) != len(crash.Key{}) {
			continue
		}
		report := blame.Report{
			Part: blame.Part{Key: crash.Key(r.Key), ID: r.ID}, Version: r.Version, Engine: r.Engine,
			Answer: blame.Answer(r.Answer), Alone: r.Alone, Proven: r.Proven,
		}
		if s := r.State; s != nil {
			report.State = &blame.State{Engines: s.Engines, Separate: s.Separate, Episodes: s.Episodes, Alone: s.Alone, Age: s.Age}
		}
		reports = append(reports, report)
	}
	if began := d.parts.AddReports(reports, d.clock.Now()); len(began) > 0 {
		d.log.Info("parts held back", "parts", ids(began), "cause", "crashes reported by peers")
	}
}

// SetStoredParts applies the entries of parts that the platform's store lists, and lifts those
// that it no longer lists.
func (d *Detector) SetStoredParts(listed []blame.Stored) {
	began, lifted := d.parts.SetStored(listed, d.clock.Now())
	if len(began) > 0 {
		d.log.Info("parts held back", "parts", ids(began), "cause", "platform's store")
	}
	if len(lifted) > 0 {
		d.log.Info("quarantine of parts lifted", "parts", ids(lifted))
	}
}
