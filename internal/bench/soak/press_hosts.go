package soak

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/jujubescale/jujubescale/internal/stand/netw"
	"github.com/jujubescale/jujubescale/platform"
	"github.com/jujubescale/jujubescale/platform/stand"
)

// PressTurn is a time in which the balancer hands nine of ten new connections to one gateway, another one
// in each turn.
type PressTurn struct {
	// Size is the size of its host, 0 for the smallest.
	Size int
	// Restarted is set if the gateway is killed before the turn, which begins once it is ready again.
	Restarted bool
	Length    time.Duration
}

// HostPressOptions configure a run with gateways on hosts of three sizes, which enforce their limits. The
// link of the host of a pressed gateway carries all its traffic: that of callers, engines, peers and
// the store.
type HostPressOptions struct {
	Gateways int
	// PerSecond is the number of requests a second, Mix the weights of their kinds: disputes, tariffs,
	// chats, payments and lookups.
	PerSecond int
	Mix       []float64
	// Before is the time with an even balancer.
	Before          time.Duration
	Turns           []PressTurn
	Program, Folder string
}

// hostPressConfig returns a configuration with long prompts and stages, some with large results.
func hostPressConfig() stand.Config {
	const host = "desk.example"
	return stand.Config{
		Services: []stand.Service{
			{Name: "orders", Kind: stand.Plain, MaxConns: 190},
			{Name: "models", Kind: stand.Model, MaxConns: 390, Slots: 48, Memory: 493_314},
			{Name: "encode", Kind: stand.Stage, MaxConns: 390, Batch: 10, CallMs: 200, ItemMs: 17},
			{Name: "recall", Kind: stand.Stage, MaxConns: 390, Batch: 28, CallMs: 200, ItemMs: 6},
			{Name: "rerank", Kind: stand.Stage, MaxConns: 390, Batch: 38, CallMs: 200, ItemMs: 4},
		},
		Routes: []stand.Route{
			{Name: "dispute", Host: host, Prefix: "/dispute/", Kind: "stream", Service: "models", TimeoutMs: 6000, SloMs: 910, Attempts: 1, Priority: 1, Stages: []stand.RouteStage{{Service: "encode", Bytes: 1_500_000}}},
			{
				Name: "tariff", Host: host, Prefix: "/tariff/", Kind: "stream", Service: "models", TimeoutMs: 6000, SloMs: 1800, Attempts: 2, Resumable: true,
				Stages: []stand.RouteStage{{Service: "encode", Bytes: 8000}, {Service: "recall", After: []int{0}, Bytes: 60_000}, {Service: "rerank", After: []int{1}, Bytes: 6000}},
			},
			{
				Name: "chat", Host: host, Prefix: "/chat/", Kind: "stream", Service: "models", TimeoutMs: 20_000, SloMs: 1700, Attempts: 1, Priority: 2,
				Stages: []stand.RouteStage{{Service: "encode", Bytes: 1_500_000}, {Service: "encode", Bytes: 8000}, {Service: "recall", After: []int{1}, Bytes: 60_000}, {Service: "rerank", After: []int{2}, Bytes: 6000}},
			},
			{Name: "payment", Host: host, Prefix: "/payment/", Kind: "unsafe", Service: "orders", TimeoutMs: 1000, SloMs: 120, Attempts: 1, Priority: 2},
			{Name: "lookup", Host: host, Prefix: "/lookup/", Kind: "safe", Service: "orders", TimeoutMs: 1000, SloMs: 120, Attempts: 2, Priority: 2},
		},
		Tenants: []stand.Tenant{{Name: organisation, Keys: []string{key}}},
	}
}

// lognormal returns a size with a mean, whose logarithm has a deviation, of at most six times the mean.
func lognormal(mean, deviation float64) int {
	return int(min(mean*math.Exp(deviation*rand.NormFloat64()-deviation*deviation/2), 6*mean))
}

// Kinds of requests.
const (
	dispute = iota
	tariff
	chat
	payment
	lookup
)

// hostPressRequest returns a request of a kind.
func hostPressRequest(kind int) *stand.Request {
	r := &stand.Request{
		ID: stand.NewID(), Method: http.MethodPost, Host: "desk.example", Key: key, Tenant: organisation, Service: "models", DeadlineMs: 6000,
		Events: streamEvents, PieceKey: stand.NewID(),
	}
	body := 0
	switch kind {
	case dispute:
		body, r.Path, r.AtMostOnce = lognormal(9200, 1), "/dispute/x", true
		r.Pieces, r.After = []int{rand.IntN(4)}, [][]int{nil}
		r.PromptTokens, r.PromptPrefix = 9190, fmt.Sprintf("d%d:2520,e%x:3780,%s:2890", rand.IntN(4), rand.IntN(710), r.ID)
	case tariff:
		body, r.Path = lognormal(2400, 0.8), "/tariff/x"
		r.Pieces, r.After = []int{1, 6, 10}, [][]int{nil, {0}, {1}}
		r.PromptTokens, r.PromptPrefix = 2368, fmt.Sprintf("a%x:341,b%x:227,%s:1800", rand.IntN(16), rand.IntN(770), r.ID)
	case chat:
		body, r.Path, r.AtMostOnce, r.DeadlineMs = lognormal(710, 0.8), "/chat/x", true, 20_000
		r.Pieces, r.After = []int{rand.IntN(2), 1, 6, 10}, [][]int{nil, nil, {1}, {2}}
		r.PromptTokens, r.PromptPrefix = 715, fmt.Sprintf("c%x:103,f%x:69,%s:543", rand.IntN(80), rand.IntN(530), r.ID)
	case payment:
		body, r.Path, r.AtMostOnce, r.DeadlineMs, r.Service, r.Events = lognormal(600, 0.5), "/payment/x", true, 1000, "orders", 0
	case lookup:
		r.Method, r.Path, r.DeadlineMs, r.Service, r.Events = http.MethodGet, "/lookup/x", 1000, "orders", 0
	}
	r.Body = strings.Repeat("x", body)
	return r
}

// draw returns an index with a probability in proportion to its weight.
func draw(weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	at := rand.Float64() * sum
	for i, w := range weights {
		if at -= w; at < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// hostPressEngines is the number of engines of each service in each zone.
var hostPressEngines = map[string]int{"orders": 1, "models": 14, "encode": 6, "recall": 5, "rerank": 6}

// addPressEngines starts the engines of a run on hosts.
func (p *pressure) addPressEngines() error {
	for _, zone := range zones {
		for service, count := range hostPressEngines {
			for range count {
				e := &stand.Engine{Service: service, Kind: stand.Stage, Zone: zone, WorkTime: 250 * time.Millisecond, IdleTimeout: engineIdleTimeout}
				switch service {
				case "orders":
					e.Kind, e.WorkTime, e.WorkSpread = stand.Plain, 8*time.Millisecond, 14*time.Millisecond
				case "models":
					e.Kind, e.WorkTime, e.EventInterval, e.Events, e.TokensPerMs, e.Slowdown = stand.Model, 20*time.Millisecond, 40*time.Millisecond, streamEvents, 110, slowdowns[zone]
				}
				if err := p.addPressEngine(e); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// addPressEngine starts an engine behind a proxy that uses the link of the pressed gateway's host.
func (p *pressure) addPressEngine(e *stand.Engine) error {
	started, err := p.deployment.Add(e)
	if err != nil {
		return err
	}
	proxy, err := NewProxy(started.Address)
	if err != nil {
		return err
	}
	proxy.SetClientLink(p.pressedLink)
	started.AdvertisedAddress = proxy.Address()
	p.deployment.Register(started, true, 0)
	p.engines = append(p.engines, &engine{Engine: started, proxy: proxy})
	return nil
}

// PressHosts plays an uneven balancer on hosts of three sizes. It returns a report for each turn.
func PressHosts(ctx context.Context, options HostPressOptions) ([]PressReport, error) {
	r := &run{Options: Options{Gateways: options.Gateways, PerSecond: options.PerSecond, Program: options.Program, Folder: options.Folder, Quotas: true, Out: io.Discard}}
	p := &pressure{run: r, requestFunc: func() *stand.Request { return hostPressRequest(draw(options.Mix)) }}
	d, err := stand.New(hostPressConfig())
	if err != nil {
		return nil, err
	}
	r.deployment, r.client = d, stand.NewClient(d.Ledger)
	defer r.close()
	if err := p.addPressEngines(); err != nil {
		return nil, err
	}
	r.addressMembers()
	for i := range r.Gateways {
		if err := r.addGateway(i); err != nil {
			return nil, err
		}
	}
	if err := r.awaitReady(ctx); err != nil {
		return nil, err
	}
	defer r.startQuotas()()
	even := 1 / float64(options.Gateways)
	p.play(ctx, warmUp, even)
	before := p.play(ctx, options.Before, even)
	pressed := make(map[int]bool)
	var turns []*pressCounts
	for _, turn := range options.Turns {
		next := 0
		for pressed[next] || sizeOf(next) != hostSizes[turn.Size] {
			if next++; next == r.Gateways {
				return nil, fmt.Errorf("no gateway on a host of size %d is left for turn %d", turn.Size, len(turns))
			}
		}
		pressed[next] = true
		p.pressed.Store(int64(next))
		if turn.Restarted {
			p.restart(ctx, r.processes[next])
		}
		p.play(ctx, time.Second, pressedShare)
		turns = append(turns, p.play(ctx, turn.Length-time.Second, pressedShare))
	}
	p.group.Wait()
	var reports []PressReport
	for _, after := range turns {
		reports = append(reports, PressReport{Before: before.share(), After: after.share(), Sent: after.sent, Unread: after.unread, Unserved: after.unserved})
	}
	return reports, nil
}

// warmUp is the time in which gateways open their first connections to engines.
const warmUp = 3 * time.Second

// restart kills the pressed gateway and returns once it is ready again. Callers go to the others meanwhile.
func (p *pressure) restart(ctx context.Context, pressed *process) {
	pressed.signal(syscall.SIGKILL)
	p.play(ctx, restartPause+500*time.Millisecond, 0)
	for !pressed.ready(platform.Codec().ReadyPath) && ctx.Err() == nil {
		p.play(ctx, 100*time.Millisecond, 0)
	}
}

// pressedLink returns the link of the pressed gateway for a connection that it has opened, nil for others.
func (p *pressure) pressedLink(accepted net.Conn) *netw.Link {
	processes, pressed := p.running(), int(p.pressed.Load())
	if pressed >= len(processes) { // gateways are being started
		return nil
	}
	dialer, isTCP := accepted.RemoteAddr().(*net.TCPAddr)
	listener, _ := accepted.LocalAddr().(*net.TCPAddr)
	if !isTCP {
		return nil
	}
	socket, err := socketOf(dialer.Port, listener.Port)
	if err != nil || !processes[pressed].hasSocket(socket) {
		return nil
	}
	return processes[pressed].link
}
