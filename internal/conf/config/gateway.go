package config

import (
	_ "embed" // the schema contains the description of each setting

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/conf/step"
)

//go:embed gateway.schema.json
var gatewaySchema []byte

// GatewaySchema returns the JSON schema of a gateway's settings.
func GatewaySchema() []byte { return gatewaySchema }

// Gateway holds the settings of jujubed gateway.
type Gateway struct {
	Process
	// Callers is the address (IP:port) to which the balancer sends the requests of callers.
	Callers string `json:"callers"`
	// Ready is the address (IP:port) of the health check with which the balancer finds out whether this process accepts callers.
	Ready string `json:"ready"`
	// Sessions is the address (IP:port) on which other gateways connect.
	Sessions string `json:"sessions"`
	// Metrics is the address (IP:port) on which the metrics are served without authentication; without it, they are served only on the operators' port.
	Metrics string `json:"metrics,omitempty"`
	// GraceSeconds is the time between SIGTERM and the kill of this process, in seconds.
	GraceSeconds float64 `json:"graceSeconds,omitempty" jsonschema:"minimum=0,maximum=3600,default=8"`
	// BalancerLagMs is the maximum time for which the balancer still opens new connections after this process has announced its planned stop, in milliseconds.
	BalancerLagMs clock.Millis `json:"balancerLagMs,omitempty" jsonschema:"minimum=0,maximum=600000,default=2200"`
	// MemoryMb is the memory limit above which this process is killed, in megabytes; 0 means no limit.
	MemoryMb float64 `json:"memoryMb,omitempty" jsonschema:"minimum=0,maximum=1000000"`
	// ProcessorShare is the fraction of a processor that this process may use; 1 is one processor. The owners of pools are chosen from the processes with the largest share. While a balancer hands this process most new connections, it accepts only those for which the share has time.
	ProcessorShare float64 `json:"processorShare,omitempty" jsonschema:"minimum=0,maximum=10000,default=1"`
	// ChangeMs is the maximum time until a change in the platform's store takes effect in this process, in milliseconds. With a longer time the processes make fewer calls to the platform.
	ChangeMs clock.Millis `json:"changeMs,omitempty" jsonschema:"minimum=1000,maximum=60000,default=2000"`
	// LeaveMs is the maximum time until an endpoint that is leaving gets no more requests, in milliseconds.
	LeaveMs clock.Millis `json:"leaveMs,omitempty" jsonschema:"minimum=1000,maximum=60000,default=2000"`
	// MaxFds is the maximum number of open file descriptors of this process; it limits the number of connections of callers.
	MaxFds int `json:"maxFds,omitempty" jsonschema:"minimum=0,maximum=10000000,default=4096"`
	// LinkMbps is the bandwidth of the host's link in megabits per second; 0 means that it is unknown. If it is set, this process limits the data that it holds for slow readers, and refuses requests for which the host lacks memory or file descriptors; up to 500, bulk data between processes leaves half of the link to callers' events, and requests for which the host lacks bandwidth are refused.
	LinkMbps float64 `json:"linkMbps,omitempty" jsonschema:"minimum=0,maximum=1000000"`
	// ExtraShare is the number of repeated requests (retries and hedges) that all processes together may send, as a fraction of the requests of a pool.
	ExtraShare float64 `json:"extraShare,omitempty" jsonschema:"minimum=0,maximum=10,default=0.2"`
	// ExtraSpare is the number of further repeated requests that they may send in each span of extraWindowSeconds, independent of the number of requests.
	ExtraSpare float64 `json:"extraSpare,omitempty" jsonschema:"minimum=0,maximum=1000000,default=20"`
	// ExtraWindowSeconds is the span to which extraSpare applies, in seconds.
	ExtraWindowSeconds float64 `json:"extraWindowSeconds,omitempty" jsonschema:"minimum=0,maximum=3600,default=10"`
	// ColdShare is the maximum number of requests to a cold endpoint in one second, as a multiple of its rate.
	ColdShare float64 `json:"coldShare,omitempty" jsonschema:"minimum=0,maximum=100,default=1"`
	// ColdSpare is the number of further requests that a cold endpoint may get in one second.
	ColdSpare float64 `json:"coldSpare,omitempty" jsonschema:"minimum=0,maximum=1000000,default=0"`
	// Rollouts enables the choice of endpoints by version and the rollouts that operators order, which move a pool to another version. Otherwise versions are ignored.
	Rollouts bool `json:"rollouts,omitempty"`
	// RolloutShare is the fraction of a pool's requests that the new version may get between the order of a rollout and its deadline.
	RolloutShare float64 `json:"rolloutShare,omitempty" jsonschema:"minimum=0,maximum=1,default=0.1"`
	// RolloutSpare is the number of further requests that the new version may get.
	RolloutSpare float64 `json:"rolloutSpare,omitempty" jsonschema:"minimum=0,maximum=1000000,default=0"`
	// ReuseCalls lets a connection to a stage engine carry several calls, and divides the connections that an endpoint accepts among the gateways by use. Set it for all gateways of a fleet or for none.
	ReuseCalls bool `json:"reuseCalls,omitempty"`
	// ReuseSharedOnly limits reuseCalls to pools whose endpoints state in their answers how long work takes at the moment, because they share their hosts.
	ReuseSharedOnly bool `json:"reuseSharedOnly,omitempty"`
	// HandOverPools makes this process, when it is stopped, hand the pools that it owns over to their next owners, with the calls that still run and its retry budget. In a rolling restart of all hosts under overload, more requests failed with it than without.
	HandOverPools bool `json:"handOverPools,omitempty"`
}

// Defaults and bounds of a gateway's settings.
const (
	defaultGrace = 8.0
	// defaultGatewayLag covers two health checks of the balancer, one second apart, and a margin.
	defaultGatewayLag   = 2200 * clock.Millis(1)
	defaultChange       = 2 * clock.Second
	defaultMaxFds       = 4096
	defaultExtraShare   = 0.2
	defaultExtraSpare   = 20.0
	defaultExtraWindow  = 10.0
	defaultColdShare    = 1.0
	defaultRolloutShare = 0.1
	maxGrace            = 3600.0
	maxShare            = 100.0
	maxProcessors       = 10000.0
	minChange           = clock.Second
	maxChange           = clock.Minute
	maxSpare            = 1e6
	// minFds allows a few connections of callers in addition to files and connections
	// to endpoints.
	minFds = 256
)

// GatewaySteps returns the defaults and checks of a gateway's settings.
func GatewaySteps() []step.Step[Gateway] {
	return []step.Step[Gateway]{
		{Name: "process", Default: func(g *Gateway) { defaultProcess(&g.Process) }, Check: func(g *Gateway, r *step.Report) { checkProcess(&g.Process, r) }},
		{Name: "operators' port", Check: func(g *Gateway, r *step.Report) { checkOperators(&g.Process, r) }},
		{Name: "ports", Check: checkGatewayPorts},
		{Name: "planned stop", Default: defaultGatewayStop, Check: checkGatewayStop},
		{Name: "bounds", Default: defaultGatewayBounds, Check: checkGatewayBounds},
	}
}

func checkGatewayPorts(g *Gateway, report *step.Report) {
	checkListen(report, "callers", g.Callers, TLS{}, g.AllowPlain)
	checkListen(report, "ready", g.Ready, TLS{}, g.AllowPlain)
	checkListen(report, "sessions", g.Sessions, g.ProcessesTLS, g.AllowPlain)
	checkMutual(report, "processesTls", g.ProcessesTLS)
	if g.Metrics != "" {
		checkListen(report, "metrics", g.Metrics, TLS{}, g.AllowPlain)
	}
}

func defaultGatewayStop(g *Gateway) {
	fill(&g.GraceSeconds, defaultGrace)
	fill(&g.BalancerLagMs, min(defaultGatewayLag, clock.Millis(g.GraceSeconds*float64(clock.Second)/2)))
}

// checkGatewayStop checks that a planned stop lasts longer than the time for which
// the balancer still opens new connections. Otherwise their requests would be cut.
func checkGatewayStop(g *Gateway, report *step.Report) {
	report.FloatRange("graceSeconds", g.GraceSeconds, 0.1, maxGrace)
	maxLag := int64(g.GraceSeconds * float64(clock.Second))
	report.Range("balancerLagMs", int64(g.BalancerLagMs), 1, max(maxLag-1, 1))
}

func defaultGatewayBounds(g *Gateway) {
	fill(&g.MaxFds, defaultMaxFds)
	fill(&g.ProcessorShare, 1)
	fill(&g.ChangeMs, defaultChange)
	fill(&g.LeaveMs, defaultChange)
	fill(&g.ExtraShare, defaultExtraShare)
	fill(&g.ExtraSpare, defaultExtraSpare)
	fill(&g.ExtraWindowSeconds, defaultExtraWindow)
	fill(&g.ColdShare, defaultColdShare)
	fill(&g.RolloutShare, defaultRolloutShare)
}

func checkGatewayBounds(g *Gateway, report *step.Report) {
	report.FloatRange("memoryMb", g.MemoryMb, 0, maxSpare)
	report.FloatRange("processorShare", g.ProcessorShare, 0, maxProcessors)
	report.Range("maxFds", int64(g.MaxFds), minFds, 10*maxCount)
	report.FloatRange("linkMbps", g.LinkMbps, 0, maxSpare)
	report.Range("changeMs", int64(g.ChangeMs), int64(minChange), int64(maxChange))
	report.Range("leaveMs", int64(g.LeaveMs), int64(minChange), int64(maxChange))
	report.FloatRange("extraShare", g.ExtraShare, 0, maxShare)
	report.FloatRange("extraSpare", g.ExtraSpare, 0, maxSpare)
	report.FloatRange("extraWindowSeconds", g.ExtraWindowSeconds, 1, maxGrace)
	report.FloatRange("coldShare", g.ColdShare, 0, maxShare)
	report.FloatRange("coldSpare", g.ColdSpare, 0, maxSpare)
	report.FloatRange("rolloutShare", g.RolloutShare, 0, 1)
	report.FloatRange("rolloutSpare", g.RolloutSpare, 0, maxSpare)
}
