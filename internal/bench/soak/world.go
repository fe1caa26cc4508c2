package soak

import (
	"net/http"
	"strings"
	"time"

	"github.com/jujubescale/jujubescale/platform/stand"
)

var zones = []string{"a", "b", "c"}

const (
	key          = "secret-of-one"
	organisation = "one"
)

// config returns the operator's configuration of a run.
func config(memory int64) stand.Config {
	return stand.Config{
		Services: []stand.Service{
			{Name: "orders", Kind: stand.Plain, MaxConns: 200},
			{Name: "models", Kind: stand.Model, MaxConns: 200, Memory: int(memory)},
			{Name: "encode", Kind: stand.Stage, MaxConns: 100, Batch: 8, CallMs: 30, ItemMs: 1},
			{Name: "rerank", Kind: stand.Stage, MaxConns: 100, Batch: 16, CallMs: 30, ItemMs: 1},
		},
		Routes: []stand.Route{
			{Name: "book", Host: "orders.example", Prefix: "/book/", Kind: "unsafe", Service: "orders", TimeoutMs: 2500, SloMs: 400, Attempts: 1, Priority: 1},
			{Name: "look", Host: "orders.example", Prefix: "/look/", Kind: "safe", Service: "orders", TimeoutMs: 2500, SloMs: 400, Attempts: 2, Priority: 1},
			{
				Name: "draft", Host: "models.example", Prefix: "/draft/", Kind: "stream", Service: "models", TimeoutMs: 6000, SloMs: 1500, Attempts: 2, Resumable: true,
				Stages: []stand.RouteStage{{Service: "encode", Bytes: 1000}, {Service: "encode", Bytes: 1000}, {Service: "rerank", After: []int{1}, Bytes: 1000}},
			},
			{Name: "sum", Host: "models.example", Prefix: "/sum/", Kind: "stream", Service: "models", TimeoutMs: 6000, SloMs: 1500, Attempts: 1},
		},
		Tenants: []stand.Tenant{{Name: organisation, Keys: []string{key}}},
	}
}

const streamEvents = 10

// linkMbps is the bandwidth of the smallest hosts, in megabits per second.
const linkMbps = 10

// Engines of the three zones differ in speed. They close connections that are idle.
const (
	engineIdleTimeout = 1500 * time.Millisecond
	promptTokensPerMs = 40
)

var slowdowns = map[string]float64{"a": 0.7, "b": 1, "c": 1.7}

// engines returns the engines of one zone.
func engines(zone string) []*stand.Engine {
	all := []*stand.Engine{
		{Service: "orders", Kind: stand.Plain, WorkTime: 10 * time.Millisecond},
		{Service: "models", Kind: stand.Model, WorkTime: 20 * time.Millisecond, EventInterval: 15 * time.Millisecond, Events: streamEvents, TokensPerMs: promptTokensPerMs, Slowdown: slowdowns[zone]},
		{Service: "encode", Kind: stand.Stage, WorkTime: 30 * time.Millisecond},
		{Service: "rerank", Kind: stand.Stage, WorkTime: 30 * time.Millisecond},
	}
	for _, e := range all {
		e.Zone, e.IdleTimeout = zone, engineIdleTimeout
	}
	return all
}

// faults are the faults of EngineFaults.
var faults = []stand.Fault{
	{Every: 3, Reset: true}, {Every: 3, Truncate: true}, {Every: 2, Refuse: true}, {Every: 3, Fail: true}, {Every: 4, Duplicate: true}, {Every: 5, Hang: true},
}

// requests create the kinds of requests that callers send.
var requests = []func() *stand.Request{
	func() *stand.Request {
		return &stand.Request{
			ID: stand.NewID(), Method: http.MethodPost, Host: "orders.example", Path: "/book/reel?n=3", Service: "orders", Key: key, Tenant: organisation,
			Body: strings.Repeat("kraft ", 30), DeadlineMs: 2500, AtMostOnce: true,
		}
	},
	func() *stand.Request {
		return &stand.Request{
			ID: stand.NewID(), Method: http.MethodGet, Host: "orders.example", Path: "/look/stock", Service: "orders", Key: key, Tenant: organisation, DeadlineMs: 2500,
		}
	},
	func() *stand.Request {
		return &stand.Request{
			ID: stand.NewID(), Method: http.MethodPost, Host: "models.example", Path: "/draft/sheet", Service: "models", Key: key, Tenant: organisation,
			Body: strings.Repeat("glue and fold ", 800), DeadlineMs: 6000, Events: streamEvents,
			Pieces: []int{2, 1, 3}, After: [][]int{nil, nil, {1}}, PieceKey: "sheet", PromptTokens: 900, PromptPrefix: "aa:500,bb:300,cc:100",
		}
	},
	func() *stand.Request {
		return &stand.Request{
			ID: stand.NewID(), Method: http.MethodPost, Host: "models.example", Path: "/sum/log", Service: "models", Key: key, Tenant: organisation,
			Body: "shift log", DeadlineMs: 6000, Events: streamEvents, AtMostOnce: true, PromptTokens: 200, PromptPrefix: "aa:100,dd:100",
		}
	},
}
