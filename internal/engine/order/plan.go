// Package order makes an engine load the models that the manifest specifies. It
// computes the necessary orders and issues them one at a time. Each carries a
// fencing number, so that no order of an earlier agent takes effect after one of
// the current agent.
package order

import (
	"slices"
	"strings"

	"github.com/jujubescale/jujubescale/internal/conf/manif"
)

// Op is the operation of an order.
type Op string

// Operations of an order.
const (
	OpLoad   Op = "load"
	OpUnload Op = "unload"
	OpRole   Op = "role"
)

// Order is the body of POST /v1/orders.
type Order struct {
	Op      Op     `json:"op"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
	Fence   uint64 `json:"fence"`
}

// Loads reports whether the order loads weights from the weight store.
func (o *Order) Loads() bool { return o.Op == OpLoad }

// name returns the name under which engines list the model or adapter:
// model@version or model@version+adapter.
func (o *Order) name() string {
	name := o.Model + "@" + o.Version
	if o.Adapter != "" {
		name += "+" + o.Adapter
	}
	return name
}

// Plan returns the orders that bring an engine from its current models and role
// to those of its pool, in the order in which they must be issued: first the
// change of role, then loads in the order of wanted, which has the most important
// model first, each model before its adapters, then unloads, adapters before
// models. Loads precede unloads so that the old version serves until the new one
// is loaded.
func Plan(wanted []manif.ModelVersion, role string, have []string, haveRole string) []Order {
	target := wantedOrders(wanted)
	var orders []Order
	if role != "" && role != haveRole {
		orders = append(orders, Order{Op: OpRole, Role: role})
	}
	names := make([]string, 0, len(target))
	for _, order := range target {
		names = append(names, order.name())
		if !slices.Contains(have, order.name()) {
			orders = append(orders, order)
		}
	}
	return append(orders, unloads(names, have)...)
}

func wantedOrders(wanted []manif.ModelVersion) []Order {
	var orders []Order
	for _, model := range wanted {
		orders = append(orders, Order{Op: OpLoad, Model: model.Model, Version: model.Version})
		for _, adapter := range model.Adapters {
			orders = append(orders, Order{Op: OpLoad, Model: model.Model, Version: model.Version, Adapter: adapter})
		}
	}
	return orders
}

func unloads(wanted, have []string) []Order {
	var adapters, models []Order
	sorted := slices.Clone(have)
	slices.Sort(sorted)
	for _, name := range sorted {
		order, ok := parseName(name)
		if !ok || slices.Contains(wanted, name) {
			continue
		}
		if order.Adapter != "" {
			adapters = append(adapters, order)
			continue
		}
		models = append(models, order)
	}
	return append(adapters, models...)
}

func parseName(name string) (Order, bool) {
	model, rest, found := strings.Cut(name, "@")
	if !found {
		return Order{}, false
	}
	version, adapter, _ := strings.Cut(rest, "+")
	return Order{Op: OpUnload, Model: model, Version: version, Adapter: adapter}, true
}
