package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/conf/step"
)

// Defaults of settings.
const (
	defaultPlatformCalls  = 200
	defaultDrain          = 30 * clock.Second
	defaultBalancerIdle   = 60 * clock.Second
	defaultCallersIdle    = 75 * clock.Second
	defaultBalancerLag    = 3 * clock.Second
	defaultHeader         = 5 * clock.Second
	defaultMaxBody        = 1 << 20
	defaultMemoryMb       = 2048
	minEntryMemory        = 32 // a fifth of it holds the largest body that can be configured
	defaultMaxHeader      = 16 << 10
	defaultMaxOpen        = 10_000
	defaultMaxConnections = 20_000
	defaultEndpointIdle   = 60 * clock.Second
	defaultEndpointKeep   = 30 * clock.Second
	defaultMaxSessions    = 2_000
	defaultMaxQueued      = 64
	defaultMaxKept        = 16 << 20
	defaultLogLevel       = "info"
)

// Bounds of settings.
const (
	maxSpan          = clock.Hour
	maxShortSpan     = 10 * clock.Minute
	maxBody          = 3 << 20 // the body has to fit into one frame of a session
	maxHeader        = 1 << 20
	maxCount         = 1_000_000
	maxAgentCount    = 100_000
	maxCalls         = 10_000
	maxKept          = 4 << 30
	maxTokenHashes   = 64
	maxPeerAddresses = 64
	// idleMargin is the minimum difference between two idle timeouts. It covers the
	// time that a request takes on the network.
	idleMargin = clock.Second
)

// EntrySteps returns the defaults and checks of an entry's settings.
func EntrySteps() []step.Step[Entry] {
	return []step.Step[Entry]{
		{Name: "process", Default: func(e *Entry) { defaultProcess(&e.Process) }, Check: func(e *Entry, r *step.Report) { checkProcess(&e.Process, r) }},
		{Name: "operators' port", Check: func(e *Entry, r *step.Report) { checkOperators(&e.Process, r) }},
		{Name: "callers' port", Check: checkCallers},
		{Name: "sessions", Check: checkEntrySessions},
		{Name: "idle timeouts", Default: defaultCallersTimes, Check: checkCallersTimes},
		{Name: "planned stop", Check: checkEntryDrain},
		{Name: "bounds", Default: defaultEntryBounds, Check: checkEntryBounds},
	}
}

// AgentSteps returns the defaults and checks of an agent's settings.
func AgentSteps() []step.Step[Agent] {
	return []step.Step[Agent]{
		{Name: "process", Default: func(a *Agent) { defaultProcess(&a.Process) }, Check: func(a *Agent, r *step.Report) { checkProcess(&a.Process, r) }},
		{Name: "operators' port", Check: func(a *Agent, r *step.Report) { checkOperators(&a.Process, r) }},
		{Name: "sessions", Check: checkSessions},
		{Name: "endpoint", Check: checkEndpoint},
		{Name: "idle timeouts", Default: defaultEndpointTimes, Check: checkEndpointTimes},
		{Name: "bounds", Default: defaultAgentBounds, Check: checkAgentBounds},
	}
}

var (
	processPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,126}$`)
	namePattern    = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
	hashPattern    = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

const (
	allowedProcess = "a letter or digit, then up to 126 of A-Z, a-z, 0-9 and ._:-"
	allowedName    = "a lower-case letter, then up to 62 of a-z, 0-9 and -"
)

func defaultProcess(p *Process) {
	fill(&p.Host, p.Process)
	fill(&p.LogLevel, defaultLogLevel)
	fill(&p.DrainMs, defaultDrain)
	fill(&p.PlatformCalls, defaultPlatformCalls)
}

func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func checkProcess(p *Process, report *step.Report) {
	checkPattern(report, "process", p.Process, processPattern, allowedProcess)
	checkPattern(report, "host", p.Host, processPattern, allowedProcess)
	checkPattern(report, "availabilityZone", p.AvailabilityZone, namePattern, allowedName)
	checkURL(report, "platformUrl", p.PlatformURL, "http", "https")
	checkClientTLS(report, "platformTls", p.PlatformTLS, p.PlatformURL)
	levels := []string{"debug", "info", "warn", "error"}
	if !slices.Contains(levels, p.LogLevel) {
		report.Add("logLevel", p.LogLevel, "one of "+strings.Join(levels, ", "))
	}
	report.Range("drainMs", int64(p.DrainMs), 1, int64(maxSpan))
	report.Range("platformCalls", int64(p.PlatformCalls), 1, maxCalls)
}

func checkOperators(p *Process, report *step.Report) {
	checkListen(report, "operators", p.Operators, p.OperatorsTLS, p.AllowPlain)
	checkServerTLS(report, "operatorsTls", p.OperatorsTLS)
	report.Count("operatorTokenHashes", len(p.OperatorTokenHashes), 0, maxTokenHashes)
	for i, hash := range p.OperatorTokenHashes {
		if !hashPattern.MatchString(hash) {
			// The message omits the value, because it may be a token set by mistake.
			report.Add(step.Index("operatorTokenHashes", i), fmt.Sprintf("%d bytes", len(hash)), "the SHA-256 hash of a token as 64 hexadecimal digits in lower case")
		}
	}
	address, err := netip.ParseAddrPort(p.Operators)
	unprotected := p.OperatorsTLS.CAFile == "" && len(p.OperatorTokenHashes) == 0
	if unprotected && err == nil && (p.OperatorsTLS.IsSet() || !address.Addr().IsLoopback()) {
		report.Add("operatorTokenHashes", "", "at least one entry, unless operatorsTls.caFile is set; without either, anyone could read the state of this process")
	}
}

func checkCallers(e *Entry, report *step.Report) {
	checkListen(report, "callers", e.Callers, e.CallersTLS, e.AllowPlain)
	checkServerTLS(report, "callersTls", e.CallersTLS)
}

func checkEntrySessions(e *Entry, report *step.Report) {
	checkMutual(report, "processesTls", e.ProcessesTLS)
	if e.Sessions != "" {
		checkListen(report, "sessions", e.Sessions, e.ProcessesTLS, e.AllowPlain)
	}
	report.Count("peers", len(e.Peers), 0, maxPeerAddresses)
	for i, peer := range e.Peers {
		if _, err := netip.ParseAddrPort(peer); err != nil {
			report.Add(step.Index("peers", i), peer, "IP:PORT with a numeric IP address")
		}
	}
}

func checkSessions(a *Agent, report *step.Report) {
	checkListen(report, "sessions", a.Sessions, a.ProcessesTLS, a.AllowPlain)
	checkMutual(report, "processesTls", a.ProcessesTLS)
}

func checkEndpoint(a *Agent, report *step.Report) {
	checkPattern(report, "pool", a.Pool, namePattern, allowedName)
	checkPattern(report, "endpoint", a.Endpoint, processPattern, allowedProcess)
	if !slices.Contains(manif.PoolKinds(), manif.StageKind(a.Kind)) {
		report.Add("kind", a.Kind, "one of encode, retrieve, rerank, generate, plain")
	}
	checkURL(report, "endpointUrl", a.EndpointURL, "http")
}

func defaultCallersTimes(e *Entry) {
	fill(&e.BalancerIdleMs, defaultBalancerIdle)
	fill(&e.CallersIdleMs, max(defaultCallersIdle, e.BalancerIdleMs+e.BalancerIdleMs/4))
	fill(&e.BalancerLagMs, defaultBalancerLag)
	fill(&e.HeaderMs, defaultHeader)
}

// checkCallersTimes checks that this process closes idle connections later than the
// balancer. If it closed one first, the balancer could be sending a request on it at
// that moment, and the caller would get a 502 although all processes work. That
// happens to a few requests in a million.
func checkCallersTimes(e *Entry, report *step.Report) {
	report.Range("balancerIdleMs", int64(e.BalancerIdleMs), 1, int64(maxSpan))
	report.Range("callersIdleMs", int64(e.CallersIdleMs), int64(e.BalancerIdleMs+idleMargin), int64(maxSpan+maxSpan))
	report.Range("balancerLagMs", int64(e.BalancerLagMs), 1, int64(maxShortSpan))
	report.Range("headerMs", int64(e.HeaderMs), 1, int64(maxShortSpan))
}

// checkEntryDrain checks that a planned stop may last longer than the time for which
// the balancer still sends new requests. Otherwise those requests would be cut.
func checkEntryDrain(e *Entry, report *step.Report) {
	if e.DrainMs <= e.BalancerLagMs {
		report.Add("drainMs", fmt.Sprint(e.DrainMs), fmt.Sprintf("more than balancerLagMs, which is %d", e.BalancerLagMs))
	}
}

func defaultEndpointTimes(a *Agent) {
	fill(&a.EndpointIdleMs, defaultEndpointIdle)
	fill(&a.EndpointKeepMs, min(defaultEndpointKeep, a.EndpointIdleMs/2))
}

// checkEndpointTimes checks that this process closes idle connections earlier than
// the endpoint. If the endpoint closed one first, a call could be in flight on it. It
// would be unknown whether the call ran, and a call that must not be repeated would
// fail.
func checkEndpointTimes(a *Agent, report *step.Report) {
	report.Range("endpointIdleMs", int64(a.EndpointIdleMs), int64(2*idleMargin), int64(maxSpan))
	report.Range("endpointKeepMs", int64(a.EndpointKeepMs), 1, int64(a.EndpointIdleMs-idleMargin))
}

func defaultEntryBounds(e *Entry) {
	fill(&e.MaxBodyBytes, defaultMaxBody)
	fill(&e.MemoryMb, defaultMemoryMb)
	fill(&e.MaxHeaderBytes, defaultMaxHeader)
	fill(&e.MaxOpen, defaultMaxOpen)
	fill(&e.MaxConnections, defaultMaxConnections)
}

func checkEntryBounds(e *Entry, report *step.Report) {
	report.Range("maxBodyBytes", e.MaxBodyBytes, 1, maxBody)
	report.FloatRange("memoryMb", e.MemoryMb, minEntryMemory, maxSpare)
	report.Range("maxHeaderBytes", int64(e.MaxHeaderBytes), 1, maxHeader)
	report.Range("maxOpen", int64(e.MaxOpen), 1, maxCount)
	report.Range("maxConnections", int64(e.MaxConnections), 1, maxCount)
}

func defaultAgentBounds(a *Agent) {
	fill(&a.MaxSessions, defaultMaxSessions)
	fill(&a.MaxQueued, defaultMaxQueued)
	fill(&a.MaxKeptBytes, defaultMaxKept)
}

func checkAgentBounds(a *Agent, report *step.Report) {
	report.Range("maxSessions", int64(a.MaxSessions), 1, maxAgentCount)
	report.Range("maxQueued", int64(a.MaxQueued), 1, maxAgentCount)
	report.Range("maxKeptBytes", a.MaxKeptBytes, 1, maxKept)
}

func checkPattern(report *step.Report, path, value string, pattern *regexp.Regexp, allowed string) {
	if !pattern.MatchString(value) {
		report.Add(path, value, allowed)
	}
}

func checkURL(report *step.Report, path, value string, schemes ...string) {
	parsed, err := url.Parse(value)
	bad := err != nil || !slices.Contains(schemes, parsed.Scheme) || parsed.Host == ""
	if bad || parsed.RawQuery != "" || parsed.Fragment != "" || parsed.User != nil {
		report.Add(path, value, strings.Join(schemes, "://HOST:PORT or ")+"://HOST:PORT")
	}
}

// checkListen checks that a listen address is a numeric IP address, because processes
// connect to each other without name resolution, and that TLS is set if other hosts
// can connect.
func checkListen(report *step.Report, path, value string, tls TLS, allowPlain bool) {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		report.Add(path, value, "IP:PORT with a numeric IP address")
		return
	}
	if !tls.IsSet() && !address.Addr().IsLoopback() && !allowPlain {
		report.Add(path, value, "a loopback address, unless TLS files or allowPlain are set")
	}
}

func checkMutual(report *step.Report, path string, tls TLS) {
	if !tls.IsSet() {
		return
	}
	checkFile(report, path+".certFile", tls.CertFile)
	checkFile(report, path+".keyFile", tls.KeyFile)
	checkFile(report, path+".caFile", tls.CAFile)
}

func checkServerTLS(report *step.Report, path string, tls TLS) {
	if !tls.IsSet() {
		return
	}
	checkFile(report, path+".certFile", tls.CertFile)
	checkFile(report, path+".keyFile", tls.KeyFile)
	if tls.CAFile != "" {
		checkFile(report, path+".caFile", tls.CAFile)
	}
}

func checkClientTLS(report *step.Report, path string, tls TLS, url string) {
	if !tls.IsSet() {
		return
	}
	if !strings.HasPrefix(url, "https://") {
		report.Add(path, "set", "no TLS files, because the URL is not https")
		return
	}
	if (tls.CertFile == "") != (tls.KeyFile == "") {
		report.Add(path, "one of certFile and keyFile", "both or neither")
		return
	}
	for _, file := range []string{tls.CertFile, tls.KeyFile, tls.CAFile} {
		if file != "" {
			checkFile(report, path, file)
		}
	}
}

func checkFile(report *step.Report, path, name string) {
	info, err := os.Stat(name)
	if err != nil || info.IsDir() {
		report.Add(path, name, "a file that exists")
	}
}
