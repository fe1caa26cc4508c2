package router

import (
	"context"
	"fmt"
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
)

// configAge returns the time since the store confirmed the configuration in force, in
// milliseconds. It is 0 before the first read.
func (g *Gateway) configAge() clock.Millis {
	if g.feeds.config == nil || !g.feeds.config.Listed() {
		return 0
	}
	return g.feeds.config.Progress().Age
}

// checkConfigAge logs when the age of the configuration exceeds the age at which this
// process asks the store itself, and when it doesn't any more.
func (g *Gateway) checkConfigAge() {
	age := g.configAge()
	old := age > g.share(maxAgeShare)
	if old == g.configOld {
		return
	}
	g.configOld = old
	event := "configuration confirmed"
	if old {
		event = "configuration not confirmed"
	}
	g.Log.Info(event, "configuration", g.configVersion(), "ageMs", int64(age), "withinMs", int64(g.ChangeWithin), "storeDown", g.feeds.config.Down(),
		"relayed", g.feeds.config.Relayed(), "upstream", g.mesh.Upstream())
}

const (
	// callShare is the share of the time within which a change must be in force that is left
	// for a call to the store, from its start until the change is in force: at an age of
	// maxAgeShare the process calls the store. A denial waits as long for the answer.
	callShare = 1 - maxAgeShare
	// maxDenialsWaiting limits the denials that wait, so that a flood of unknown paths takes
	// little memory.
	maxDenialsWaiting = 200
	// configPoll is the pause between two looks at the configuration while denials wait.
	configPoll = 20 * clock.Millis(1)
)

// configWait is the wait of all denials for a confirmation of the configuration.
type configWait struct {
	mu sync.Mutex
	// ended is closed when the current wait ends, nil without one. waiting is the number of
	// denials that wait for it.
	ended   chan struct{}
	waiting int
}

// confirmDenial returns the answer to a request that is refused. A denial is given only while the
// configuration is known to be recent enough. Otherwise a newer one may allow the request, so the
// caller is told to come back. If again is set, it waits for the configuration first, and again
// decides by the one that is in force then.
func (g *Gateway) confirmDenial(ctx context.Context, request string, refused *fault.RefusalError, again func() *fault.RefusalError) *fault.RefusalError {
	if !refused.IsDenial() {
		return refused
	}
	if again != nil && g.awaitConfig(ctx, request) {
		if refused = again(); !refused.IsDenial() {
			return refused
		}
	}
	if g.configOutdated() {
		refused = fault.Refuse(fault.ConfigOutdated, "denied by the configuration in force: "+string(refused.Reason))
	}
	refused.Evidence = g.configEvidence()
	return refused
}

// configEvidence describes the configuration in force, and what proves that it is the newest.
func (g *Gateway) configEvidence() string {
	source := "the store"
	if upstream := g.mesh.Upstream(); upstream != "" && g.feeds.config.Relayed() {
		source = upstream
	}
	revision := g.feeds.config.Version(g.Dialect.ConfigKind + "/" + g.Dialect.ConfigName)
	return fmt.Sprintf("configuration %d of revision %v, confirmed %d ms ago by %s, store unreachable for %d ms, changes missing: %t",
		g.configVersion(), revision, g.configAge(), source, g.feeds.config.AwayFor(), g.feeds.config.Behind())
}

// awaitConfig waits until the configuration is confirmed, if the one in force may be too old to
// deny a request by it. It reports whether it waited. It calls nothing: a process whose
// configuration is too old calls the store already. It doesn't wait while the store has been
// away for longer than a denial may wait.
func (g *Gateway) awaitConfig(ctx context.Context, request string) bool {
	if !g.mayBeConfirmed() {
		return false
	}
	ended := g.configWait.join(g.waitForConfig)
	if ended == nil {
		return false
	}
	defer g.configWait.leave()
	began := g.Clock.Now()
	select {
	case <-ended:
	case <-ctx.Done():
	}
	g.Log.Info("denial waited for the configuration", logs.KeyRequest, request, "waitedMs", int64(g.Clock.Since(began)),
		"configuration", g.configVersion(), "ageMs", int64(g.configAge()), "outdated", g.configOutdated())
	return true
}

// configOutdated reports whether a version that this process lacks may have to be in force.
func (g *Gateway) configOutdated() bool {
	return g.feeds.config.Behind() || g.configAge() > g.share(maxAgeShare)
}

// mayBeConfirmed reports whether the configuration is outdated, and may be confirmed or replaced soon.
func (g *Gateway) mayBeConfirmed() bool {
	return g.configOutdated() && (g.feeds.config.Behind() || g.feeds.config.AwayFor() <= g.share(callShare))
}

// share returns a share of the time within which a change must be in force.
func (g *Gateway) share(of float64) clock.Millis { return clock.Millis(of * float64(g.ChangeWithin)) }

// waitForConfig closes ended once the configuration is confirmed, at the latest after
// callShare.
func (g *Gateway) waitForConfig(ended chan struct{}) {
	defer g.configWait.end(ended)
	until := g.Clock.Now() + g.share(callShare)
	for g.mayBeConfirmed() && g.Clock.Now() < until {
		if g.Clock.Sleep(g.baseCtx, configPoll) != nil {
			return
		}
	}
}

// join returns the channel that is closed at the end of the current wait, and starts a wait if
// there is none. It returns nil if too many denials wait; otherwise leave must be called.
func (w *configWait) join(wait func(ended chan struct{})) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting >= maxDenialsWaiting {
		return nil
	}
	w.waiting++
	if w.ended == nil {
		w.ended = make(chan struct{})
		go wait(w.ended)
	}
	return w.ended
}

func (w *configWait) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting--
}

// end ends the current wait.
func (w *configWait) end(ended chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = nil
	close(ended)
}
