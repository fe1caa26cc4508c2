package daemon

import (
	"context"
	"io"

	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/cli/proc"
	"github.com/jujubescale/jujubescale/internal/conf/config"
	"github.com/jujubescale/jujubescale/internal/conf/layer"
	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/ops/admin"
	"github.com/jujubescale/jujubescale/internal/serve/agent"
)

const roleAgent = "agent"

func newAgent() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "agent",
		Short: "Admits work to one endpoint; it is the only process that calls the endpoint",
		Long: "Admits work to one endpoint; it is the only process that calls the endpoint.\n\n" +
			"SIGTERM begins a planned stop that lets open requests end. A second SIGTERM, or the\n" +
			"time limit drainMs, ends it at once; the log then lists the requests that were cut\n(exit code 10).",
		Args: exit.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := readSettings(cmd, config.AgentSteps())
			if err != nil {
				return err
			}
			return newAgentRun(settings, cmd.ErrOrStderr()).run(cmd.Context())
		},
	}
	addFlags(cmd, config.AgentSchema(), layer.Fields[config.Agent]())
	return cmd
}

// agentRun is one run of the agent daemon.
type agentRun struct {
	*proc.Process
	settings *config.Agent
	agent    *agent.Agent
	sessions *proc.Port
}

func newAgentRun(settings *config.Agent, out io.Writer) *agentRun {
	return &agentRun{Process: proc.New(roleAgent, &settings.Process, out), settings: settings}
}

// tasks returns the steps of the start in their order.
func (r *agentRun) tasks() []proc.Task {
	return []proc.Task{
		{Name: "log", Run: r.StartLog},
		{Name: "metrics", Run: r.StartMetrics},
		{Name: "certificates", Run: r.ReadCertificates},
		{Name: "platform", Run: r.CreatePlatformClient},
		{Name: "agent", Run: r.startAgent},
		{Name: "operators' port", Run: r.openOperatorsPort},
		{Name: "sessions' port", Run: r.openSessions},
	}
}

func (r *agentRun) run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer r.close(stop)
	if err := proc.RunTasks(background, roleAgent, r.tasks()); err != nil {
		return err
	}
	r.Log.Info("serving", "sessions", r.sessions.Address(), "operators", r.Operators.Address())
	s := &proc.Stopper{Process: r.Process, StopFunc: r.stop, Ports: []*proc.Port{r.sessions, r.Operators}}
	return s.Run(ctx)
}

func (r *agentRun) stop(ctx context.Context) []string { return r.agent.Shutdown(ctx).Cut }

// close stops the agent and closes its ports at once. It may also be called
// after a start that failed at some step.
func (r *agentRun) close(stop context.CancelFunc) {
	stop()
	if r.agent != nil {
		r.agent.Close()
	}
	r.sessions.Close()
	r.Operators.Close()
}

func (r *agentRun) startAgent(context.Context) error {
	r.agent = agent.New(agent.Settings{
		Process: r.settings.Process.Process, Host: r.settings.Host, AvailabilityZone: r.settings.AvailabilityZone,
		Pool: r.settings.Pool, Endpoint: r.settings.Endpoint, Kind: manif.StageKind(r.settings.Kind),
		EndpointURL: r.settings.EndpointURL, EndpointIdle: r.settings.EndpointKeepMs,
	}, agent.WithClock(r.Clock), agent.WithLog(r.Log), agent.WithHolder(r.Holder), agent.WithRegisterer(r.Registry),
		agent.WithMaxQueued(r.settings.MaxQueued), agent.WithKeptBytes(int(r.settings.MaxKeptBytes)), agent.WithMaxSessions(r.settings.MaxSessions),
		agent.WithOrders(r.Platform, agent.DefaultWeightSlots))
	return nil
}

func (r *agentRun) openOperatorsPort(ctx context.Context) error {
	return r.OpenOperators(ctx, admin.WithStatus(r.agent.Status), admin.WithRequest(r.agent.Lookup))
}

func (r *agentRun) openSessions(ctx context.Context) error {
	var err error
	r.sessions, err = r.OpenSessions(ctx, r.settings.Sessions, r.agent.Handler(), r.settings.MaxSessions)
	return err
}
