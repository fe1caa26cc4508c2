package agent

import (
	"context"
	"errors"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubescale/jujubescale/internal/base/bound"
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/engine/load"
	"github.com/jujubescale/jujubescale/internal/engine/order"
	"github.com/jujubescale/jujubescale/internal/plat/call"
	"github.com/jujubescale/jujubescale/internal/plat/lease"
	"github.com/jujubescale/jujubescale/internal/plat/slot"
)

const (
	// DefaultWeightSlots is the maximum number of engines in the whole deployment
	// that load weights at once. The weight store is rate-limited.
	DefaultWeightSlots = 4
	reconcileInterval  = 2 * clock.Second
	orderLeasePrefix   = "leases/orders/"
	weightSlotPrefix   = "slots/weights"
)

// orders holds what the agent needs to make the loaded models of its engine equal to
// those in the manifest.
type orders struct {
	caller   *call.Caller
	slots    int
	wake     chan struct{}
	outcomes *prometheus.CounterVec
}

// WithOrders makes the agent send its engine orders to load and unload models. The
// agent uses leases in the platform for this. At most slots engines of the whole
// deployment load weights at once.
func WithOrders(caller *call.Caller, slots int) Option {
	return func(a *Agent) {
		a.orders = &orders{caller: caller, slots: slots, wake: make(chan struct{}, 1), outcomes: prometheus.NewCounterVec(
			prometheus.CounterOpts{
				Name: "jujubescale_agent_orders_total",
				Help: "Orders to the engine by operation and outcome.",
			}, []string{"op", "outcome"})}
	}
}

// startOrders starts the reconciliation if the endpoint is a model engine.
func (a *Agent) startOrders() {
	if a.orders == nil {
		return
	}
	a.registerer.MustRegister(a.orders.outcomes)
	if a.settings.Kind != manif.KindGenerate {
		return
	}
	a.group.Go(func() { a.reconcile(a.base) })
}

// reconcile periodically compares the models that the engine has loaded with those
// that the manifest lists, and orders the changes. The next comparison also covers
// an order whose answer was lost, and models that the engine lost in a restart.
func (a *Agent) reconcile(ctx context.Context) {
	reader := load.New(a.settings.EndpointURL, func(load.Reading) {}, load.WithClock(a.clock))
	sender := order.NewClient(a.settings.EndpointURL, &http.Client{Transport: bound.NewTransport(&http.Transport{MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: bound.MaxHeadBytes})})
	holder := a.settings.Process + "/" + a.incarnation.String()
	engineLease := lease.New(a.orders.caller.Store(call.Lease), orderLeasePrefix+a.settings.Pool+"/"+a.settings.Endpoint, holder, lease.WithClock(a.clock))
	loadSlots := slot.New(a.orders.caller.Store(call.Lease), weightSlotPrefix, a.orders.slots, holder, slot.WithClock(a.clock))
	var issuer *order.Issuer
	for ctx.Err() == nil {
		if pool := a.currentPool(); pool != nil {
			if issuer == nil {
				issuer = order.NewIssuer(a.clock, engineLease, pool.Fencing != manif.FencingChecked, sender.Send)
			}
			a.applyOrders(ctx, pool, reader, issuer, loadSlots)
		}
		a.waitForOrders(ctx)
	}
}

func (a *Agent) currentPool() *manif.Pool {
	release := a.holder.Current()
	if release == nil {
		return nil
	}
	if pool := release.Pool(a.settings.Pool); pool != nil && (len(pool.Models) > 0 || pool.Role != "") {
		return pool
	}
	return nil
}

func (a *Agent) waitForOrders(ctx context.Context) {
	due, stop := a.clock.After(reconcileInterval)
	defer stop()
	select {
	case <-due:
	case <-a.orders.wake:
	case <-ctx.Done():
	}
}

// applyOrders sends the orders that the engine needs, one after another, until one
// fails.
func (a *Agent) applyOrders(ctx context.Context, pool *manif.Pool, reader *load.Poller, issuer *order.Issuer, loadSlots *slot.Slots) {
	reading := reader.Read(ctx)
	if reading.Report == nil {
		return // no order can be planned: the loaded models are unknown
	}
	for _, next := range order.Plan(pool.Models, pool.Role, reading.Report.Models, reading.Report.Role) {
		send := func(ctx context.Context) error { return issuer.Issue(ctx, next) }
		var err error
		if next.Loads() {
			err = loadSlots.Do(ctx, send)
		} else {
			err = send(ctx)
		}
		a.orders.outcomes.WithLabelValues(string(next.Op), orderOutcome(err)).Inc()
		if err != nil {
			a.log.Warn("order to the engine failed", "op", next.Op, "model", next.Model, "version", next.Version, "error", err)
			return
		}
		a.log.Info("order to the engine completed", "op", next.Op, "model", next.Model, "version", next.Version, "adapter", next.Adapter)
	}
}

func orderOutcome(err error) string {
	var fenced *order.FencedError
	var stepped *order.SupersededError
	var lapsed *order.ExpiredError
	switch {
	case err == nil:
		return "done"
	case errors.As(err, &fenced):
		return "fenced"
	case errors.As(err, &stepped):
		return "steppedBack"
	case errors.As(err, &lapsed):
		return "lapsed"
	default:
		return "failed"
	}
}
