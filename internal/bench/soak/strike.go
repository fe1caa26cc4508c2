package soak

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/jujubescale/jujubescale/platform/stand"
)

// inject starts one disturbance at its time and ends it.
func (r *run) inject(ctx context.Context, d Disturbance) {
	pause(ctx, d.At)
	if ctx.Err() != nil {
		return
	}
	_, _ = fmt.Fprintln(r.Out, d)
	index := d.Subject % len(r.processes)
	if affected, unplanned := r.unplannedOn(d, index); unplanned {
		defer r.faults.begin(d.Kind, affected)()
	}
	switch d.Kind {
	case Kill:
		r.processAt(index).signal(syscall.SIGKILL)
	case Terminate:
		r.processAt(index).signal(syscall.SIGTERM)
	case RollingStop:
		for i := range r.processes {
			r.processAt(index + i).signal(syscall.SIGTERM)
			pause(ctx, d.For)
		}
	case Reload:
		if err := r.processAt(index).writeSettings(zones[index%len(zones)], d.Subject); err != nil {
			r.addViolation("settings: %v", err)
		}
		r.processAt(index).signal(syscall.SIGHUP)
	case ResetLinks, BlackholeLinks, DelayLinks, CutOneWay, CutStore:
		r.injectLinkFault(ctx, d, index)
	case PowerLoss, SilenceSessions:
		r.injectOutage(ctx, d)
	case StoreDown, StoreHangs, StoreDropsHistory, StoreLosesAnswers:
		r.injectStoreFault(ctx, d)
	case StoreRestores:
		r.restoreStore(ctx, d)
	case BadPart, PressOne, Unframed:
		r.injectPart(ctx, d)
	case Pause, Throttle, PauseGroup, LoseLarge:
		r.injectHold(ctx, d, index)
	default:
		r.injectPlatformChange(ctx, d)
	}
}

// The subject of a link disturbance, modulo linkKinds, selects the link: to a process
// (0), to the store (1) or to an engine (engineLink).
const (
	linkKinds  = 3
	engineLink = 2
)

func (r *run) injectLinkFault(ctx context.Context, d Disturbance, index int) {
	proxies := []*Proxy{r.callers[index], r.stores[index], r.engineAt(d.Subject).proxy}
	proxy := proxies[d.Subject%linkKinds]
	switch d.Kind {
	case ResetLinks:
		proxy.Reset()
		return
	case BlackholeLinks:
		proxy.Blackhole()
		return
	case DelayLinks:
		proxy.SetFault(LinkFault{Delay: 40 * time.Millisecond})
	case CutOneWay:
		proxy.SetFault(LinkFault{DropUpstream: d.Subject%2 == 0, DropDownstream: d.Subject%2 == 1})
	default:
		proxy = r.stores[index]
		proxy.SetFault(LinkFault{DropUpstream: true, DropDownstream: true})
	}
	pause(ctx, d.For)
	proxy.SetFault(LinkFault{})
	proxy.Reset()
}

func (r *run) injectStoreFault(ctx context.Context, d Disturbance) {
	store := r.deployment.Store
	switch d.Kind {
	case StoreDropsHistory:
		store.SetFault(stand.StoreFault{HideChanges: true})
		r.publish()
		pause(ctx, min(d.For, time.Second))
		if d.Subject%2 == 0 {
			store.ExpireWatches()
		} else {
			store.DropHistory()
		}
	case StoreDown:
		store.SetFault(stand.StoreFault{Status: http.StatusServiceUnavailable})
		pause(ctx, d.For)
	case StoreHangs:
		store.SetFault(stand.StoreFault{Hang: true})
		pause(ctx, d.For)
	default:
		store.SetFault(stand.StoreFault{LoseAnswers: true, Delay: 50 * time.Millisecond})
		pause(ctx, d.For)
	}
	store.SetFault(stand.StoreFault{})
}

func (r *run) injectPlatformChange(ctx context.Context, d Disturbance) {
	e := r.engineAt(d.Subject)
	switch d.Kind {
	case LimitRate:
		limitRate(ctx, e, d)
		return
	case AskRest:
		askRest(ctx, e, d)
		return
	case StateLeaving:
		r.stateLeaving(ctx, d)
		return
	case Interference:
		r.interfere(ctx, d)
		return
	default: // the other kinds follow
	}
	if e.ended.Load() || (d.Kind == EngineFaults && e.Version != "") {
		return // issueOrders sets the faults of candidates
	}
	switch d.Kind {
	case EngineFaults:
		e.SetFault(faults[d.Subject%len(faults)])
		pause(ctx, d.For)
		e.SetFault(stand.Fault{})
	case EngineCrash:
		e.proxy.SetFault(LinkFault{Refuse: true})
		e.proxy.Reset()
		pause(ctx, d.For)
		if !e.ended.Load() {
			e.proxy.SetFault(LinkFault{})
		}
	case EngineLeaves:
		r.deployment.Register(e.Engine, false, 0)
		pause(ctx, d.For)
		if !e.ended.Load() {
			r.deployment.Register(e.Engine, true, 0)
		}
	case EvacuateZone:
		zone := zones[d.Subject%len(zones)]
		r.deployment.Evacuate(zone)
		pause(ctx, d.For)
		r.deployment.EndEvacuation(zone)
	default:
		r.publish()
	}
}

// limitRate makes an engine state a malformed limit, then one for most of the time.
func limitRate(ctx context.Context, e *engine, d Disturbance) {
	rates := []float64{0.5, 1, 1.2, 5}
	malformed := []string{"-1", "NaN", "1e308", "", "soon", "1, 2", "0"}
	e.SetRateText(malformed[d.Subject%len(malformed)])
	pause(ctx, d.For/10)
	e.SetRate(rates[d.Subject%len(rates)])
	pause(ctx, d.For*9/10)
	e.SetRate(0)
}
