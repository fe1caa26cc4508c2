// Package config defines the settings of the daemons, one struct for each daemon.
// They are read from a JSON file, the environment and flags, in order of increasing
// precedence. Unlike the manifest, settings can differ between hosts, and they take
// effect only when a process starts.
package config

import "github.com/jujubescale/jujubescale/internal/base/clock"

// TLS holds the paths of the PEM files for one kind of connection. Replaced files
// are read again without a restart.
type TLS struct {
	// CertFile contains the certificate chain that this process presents.
	CertFile string `json:"certFile,omitempty"`
	// KeyFile contains the private key of the certificate.
	KeyFile string `json:"keyFile,omitempty"`
	// CAFile contains the certificate authorities that must have signed the certificate of the other side.
	CAFile string `json:"caFile,omitempty"`
}

// IsSet reports whether the path of any file is set.
func (t TLS) IsSet() bool { return t != TLS{} }

// Process holds the settings that all daemons have in common.
type Process struct {
	// Process is the name of this process; it is unique in the deployment.
	Process string `json:"process" jsonschema:"pattern=^[A-Za-z0-9][A-Za-z0-9._:-]{0\\,126}$"`
	// Host is the name of the host in the platform's list of hosts; the default is the name of the process.
	Host string `json:"host,omitempty"`
	// AvailabilityZone of the host.
	AvailabilityZone string `json:"availabilityZone" jsonschema:"pattern=^[a-z][a-z0-9-]{0\\,62}$"`
	// PlatformURL is the base URL of the platform's object API.
	PlatformURL string `json:"platformUrl"`
	// PlatformTLS applies if platformUrl is an https URL: caFile contains the authorities that may sign the platform's certificate, certFile and keyFile the client certificate that this process presents.
	PlatformTLS TLS `json:"platformTls,omitzero"`
	// Operators is the address (IP:port) on which this process serves operators.
	Operators string `json:"operators"`
	// OperatorsTLS applies to the operators' port; with caFile, operators must present a client certificate.
	OperatorsTLS TLS `json:"operatorsTls,omitzero"`
	// OperatorTokenHashes are SHA-256 hashes of bearer tokens, in hexadecimal; if there are any, operators must send one of the tokens.
	OperatorTokenHashes []string `json:"operatorTokenHashes,omitempty" jsonschema:"maxItems=64"`
	// ProcessesTLS applies to sessions between processes of the deployment; both sides present certificates.
	ProcessesTLS TLS `json:"processesTls,omitzero"`
	// AllowPlain allows ports without TLS on addresses other than loopback, for networks that encrypt the traffic themselves.
	AllowPlain bool `json:"allowPlain,omitempty"`
	// LogLevel is the lowest level that is logged: debug, info, warn or error.
	LogLevel string `json:"logLevel,omitempty" jsonschema:"enum=debug,enum=info,enum=warn,enum=error,default=info"`
	// PlatformCalls is the maximum number of calls per second from this process to the platform; in a large fleet the actual rate is lower, because all entries together make at most 500 calls per second.
	PlatformCalls int `json:"platformCalls,omitempty" jsonschema:"minimum=0,maximum=10000,default=200"`
	// DrainMs is the maximum duration of a planned stop, in milliseconds.
	DrainMs clock.Millis `json:"drainMs,omitempty" jsonschema:"minimum=0,maximum=3600000,default=30000"`
}

// Entry holds the settings of jujubed entry.
type Entry struct {
	Process
	// Callers is the address (IP:port) on which this process accepts callers, usually through the balancer.
	Callers string `json:"callers"`
	// Sessions is the address (IP:port) on which other entries connect to share the configuration; without it, this process gets newer configurations only from the platform and from agents.
	Sessions string `json:"sessions,omitempty"`
	// Peers are session addresses (IP:port) of other entries; at its start, this process requests the configuration from them as well as from the platform, so that it can start while the platform is unreachable.
	Peers []string `json:"peers,omitempty" jsonschema:"maxItems=64"`
	// CallersTLS applies to the callers' port; with caFile, callers must present a client certificate in addition to their token.
	CallersTLS TLS `json:"callersTls,omitzero"`
	// BalancerIdleMs is the idle timeout of the balancer for its connections to this process, in milliseconds.
	BalancerIdleMs clock.Millis `json:"balancerIdleMs,omitempty" jsonschema:"minimum=0,maximum=3600000,default=60000"`
	// CallersIdleMs is the idle timeout of this process for connections of callers, in milliseconds; it must be longer than balancerIdleMs.
	CallersIdleMs clock.Millis `json:"callersIdleMs,omitempty" jsonschema:"minimum=0,maximum=3600000,default=75000"`
	// BalancerLagMs is the maximum time for which the balancer still sends new requests after this process has announced its planned stop, in milliseconds.
	BalancerLagMs clock.Millis `json:"balancerLagMs,omitempty" jsonschema:"minimum=0,maximum=600000,default=3000"`
	// HeaderMs is the time limit for receiving the headers of a request, in milliseconds.
	HeaderMs clock.Millis `json:"headerMs,omitempty" jsonschema:"minimum=0,maximum=600000,default=5000"`
	// MaxBodyBytes is the maximum size of a request body, in bytes.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty" jsonschema:"minimum=0,maximum=3145728,default=1048576"`
	// MemoryMb is the memory limit above which this process is killed, in megabytes; the bodies of open requests together use at most a fifth of it.
	MemoryMb float64 `json:"memoryMb,omitempty" jsonschema:"minimum=0,maximum=1000000,default=2048"`
	// MaxHeaderBytes is the maximum size of the headers of a request, in bytes.
	MaxHeaderBytes int `json:"maxHeaderBytes,omitempty" jsonschema:"minimum=0,maximum=1048576,default=16384"`
	// MaxOpen is the maximum number of open requests of all callers together.
	MaxOpen int `json:"maxOpen,omitempty" jsonschema:"minimum=0,maximum=1000000,default=10000"`
	// MaxConnections is the maximum number of open connections of callers.
	MaxConnections int `json:"maxConnections,omitempty" jsonschema:"minimum=0,maximum=1000000,default=20000"`
}

// Agent holds the settings of jujubed agent.
type Agent struct {
	Process
	// Sessions is the address (IP:port) on which entries connect.
	Sessions string `json:"sessions"`
	// Pool is the name of the endpoint's pool in the manifest.
	Pool string `json:"pool" jsonschema:"pattern=^[a-z][a-z0-9-]{0\\,62}$"`
	// Endpoint is the name of the endpoint that this process serves; it is unique in its pool.
	Endpoint string `json:"endpoint" jsonschema:"pattern=^[A-Za-z0-9][A-Za-z0-9._:-]{0\\,126}$"`
	// Kind of the endpoint: encode, retrieve, rerank, generate or plain.
	Kind string `json:"kind" jsonschema:"enum=encode,enum=retrieve,enum=rerank,enum=generate,enum=plain"`
	// EndpointURL is the base URL of the endpoint; it uses plain HTTP because the endpoint runs on the same host.
	EndpointURL string `json:"endpointUrl"`
	// EndpointIdleMs is the idle timeout of the endpoint for connections, in milliseconds.
	EndpointIdleMs clock.Millis `json:"endpointIdleMs,omitempty" jsonschema:"minimum=0,maximum=3600000,default=60000"`
	// EndpointKeepMs is the idle timeout of this process for connections to the endpoint, in milliseconds; it must be shorter than endpointIdleMs.
	EndpointKeepMs clock.Millis `json:"endpointKeepMs,omitempty" jsonschema:"minimum=0,maximum=3600000,default=30000"`
	// MaxSessions is the maximum number of sessions of entries.
	MaxSessions int `json:"maxSessions,omitempty" jsonschema:"minimum=0,maximum=100000,default=2000"`
	// MaxQueued is the maximum number of calls queued for the endpoint.
	MaxQueued int `json:"maxQueued,omitempty" jsonschema:"minimum=0,maximum=100000,default=64"`
	// MaxKeptBytes is the maximum memory for results that no entry has acknowledged yet, in bytes.
	MaxKeptBytes int64 `json:"maxKeptBytes,omitempty" jsonschema:"minimum=0,maximum=4294967296,default=16777216"`
}
