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
	"syscall"
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

	dir       string
	store     *stand.Store
	platform  *http.Server
	gateway   *exec.Cmd
	callers   string
	ready     string
	processes []*engine
}

// start starts the store and the gateway. The gateway is ready once it is listed an engine.
func (w *world) start() error {
	var err error
	if w.dir, err = os.MkdirTemp("", "review"); err != nil {
		return err
	}
	w.store = stand.NewStore()
	w.store.Put("config", "main", configuration())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.platform = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.platform.Serve(listener) }() // ends with stop
	return w.startGateway(listener.Addr().String())
}

func configuration() map[string]any {
	config := &stand.Config{
		Version:  7,
		Services: []stand.Service{{Name: service, Kind: stand.Model, MaxConns: 360}},
		Routes: []stand.Route{{
			Name: "notes", Host: host, Prefix: path, Kind: "stream", Service: service, TimeoutMs: 20000, SloMs: 2700, Attempts: 1,
		}},
		Tenants: []stand.Tenant{{Name: "tenant-a", Keys: []string{apiKey}}},
	}
	return config.Document()
}

// settings has the fields of deploy/gateway.json.tmpl, with the bounds of a small deployment.
const settings = `{
  "process": "front-a-1", "availabilityZone": %q, "platformUrl": "http://%s",
  "callers": %q, "ready": %q, "sessions": %q, "metrics": %q, "operators": %q,
  "allowPlain": true, "graceSeconds": 8, "memoryMb": 284, "processorShare": 0.304,
  "changeMs": 2000, "leaveMs": %d, "maxFds": 4100, "linkMbps": 1000,
  "extraShare": 0.2, "extraSpare": 52, "extraWindowSeconds": 10, "coldShare": 1.5, "coldSpare": 5,
  "reuseCalls": true, "reuseSharedOnly": true
}
`

// numPorts is the number of the gateway's ports: callers, ready, sessions, metrics, operators.
const numPorts = 5

func (w *world) startGateway(store string) error {
	ports, err := freePorts(numPorts)
	if err != nil {
		return err
	}
	w.callers, w.ready = ports[0], ports[1]
	text := fmt.Sprintf(settings, zone, store, ports[0], ports[1], ports[2], ports[3], ports[4], drainTime.Milliseconds())
	file := filepath.Join(w.dir, "gateway.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(w.dir, "gateway.log"))
	if err != nil {
		return err
	}
	w.gateway = exec.Command(w.program, "gateway")
	w.gateway.Env = append(os.Environ(), "JUJUBESCALE_BOOT="+file)
	w.gateway.Stdout, w.gateway.Stderr = log, log
	return w.gateway.Start()
}

// freePorts returns free loopback addresses.
func freePorts(count int) ([]string, error) {
	addresses := make([]string, 0, count)
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// errNotReady is returned if the gateway doesn't become ready.
var errNotReady = errors.New("the gateway is not ready")

// awaitReady waits until the gateway reports that it is ready, and then for one heartbeat.
func (w *world) awaitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + w.ready + "/-/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			time.Sleep(heartbeat)
			return nil
		}
	}
	return errNotReady
}

// gatewayLines returns the lines of the gateway's log that contain a text.
func (w *world) gatewayLines(text string) []string {
	raw, err := os.ReadFile(filepath.Join(w.dir, "gateway.log"))
	if err != nil {
		return nil
	}
	var lines []string
	for line := range strings.Lines(string(raw)) {
		if strings.Contains(line, text) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}

// stop ends all processes that the case started.
func (w *world) stop() {
	for _, e := range w.processes {
		e.kill()
	}
	if w.gateway != nil && w.gateway.Process != nil {
		_ = w.gateway.Process.Signal(syscall.SIGKILL)
		_ = w.gateway.Wait()
	}
	if w.platform != nil {
		_ = w.platform.Close()
	}
	_ = os.RemoveAll(w.dir)
}
