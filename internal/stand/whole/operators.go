package whole

import (
	"github.com/jujubescale/jujubescale/internal/ops/admin"
)

// OpenOperators opens an operators' port for each process and publishes it in
// the platform's list of hosts, so that jujubectl can be used with this system.
func (w *Whole) OpenOperators() error {
	for _, front := range w.Fronts {
		port, err := Serve(anyPort, admin.New(
			admin.WithStatus(func() admin.Status { return front.Entry.Status() }),
			admin.WithRequest(func(id string) *admin.Request { return front.Entry.Lookup(id) }),
		).Handler())
		if err != nil {
			return err
		}
		front.operators = port
	}
	for _, place := range w.Places {
		port, err := Serve(anyPort, admin.New(
			admin.WithStatus(func() admin.Status { return place.Agent.Status() }),
			admin.WithRequest(func(id string) *admin.Request { return place.Agent.Lookup(id) }),
		).Handler())
		if err != nil {
			return err
		}
		place.operators = port
	}
	w.publishHosts()
	return nil
}

// addressOf returns the address of a port, or the empty string for nil.
func addressOf(port *Server) string {
	if port == nil {
		return ""
	}
	return port.Address()
}
