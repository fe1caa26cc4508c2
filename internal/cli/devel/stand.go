package devel

import (
	"encoding/json"
	"net/http"
	"os/signal"
	"syscall"

	"github.com/go-chi/chi/v5"
	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

// standOptions are the flags of `jujubedev stand`.
type standOptions struct {
	platform  string
	agentHost string
	firstPort int
	endpoints int
}

// StandEndpoint is one endpoint as `jujubedev stand` prints it.
type StandEndpoint struct {
	Pool             string `json:"pool"`
	Endpoint         string `json:"endpoint"`
	Kind             string `json:"kind"`
	AvailabilityZone string `json:"availabilityZone"`
	URL              string `json:"url"`
	AgentAddress     string `json:"agentAddress"`
}

// StandReport is the line that `jujubedev stand` prints when the stand-ins are ready.
type StandReport struct {
	PlatformURL string          `json:"platformUrl"`
	ControlURL  string          `json:"controlUrl"`
	Endpoints   []StandEndpoint `json:"endpoints"`
}

func newStand() *cobra.Command {
	options := standOptions{platform: "127.0.0.1:0", agentHost: "127.0.0.1", firstPort: 7100, endpoints: 3}
	command := &cobra.Command{
		Use:   "stand",
		Short: "Runs only the stand-ins, for entries and agents that run as separate processes",
		Long: "Runs the stand-ins of the platform and of the endpoints, and prints their addresses\n" +
			"as one line of JSON. The agent of the n-th endpoint has to listen on --agent-host\n" +
			"at port --first-port + n.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return runStand(command, options) },
	}
	flags := command.Flags()
	flags.StringVar(&options.platform, "platform", options.platform, "address of the platform stand-in (IP:port)")
	flags.StringVar(&options.agentHost, "agent-host", options.agentHost, "IP address of the agents")
	flags.IntVar(&options.firstPort, "first-port", options.firstPort, "port of the first endpoint's agent")
	flags.IntVar(&options.endpoints, "endpoints", options.endpoints, "endpoints in each pool")
	return command
}

func runStand(command *cobra.Command, options standOptions) error {
	ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	system, err := whole.New(
		whole.WithOutsideDaemons(options.platform, options.agentHost, options.firstPort),
		whole.WithEndpoints(options.endpoints),
	)
	if err != nil {
		return err
	}
	defer system.Close()
	control, err := whole.Serve("127.0.0.1:0", standControl(system))
	if err != nil {
		return err
	}
	defer control.Close()
	report := StandReport{PlatformURL: system.PlatformURL, ControlURL: control.URL()}
	for _, place := range system.Places {
		report.Endpoints = append(report.Endpoints, StandEndpoint{
			Pool: place.Pool, Endpoint: place.Endpoint, Kind: string(place.Kind),
			AvailabilityZone: place.Zone, URL: place.URL, AgentAddress: place.Address,
		})
	}
	if err := json.NewEncoder(command.OutOrStdout()).Encode(report); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// StandLedger holds the keys of calls that the plain services ran more than once, and
// the number of runs of the requested key.
type StandLedger struct {
	Doubled []string `json:"doubled"`
	Runs    int      `json:"runs"`
}

// standControl returns a handler with which tests read the ledger and inject faults.
func standControl(system *whole.Whole) http.Handler {
	router := chi.NewRouter()
	router.Get("/ledger", func(w http.ResponseWriter, r *http.Request) {
		ledger := StandLedger{Doubled: system.Ledger.Doubled(), Runs: system.Ledger.Runs(r.URL.Query().Get("key"))}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(ledger)
	})
	router.Post("/faults", func(w http.ResponseWriter, r *http.Request) {
		var fault whole.Fault
		if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := system.Inject(fault); err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
		}
	})
	return router
}
