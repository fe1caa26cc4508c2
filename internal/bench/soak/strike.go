package soak

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/jujubescale/jujubescale/platform/stand"
)

// strike makes one trouble happen and ends it.
func (r *run) strike(ctx context.Context, t Trouble) {
	pause(ctx, t.At)
	if ctx.Err() != nil {
		return
	}
	_, _ = fmt.Fprintln(r.Out, t)
	index := t.Subject % len(r.processes)
	if who, unplanned := r.disturbs(t, index); unplanned {
		defer r.faults.begin(t.Kind, who)()
	}
	switch t.Kind {
	case Kill:
		r.pick(index).signal(syscall.SIGKILL)
	case Pause:
		r.pick(index).signal(syscall.SIGSTOP)
		pause(ctx, t.For)
		r.pick(index).signal(syscall.SIGCONT)
	case Terminate:
		r.pick(index).signal(syscall.SIGTERM)
	case RollingStop:
		for i := range r.processes {
			r.pick(index + i).signal(syscall.SIGTERM)
			pause(ctx, t.For)
		}
	case Reload:
		if err := r.pick(index).writeSettings(zones[index%len(zones)], t.Subject); err != nil {
			r.breach("settings: %v", err)
		}
		r.pick(index).signal(syscall.SIGHUP)
	case ResetLinks, SilenceLinks, DelayLinks, CutOneWay, CutStore:
		r.strikeLinks(ctx, t, index)
	case StoreDown, StoreSilent, StoreForgets, StoreLoses:
		r.strikeStore(ctx, t)
	default:
		r.strikePlatform(ctx, t)
	}
}

// Troubles of links strike those of callers, of the store, or of an engine, by their
// subject.
const (
	linkKinds  = 3
	engineLink = 2
)

func (r *run) strikeLinks(ctx context.Context, t Trouble, index int) {
	proxies := []*Proxy{r.callers[index], r.stores[index], r.engineAt(t.Subject).proxy}
	proxy := proxies[t.Subject%linkKinds]
	switch t.Kind {
	case ResetLinks:
		proxy.Reset()
		return
	case SilenceLinks:
		proxy.Silence()
		return
	case DelayLinks:
		proxy.Set(Harm{Delay: 40 * time.Millisecond})
	case CutOneWay:
		proxy.Set(Harm{Deaf: t.Subject%2 == 0, Mute: t.Subject%2 == 1})
	default:
		proxy = r.stores[index]
		proxy.Set(Harm{Deaf: true, Mute: true})
	}
	pause(ctx, t.For)
	proxy.Set(Harm{})
	proxy.Reset()
}

func (r *run) strikeStore(ctx context.Context, t Trouble) {
	store := r.deployment.Store
	switch t.Kind {
	case StoreForgets:
		store.SetFault(stand.StoreFault{HideChanges: true})
		r.deployment.Publish()
		pause(ctx, min(t.For, time.Second))
		store.DropHistory()
	case StoreDown:
		store.SetFault(stand.StoreFault{Status: http.StatusServiceUnavailable})
		pause(ctx, t.For)
	case StoreSilent:
		store.SetFault(stand.StoreFault{Hang: true})
		pause(ctx, t.For)
	default:
		store.SetFault(stand.StoreFault{LoseAnswers: true, Delay: 50 * time.Millisecond})
		pause(ctx, t.For)
	}
	store.SetFault(stand.StoreFault{})
}

func (r *run) strikePlatform(ctx context.Context, t Trouble) {
	e := r.engineAt(t.Subject)
	if e.ended.Load() || (t.Kind == EngineFaults && e.Version != "") {
		return // what candidates do wrong is the operator's matter
	}
	switch t.Kind {
	case EngineFaults:
		e.SetFault(faults[t.Subject%len(faults)])
		pause(ctx, t.For)
		e.SetFault(stand.Fault{})
	case EngineCrash:
		e.proxy.Set(Harm{Refuse: true})
		e.proxy.Reset()
		pause(ctx, t.For)
		if !e.ended.Load() {
			e.proxy.Set(Harm{})
		}
	case EngineLeaves:
		r.deployment.Register(e.Engine, false, 0)
		pause(ctx, t.For)
		if !e.ended.Load() {
			r.deployment.Register(e.Engine, true, 0)
		}
	case EmptyZone:
		zone := zones[t.Subject%len(zones)]
		r.deployment.Evacuate(zone)
		pause(ctx, t.For)
		r.deployment.EndEvacuation(zone)
	default:
		r.deployment.Publish()
	}
}
