package e2e_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/cli/devel"
	"github.com/jujubescale/jujubescale/internal/plat/client"
	"github.com/jujubescale/jujubescale/internal/share/apply"
	"github.com/jujubescale/jujubescale/internal/stand/slots"
	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

// Timeouts of tests. They are long because a busy machine is slow; a test that
// passes doesn't wait for them.
const (
	startTimeout = 90 * time.Second
	exitTimeout  = 60 * time.Second
)

// process is a program started by a test.
type process struct {
	name    string
	command *exec.Cmd
	done    chan struct{}

	mu  sync.Mutex
	log bytes.Buffer
}

// Write records the standard error of the program.
func (p *process) Write(text []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(text)
}

func (p *process) logText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// launch starts a program of this project and returns its process and its
// standard output. The process is killed when the test ends.
func launch(t *testing.T, name, program string, args ...string) (*process, *bufio.Reader) {
	t.Helper()
	p := &process{name: name, done: make(chan struct{})}
	p.command = exec.Command(os.Args[0], args...)
	p.command.Env = append(os.Environ(), programEnv+"="+program)
	p.command.Stderr = p
	out, err := p.command.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, p.command.Start())
	go func() {
		defer close(p.done)
		_ = p.command.Wait() // the exit code is read from ProcessState
	}()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, tail(p.logText()))
		}
	})
	return p, bufio.NewReader(out)
}

const tailBytes = 6000

func tail(text string) string { return text[max(0, len(text)-tailBytes):] }

func (p *process) exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

func (p *process) signal(signal syscall.Signal) { _ = p.command.Process.Signal(signal) }

// kill ends the process immediately, as the loss of its host would.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// cluster is a deployment of separate processes.
type cluster struct {
	t        *testing.T
	ports    int
	report   devel.StandReport
	client   *http.Client
	agents   map[string]*process
	entries  []*process
	baseURLs []string

	mu sync.Mutex
	// outOfRotation holds the indices of the entries that get no requests from
	// the load balancer.
	outOfRotation map[int]bool
}

// portsPerCluster is the size of the port range of one cluster.
const portsPerCluster = 64

// Clusters use ports below the ephemeral range of the operating system.
const (
	lowestPort  = 12000
	highestPort = 30000
)

// nextPort is the position from which the next cluster searches for ports.
// Clusters of parallel tests therefore never get the same ports.
var nextPort atomic.Int64

func init() { nextPort.Store(int64(lowestPort + rand.IntN(highestPort-lowestPort))) }

// freePorts returns the first of portsPerCluster consecutive free ports.
func freePorts(t *testing.T) int {
	t.Helper()
	for range (highestPort - lowestPort) / portsPerCluster {
		next := int(nextPort.Add(portsPerCluster))
		first := lowestPort + next%(highestPort-lowestPort)
		if allFree(first) {
			return first
		}
	}
	t.Fatal("no range of free ports found")
	return 0
}

func allFree(first int) bool {
	for port := first; port < first+portsPerCluster; port++ {
		listener, err := net.Listen("tcp", address(port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

func address(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// Offsets of ports within the port range of a cluster.
const (
	portAgents      = 1
	portAgentsAdmin = 20
	portEntries     = 40
	portEntryAdmin  = 50
)

// newCluster starts the stand-ins, one agent for each endpoint and the entries
// as separate processes. It waits until every entry serves requests.
func newCluster(t *testing.T, endpoints, entries int) *cluster {
	t.Helper()
	c := &cluster{
		t: t, ports: freePorts(t), agents: make(map[string]*process), outOfRotation: make(map[int]bool),
		client: &http.Client{Timeout: 20 * time.Second},
	}
	_, out := launch(t, "stand", "jujubedev", "stand", "--platform", address(c.ports),
		"--first-port", strconv.Itoa(c.ports+portAgents), "--endpoints", strconv.Itoa(endpoints))
	line, err := out.ReadBytes('\n')
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(line, &c.report))
	operator := apply.New(client.New(c.report.PlatformURL).Store())
	_, err = operator.Apply(t.Context(), whole.Sample(), apply.Change{Who: "test"})
	assert.NilError(t, err)
	for i := range c.report.Endpoints {
		c.startAgent(i)
	}
	for i := range entries {
		c.baseURLs = append(c.baseURLs, "http://"+address(c.ports+portEntries+i))
		c.entries = append(c.entries, nil)
		c.startEntry(i)
	}
	for i := range entries {
		c.awaitServing(i)
	}
	return c
}

func (c *cluster) commonFlags(name, zone string, admin int) []string {
	return []string{
		"--process", name, "--availability-zone", zone, "--platform-url", c.report.PlatformURL,
		"--operators", address(admin), "--log-level", "debug", "--drain-ms", "20000",
	}
}

func (c *cluster) startAgent(i int) {
	c.t.Helper()
	place := c.report.Endpoints[i]
	args := append([]string{"agent"}, c.commonFlags("agent-"+place.Endpoint, place.AvailabilityZone, c.ports+portAgentsAdmin+i)...)
	args = append(args, "--sessions", place.AgentAddress, "--pool", place.Pool, "--endpoint", place.Endpoint,
		"--kind", place.Kind, "--endpoint-url", place.URL, "--host", "host-"+place.Endpoint)
	c.agents[place.Endpoint], _ = launch(c.t, "agent-"+place.Endpoint, "jujubed", args...)
}

// restartAgent starts a new agent for an endpoint at the address of the previous
// agent.
func (c *cluster) restartAgent(endpoint string) {
	c.t.Helper()
	for i := range c.report.Endpoints {
		if c.report.Endpoints[i].Endpoint == endpoint {
			c.startAgent(i)
		}
	}
}

var zones = []string{"za", "zb", "zc"}

func (c *cluster) startEntry(i int) {
	c.t.Helper()
	name := fmt.Sprintf("entry-%d", i)
	args := append([]string{"entry"}, c.commonFlags(name, zones[i%len(zones)], c.ports+portEntryAdmin+i)...)
	args = append(args, "--callers", address(c.ports+portEntries+i), "--balancer-lag-ms", "1000")
	c.entries[i], _ = launch(c.t, name, "jujubed", args...)
}

// awaitServing waits until the entry answers a pipeline request and a call of a
// plain service.
func (c *cluster) awaitServing(i int) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if c.entries[i].exited() {
			return poll.Error(errors.New("the entry process exited"))
		}
		sheet := c.send(http.MethodPost, c.baseURLs[i]+"/v1/services/setup-sheets", `{"input":"warm"}`)
		stock := c.send(http.MethodGet, c.baseURLs[i]+"/v1/services/orders/call/stock/reel", "")
		if sheet.status == http.StatusOK && stock.status == http.StatusOK {
			return poll.Success()
		}
		return poll.Continue("%d %s, %d %s", sheet.status, sheet.body, stock.status, stock.body)
	}, poll.WithTimeout(startTimeout), poll.WithDelay(50*time.Millisecond))
}

func (c *cluster) send(method, url, body string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	assert.NilError(c.t, err)
	request.Header.Set("Authorization", "Bearer "+whole.SampleToken)
	response, err := c.client.Do(request)
	if err != nil {
		return reply{body: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	var text bytes.Buffer
	_, _ = text.ReadFrom(response.Body)
	return reply{status: response.StatusCode, body: text.String()}
}

// rotation returns the base URLs of the entries to which the load balancer
// sends requests.
func (c *cluster) rotation() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var baseURLs []string
	for i, baseURL := range c.baseURLs {
		if !c.outOfRotation[i] {
			baseURLs = append(baseURLs, baseURL)
		}
	}
	return baseURLs
}

// setOutOfRotation removes an entry from the rotation of the load balancer or
// adds it again.
func (c *cluster) setOutOfRotation(i int, out bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outOfRotation[i] = out
}

// runCount returns how often the stand-ins ran the plain call with this key.
func (c *cluster) runCount(key string) int {
	c.t.Helper()
	got := c.send(http.MethodGet, c.report.ControlURL+"/ledger?key="+key, "")
	var ledger devel.StandLedger
	assert.NilError(c.t, json.Unmarshal([]byte(got.body), &ledger))
	return ledger.Runs
}

// running returns the number of calls that run at an endpoint.
func (c *cluster) running(endpoint string) int {
	c.t.Helper()
	for _, place := range c.report.Endpoints {
		if place.Endpoint == endpoint {
			got := c.send(http.MethodGet, place.URL+"/v1/load", "")
			var load slots.Load
			assert.NilError(c.t, json.Unmarshal([]byte(got.body), &load))
			return load.Running
		}
	}
	return 0
}

// injectFault causes a fault at the stand-ins.
func (c *cluster) injectFault(fault whole.Fault) {
	c.t.Helper()
	body, err := json.Marshal(fault)
	assert.NilError(c.t, err)
	got := c.send(http.MethodPost, c.report.ControlURL+"/faults", string(body))
	assert.Equal(c.t, got.status, http.StatusOK, got.body)
}
