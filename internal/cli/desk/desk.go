// Package desk runs the subcommands of jujubectl in tests, against a stand-in of the
// platform and against daemons that have only an operators' port.
package desk

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/spf13/cobra"
	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/cli/exit"
	"github.com/jujubescale/jujubescale/internal/cli/reach"
	"github.com/jujubescale/jujubescale/internal/conf/check"
	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/ops/admin"
	"github.com/jujubescale/jujubescale/internal/plat/client"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/share/apply"
	"github.com/jujubescale/jujubescale/internal/share/head"
	"github.com/jujubescale/jujubescale/internal/stand/plat"
)

// System is a stand-in of the platform with its daemons.
type System struct {
	Platform *plat.Plat
	// Operator changes the configuration without jujubectl, as another operator would.
	Operator *apply.Operator

	url   string
	hosts []store.Host
}

// New starts a stand-in of the platform, which stops at the end of the test.
func New(t *testing.T) *System {
	t.Helper()
	platform := plat.New()
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(server.Close)
	operator := apply.New(client.New(server.URL).Store(), apply.WithCheck(check.Fill))
	return &System{Platform: platform, Operator: operator, url: server.URL}
}

// Apply puts a manifest into force as another operator.
func (s *System) Apply(t *testing.T, manifest *manif.Manifest, who string) {
	t.Helper()
	_, err := s.Operator.Apply(t.Context(), manifest, apply.Change{Who: who})
	assert.NilError(t, err)
}

// Head returns the head that the platform holds.
func (s *System) Head(t *testing.T) *head.Head {
	t.Helper()
	current, err := head.Decode(s.Platform.Get(head.Object).Value)
	assert.NilError(t, err)
	return current
}

// Daemon is a daemon that has only an operators' port.
type Daemon struct {
	mu      sync.Mutex
	status  admin.Status
	request *admin.Request
	server  *httptest.Server
	// platform, if not nil, sets the release of the status.
	platform *plat.Plat
}

// SetStatus changes the status of the daemon.
func (d *Daemon) SetStatus(change func(status *admin.Status)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(&d.status)
}

// FollowRelease makes the daemon report the release that the platform holds.
func (d *Daemon) FollowRelease(platform *plat.Plat) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.platform = platform
}

// SetRequest sets the only request of which the daemon has a record.
func (d *Daemon) SetRequest(request *admin.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.request = request
}

// Close makes the daemon unreachable.
func (d *Daemon) Close() { d.server.Close() }

func (d *Daemon) currentStatus() admin.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	status := d.status
	if d.platform != nil {
		status.Release = head.ReleaseOf(d.platform.Get(head.Object).Value)
	}
	return status
}

func (d *Daemon) lookup(id string) *admin.Request {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.request == nil || d.request.RequestID != id {
		return nil
	}
	return d.request
}

// AddDaemon starts a daemon on a host and adds the host to the platform's list. The
// daemon stops at the end of the test.
func (s *System) AddDaemon(t *testing.T, host store.Host, options ...admin.Option) *Daemon {
	t.Helper()
	daemon := &Daemon{status: admin.Status{Process: host.Name, Role: host.Role, Ready: true}}
	options = append(options, admin.WithStatus(daemon.currentStatus), admin.WithRequest(daemon.lookup))
	daemon.server = httptest.NewServer(admin.New(options...).Handler())
	t.Cleanup(daemon.server.Close)
	host.State = store.HostLive
	host.Operators = strings.TrimPrefix(daemon.server.URL, "http://")
	s.hosts = append(s.hosts, host)
	s.Platform.SetHosts(s.hosts)
	return daemon
}

// Result holds the output and the exit code of a command.
type Result struct {
	Out  string
	Err  string
	Code exit.Code
}

// JSON decodes the command's output into a value.
func (r Result) JSON(t *testing.T, into any) {
	t.Helper()
	assert.NilError(t, json.Unmarshal([]byte(r.Out), into), "%s%s", r.Out, r.Err)
}

// Run executes args with the command that build returns, without standard input.
func (s *System) Run(t *testing.T, build func(*reach.Options) *cobra.Command, args ...string) Result {
	t.Helper()
	return s.RunWith(t, "", build, args...)
}

// RunWith executes args with the command that build returns and with a standard input.
func (s *System) RunWith(t *testing.T, input string, build func(*reach.Options) *cobra.Command, args ...string) Result {
	t.Helper()
	t.Setenv("JUJUBECTL_PLATFORM", s.url)
	t.Setenv("JUJUBECTL_WHO", "tester")
	options := reach.New()
	root := &cobra.Command{Use: "jujubectl"}
	options.AddFlags(root)
	root.AddCommand(build(options))
	var out, errs bytes.Buffer
	root.SetOut(&out)
	root.SetErr(&errs)
	root.SetIn(strings.NewReader(input))
	code := exit.RunContext(t.Context(), root, args)
	return Result{Out: out.String(), Err: errs.String(), Code: code}
}
