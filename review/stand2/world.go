// Command stand2 plays the scripted cases of a review: it starts gateways as separate
// processes beside a stand-in platform and stand-in engines, sends requests as a client
// does, and checks one rule.
package main

import (
	"bufio"
	"context"
	"encoding/json"
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

// program is the program that the deploy file builds and places.
const program = "target/jujubed"

const (
	startTimeout = 10 * time.Second
	pollPause    = 20 * time.Millisecond
	// grace is the time from SIGTERM to SIGKILL.
	grace = 8 * time.Second
)

// world is a small deployment: a platform, its engines and some gateways.
type world struct {
	*stand.Deployment
	folder   string
	gateways []*gateway
	// rollouts is set for a site whose operators order rollouts.
	rollouts bool

	mu     sync.Mutex
	record *os.File
	began  time.Time
}

// gateway is one process of the system.
type gateway struct {
	name                      string
	callers, ready, sessions  string
	metrics, operators, store string
	zone                      string
	rollouts                  bool
	command                   *exec.Cmd
	ended                     context.Context // done once the process has ended
	output                    *os.File
}

// newWorld starts a platform. The record of the run goes to a file.
func newWorld(config stand.Config, record string) (*world, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Clean(record))
	if err != nil {
		return nil, err
	}
	deployment, err := stand.New(config)
	if err != nil {
		return nil, err
	}
	return &world{Deployment: deployment, folder: folder, record: file, began: time.Now()}, nil
}

// logf writes one line to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// freeAddress returns a free address on the loopback interface.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// addGateway prepares and starts a gateway.
func (w *world) addGateway(name, zone string) (*gateway, error) {
	g := &gateway{name: name, zone: zone, store: w.Address, rollouts: w.rollouts}
	for _, address := range []*string{&g.callers, &g.ready, &g.sessions, &g.metrics, &g.operators} {
		var err error
		if *address, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	output, err := os.Create(filepath.Join(w.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	g.output = output
	w.gateways = append(w.gateways, g)
	return g, w.start(g)
}

// settings are the settings that the platform fills in for a front machine of a small site.
func (g *gateway) settings() map[string]any {
	settings := map[string]any{
		"process": g.name, "availabilityZone": g.zone, "platformUrl": "http://" + g.store, "callers": g.callers, "ready": g.ready,
		"sessions": g.sessions, "metrics": g.metrics, "operators": g.operators, "allowPlain": true, "graceSeconds": int(grace.Seconds()),
		"memoryMb": 284, "processorShare": 0.304, "changeMs": 2000, "leaveMs": 2000, "maxFds": 4100, "linkMbps": 1000.0,
		"extraShare": 0.2, "extraSpare": 52, "extraWindowSeconds": 10, "coldShare": 1.5, "coldSpare": 5, "reuseCalls": true, "reuseSharedOnly": true,
	}
	if g.rollouts {
		settings["rollouts"], settings["rolloutShare"], settings["rolloutSpare"] = true, 0.1, 50
		settings["changeMs"], settings["leaveMs"], settings["extraSpare"] = 3000, 3000, 80
	}
	return settings
}

// start starts the process of a gateway.
func (w *world) start(g *gateway) error {
	raw, err := json.Marshal(g.settings())
	if err != nil {
		return err
	}
	file := filepath.Join(w.folder, g.name+".json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return err
	}
	g.command = exec.Command(program, "gateway") //nolint:gosec // the program of the deploy file
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.folder, protocol.Settings + "=" + file}
	g.command.Stdout, g.command.Stderr = g.output, g.output
	if err := g.command.Start(); err != nil {
		return err
	}
	ended, end := context.WithCancel(context.Background())
	g.ended = ended
	go func(command *exec.Cmd) {
		defer end()
		_ = command.Wait() // the cases kill their processes
	}(g.command)
	w.logf("%s started at %s", g.name, g.callers)
	return nil
}

// isReady asks a gateway as the balancer does.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + g.ready + protocol.Ready)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all gateways are ready.
func (w *world) awaitReady() error {
	until := time.Now().Add(startTimeout)
	for _, g := range w.gateways {
		for !g.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", g.name)
			}
			time.Sleep(pollPause)
		}
	}
	return nil
}

// close ends all processes.
func (w *world) close() {
	for _, g := range w.gateways {
		_ = g.command.Process.Kill() // it may have ended
		<-g.ended.Done()
		_ = g.output.Close()
	}
	w.Close()
	_ = w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	}
}

// answer is what a client got for one attempt.
type answer struct {
	status int // 0 if the connection ended without an answer
	header http.Header
	body   string
	err    error // the answer is not complete
}

// sendNew sends the bytes of a request on a new connection and reads the answer.
func sendNew(ctx context.Context, address, text string) answer {
	dialer := net.Dialer{Timeout: time.Second}
	opened, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = opened.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = opened.Close() })
	defer stop()
	if _, err := io.WriteString(opened, text); err != nil {
		return answer{err: err}
	}
	return receive(bufio.NewReader(opened))
}

// receive reads one answer.
func receive(from *bufio.Reader) answer {
	response, err := http.ReadResponse(from, nil)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// requestText returns the bytes of a request.
func requestText(method, host, path, id string, deadline time.Duration, body string) string {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, host, protocol.Request, id, protocol.Deadline, deadline.Milliseconds())
	_, _ = fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return text.String()
}
