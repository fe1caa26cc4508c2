package engine

import (
	"encoding/json"
	"net/http"

	"github.com/jujubescale/jujubescale/internal/stand/slots"
)

// Order is the body of POST /v1/orders.
type Order struct {
	Op      string `json:"op"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
	Fence   uint64 `json:"fence"`
}

// Operations of an order.
const (
	OpLoad   = "load"
	OpUnload = "unload"
	OpRole   = "role"
)

type fencedAnswer struct {
	Highest uint64 `json:"highest"`
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&order); err != nil {
		http.Error(w, "body is not an order", http.StatusBadRequest)
		return
	}
	if highest, fenced := e.checkFence(order.Fence); fenced {
		slots.WriteJSON(w, http.StatusConflict, fencedAnswer{Highest: highest})
		return
	}
	if order.Op == OpLoad && !e.settings.load(r.Context().Done()) {
		panic(http.ErrAbortHandler)
	}
	if !e.apply(order) {
		http.Error(w, "unknown order", http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// checkFence returns the highest fencing number received. It reports true if the
// engine checks fencing numbers and this one is lower; otherwise it records
// the number.
func (e *Engine) checkFence(number uint64) (uint64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.checksFence && number < e.highestFence {
		return e.highestFence, true
	}
	e.highestFence = max(e.highestFence, number)
	return e.highestFence, false
}

// apply applies and records an order. It reports whether the operation exists.
func (e *Engine) apply(order Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	name := order.Model + "@" + order.Version
	if order.Adapter != "" {
		name += "+" + order.Adapter
	}
	switch order.Op {
	case OpLoad:
		e.models[name] = true
	case OpUnload:
		delete(e.models, name)
	case OpRole:
		e.role = order.Role
	default:
		return false
	}
	e.orders = append(e.orders, order)
	return true
}
