package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process is one gateway as a program of its own, started again when it ends.
type process struct {
	name    string
	program string
	folder  string
	ports   ports
	storeAt string
	// grace is how long after SIGTERM the process is killed.
	grace time.Duration

	mu      sync.Mutex
	command *exec.Cmd
	lives   []*life
	exited  chan struct{}
	stopped bool
}

// life is a process from one start to its end.
type life struct {
	began time.Time
	// terminated is when it got its first SIGTERM; both are zero before they happen.
	terminated, ended time.Time
	// failed is how it ended, nil for exit code 0.
	failed error
}

// ports are the addresses of one gateway; sessions and callers are reached
// through proxies.
type ports struct {
	callers, ready, sessions, operators string
}

// Ports are drawn below the range that the kernel uses for outgoing
// connections: one from that range may be taken by anybody between its choice
// and the start of the process that shall listen on it.
const (
	firstPort = 12_000
	lastPort  = 30_000
	portTries = 200
)

// freeAddress returns an address on loopback where nobody listens.
func freeAddress() (string, error) {
	var last error
	for range portTries {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			last = err
			continue
		}
		return address, listener.Close()
	}
	return "", last
}

func newPorts() (ports, error) {
	var p ports
	for _, address := range []*string{&p.callers, &p.ready, &p.sessions, &p.operators} {
		free, err := freeAddress()
		if err != nil {
			return p, err
		}
		*address = free
	}
	return p, nil
}

func (p *process) settingsFile() string { return filepath.Join(p.folder, p.name+".json") }

// writeSettings writes the settings file; generation changes its content.
func (p *process) writeSettings(zone string, generation int) error {
	raw, err := json.Marshal(map[string]any{
		"process": p.name, "availabilityZone": zone, "platformUrl": "http://" + p.storeAt,
		"callers": p.ports.callers, "ready": p.ports.ready, "sessions": p.ports.sessions, "operators": p.ports.operators,
		"graceSeconds": p.grace.Seconds(), "balancerLagMs": balancerLag.Milliseconds(), "extraSpare": 40 + generation%2,
		"coldShare": 1.5, "coldSpare": 5, "rollouts": true, "rolloutShare": rolloutShare, "rolloutSpare": rolloutSpare,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(p.settingsFile(), raw, 0o600)
}

// start runs the program and starts it again after each end until stop.
func (p *process) start() error {
	log, err := os.OpenFile(p.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(p.program, "gateway", "--config", p.settingsFile())
	command.Stdout, command.Stderr = log, log
	exited := make(chan struct{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return log.Close() // the run ended while the process was away
	}
	if err := command.Start(); err != nil {
		return err
	}
	p.command, p.exited = command, exited
	current := &life{began: time.Now()}
	p.lives = append(p.lives, current)
	go func() {
		defer close(exited)
		failed := command.Wait()
		_ = log.Close()
		p.mu.Lock()
		current.ended, current.failed = time.Now(), failed
		again := !p.stopped
		p.mu.Unlock()
		if again {
			time.Sleep(restartPause)
			if err := p.start(); err != nil {
				_, _ = fmt.Fprintln(os.Stderr, "soak:", err)
			}
		}
	}()
	return nil
}

func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.lives[len(p.lives)-1]
	if signal == syscall.SIGTERM && current.terminated.IsZero() && current.ended.IsZero() {
		current.terminated = time.Now()
	}
	_ = p.command.Process.Signal(signal) // one that has just ended needs none
}

// currentLife is the last one that began.
func (p *process) currentLife() *life {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lives[len(p.lives)-1]
}

// history returns the lives so far.
func (p *process) history() []life {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]life, 0, len(p.lives))
	for _, l := range p.lives {
		all = append(all, *l)
	}
	return all
}

// terminatedAt returns when a life got SIGTERM, zero if it didn't.
func (p *process) terminatedAt(l *life) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return l.terminated
}

func (p *process) logFile() string { return filepath.Join(p.folder, p.name+".log") }

// stop ends the program for good.
func (p *process) stop() {
	p.mu.Lock()
	p.stopped = true
	exited := p.exited
	_ = p.command.Process.Signal(syscall.SIGCONT)
	_ = p.command.Process.Kill()
	p.mu.Unlock()
	<-exited
}

// ready asks the process as a balancer does.
func (p *process) ready(path string) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + p.ports.ready + path)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
