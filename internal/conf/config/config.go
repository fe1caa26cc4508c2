// Package config holds the settings of the daemons: one plain struct each,
// read from a JSON file, the environment and flags, in this order of growing
// precedence. Unlike the manifest, settings differ from host to host and take
// effect only at the start of a process.
package config

import "github.com/jujubescale/jujubescale/internal/base/clock"

// TLS names the PEM files of one kind of connections. Files that are replaced
// are read again without a restart.
type TLS struct {
	// CertFile holds the certificate chain that this process shows.
	CertFile string `json:"certFile,omitempty"`
	// KeyFile holds the key of the certificate.
	KeyFile string `json:"keyFile,omitempty"`
	// CAFile holds the authorities whose certificates the other end must show.
	CAFile string `json:"caFile,omitempty"`
}

// IsSet reports whether any file is named.
func (t TLS) IsSet() bool { return t != TLS{} }

// Process is what both daemons need to know.
type Process struct {
	// Process is the name of this process, unique in the deployment.
	Process string `json:"process" jsonschema:"pattern=^[A-Za-z0-9][A-Za-z0-9._:-]{0\\,126}$"`
	// Host is the name of the host as in the platform's list; the process name when absent.
	Host string `json:"host,omitempty"`
	// AvailabilityZone of the host.
	AvailabilityZone string `json:"availabilityZone" jsonschema:"pattern=^[a-z][a-z0-9-]{0\\,62}$"`
	// PlatformURL is the base URL of the platform's object API.
	PlatformURL string `json:"platformUrl"`
	// PlatformTLS is for an https platform: caFile says who may sign its certificate, certFile and keyFile what is shown to it.
	PlatformTLS TLS `json:"platformTls,omitzero"`
	// Operators is the address (IP:port) of the operators' port.
	Operators string `json:"operators"`
	// OperatorsTLS is for the operators' port: with caFile an operator must show a certificate.
	OperatorsTLS TLS `json:"operatorsTls,omitzero"`
	// OperatorTokenHashes are SHA-256 hashes of bearer tokens in hexadecimal; with any, an operator must show a token.
	OperatorTokenHashes []string `json:"operatorTokenHashes,omitempty" jsonschema:"maxItems=64"`
	// ProcessesTLS is for sessions between entries and agents; both sides show certificates.
	ProcessesTLS TLS `json:"processesTls,omitzero"`
	// AllowPlain lets ports on other addresses than loopback do without TLS, for networks that encrypt by themselves.
	AllowPlain bool `json:"allowPlain,omitempty"`
	// LogLevel is the least level that is logged: debug, info, warn or error.
	LogLevel string `json:"logLevel,omitempty" jsonschema:"enum=debug,enum=info,enum=warn,enum=error,default=info"`
	// PlatformCalls is how many calls a second this process may make to the platform; a large fleet stays below by itself, since all entries together make at most 500.
	PlatformCalls int `json:"platformCalls,omitempty" jsonschema:"minimum=0,maximum=10000,default=200"`
	// DrainMs is the longest time that a planned stop may take, in milliseconds.
	DrainMs clock.Millis `json:"drainMs,omitempty" jsonschema:"minimum=0,maximum=3600000,default=30000"`
}

// Entry is the settings of jujubed entry.
type Entry struct {
	Process
	// Callers is the address (IP:port) that callers reach, mostly through the balancer.
	Callers string `json:"callers"`
	// Sessions is the address (IP:port) that other entries reach to share the configuration; without it only the platform and agents show a newer one.
	Sessions string `json:"sessions,omitempty"`
	// Peers are addresses (IP:port) of other entries' sessions, which a start asks besides the platform and when the platform can't be used.
	Peers []string `json:"peers,omitempty" jsonschema:"maxItems=64"`
	// CallersTLS is for callers; with caFile a caller must show a certificate besides its token.
	CallersTLS TLS `json:"callersTls,omitzero"`
	// BalancerIdleMs is the time after which the balancer closes its idle connections to this process, in milliseconds.
	BalancerIdleMs clock.Millis `json:"balancerIdleMs,omitempty" jsonschema:"minimum=0,maximum=3600000,default=60000"`
	// CallersIdleMs is the time after which this process closes callers' idle connections, in milliseconds; above balancerIdleMs.
	CallersIdleMs clock.Millis `json:"callersIdleMs,omitempty" jsonschema:"minimum=0,maximum=3600000,default=75000"`
	// BalancerLagMs is how long the balancer may go on sending new work after this process says that it leaves, in milliseconds.
	BalancerLagMs clock.Millis `json:"balancerLagMs,omitempty" jsonschema:"minimum=0,maximum=600000,default=3000"`
	// HeaderMs is the time within which a caller must send its headers, in milliseconds.
	HeaderMs clock.Millis `json:"headerMs,omitempty" jsonschema:"minimum=0,maximum=600000,default=5000"`
	// MaxBodyBytes bounds the body of a caller's request.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty" jsonschema:"minimum=0,maximum=3145728,default=1048576"`
	// MaxHeaderBytes bounds the headers of a caller's request.
	MaxHeaderBytes int `json:"maxHeaderBytes,omitempty" jsonschema:"minimum=0,maximum=1048576,default=16384"`
	// MaxOpen bounds the open requests of all callers.
	MaxOpen int `json:"maxOpen,omitempty" jsonschema:"minimum=0,maximum=1000000,default=10000"`
	// MaxConnections bounds the open connections of callers.
	MaxConnections int `json:"maxConnections,omitempty" jsonschema:"minimum=0,maximum=1000000,default=20000"`
}

// Agent is the settings of jujubed agent.
type Agent struct {
	Process
	// Sessions is the address (IP:port) that entries reach.
	Sessions string `json:"sessions"`
	// Pool that the endpoint belongs to, as in the manifest.
	Pool string `json:"pool" jsonschema:"pattern=^[a-z][a-z0-9-]{0\\,62}$"`
	// Endpoint is the name of the endpoint beside this process, unique in its pool.
	Endpoint string `json:"endpoint" jsonschema:"pattern=^[A-Za-z0-9][A-Za-z0-9._:-]{0\\,126}$"`
	// Kind of the endpoint: encode, retrieve, rerank, generate or plain.
	Kind string `json:"kind" jsonschema:"enum=encode,enum=retrieve,enum=rerank,enum=generate,enum=plain"`
	// EndpointURL is the base URL of the endpoint, in plain HTTP because it stands on the same host.
	EndpointURL string `json:"endpointUrl"`
	// EndpointIdleMs is the time after which the endpoint closes its idle connections, in milliseconds.
	EndpointIdleMs clock.Millis `json:"endpointIdleMs,omitempty" jsonschema:"minimum=0,maximum=3600000,default=60000"`
	// EndpointKeepMs is the time after which this process closes its idle connections to the endpoint, in milliseconds; below endpointIdleMs.
	EndpointKeepMs clock.Millis `json:"endpointKeepMs,omitempty" jsonschema:"minimum=0,maximum=3600000,default=30000"`
	// MaxSessions bounds the sessions of entries.
	MaxSessions int `json:"maxSessions,omitempty" jsonschema:"minimum=0,maximum=100000,default=2000"`
	// MaxQueued bounds the calls that wait for the endpoint.
	MaxQueued int `json:"maxQueued,omitempty" jsonschema:"minimum=0,maximum=100000,default=64"`
	// MaxKeptBytes bounds the memory for results that no entry has acknowledged yet.
	MaxKeptBytes int64 `json:"maxKeptBytes,omitempty" jsonschema:"minimum=0,maximum=4294967296,default=16777216"`
}
