package config

import (
	_ "embed" // the schema holds the words that explain each setting

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/conf/step"
)

//go:embed gateway.schema.json
var gatewaySchema []byte

// GatewaySchema returns the JSON schema of a gateway's settings.
func GatewaySchema() []byte { return gatewaySchema }

// Gateway is the settings of jujubed gateway.
type Gateway struct {
	Process
	// Callers is the address (IP:port) that the balancer sends callers to.
	Callers string `json:"callers"`
	// Ready is the address (IP:port) where the balancer asks whether this process takes callers.
	Ready string `json:"ready"`
	// Sessions is the address (IP:port) that other gateways reach.
	Sessions string `json:"sessions"`
	// Metrics is the address (IP:port) where anybody may read the metrics; without it they are on the operators' port only.
	Metrics string `json:"metrics,omitempty"`
	// GraceSeconds is the time after SIGTERM at which this process is killed, in seconds.
	GraceSeconds float64 `json:"graceSeconds,omitempty" jsonschema:"minimum=0,maximum=3600,default=8"`
	// BalancerLagMs is how long the balancer may go on sending new connections after this process says that it leaves, in milliseconds.
	BalancerLagMs clock.Millis `json:"balancerLagMs,omitempty" jsonschema:"minimum=0,maximum=600000,default=2200"`
	// MemoryMb is the memory beyond which this process is killed, in megabytes; 0 sets no bound.
	MemoryMb float64 `json:"memoryMb,omitempty" jsonschema:"minimum=0,maximum=1000000"`
	// ProcessorShare is the part of a processor that this process may use, 1 for a whole one. The owners of pools are chosen among the processes with the largest.
	ProcessorShare float64 `json:"processorShare,omitempty" jsonschema:"minimum=0,maximum=10000,default=1"`
	// ChangeMs is the time within which a change in the platform's store must be in force here, in milliseconds. The longer it is, the fewer calls the processes make.
	ChangeMs clock.Millis `json:"changeMs,omitempty" jsonschema:"minimum=1000,maximum=60000,default=2000"`
	// LeaveMs is the time after which an endpoint that leaves gets nothing more, in milliseconds.
	LeaveMs clock.Millis `json:"leaveMs,omitempty" jsonschema:"minimum=1000,maximum=60000,default=2000"`
	// MaxFds is the number of descriptors that this process may open; it bounds the callers' connections.
	MaxFds int `json:"maxFds,omitempty" jsonschema:"minimum=0,maximum=10000000,default=4096"`
	// ExtraShare is the part of a pool's requests that all processes together may send once more.
	ExtraShare float64 `json:"extraShare,omitempty" jsonschema:"minimum=0,maximum=10,default=0.2"`
	// ExtraSpare is how many requests they may send once more besides.
	ExtraSpare float64 `json:"extraSpare,omitempty" jsonschema:"minimum=0,maximum=1000000,default=20"`
	// ExtraWindowSeconds is the span within which ExtraSpare may be spent.
	ExtraWindowSeconds float64 `json:"extraWindowSeconds,omitempty" jsonschema:"minimum=0,maximum=3600,default=10"`
	// ColdShare is how many times the rate of a cold endpoint may be reached in one second.
	ColdShare float64 `json:"coldShare,omitempty" jsonschema:"minimum=0,maximum=100,default=1"`
	// ColdSpare is how many requests a cold endpoint may get in one second besides.
	ColdSpare float64 `json:"coldSpare,omitempty" jsonschema:"minimum=0,maximum=1000000,default=0"`
	// Rollouts has endpoints get work by their version, and operators' orders carried out that a pool go to another version. Without it, versions don't matter.
	Rollouts bool `json:"rollouts,omitempty"`
	// RolloutShare is the part of a pool's requests that a new version may get between the order and its deadline.
	RolloutShare float64 `json:"rolloutShare,omitempty" jsonschema:"minimum=0,maximum=1,default=0.1"`
	// RolloutSpare is how many requests a new version may get besides.
	RolloutSpare float64 `json:"rolloutSpare,omitempty" jsonschema:"minimum=0,maximum=1000000,default=0"`
}

// Defaults and bounds of a gateway's settings.
const (
	defaultGrace = 8.0
	// defaultGateLag is two checks of the balancer, a second apart, and a margin.
	defaultGateLag    = 2200 * clock.Millis(1)
	defaultChange     = 2 * clock.Second
	defaultMaxFds     = 4096
	defaultExtraShare = 0.2
	defaultExtraSpare = 20.0
	defaultWindow     = 10.0
	defaultColdShare  = 1.0
	defaultRollout    = 0.1
	maxGrace          = 3600.0
	maxShare          = 100.0
	maxProcessors     = 10000.0
	leastChange       = clock.Second
	maxChange         = clock.Minute
	maxSpare          = 1e6
	// leastFds leaves callers a few connections besides files and endpoints.
	leastFds = 256
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
	fill(&g.BalancerLagMs, min(defaultGateLag, clock.Millis(g.GraceSeconds*float64(clock.Second)/2)))
}

// checkGatewayStop lets a planned stop outlast the time in which the balancer
// still sends new connections; their requests would be cut otherwise.
func checkGatewayStop(g *Gateway, report *step.Report) {
	report.FloatRange("graceSeconds", g.GraceSeconds, 0.1, maxGrace)
	most := int64(g.GraceSeconds * float64(clock.Second))
	report.Range("balancerLagMs", int64(g.BalancerLagMs), 1, max(most-1, 1))
}

func defaultGatewayBounds(g *Gateway) {
	fill(&g.MaxFds, defaultMaxFds)
	fill(&g.ProcessorShare, 1)
	fill(&g.ChangeMs, defaultChange)
	fill(&g.LeaveMs, defaultChange)
	fill(&g.ExtraShare, defaultExtraShare)
	fill(&g.ExtraSpare, defaultExtraSpare)
	fill(&g.ExtraWindowSeconds, defaultWindow)
	fill(&g.ColdShare, defaultColdShare)
	fill(&g.RolloutShare, defaultRollout)
}

func checkGatewayBounds(g *Gateway, report *step.Report) {
	report.FloatRange("memoryMb", g.MemoryMb, 0, maxSpare)
	report.FloatRange("processorShare", g.ProcessorShare, 0, maxProcessors)
	report.Range("maxFds", int64(g.MaxFds), leastFds, 10*maxCount)
	report.Range("changeMs", int64(g.ChangeMs), int64(leastChange), int64(maxChange))
	report.Range("leaveMs", int64(g.LeaveMs), int64(leastChange), int64(maxChange))
	report.FloatRange("extraShare", g.ExtraShare, 0, maxShare)
	report.FloatRange("extraSpare", g.ExtraSpare, 0, maxSpare)
	report.FloatRange("extraWindowSeconds", g.ExtraWindowSeconds, 1, maxGrace)
	report.FloatRange("coldShare", g.ColdShare, 0, maxShare)
	report.FloatRange("coldSpare", g.ColdSpare, 0, maxSpare)
	report.FloatRange("rolloutShare", g.RolloutShare, 0, 1)
	report.FloatRange("rolloutSpare", g.RolloutSpare, 0, maxSpare)
}
