package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/jujubescale/jujubescale/platform/stand"
)

// Names and bounds of the deployment.
const (
	service      = "drafts"
	host         = "drafts.example"
	path         = "/notes/"
	zone         = "zone-a"
	apiKey       = "k7c1e07a291bd"
	drainTime    = 2 * time.Second
	heartbeat    = 1200 * time.Millisecond
	startTimeout = 15 * time.Second
)

// record is the file that holds what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

func newRecord(out io.Writer) *record { return &record{out: out, began: time.Now()} }

func (r *record) printf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// world is one small deployment: a store, a gateway and engines.
type world struct {
	program string
	trouble bool
	record  *record

	// config is the operator's configuration, and numGateways the number of gateways.
	config      *stand.Config
	numGateways int

	dir       string
	store     *stand.Store
	platform  *http.Server
	gateways  []*gateway
	processes []*engine
}

// gateway is a started gateway with its addresses for callers and for the balancer.
type gateway struct {
	command        *exec.Cmd
	callers, ready string
	log            string
}

// start starts the store and the gateways.
func (w *world) start() error {
	var err error
	if w.dir, err = os.MkdirTemp("", "review"); err != nil {
		return err
	}
	w.store = stand.NewStore()
	w.store.Put("config", "main", w.config.Document())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.platform = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.platform.Serve(listener) }() // ends with stop
	for number := range w.numGateways {
		if err := w.startGateway(fmt.Sprintf("front-a-%d", number+1), listener.Addr().String()); err != nil {
			return err
		}
	}
	return nil
}

// settings has the fields of deploy/gateway.json.tmpl, with the bounds of a small deployment.
const settings = `{
  "process": %q, "availabilityZone": %q, "platformUrl": "http://%s",
  "callers": %q, "ready": %q, "sessions": %q, "metrics": %q, "operators": %q,
  "allowPlain": true, "graceSeconds": 8, "memoryMb": 284, "processorShare": 0.304,
  "changeMs": 2000, "leaveMs": %d, "maxFds": 4100, "linkMbps": 1000,
  "extraShare": 0.2, "extraSpare": 52, "extraWindowSeconds": 10, "coldShare": 1.5, "coldSpare": 5,
  "reuseCalls": true, "reuseSharedOnly": true
}
`

// numPorts is the number of the gateway's ports: callers, ready, sessions, metrics, operators.
const numPorts = 5

func (w *world) startGateway(name, store string) error {
	ports, err := freePorts(fmt.Sprintf("127.0.0.%d", firstHost+len(w.gateways)), numPorts)
	if err != nil {
		return err
	}
	text := fmt.Sprintf(settings, name, zone, store, ports[0], ports[1], ports[2], ports[3], ports[4], drainTime.Milliseconds())
	file := filepath.Join(w.dir, name+".json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	g := &gateway{callers: ports[0], ready: ports[1], log: filepath.Join(w.dir, name+".log")}
	log, err := os.Create(g.log)
	if err != nil {
		return err
	}
	g.command = exec.Command(w.program, "gateway")
	g.command.Env = append(os.Environ(), "JUJUBESCALE_BOOT="+file)
	g.command.Stdout, g.command.Stderr = log, log
	if err := g.command.Start(); err != nil {
		return err
	}
	w.gateways = append(w.gateways, g)
	return nil
}

// firstHost is the last part of the first gateway's address. Connections to gateways and engines
// begin at 127.0.0.1, so that they take none of their ports.
const firstHost = 20

// freePorts returns addresses with free ports of a loopback address.
func freePorts(ip string, count int) ([]string, error) {
	addresses := make([]string, 0, count)
	for range count {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// errNotReady is returned if a gateway doesn't become ready.
var errNotReady = errors.New("a gateway is not ready")

// awaitReady waits until all gateways report that they are ready, and then for one heartbeat.
func (w *world) awaitReady() error {
	for _, g := range w.gateways {
		if !g.awaitReady() {
			return errNotReady
		}
	}
	time.Sleep(heartbeat)
	return nil
}

func (g *gateway) awaitReady() bool {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + g.ready + protocol.Ready)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// gatewayLines returns the lines of the gateways' logs that contain a text.
func (w *world) gatewayLines(text string) []string {
	var lines []string
	for _, g := range w.gateways {
		raw, err := os.ReadFile(g.log)
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(raw)) {
			if strings.Contains(line, text) {
				lines = append(lines, strings.TrimSpace(line))
			}
		}
	}
	return lines
}

// stop ends all processes that the case started.
func (w *world) stop() {
	for _, e := range w.processes {
		e.kill()
	}
	for _, g := range w.gateways {
		_ = g.command.Process.Kill()
		_ = g.command.Wait()
	}
	if w.platform != nil {
		_ = w.platform.Close()
	}
	_ = os.RemoveAll(w.dir)
}
