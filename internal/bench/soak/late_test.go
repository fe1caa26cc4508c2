package soak

import (
	"context"
	"io"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/platform/stand"
)

// Guards against requests that get no answer because the process got no processor time
// when SIGTERM arrived: it started its grace period late and was killed before its end.
func TestStopOfPausedProcessEndsWithinItsGrace(t *testing.T) {
	const long, late = 8 * time.Second, 900 * time.Millisecond
	path := filepath.Join(t.TempDir(), "jujubed")
	out, err := exec.Command("go", "build", "-o", path, "../../../cmd/jujubed").CombinedOutput()
	assert.NilError(t, err, string(out))
	r, err := newRun(Options{Program: path, Folder: t.TempDir(), Gateways: 1, Out: io.Discard})
	assert.NilError(t, err)
	defer r.close()
	assert.NilError(t, r.awaitReady(t.Context()))
	p := r.processes[0]
	p.grace = long
	assert.NilError(t, p.writeSettings(zones[0], 0))
	p.signal(syscall.SIGKILL) // the restart loads the longer grace period
	time.Sleep(2 * restartPause)
	assert.NilError(t, r.awaitReady(t.Context()))

	r.deployment.Config.Routes[0].TimeoutMs = 20_000
	r.deployment.Publish()
	for _, e := range r.deployment.Engines("orders") {
		e.SetFault(stand.Fault{Every: 1, Hang: true})
	}
	time.Sleep(500 * time.Millisecond) // until the configuration is in force
	s := requests[0]()
	s.DeadlineMs = 20_000
	got := make(chan stand.Outcome, 1)
	go func() { got <- r.client.Do(context.Background(), p.ports.callers, s) }()
	time.Sleep(300 * time.Millisecond) // until the request is at its engine

	stopping := p.currentIncarnation()
	p.signal(syscall.SIGSTOP)
	p.signal(syscall.SIGTERM)
	time.Sleep(late)
	p.signal(syscall.SIGCONT)
	time.Sleep(time.Until(stopping.terminated.Add(long)))
	p.signal(syscall.SIGKILL)
	answer := <-got
	assert.Equal(t, answer.Status, 502, "%+v", answer)
	for _, incarnation := range p.history() {
		if incarnation.terminated.IsZero() {
			continue
		}
		assert.Assert(t, !incarnation.ended.IsZero() && incarnation.failed == nil, "ended with %v, %v after SIGTERM", incarnation.failed, incarnation.ended.Sub(incarnation.terminated))
	}
}

// Guards against a planned stop that a reload of the settings cuts off, so that its requests get no answer.
func TestReloadDoesNotEndAPlannedStop(t *testing.T) {
	path := filepath.Join(t.TempDir(), "jujubed")
	out, err := exec.Command("go", "build", "-o", path, "../../../cmd/jujubed").CombinedOutput()
	assert.NilError(t, err, string(out))
	r, err := newRun(Options{Program: path, Folder: t.TempDir(), Gateways: 6, Out: io.Discard})
	assert.NilError(t, err)
	defer r.close()
	assert.NilError(t, r.awaitReady(t.Context()))
	var group sync.WaitGroup
	for _, p := range r.processes {
		slow, stopQuota := context.WithCancel(t.Context())
		group.Go(func() { enforceQuota(slow, p, 0.02) })
		group.Go(func() {
			defer stopQuota()
			p.signal(syscall.SIGTERM)
			for end := time.Now().Add(3 * grace); time.Now().Before(end) && p.history()[0].ended.IsZero(); time.Sleep(100 * time.Microsecond) {
				p.signal(syscall.SIGHUP)
			}
		})
	}
	group.Wait()
	for _, p := range r.processes {
		first := p.history()[0]
		assert.Assert(t, !first.ended.IsZero() && first.failed == nil, "%s ended with %v", p.name, first.failed)
	}
}
