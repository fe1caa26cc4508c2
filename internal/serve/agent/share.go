package agent

import (
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/share/avail"
	"github.com/jujubescale/jujubescale/internal/share/node"
	"github.com/jujubescale/jujubescale/internal/share/spread"
)

// WithSharing adds options of the node that shares the configuration, such as access
// to the platform.
func WithSharing(opts ...node.Option) Option {
	return func(a *Agent) { a.nodeOptions = append(a.nodeOptions, opts...) }
}

// startSharing starts the node that receives the configuration. Entries send it over
// their sessions.
func (a *Agent) startSharing() {
	place := avail.Place{
		AvailabilityZone: a.settings.AvailabilityZone, Pool: a.settings.Pool, Endpoint: a.settings.Endpoint,
	}
	opts := append([]node.Option{
		node.WithClock(a.clock), node.WithLog(a.log), node.WithAccepted(a.wakeOrders),
	}, a.nodeOptions...)
	a.node = node.NewAgent(place, a.holder, opts...)
	a.node.Run(a.base)
}

// Refuses reports whether the agent currently refuses new work, and why: a planned
// stop, no configuration yet, an evacuated availability zone, a disabled
// endpoint, isolation from all other zones, or an endpoint that does not answer.
// The reason applies even if entries have not received it yet.
func (a *Agent) Refuses() (fault.Reason, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyShared(a.clock.Now())
	reason := a.drain.Reason()
	return reason, reason != ""
}

// wakeOrders makes the reconciliation use a new release at once.
func (a *Agent) wakeOrders(*spread.Release) {
	if a.orders == nil {
		return
	}
	select {
	case a.orders.wake <- struct{}{}:
	default:
	}
}
