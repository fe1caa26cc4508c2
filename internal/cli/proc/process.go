// Package proc holds the code that the daemons share: the steps of the start, the
// ports, and the planned stop.
package proc

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/jujubescale/jujubescale/internal/base/bound"
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/conf/config"
	"github.com/jujubescale/jujubescale/internal/link/certs"
	"github.com/jujubescale/jujubescale/internal/ops/admin"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/plat/call"
	"github.com/jujubescale/jujubescale/internal/plat/client"
	"github.com/jujubescale/jujubescale/internal/share/spread"
)

// Limits of the ports for operators and for other processes.
const (
	operatorsConnections = 256
	smallIdle            = 2 * time.Minute
	// operatorsWrite is the time in which an operator must read an answer. Otherwise callers that read none fill the port.
	operatorsWrite = 30 * time.Second
	smallHeader    = 16 << 10
	headerTimeout  = 5 * time.Second
	// sessionsWrite is the time in which a refused request to open a session must be read; sessions have limits of their own.
	// net/http applies it to TLS handshakes as well.
	sessionsWrite = headerTimeout
	// smallReceive is what the kernel holds of an operator's connection that is not read.
	smallReceive = 32 << 10
	// SmallInterval is the least time between two requests on one connection of a port for operators, metrics, sessions or the balancer.
	SmallInterval = 20 * clock.Millis(1)
)

// Process holds the state that all daemons have. Its exported methods are steps of
// the start (see Task), in this order: StartLog, StartMetrics, ReadCertificates,
// CreatePlatformClient, OpenOperators.
type Process struct {
	// Role is entry, agent or gateway.
	Role     string
	Settings *config.Process
	Clock    *clock.Clock
	Registry *prometheus.Registry
	Holder   *spread.Holder
	// Unanswered counts, by port, connections that ended with a request that got no
	// answer.
	Unanswered *prometheus.CounterVec
	// Log is set by StartLog, Platform by CreatePlatformClient, ProcessesTLS by
	// ReadCertificates (nil if no files are configured), Operators by OpenOperators.
	Log          *log.Logger
	Platform     *call.Caller
	ProcessesTLS *certs.Source
	Operators    *Port

	out          io.Writer
	operatorsTLS *certs.Source
	platformTLS  *certs.Source
}

// New returns a process that has not started anything. It logs to out.
func New(role string, settings *config.Process, out io.Writer) *Process {
	return &Process{
		Role: role, Settings: settings, Clock: clock.New(), out: out,
		Registry: prometheus.NewRegistry(), Holder: &spread.Holder{},
		Unanswered: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jujubescale_connections_unanswered_total",
			Help: "Connections closed by this process after a request that got no answer, by port.",
		}, []string{"port"}),
	}
}

// StartLog creates the logger. It returns an error for an unknown log level.
func (p *Process) StartLog(context.Context) error {
	var err error
	p.Log, err = logs.New(p.out, p.Settings.LogLevel,
		logs.KeyProcess, p.Settings.Process, logs.KeyAvailabilityZone, p.Settings.AvailabilityZone)
	return err
}

// StartMetrics registers the metrics of the Go runtime, of the operating system's
// process and of unanswered connections.
func (p *Process) StartMetrics(context.Context) error {
	p.Registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), p.Unanswered)
	return nil
}

// ReadCertificates reads the certificate files for operators, processes and the
// platform.
func (p *Process) ReadCertificates(context.Context) error {
	var err error
	if p.operatorsTLS, err = p.Source(p.Settings.OperatorsTLS); err != nil {
		return err
	}
	if p.ProcessesTLS, err = p.Source(p.Settings.ProcessesTLS); err != nil {
		return err
	}
	p.platformTLS, err = p.Source(p.Settings.PlatformTLS)
	return err
}

// Source returns the certificates for one kind of connections, or nil if no files
// are configured.
func (p *Process) Source(files config.TLS) (*certs.Source, error) {
	if !files.IsSet() {
		return nil, nil
	}
	logReloadError := func(err error) { p.Log.Error("certificate files not usable, old ones stay", logs.KeyError, err) }
	return certs.New(certs.Files{Cert: files.CertFile, Key: files.KeyFile, CA: files.CAFile}, certs.WithReloadError(logReloadError))
}

// CreatePlatformClient creates the client of the platform. It sends no call.
func (p *Process) CreatePlatformClient(context.Context) error {
	platform := client.New(p.Settings.PlatformURL, client.WithHTTP(httpClient(p.Settings.PlatformURL, p.platformTLS)))
	p.Platform = call.New(platform.Store(), call.WithClock(p.Clock), call.WithRegisterer(p.Registry),
		call.WithRate(float64(p.Settings.PlatformCalls), float64(2*p.Settings.PlatformCalls)))
	return nil
}

// httpClient returns a client for the server at the URL base. If source is not nil,
// it presents the certificate of source and verifies that of the server.
func httpClient(base string, source *certs.Source) *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: smallIdle, MaxResponseHeaderBytes: bound.MaxHeadBytes}
	if parsed, err := url.Parse(base); err == nil && source != nil {
		transport.TLSClientConfig = source.Client(parsed.Hostname())
	}
	return &http.Client{Transport: bound.NewTransport(transport)}
}

// OpenOperators opens the operators' port, which serves status, look-up of requests
// and metrics.
func (p *Process) OpenOperators(ctx context.Context, options ...admin.Option) error {
	options = append(options, admin.WithGatherer(p.Registry), admin.WithTokenHashes(p.Settings.OperatorTokenHashes))
	var err error
	p.Operators, err = Open(ctx, PortOptions{
		Name: "operators", Address: p.Settings.Operators, Handler: admin.New(options...).Handler(),
		TLS: ServerTLS(p.operatorsTLS, certs.NameOperator), MaxConnections: operatorsConnections,
		ReceiveBytes: smallReceive, RequestInterval: SmallInterval, WriteTimeout: operatorsWrite, MaxHeaderBytes: smallHeader, HeaderTimeout: headerTimeout, IdleTimeout: smallIdle, Log: p.Log,
	})
	return err
}

// OpenSessions opens a port for the sessions of entries, with at most maxConnections
// connections.
func (p *Process) OpenSessions(ctx context.Context, address string, handler http.Handler, maxConnections int) (*Port, error) {
	return Open(ctx, PortOptions{
		Name: "sessions", Address: address, Handler: handler,
		TLS: ServerTLS(p.ProcessesTLS, certs.NameEntry), MaxConnections: maxConnections,
		RequestInterval: SmallInterval, WriteTimeout: sessionsWrite, MaxHeaderBytes: smallHeader, HeaderTimeout: headerTimeout, IdleTimeout: smallIdle, Log: p.Log,
	})
}

// ServerTLS returns the TLS configuration of a port, which accepts clients with one
// of the names in their certificate. It returns nil if source is nil.
func ServerTLS(source *certs.Source, names ...string) *tls.Config {
	if source == nil {
		return nil
	}
	return source.Server(names...)
}
