package daemon

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/cli/proc"
	"github.com/jujubescale/jujubescale/internal/conf/check"
	"github.com/jujubescale/jujubescale/internal/conf/config"
	"github.com/jujubescale/jujubescale/internal/conf/layer"
	"github.com/jujubescale/jujubescale/internal/flow/claim"
	"github.com/jujubescale/jujubescale/internal/link/certs"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/ops/admin"
	"github.com/jujubescale/jujubescale/internal/plat/call"
	"github.com/jujubescale/jujubescale/internal/serve/entry"
	"github.com/jujubescale/jujubescale/internal/share/node"
	"github.com/jujubescale/jujubescale/internal/share/spread"
)

const roleEntry = "entry"

func newEntry() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "entry",
		Short: "Accepts callers' requests and runs the stages of their pipelines",
		Long: "Accepts callers' requests and runs the stages of their pipelines.\n\n" +
			"SIGTERM begins a planned stop that lets open requests end. A second SIGTERM, or the\n" +
			"time limit drainMs, ends it at once; the log then lists the requests that were cut\n(exit code 10).",
		Args: exit.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := readSettings(cmd, config.EntrySteps())
			if err != nil {
				return err
			}
			return newEntryRun(settings, cmd.ErrOrStderr()).run(cmd.Context())
		},
	}
	addFlags(cmd, config.EntrySchema(), layer.Fields[config.Entry]())
	return cmd
}

// entryRun is one run of the entry daemon.
type entryRun struct {
	*proc.Process
	settings   *config.Entry
	callersTLS *certs.Source
	entry      *entry.Entry
	callers    *proc.Port
	// sessions is the port for other entries; nil if the settings have none.
	sessions       *proc.Port
	sessionHandler lateHandler
}

func newEntryRun(settings *config.Entry, out io.Writer) *entryRun {
	return &entryRun{Process: proc.New(roleEntry, &settings.Process, out), settings: settings}
}

// tasks returns the steps of the start in their order. The callers' port opens
// last, so that the process can serve each request that arrives there.
func (r *entryRun) tasks() []proc.Task {
	return []proc.Task{
		{Name: "log", Run: r.StartLog},
		{Name: "metrics", Run: r.StartMetrics},
		{Name: "certificates", Run: r.ReadCertificates},
		{Name: "certificate towards callers", Run: r.readCallersCertificate},
		{Name: "platform", Run: r.CreatePlatformClient},
		{Name: "sessions' port", Run: r.openSessions},
		{Name: "entry", Run: r.startEntry},
		{Name: "operators' port", Run: r.openOperatorsPort},
		{Name: "configuration", Run: r.awaitConfiguration},
		{Name: "callers' port", Run: r.openCallers},
	}
}

func (r *entryRun) run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer r.close(stop)
	if err := proc.RunTasks(background, roleEntry, r.tasks()); err != nil {
		return err
	}
	r.Log.Info("serving", "callers", r.callers.Address(), "operators", r.Operators.Address())
	s := &proc.Stopper{Process: r.Process, StopFunc: r.stop, Ports: []*proc.Port{r.callers, r.Operators}}
	return s.Run(ctx)
}

// stop waits until open requests end and returns the ids of those that were
// still open when the context ended.
func (r *entryRun) stop(ctx context.Context) []string {
	return r.entry.Stop(ctx, r.callers.Shutdown)
}

// close stops the entry and closes its ports at once. It may also be called
// after a start that failed at some step.
func (r *entryRun) close(stop context.CancelFunc) {
	stop()
	if r.entry != nil {
		r.entry.Close()
	}
	r.callers.Close()
	r.sessions.Close()
	r.Operators.Close()
}

func (r *entryRun) readCallersCertificate(context.Context) error {
	var err error
	r.callersTLS, err = r.Source(r.settings.CallersTLS)
	return err
}

func (r *entryRun) startEntry(context.Context) error {
	options := []entry.Option{
		entry.WithClock(r.Clock), entry.WithLog(r.Log), entry.WithHolder(r.Holder),
		entry.WithRegisterer(r.Registry), entry.WithStore(r.Platform.Store(call.Claim), claim.WithPlatformCalls(r.Platform.Rate)),
		entry.WithSharing(r.Platform, node.WithCheck(check.Fill), node.WithSeeds(r.settings.Peers), node.WithAccepted(func(release *spread.Release) {
			r.Log.Info("release in force", "release", release.Number)
		})),
	}
	if r.ProcessesTLS != nil {
		options = append(options, entry.WithDial(dialTLS(r.ProcessesTLS, certs.NameAgent)),
			entry.WithSession(sess.WithDial(dialTLS(r.ProcessesTLS, certs.NameEntry))))
	}
	address := ""
	if r.sessions != nil {
		address = r.sessions.Address().String()
	}
	r.entry = entry.New(entry.Settings{
		Process: r.settings.Process.Process, Host: r.settings.Host, AvailabilityZone: r.settings.AvailabilityZone,
		Address: address, MaxBodyBytes: r.settings.MaxBodyBytes, MaxOpen: r.settings.MaxOpen, MemoryBytes: int64(r.settings.MemoryMb * megabyte),
		BalancerLag: r.settings.BalancerLagMs,
	}, options...)
	handler := r.entry.SessionHandler()
	r.sessionHandler.handler.Store(&handler)
	return nil
}

// dialTLS returns a dial function for connections to processes of one role. It
// verifies their certificate and presents that of this process.
func dialTLS(source *certs.Source, role string) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := tls.Dialer{Config: source.Client(role)}
	return dialer.DialContext
}

func (r *entryRun) openOperatorsPort(ctx context.Context) error {
	return r.OpenOperators(ctx, admin.WithStatus(r.entry.Status), admin.WithRequest(r.entry.Lookup))
}

// configurationTimeout bounds how long the start waits for a configuration.
// After it, the start continues; the process is not ready until it has read a
// configuration. configurationPoll is the time between two checks.
const (
	configurationTimeout = 2 * clock.Second
	configurationPoll    = 10 * clock.Millis(1)
)

func (r *entryRun) awaitConfiguration(ctx context.Context) error {
	end := r.Clock.Now() + configurationTimeout
	for r.Holder.Number() == 0 && r.Clock.Now() < end {
		if err := r.Clock.Sleep(ctx, configurationPoll); err != nil {
			return err
		}
	}
	return nil
}

// openSessions opens the port for other entries. The port opens before the
// entry is created, because the entry publishes the port's address.
func (r *entryRun) openSessions(ctx context.Context) error {
	if r.settings.Sessions == "" {
		return nil
	}
	var err error
	r.sessions, err = r.OpenSessions(ctx, r.settings.Sessions, &r.sessionHandler, maxPeerSessions)
	return err
}

// maxPeerSessions bounds the connections for sessions of other entries, each of
// which opens a few.
const maxPeerSessions = 256

// lateHandler passes requests to a handler that is set after the port opened.
// Until then it answers with status 503.
type lateHandler struct {
	handler atomic.Pointer[http.Handler]
}

// ServeHTTP implements http.Handler.
func (l *lateHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if handler := l.handler.Load(); handler != nil {
		(*handler).ServeHTTP(w, r)
		return
	}
	http.Error(w, "starting", http.StatusServiceUnavailable)
}

func (r *entryRun) openCallers(ctx context.Context) error {
	var err error
	r.callers, err = proc.Open(ctx, proc.PortOptions{
		Name: callersPort, Address: r.settings.Callers, Handler: r.entry.Handler(),
		TLS: proc.ServerTLS(r.callersTLS), MaxConnections: r.settings.MaxConnections, ReceiveBytes: receiveBytes,
		MaxHeaderBytes: r.settings.MaxHeaderBytes, HeaderTimeout: r.settings.HeaderMs.Duration(),
		IdleTimeout: r.settings.CallersIdleMs.Duration(), Log: r.Log,
		Unanswered: r.Unanswered.WithLabelValues(callersPort),
	})
	return err
}
