package router

import (
	"context"
	"slices"
	"time"

	"github.com/jujubescale/jujubescale/internal/guard/room"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/route/view"
	"github.com/jujubescale/jujubescale/internal/serve/permit"
)

// newPermits returns what endpoints state, connected to the other processes.
func (g *Gateway) newPermits() *permit.Book {
	return permit.New(permit.WithClock(g.Clock), permit.WithLog(g.Log), permit.WithRegistry(g.Registry), permit.WithPeers(permit.Peers{
		Self:      g.Name,
		OwnerFunc: func(endpoint string) string { return g.mesh.Owner(endpoint) },
		AskFunc: func(ctx context.Context, owner string, request *wire.PermitRequest) (*wire.Permit, error) {
			return g.mesh.RequestPermit(ctx, owner, request)
		},
		ReportFunc: func() { g.mesh.ReportNow() },
	}), permit.WithStalls(g.stall.LastStall), permit.WithRooms(permit.Rooms{
		EngineFunc: g.engineLimits, CountFunc: g.countProcesses, LiveFunc: g.isLive, Epoch: time.Now().UnixMilli(),
	}))
}

// engineLimits returns a model engine and what all requests together may take of it, nil for
// other endpoints.
func (g *Gateway) engineLimits(endpoint string) (*view.Endpoint, room.Limits) {
	e, routes := g.endpoints.Snapshot().Find(endpoint), g.config.Table()
	if e == nil || routes == nil {
		return nil, room.Limits{}
	}
	pool := routes.Pool(e.Pool)
	if pool == nil || pool.Generation == nil {
		return nil, room.Limits{}
	}
	limits := room.Limits{Tokens: pool.Generation.Tokens, Places: int64(pool.Generation.Slots)}
	if limits.Tokens <= 0 {
		limits.Tokens = room.Unlimited
	}
	if limits.Places <= 0 {
		limits.Places = room.Unlimited
	}
	return e, limits
}

// countProcesses returns the number of live processes, 0 before the member list was read.
func (g *Gateway) countProcesses() int {
	if !g.feeds.members.Listed() {
		return 0
	}
	return g.mesh.Count()
}

func (g *Gateway) isLive(process string) bool {
	return process == g.Name || slices.Contains(g.mesh.LiveProcesses(), process)
}
