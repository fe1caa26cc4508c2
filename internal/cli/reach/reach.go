// Package reach holds the flags that all subcommands of jujubectl share, and creates
// the clients of the platform and of the daemons from them.
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

	"github.com/jujubescale/jujubescale/internal/base/bound"
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

// Options are the flags that all subcommands share. Each flag takes its default from
// an environment variable.
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

// New returns empty options, which AddFlags fills from the environment and flags.
func New() *Options { return &Options{} }

// AddFlags adds the flags to a root command.
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
	add(&o.ca, "ca", "", "PEM file of the authorities that sign the daemons' certificates; turns on TLS for calls to daemons")
	add(&o.serverName, "server-name", "", "name in the daemons' certificates; their address if empty")
	add(&o.tokenFile, "token-file", "", "file with the operator's bearer token")
	add(&o.operatorsPort, "operators-port", "7001", "operators' port of daemons that are listed without one")
	add(&o.who, "who", "", "author of changes in the history; user and host if empty")
	add(&o.output, "output", OutputText, "text or json")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]cobra.Completion{OutputText, OutputJSON}, cobra.ShellCompDirectiveNoFileComp)) // the flag was just defined
}

// Client gives access to the platform and to the daemons.
type Client struct {
	Operator *apply.Operator
	Fleet    *fleet.Fleet
	// Who is the author of changes, for the history.
	Who string
}

// Connect checks the options and creates a client. It opens no connection yet. Errors
// about options have the code exit.Usage.
func (o *Options) Connect() (*Client, error) {
	if err := o.checkOutput(); err != nil {
		return nil, err
	}
	platform, err := o.store()
	if err != nil {
		return nil, err
	}
	daemons, err := o.fleet(platform)
	if err != nil {
		return nil, err
	}
	operator := apply.New(platform, apply.WithCheck(check.Fill), apply.WithFleet(newestRelease(daemons)))
	return &Client{Operator: operator, Fleet: daemons, Who: o.author()}, nil
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
	transport := &http.Transport{TLSClientConfig: source.Client(base.Hostname()), MaxResponseHeaderBytes: bound.MaxHeadBytes}
	return client.New(o.platform, client.WithHTTP(&http.Client{Transport: bound.NewTransport(transport)})).Store(), nil
}

// routedTimeout bounds one call to the store of a platform with routed services, and
// routedMargin is the time that a watch call may take in addition to its wait.
const (
	routedTimeout = 3 * clock.Second
	routedMargin  = clock.Second
)

// RoutedStore checks the options and returns the store of a platform with routed
// services, that is, one with gateways.
func (o *Options) RoutedStore() (*store.Store, error) {
	if err := o.checkOutput(); err != nil {
		return nil, err
	}
	base, err := url.Parse(o.platform)
	if err != nil || base.Host == "" {
		return nil, exit.With(exit.Usage, fmt.Errorf("--platform %q is not allowed; allowed: http://HOST:PORT or https://HOST:PORT", o.platform))
	}
	client := &http.Client{Transport: bound.NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment, MaxResponseHeaderBytes: bound.MaxHeadBytes})}
	return platform.NewStore(o.platform, client, routedTimeout, routedMargin), nil
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

// author returns the name for the history: the flag or user and host, so that other
// operators can find the author of a conflicting change.
func (o *Options) author() string {
	if o.who != "" {
		return o.who
	}
	host, _ := os.Hostname() // without a host the name still identifies the user
	current, err := user.Current()
	if err != nil {
		return "unknown@" + host
	}
	return current.Username + "@" + host
}

// releaseSample is the number of entries that newestRelease queries.
const releaseSample = 8

// newestRelease returns a function that queries the release of some entries and returns
// the newest, or 0 if none answers. A higher number than that of the platform's store
// shows that the store was restored to an older state.
func newestRelease(f *fleet.Fleet) func(context.Context) uint64 {
	return func(ctx context.Context) uint64 {
		page, err := f.HostsFunc(ctx, store.HostQuery{Role: "entry", Limit: releaseSample})
		if err != nil {
			return 0
		}
		var release uint64
		for _, answer := range f.Statuses(ctx, page.Hosts) {
			release = max(release, answer.Status.Release)
		}
		return release
	}
}

// Print writes a document in the output format: as JSON, or as text with writeText.
func (o *Options) Print(out io.Writer, document any, writeText func(io.Writer)) error {
	if o.output != OutputJSON {
		writeText(out)
		return nil
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(document)
}

// WaitResult holds the daemons by their state at the end of a wait for a release.
type WaitResult struct {
	Release uint64 `json:"release"`
	// InForce counts the daemons that have the release.
	InForce int `json:"inForce"`
	// Behind lists the daemons that still have an older release.
	Behind []string `json:"behind,omitempty"`
	// Unreachable lists the daemons that did not answer.
	Unreachable []string `json:"notSeen,omitempty"`
}

// Wait waits until a release is in force on all daemons that answer. It returns an error
// if it is not within the time limit.
func (c *Client) Wait(ctx context.Context, release uint64, limit clock.Millis) (WaitResult, error) {
	hosts, err := c.Fleet.Hosts(ctx, "")
	if err != nil {
		return WaitResult{Release: release}, err
	}
	var last []apply.ProcessRelease
	queryReleases := c.Fleet.ReleasesFunc(hosts, release)
	err = c.Operator.WaitInForce(ctx, release, limit, func(ctx context.Context) []apply.ProcessRelease {
		last = queryReleases(ctx)
		return answered(last)
	})
	return waitResult(release, last), err
}

// answered returns the answers without an error.
func answered(answers []apply.ProcessRelease) []apply.ProcessRelease {
	var out []apply.ProcessRelease
	for _, answer := range answers {
		if answer.Cause == nil {
			out = append(out, answer)
		}
	}
	return out
}

func waitResult(release uint64, answers []apply.ProcessRelease) WaitResult {
	out := WaitResult{Release: release}
	for _, answer := range answers {
		switch {
		case answer.Cause != nil:
			out.Unreachable = append(out.Unreachable, fmt.Sprintf("%s (%v)", answer.Process, answer.Cause))
		case answer.Release < release:
			out.Behind = append(out.Behind, fmt.Sprintf("%s (release %d)", answer.Process, answer.Release))
		default:
			out.InForce++
		}
	}
	return out
}

// Write prints the result as text.
func (w WaitResult) Write(out io.Writer) {
	_, _ = fmt.Fprintf(out, "release %d is in force on %d daemons\n", w.Release, w.InForce)
	for _, name := range w.Behind {
		_, _ = fmt.Fprintln(out, "  not yet on", name)
	}
	for _, name := range w.Unreachable {
		_, _ = fmt.Fprintln(out, "  no answer from", name)
	}
}

// WaitFlags are the flags of subcommands that can wait until their change is in force.
type WaitFlags struct {
	Wait  bool
	Limit clock.Millis
}

const defaultWaitLimit = 10 * clock.Second

// AddFlags adds the flags to a command.
func (w *WaitFlags) AddFlags(cmd *cobra.Command) {
	cmd.Flags().BoolVar(&w.Wait, "wait", false, "wait until the change is in force on all daemons that answer")
	cmd.Flags().Int64Var((*int64)(&w.Limit), "wait-limit-ms", int64(defaultWaitLimit), "maximum wait in milliseconds")
}

// ChangeResult is the result of a change. Changed is false if the configuration already
// was as requested.
type ChangeResult struct {
	Release   uint64      `json:"release"`
	Changed   bool        `json:"changed"`
	Action    string      `json:"action,omitempty"`
	ChangedBy string      `json:"changedBy,omitempty"`
	Waited    *WaitResult `json:"waited,omitempty"`
}

// Report prints the result of a change. With the flag --wait it first waits until the
// change is in force, and returns an error if it is not within the limit.
func (o *Options) Report(cmd *cobra.Command, c *Client, result apply.Result, wait WaitFlags) error {
	if result.Head == nil {
		return errors.New("the platform holds no configuration")
	}
	change := ChangeResult{
		Release: result.Head.Release, Changed: result.Changed,
		Action: string(result.Head.Action), ChangedBy: result.Head.ChangedBy,
	}
	var waitErr error
	if wait.Wait {
		waited, err := c.Wait(cmd.Context(), change.Release, wait.Limit)
		change.Waited, waitErr = &waited, err
	}
	err := o.Print(cmd.OutOrStdout(), change, func(out io.Writer) {
		if change.Changed {
			_, _ = fmt.Fprintf(out, "accepted as release %d\n", change.Release)
		} else {
			_, _ = fmt.Fprintf(out, "nothing to change; release %d stays\n", change.Release)
		}
		if change.Waited != nil {
			change.Waited.Write(out)
		}
	})
	return errors.Join(waitErr, err)
}
