package router

import "github.com/jujubescale/jujubescale/internal/serve/gate"

// Gate returns the gate, so that tests can play reports that reach one process alone.
func (g *Gateway) Gate() *gate.Gate { return g.gate }

// Watches reports whether this process watches the store for the others.
func (g *Gateway) Watches() bool { return g.mesh.IsWatcher() }
