package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jujubescale/jujubescale/platform"
	"github.com/jujubescale/jujubescale/platform/stand"
)

const (
	// PowerLoss ends all processes at once. Their connections stay open without a byte. Every
	// second time the engines lose their power too.
	PowerLoss Kind = "powerLoss"
	// SilenceSessions silences the open connections between all processes; new ones work.
	SilenceSessions Kind = "silenceSessions"
)

const (
	// returnTime is the time after the return of all hosts from which requests are served.
	returnTime = 2 * time.Second
	// returnedAfter is the time after it from which requests are counted, on hosts with quotas.
	returnedAfter = 3 * time.Second
	// minReturnedShare is the share of the processes that serve then.
	minReturnedShare = 0.9
	// outageSpan is the least time between two outages. Within it, the hosts return and are checked.
	outageSpan = 6 * time.Second
)

// outages returns the times at which all hosts lose their power or the processes lose each other,
// overlapping other disturbances.
func outages(seed uint64, length time.Duration) []Disturbance {
	random := rand.New(rand.NewPCG(seed, 43))
	var plan []Disturbance
	for at := firstDisturbance + rollingCount*rollingSpan; at < length-recoverySpan-outageSpan; at += outageSpan {
		kind := []Kind{PowerLoss, SilenceSessions}[random.IntN(2)]
		plan = append(plan, Disturbance{Kind: kind, At: at, For: time.Duration(300+random.IntN(1500)) * time.Millisecond, Subject: random.IntN(64)})
		at += time.Duration(random.IntN(2000)) * time.Millisecond
	}
	return plan
}

// addressMembers makes the store list the proxies in front of the processes as their addresses.
func (r *run) addressMembers() {
	r.deployment.Store.SetWriteFunc(func(kind, name string, spec json.RawMessage) json.RawMessage {
		proxy, known := r.sessions.Load(name)
		var entry map[string]json.RawMessage // a number keeps all its digits
		if kind != platform.KindMembers || !known || json.Unmarshal(spec, &entry) != nil {
			return spec
		}
		entry["address"] = json.RawMessage(strconv.Quote(proxy.(*Proxy).Address()))
		changed, err := json.Marshal(entry)
		if err != nil {
			return spec
		}
		return changed
	})
}

// injectOutage causes an outage right after the store has acknowledged a version with a route of its
// own, and checks after it that the processes serve that route.
func (r *run) injectOutage(ctx context.Context, d Disturbance) {
	request := r.addProbeRoute()
	if d.Kind == SilenceSessions {
		r.sessions.Range(func(_, proxy any) bool {
			proxy.(*Proxy).Blackhole()
			return true
		})
	} else {
		r.cutPower(ctx, d)
	}
	back := time.Now()
	pause(ctx, max(changeWithin, returnTime))
	if ctx.Err() != nil {
		return
	}
	r.outages.Add(1)
	if !r.faults.overlapping(back.Add(-time.Second), time.Now(), nil, StoreDown, StoreHangs, StoreDropsHistory, StoreLosesAnswers, StoreRestores) {
		r.checkReturned(ctx, d, request, back)
	}
}

// checkReturned checks that no process denies a route that was acknowledged before an outage, and that
// most of them serve it. Processes that another fault of their own strikes are left out.
func (r *run) checkReturned(ctx context.Context, d Disturbance, request func() *stand.Request, back time.Time) {
	var asked, served, denied atomic.Int64
	var group sync.WaitGroup
	for _, p := range r.processes {
		if !r.isUndisturbed(p, back.Add(time.Second)) {
			continue
		}
		group.Go(func() {
			got := r.client.Do(ctx, p.ports.callers, request())
			if !r.isUndisturbed(p, back.Add(time.Second)) {
				return
			}
			asked.Add(1)
			if got.Complete {
				served.Add(1)
			}
			if got.Status == http.StatusNotFound {
				denied.Add(1)
			}
		})
	}
	group.Wait()
	if ctx.Err() != nil || asked.Load() == 0 {
		return
	}
	r.outagesJudged.Add(1)
	r.outageProbes.Add(asked.Load())
	if denied.Load() > 0 {
		r.addViolation("%v after %s %d of %d processes deny a route that was acknowledged before", returnTime, d.Kind, denied.Load(), asked.Load())
	}
	engines := []Kind{EngineFaults, EngineCrash, ResetLinks, BlackholeLinks, DelayLinks, CutOneWay}
	if !r.faults.overlapping(back, time.Now(), nil, engines...) && float64(served.Load()) < minReturnedShare*float64(asked.Load()) {
		r.addViolation("%v after %s only %d of %d processes serve a route that was acknowledged before", returnTime, d.Kind, served.Load(), asked.Load())
	}
}

// isReturned reports whether all hosts have lost their power, and have returned for returnedAfter.
func (r *run) isReturned() bool {
	at := r.poweredAt.Load()
	return at > 0 && time.Since(r.started) > time.Duration(at)*time.Millisecond+returnedAfter
}

// cutPower ends all processes, and starts them again after the time of the disturbance.
func (r *run) cutPower(ctx context.Context, d Disturbance) {
	defer r.faults.begin(Kill, nil)()
	r.poweredAt.Store(0)
	defer func() { r.poweredAt.Store(time.Since(r.started).Milliseconds()) }()
	var proxies []*Proxy
	proxies = append(append(proxies, r.callers...), r.stores...)
	r.sessions.Range(func(_, proxy any) bool {
		proxies = append(proxies, proxy.(*Proxy))
		return true
	})
	for _, proxy := range proxies {
		proxy.Sever()
	}
	if d.Subject%2 == 0 {
		end := r.faults.beginEngineEnd()
		r.deployment.PowerOff(d.For, time.Duration(d.Subject%4)*500*time.Millisecond)
		defer end()
	}
	for _, p := range r.processes {
		p.startAfter(time.Now().Add(d.For))
		p.signal(syscall.SIGKILL)
	}
	pause(ctx, d.For+restartPause)
}
