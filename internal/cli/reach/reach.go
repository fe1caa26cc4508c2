// Package reach holds the flags that all of jujubectl's subcommands share, and
// connects to the platform and to the daemons with them.
package reach

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/user"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/conf/check"
	"github.com/jujubescale/jujubescale/internal/link/certs"
	"github.com/jujubescale/jujubescale/internal/ops/fleet"
	"github.com/jujubescale/jujubescale/internal/plat/client"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/share/apply"
	"github.com/jujubescale/jujubescale/platform"
)

// Output formats.
const (
	OutputText = "text"
	OutputJSON = "json"
)

const envPrefix = "JUJUBECTL_"

// Options are the flags that all subcommands share. Each has an environment
// variable, which a flag overrides.
type Options struct {
	platform      string
	platformCA    string
	cert          string
	key           string
	ca            string
	serverName    string
	tokenFile     string
	operatorsPort string
	who           string
	output        string
}

// New returns the options as the environment sets them.
func New() *Options { return &Options{} }

// AddFlags gives a root command the flags.
func (o *Options) AddFlags(root *cobra.Command) {
	flags := root.PersistentFlags()
	add := func(target *string, name, fallback, usage string) {
		variable := envPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
		if value, found := os.LookupEnv(variable); found {
			fallback = value
		}
		flags.StringVar(target, name, fallback, usage+" ($"+variable+")")
	}
	add(&o.platform, "platform", "http://127.0.0.1:7000", "base URL of the platform's object API")
	add(&o.platformCA, "platform-ca", "", "PEM file of the authorities that sign the platform's certificate")
	add(&o.cert, "cert", "", "PEM file of the operator's certificate")
	add(&o.key, "key", "", "PEM file of the certificate's key")
	add(&o.ca, "ca", "", "PEM file of the authorities that sign the daemons' certificates; asks daemons over TLS")
	add(&o.serverName, "server-name", "", "name that the daemons' certificates carry; their address when empty")
	add(&o.tokenFile, "token-file", "", "file that holds the operator's bearer token")
	add(&o.operatorsPort, "operators-port", "7001", "the daemons' usual operators' port")
	add(&o.who, "who", "", "name that goes into the history; user and host when empty")
	add(&o.output, "output", OutputText, "text or json")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]cobra.Completion{OutputText, OutputJSON}, cobra.ShellCompDirectiveNoFileComp)) // the flag was just defined
}

// Client is a connection to platform and daemons.
type Client struct {
	Operator *apply.Operator
	Fleet    *fleet.Fleet
	// Who acts, for the history.
	Who string
}

// Connect checks the options and builds a client. It calls nobody yet.
func (o *Options) Connect() (*Client, error) {
	if err := o.checkOutput(); err != nil {
		return nil, err
	}
	platform, err := o.store()
	if err != nil {
		return nil, err
	}
	asked, err := o.fleet(platform)
	if err != nil {
		return nil, err
	}
	operator := apply.New(platform, apply.WithCheck(check.Fill), apply.WithFleet(newest(asked)))
	return &Client{Operator: operator, Fleet: asked, Who: o.name()}, nil
}

func (o *Options) checkOutput() error {
	if o.output == OutputText || o.output == OutputJSON {
		return nil
	}
	return exit.With(exit.Usage, fmt.Errorf("--output %q is not allowed; allowed: %s, %s", o.output, OutputText, OutputJSON))
}

func (o *Options) store() (*store.Store, error) {
	base, err := url.Parse(o.platform)
	if err != nil || base.Host == "" {
		return nil, exit.With(exit.Usage, fmt.Errorf("--platform %q is not allowed; allowed: http://HOST:PORT or https://HOST:PORT", o.platform))
	}
	if o.platformCA == "" {
		return client.New(o.platform).Store(), nil
	}
	source, err := certs.New(certs.Files{Cert: o.cert, Key: o.key, CA: o.platformCA})
	if err != nil {
		return nil, exit.With(exit.Usage, err)
	}
	transport := &http.Transport{TLSClientConfig: source.Client(base.Hostname())}
	return client.New(o.platform, client.WithHTTP(&http.Client{Transport: transport})).Store(), nil
}

const (
	routedTimeout = 3 * clock.Second
	routedMargin  = clock.Second
)

// RoutedStore returns the store of a platform with routed services.
func (o *Options) RoutedStore() (*store.Store, error) {
	if err := o.checkOutput(); err != nil {
		return nil, err
	}
	base, err := url.Parse(o.platform)
	if err != nil || base.Host == "" {
		return nil, exit.With(exit.Usage, fmt.Errorf("--platform %q is not allowed; allowed: http://HOST:PORT or https://HOST:PORT", o.platform))
	}
	return platform.NewStore(o.platform, http.DefaultClient, routedTimeout, routedMargin), nil
}

func (o *Options) fleet(platform *store.Store) (*fleet.Fleet, error) {
	port, err := strconv.ParseUint(o.operatorsPort, 10, 16)
	if err != nil {
		return nil, exit.With(exit.Usage, fmt.Errorf("--operators-port %q is not allowed; allowed: 0 to 65535", o.operatorsPort))
	}
	options := []fleet.Option{fleet.WithPort(int(port))}
	if o.tokenFile != "" {
		raw, err := os.ReadFile(o.tokenFile)
		if err != nil {
			return nil, exit.With(exit.Usage, err)
		}
		options = append(options, fleet.WithToken(strings.TrimSpace(string(raw))))
	}
	if o.ca != "" {
		source, err := certs.New(certs.Files{Cert: o.cert, Key: o.key, CA: o.ca})
		if err != nil {
			return nil, exit.With(exit.Usage, err)
		}
		options = append(options, fleet.WithTLS(source, o.serverName))
	}
	return fleet.New(platform, options...), nil
}

// name returns who acts. A history that names nobody helps no operator who
// lost a race.
func (o *Options) name() string {
	if o.who != "" {
		return o.who
	}
	host, _ := os.Hostname() // a name without host still tells the person
	current, err := user.Current()
	if err != nil {
		return "unknown@" + host
	}
	return current.Username + "@" + host
}

// asked bounds how many entries are asked for the newest release.
const asked = 8

// newest asks a few entries for the release in force, to find out that the
// platform's store was restored to an older state.
func newest(f *fleet.Fleet) func(context.Context) uint64 {
	return func(ctx context.Context) uint64 {
		page, err := f.HostsFunc(ctx, store.HostQuery{Role: "entry", Limit: asked})
		if err != nil {
			return 0
		}
		var release uint64
		for _, answer := range f.Ask(ctx, page.Hosts) {
			release = max(release, answer.Status.Release)
		}
		return release
	}
}

// Print writes a document as JSON, or what human writes.
func (o *Options) Print(out io.Writer, document any, human func(io.Writer)) error {
	if o.output != OutputJSON {
		human(out)
		return nil
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(document)
}

// WaitResult is what waiting for a release came to.
type WaitResult struct {
	Release uint64 `json:"release"`
	// InForce counts the daemons that have the release.
	InForce int `json:"inForce"`
	// Behind names the daemons that don't have it within the limit.
	Behind []string `json:"behind,omitempty"`
	// NotSeen names the daemons that could not be asked.
	NotSeen []string `json:"notSeen,omitempty"`
}

// Wait waits until a release is in force on every daemon that can be asked.
func (c *Client) Wait(ctx context.Context, release uint64, limit clock.Millis) (WaitResult, error) {
	hosts, err := c.Fleet.Hosts(ctx, "")
	if err != nil {
		return WaitResult{Release: release}, err
	}
	var last []apply.ProcessRelease
	ask := c.Fleet.InForce(hosts, release)
	err = c.Operator.WaitInForce(ctx, release, limit, func(ctx context.Context) []apply.ProcessRelease {
		last = ask(ctx)
		return seen(last)
	})
	return waited(release, last), err
}

func seen(answers []apply.ProcessRelease) []apply.ProcessRelease {
	var out []apply.ProcessRelease
	for _, answer := range answers {
		if answer.Cause == nil {
			out = append(out, answer)
		}
	}
	return out
}

func waited(release uint64, answers []apply.ProcessRelease) WaitResult {
	out := WaitResult{Release: release}
	for _, answer := range answers {
		switch {
		case answer.Cause != nil:
			out.NotSeen = append(out.NotSeen, fmt.Sprintf("%s (%v)", answer.Process, answer.Cause))
		case answer.Release < release:
			out.Behind = append(out.Behind, fmt.Sprintf("%s (release %d)", answer.Process, answer.Release))
		default:
			out.InForce++
		}
	}
	return out
}

// Write prints what waiting came to for people.
func (w WaitResult) Write(out io.Writer) {
	_, _ = fmt.Fprintf(out, "release %d is in force on %d daemons\n", w.Release, w.InForce)
	for _, name := range w.Behind {
		_, _ = fmt.Fprintln(out, "  not yet on", name)
	}
	for _, name := range w.NotSeen {
		_, _ = fmt.Fprintln(out, "  could not ask", name)
	}
}

// WaitFlags are the flags of subcommands that change something.
type WaitFlags struct {
	Wait  bool
	Limit clock.Millis
}

const defaultWaitLimit = 10 * clock.Second

// AddFlags gives a command the flags.
func (w *WaitFlags) AddFlags(cmd *cobra.Command) {
	cmd.Flags().BoolVar(&w.Wait, "wait", false, "wait until the change is in force on every daemon that can be asked")
	cmd.Flags().Int64Var((*int64)(&w.Limit), "wait-limit-ms", int64(defaultWaitLimit), "longest wait in milliseconds")
}

// ChangeResult is what a change came to.
type ChangeResult struct {
	Release   uint64      `json:"release"`
	Changed   bool        `json:"changed"`
	Action    string      `json:"action,omitempty"`
	ChangedBy string      `json:"changedBy,omitempty"`
	Waited    *WaitResult `json:"waited,omitempty"`
}

// Report prints what a change came to and waits for it when asked to.
func (o *Options) Report(cmd *cobra.Command, c *Client, result apply.Result, wait WaitFlags) error {
	if result.Head == nil {
		return errors.New("the platform holds no configuration")
	}
	done := ChangeResult{
		Release: result.Head.Release, Changed: result.Changed,
		Action: string(result.Head.Action), ChangedBy: result.Head.ChangedBy,
	}
	var waitErr error
	if wait.Wait {
		got, err := c.Wait(cmd.Context(), done.Release, wait.Limit)
		done.Waited, waitErr = &got, err
	}
	err := o.Print(cmd.OutOrStdout(), done, func(out io.Writer) {
		if done.Changed {
			_, _ = fmt.Fprintf(out, "accepted as release %d\n", done.Release)
		} else {
			_, _ = fmt.Fprintf(out, "nothing to change; release %d stays\n", done.Release)
		}
		if done.Waited != nil {
			done.Waited.Write(out)
		}
	})
	return errors.Join(waitErr, err)
}
