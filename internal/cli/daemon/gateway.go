package daemon

import (
	"context"
	"io"
	"net/http"
	"os"
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/base/bound"
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/cli/proc"
	"github.com/jujubescale/jujubescale/internal/conf/config"
	"github.com/jujubescale/jujubescale/internal/conf/layer"
	"github.com/jujubescale/jujubescale/internal/engine/conn"
	"github.com/jujubescale/jujubescale/internal/ops/trail"
	"github.com/jujubescale/jujubescale/internal/ops/usage"
	"github.com/jujubescale/jujubescale/internal/route/canary"
	"github.com/jujubescale/jujubescale/internal/serve/gate"
	"github.com/jujubescale/jujubescale/internal/serve/router"
	"github.com/jujubescale/jujubescale/platform"
)

const roleGateway = "gateway"

// callersPort is the name of the callers' port in logs and metrics.
const callersPort = "callers"

func newGateway() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "gateway",
		Short: "Routes requests by host and path and runs stage engines together with its peers",
		Long: "Routes requests by host and path, runs the stages of their routes and forwards them to\n" +
			"endpoints. Gateways divide the stage engines among themselves; no agent is needed.\n\n" +
			"Without --config the path of the settings file is read from $" + platform.SettingsVariable + ".\n" +
			"SIGTERM begins a planned stop; SIGHUP, or a change of the file, reloads the settings.",
		Args: exit.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			read := func() (*config.Gateway, error) { return readGateway(cmd) }
			settings, err := read()
			if err != nil {
				return err
			}
			return newGatewayRun(settings, read, gatewayFile(cmd), cmd.OutOrStdout()).run(cmd.Context())
		},
	}
	addFlags(cmd, config.GatewaySchema(), layer.Fields[config.Gateway]())
	return cmd
}

// gatewayFile returns the path of the settings file.
func gatewayFile(cmd *cobra.Command) string {
	if file, err := cmd.Flags().GetString(configFlag); err == nil && file != "" {
		return file
	}
	if file := os.Getenv(configEnv); file != "" {
		return file
	}
	return os.Getenv(platform.SettingsVariable)
}

func readGateway(cmd *cobra.Command) (*config.Gateway, error) {
	return readSettingsFile(cmd, config.GatewaySteps(), gatewayFile(cmd), platform.SettingsVariable)
}

// gatewayRun is one run of the gateway daemon.
type gatewayRun struct {
	*proc.Process
	settings *config.Gateway
	readFunc func() (*config.Gateway, error)
	file     string
	trail    *trail.Writer
	out      io.Writer
	gateway  *router.Gateway

	callers, ready, sessions, metrics *proc.Port
}

func newGatewayRun(settings *config.Gateway, read func() (*config.Gateway, error), file string, out io.Writer) *gatewayRun {
	return &gatewayRun{settings: settings, readFunc: read, file: file, out: out}
}

func (r *gatewayRun) tasks() []proc.Task {
	return []proc.Task{
		{Name: "log", Run: r.startLog},
		{Name: "metrics", Run: r.startMetrics},
		{Name: "certificates", Run: r.readCertificates},
		{Name: "gateway", Run: r.startGateway},
		{Name: "operators' port", Run: func(ctx context.Context) error { return r.OpenOperators(ctx) }},
		{Name: "metrics' port", Run: r.openMetrics},
		{Name: "sessions' port", Run: r.openSessions},
		{Name: "ready port", Run: r.openReady},
		{Name: "callers' port", Run: r.openCallers},
	}
}

func (r *gatewayRun) run(ctx context.Context) error {
	hangup := CatchReloads() // a reload that is asked for during the start follows it
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	logging, stopLog := context.WithCancel(context.Background())
	r.trail = trail.New(logging, r.out)
	defer func() {
		stopLog()
		<-r.trail.Done()
	}()
	defer r.close(stop)
	limitMemory(r.settings)
	r.Process = proc.New(roleGateway, &r.settings.Process, r.trail)
	if err := proc.RunTasks(background, roleGateway, r.tasks()); err != nil {
		return err
	}
	r.Log.Info("serving", "callers", r.callers.Address(), "sessions", r.sessions.Address(), "incarnation", r.gateway.Incarnation())
	reloaded := r.watchSettings(background, hangup)
	<-ctx.Done()
	r.stop()
	stop()
	<-reloaded
	return nil
}

const (
	// memoryShare is the part of the process's memory that is set as the soft
	// limit of the Go runtime, near which it collects garbage more often. Stacks,
	// kernel buffers and the C library need the rest.
	memoryShare = 0.6
	// garbagePercent is below the default of 100, which saves memory at the cost
	// of processor time: the live heap is a few megabytes, and memory is paid for
	// by its peak.
	garbagePercent = 60
	megabyte       = 1 << 20
)

func limitMemory(settings *config.Gateway) {
	debug.SetGCPercent(garbagePercent)
	if settings.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(settings.MemoryMb * memoryShare * megabyte))
	}
}

func (r *gatewayRun) startLog(ctx context.Context) error { return r.StartLog(ctx) }

func (r *gatewayRun) startMetrics(ctx context.Context) error { return r.StartMetrics(ctx) }

func (r *gatewayRun) readCertificates(ctx context.Context) error { return r.ReadCertificates(ctx) }

// storeTimeout bounds one call to the platform's store. A call normally takes
// milliseconds, and up to sixty times as long when the store is slow.
const storeTimeout = 1500 * clock.Millis(1)

func (r *gatewayRun) startGateway(ctx context.Context) error {
	transport := &http.Transport{DialContext: conn.Dial, MaxIdleConnsPerHost: 4, DisableCompression: true, MaxResponseHeaderBytes: bound.MaxHeadBytes}
	r.gateway = router.New(ctx, router.Settings{
		Name: r.settings.Process.Process, Zone: r.settings.AvailabilityZone, Address: r.settings.Sessions, Capacity: r.settings.ProcessorShare, ProcessorFunc: usage.Processor, ChangeWithin: r.settings.ChangeMs, LeaveWithin: r.settings.LeaveMs,
		Clock: r.Clock, Log: r.Log, Registry: r.Registry,
		Store:   platform.NewStore(r.settings.PlatformURL, &http.Client{Transport: bound.NewTransport(transport)}, storeTimeout, router.WatchMargin),
		Dialect: platform.Dialect(), Bounds: bounds(r.settings),
		MemoryMb: r.settings.MemoryMb, MaxFds: r.settings.MaxFds, MaxConnections: int(callersFds * float64(r.settings.MaxFds)), LinkMbps: r.settings.LinkMbps,
		Rollouts: r.settings.Rollouts, RolloutBounds: canary.Bounds{Share: r.settings.RolloutShare, Base: r.settings.RolloutSpare},
		ReuseCalls: r.settings.ReuseCalls, ReuseSharedOnly: r.settings.ReuseSharedOnly, HandOver: r.settings.HandOverPools,
	})
	r.gateway.Start(ctx)
	return nil
}

func bounds(settings *config.Gateway) gate.Bounds {
	return gate.Bounds{
		ExtraShare: settings.ExtraShare, ExtraSpare: settings.ExtraSpare,
		ExtraWindow: clock.Millis(settings.ExtraWindowSeconds * float64(clock.Second)),
		ColdShare:   settings.ColdShare, ColdSpare: settings.ColdSpare,
	}
}

func (r *gatewayRun) openMetrics(ctx context.Context) error {
	if r.settings.Metrics == "" {
		return nil
	}
	return r.open(ctx, &r.metrics, "metrics", r.settings.Metrics, promhttp.HandlerFor(r.Registry, promhttp.HandlerOpts{}))
}

func (r *gatewayRun) openSessions(ctx context.Context) error {
	var err error
	r.sessions, err = r.OpenSessions(ctx, r.settings.Sessions, r.gateway.SessionHandler(), maxPeerSessions)
	return err
}

func (r *gatewayRun) openReady(ctx context.Context) error {
	return r.open(ctx, &r.ready, "ready", r.settings.Ready, r.gateway.ReadyHandler())
}

// Limits of the ports for callers and for the balancer.
const (
	smallConnections = 64
	smallHeader      = 16 << 10
	// smallWrite is the time in which the balancer must read an answer. Otherwise callers that read none keep it out.
	smallWrite     = 2 * clock.Second
	callersTimeout = 10 * clock.Second
	callersIdle    = 75 * clock.Second
	// headShare is the part of the memory that the heads of requests may use while each connection of callers has one under way;
	// it bounds the size of a head between minHead and maxHead bytes.
	headShare        = 0.15
	minHead, maxHead = 16 << 10, 64 << 10
	// callersFds is the part of the file descriptors that callers' connections
	// may use. Connections to endpoints and peers and files need the rest.
	callersFds = 0.5
	// receiveBytes is what the kernel holds of a caller's connection that is not read. It transfers 10 MB a second from a
	// caller that is 3 ms away.
	receiveBytes = 32 << 10
)

func (r *gatewayRun) open(ctx context.Context, port **proc.Port, name, address string, handler http.Handler) error {
	var err error
	*port, err = proc.Open(ctx, proc.PortOptions{
		Name: name, Address: address, Handler: handler, MaxConnections: smallConnections, MaxHeaderBytes: smallHeader,
		HeaderTimeout: callersTimeout.Duration(), IdleTimeout: callersIdle.Duration(), Log: r.Log,
		ReceiveBytes: receiveBytes, WriteTimeout: smallWrite.Duration(), RequestInterval: proc.SmallInterval,
	})
	return err
}

func (r *gatewayRun) openCallers(ctx context.Context) error {
	var err error
	connections := int(callersFds * float64(r.settings.MaxFds))
	r.callers, err = proc.Open(ctx, proc.PortOptions{
		Name: callersPort, Address: r.settings.Callers, Handler: r.gateway.Handler(),
		MaxConnections: connections, MaxHeaderBytes: maxHeadBytes(r.settings.MemoryMb, connections), ReceiveBytes: receiveBytes,
		HeaderTimeout: callersTimeout.Duration(), IdleTimeout: callersIdle.Duration(), Log: r.Log,
		Unanswered: r.Unanswered.WithLabelValues(callersPort), ConnContext: r.gateway.ConnContext, AdmitFunc: r.gateway.AdmitConnection,
	})
	return err
}

// maxHeadBytes returns the size in bytes of the largest head of a request on a host with memoryMb megabytes, which is maxHead if
// the memory is unknown (0).
func maxHeadBytes(memoryMb float64, connections int) int {
	if memoryMb <= 0 || connections <= 0 {
		return maxHead
	}
	return min(max(int(headShare*memoryMb*megabyte)/connections, minHead), maxHead)
}

const (
	// killMargin is the part of the grace period that a planned stop leaves unused
	// before the process is killed, because a process that lacks processor time
	// notices the signal late.
	killMargin = 0.15
	// errorAnswerTimeout bounds the wait for the error answers of cut requests to be
	// sent.
	errorAnswerTimeout = 100 * clock.Millis(1)
	// deregisterTimeout bounds the removal of this process from the member list, also
	// when the store doesn't answer.
	deregisterTimeout = 200 * clock.Millis(1)
)

// stop runs the planned stop. The process reports that it is not ready and still
// accepts requests for the balancer's lag. Then it refuses new requests, waits for
// the open ones, and cuts those that remain shortly before the process would be
// killed.
func (r *gatewayRun) stop() {
	began := r.Clock.Now()
	grace := clock.Millis(r.settings.GraceSeconds * float64(clock.Second))
	untilCut := clock.Millis((1 - killMargin) * float64(grace))
	limit, cancel := context.WithTimeout(context.Background(), untilCut.Duration())
	defer cancel()
	r.Log.Info("leaving", "graceMs", int64(grace), "open", r.gateway.OpenRequests())
	r.gateway.StartDrain(began + untilCut)
	_ = r.Clock.Sleep(limit, r.settings.BalancerLagMs) // an error means that the time limit of the stop has passed
	r.gateway.RefuseNew()
	r.Log.Info("callers' port closing", "open", r.gateway.OpenRequests(), "tookMs", int64(r.Clock.Since(began)))
	var cut int64
	err := r.callers.Shutdown(limit)
	deregistered := make(chan struct{})
	go func() { // a store that doesn't answer takes no time from the cut requests
		defer close(deregistered)
		within(deregisterTimeout, r.gateway.Deregister)
	}()
	if err != nil {
		cut = r.gateway.Wait(limit)
		r.Log.Info("callers' connections left open", "error", err, "cut", cut)
		within(errorAnswerTimeout, func(ctx context.Context) { _ = r.callers.Shutdown(ctx) }) // logged above
	}
	<-deregistered
	r.Log.Info("stopped", "cut", cut, "tookMs", int64(r.Clock.Since(began)))
}

// within calls a function with a context that ends after the timeout.
func within(timeout clock.Millis, call func(context.Context)) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout.Duration())
	defer cancel()
	call(ctx)
}

func (r *gatewayRun) close(stop context.CancelFunc) {
	stop()
	for _, port := range []*proc.Port{r.callers, r.ready, r.sessions, r.metrics} {
		port.Close()
	}
	if r.Process != nil {
		r.Operators.Close()
	}
	if r.gateway != nil {
		r.gateway.Stop()
	}
}
