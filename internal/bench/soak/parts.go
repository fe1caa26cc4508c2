package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/jujubescale/jujubescale/platform/stand"
)

// Disturbances of runs with parts; see Options.Parts.
const (
	// BadPart brings requests with a part of their prompt that crashes engines.
	BadPart Kind = "badPart"
	// PressOne hands most new connections to one process.
	PressOne Kind = "pressOne"
	// Unframed makes model engines answer without length or chunks, and break off some answers.
	Unframed Kind = "unframed"
)

const (
	badPerSecond = 25
	// Engines come back after a crash, while the entry of the crashed one stays for a while.
	badEntryTime, badRestartTime = 450 * time.Millisecond, 1200 * time.Millisecond
	// At most maxLateBad requests with a bad part reach engines later than badLateAfter after the
	// badLateCrash-th crash, sent by processes that were undisturbed for touchTime. Without any
	// fault, at most maxBadCrashes engines crash.
	maxLateBad    = 3
	badLateAfter  = 3 * time.Second
	badLateCrash  = 5
	touchTime     = 4 * time.Second
	maxBadCrashes = 8
	// minPressed is the least share of the requests that are served at the first attempt that is
	// read while one process is pressed and nothing else happens, minPressedSent the number from
	// which it is checked.
	minPressed     = 0.75
	minPressedSent = 20
	// eventBytes is the size of an event of a stream; cutBytes lies inside one.
	eventBytes, cutBytes = 35, 20
)

// partPlan returns the disturbances of runs with parts. Only it uses its random source.
func partPlan(seed uint64, length time.Duration) []Disturbance {
	random := rand.New(rand.NewPCG(seed, 37))
	var plan []Disturbance
	for _, kind := range []Kind{BadPart, PressOne, Unframed} {
		for at := firstDisturbance + rollingCount*rollingSpan; at < length-recoverySpan; {
			d := Disturbance{Kind: kind, At: at, For: time.Duration(2000+random.IntN(4000)) * time.Millisecond, Subject: random.IntN(64)}
			d.For = min(d.For, length-recoverySpan-at)
			plan = append(plan, d)
			at += d.For + time.Duration(500+random.IntN(3000))*time.Millisecond
		}
	}
	return plan
}

// pressCount counts the requests of one press.
type pressCount struct{ sent, served atomic.Int64 }

// injectPart causes a disturbance of a run with parts.
func (r *run) injectPart(ctx context.Context, d Disturbance) {
	switch d.Kind {
	case BadPart:
		r.sendBadPart(ctx, d)
	case PressOne:
		r.pressOne(ctx, d)
	default:
		r.answerUnframed(ctx, d)
	}
}

// sendBadPart sends requests with a new bad part to all processes for a time, and checks how many
// reach engines.
func (r *run) sendBadPart(ctx context.Context, d Disturbance) {
	poison := &stand.Poison{
		Part: fmt.Sprintf("bad%04x", rand.IntN(1<<16)), EntryRemovalDelay: badEntryTime, RestartDelay: badRestartTime,
	}
	r.deployment.Ledger.AddPoison(poison)
	from := time.Now()
	ticker := time.NewTicker(time.Second / badPerSecond)
	defer ticker.Stop()
	for until := from.Add(d.For); time.Now().Before(until) && ctx.Err() == nil; {
		<-ticker.C
		s := r.newRequest(streamKinds[rand.IntN(len(streamKinds))])
		s.PromptPrefix = fmt.Sprintf("aa:100,%s:100,dd:100,f%08x:100", poison.Part, rand.Uint32())
		s.Body += " " + stand.NewID()
		to := r.callers[rand.IntN(len(r.callers))].Address()
		r.group.Add(1)
		go func() {
			defer r.group.Done()
			bounded, cancel := context.WithTimeout(context.Background(), time.Duration(s.DeadlineMs)*time.Millisecond)
			defer cancel()
			r.client.Do(bounded, to, s)
		}()
	}
	r.checkBadPart(poison, from)
	pause(ctx, badRestartTime)
}

// streamKinds are the requests to model engines, by their place in requests.
var streamKinds = []int{2, 3}

// checkBadPart checks how many requests with a bad part reached engines.
func (r *run) checkBadPart(poison *stand.Poison, from time.Time) {
	crashes := poison.Crashes()
	late := 0
	if len(crashes) >= badLateCrash {
		since := crashes[badLateCrash-1]
		for _, arrival := range poison.SentArrivals() {
			if arrival.At.After(since.Add(badLateAfter)) && r.inTouch(arrival.Request, arrival.At) {
				late++
			}
		}
	}
	r.badParts.Add(1)
	r.badCrashes.Add(int64(len(crashes)))
	if late > maxLateBad {
		r.addViolation("part %s: %d requests reached engines later than %v after the crash number %d", poison.Part, late, badLateAfter, badLateCrash)
	}
	if len(crashes) > maxBadCrashes && !r.faults.overlapping(from.Add(-touchTime), time.Now(), nil, disruptive...) && !r.restartedSince(from.Add(-touchTime)) {
		r.addViolation("part %s: %d engines crashed", poison.Part, len(crashes))
	}
}

// disruptive are the faults that may keep processes from knowing a bad part.
var disruptive = []Kind{Kill, Pause, ResetLinks, BlackholeLinks, DelayLinks, CutOneWay, CutStore, StoreDown, StoreHangs, StoreDropsHistory, StoreLosesAnswers, EngineFaults, EngineCrash}

// inTouch reports whether the process to which a request was sent was undisturbed for touchTime.
func (r *run) inTouch(request string, at time.Time) bool {
	address, found := r.deployment.Ledger.SentTo(request)
	for i, proxy := range r.callers {
		if !found || proxy.Address() != address {
			continue
		}
		p := r.processes[i]
		if r.faults.overlapping(at.Add(-touchTime), at, p, disruptive...) {
			return false
		}
		for _, one := range p.history() {
			if one.began.After(at.Add(-touchTime)) || (!one.ended.IsZero() && one.ended.After(at.Add(-touchTime))) {
				return false
			}
		}
		return true
	}
	return false
}

// restartedSince reports whether a process has started or ended since an instant.
func (r *run) restartedSince(since time.Time) bool {
	for _, p := range r.processes {
		for _, one := range p.history() {
			if one.began.After(since) || one.ended.After(since) {
				return true
			}
		}
	}
	return false
}

// pressOne makes load send most requests to one process on new connections, and checks how many
// are served if nothing else happens.
func (r *run) pressOne(ctx context.Context, d Disturbance) {
	count := &pressCount{}
	from := time.Now()
	r.press.Store(&press{process: d.Subject % len(r.processes), count: count})
	pause(ctx, d.For)
	r.press.Store(nil)
	sent, served := count.sent.Load(), count.served.Load()
	disturbed := r.faults.overlapping(from.Add(-touchTime), time.Now(), nil) || r.faults.engineEnded(from.Add(-touchTime)) || r.restartedSince(from.Add(-touchTime))
	if sent >= minPressedSent && !disturbed && float64(served) < minPressed*float64(sent) {
		r.addViolation("%s was pressed: %d of %d requests were served at the first attempt that was read", r.processAt(d.Subject).name, served, sent)
	}
}

// press is a process to which the balancer hands most new connections.
type press struct {
	process int
	count   *pressCount
}

// pressedRequest sends a request on a new connection, and again to another process while its
// connection is refused or closed unread.
func (r *run) pressedRequest(p *press, s *stand.Request) {
	to := p.process
	if rand.Float64() >= pressedShare {
		to = rand.IntN(len(r.callers))
	}
	r.sent.Add(1)
	got, _ := r.sendUnread(context.Background(), to, s)
	p.count.sent.Add(1)
	switch {
	case got.Complete:
		p.count.served.Add(1)
		r.served.Add(1)
	case got.Status == 0:
		r.failed.Add(1)
	default:
		r.refused.Add(1)
	}
}

// answerUnframed makes the model engines answer without length or chunks for a time. Some of
// their answers end inside an event, or are reset.
func (r *run) answerUnframed(ctx context.Context, d Disturbance) {
	end := time.Now().Add(d.For)
	for time.Now().Before(end) && ctx.Err() == nil {
		all := r.deployment.Engines("models")
		for i, e := range all {
			e.SetUnframed(true)
			e.CutUnframed(nil)
			if i == d.Subject%len(all) {
				e.CutUnframed(&stand.Cut{Bytes: cutBytes + eventBytes*(d.Subject%8), Reset: d.Subject%2 == 0})
			}
		}
		pause(ctx, min(500*time.Millisecond, time.Until(end)))
	}
	for _, e := range r.deployment.Engines("models") {
		e.SetUnframed(false)
		e.CutUnframed(nil)
	}
}
