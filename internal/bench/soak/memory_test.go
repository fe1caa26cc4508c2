package soak

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/platform/stand"
)

// startHosts starts a shell script as the process of each of the first hosts of a run with quotas. Nothing but the test
// listens on the ports of the processes and of their store.
func startHosts(t *testing.T, script string, count int) *run {
	t.Helper()
	program := filepath.Join(t.TempDir(), "program")
	assert.NilError(t, os.WriteFile(program, []byte("#!/bin/sh\n"+script+"\n"), 0o700))
	deployment, err := stand.New(config(0))
	assert.NilError(t, err)
	deployment.Address, err = freeAddress()
	assert.NilError(t, err)
	r := &run{
		Options:    Options{Quotas: true, Program: program, Folder: t.TempDir(), Out: io.Discard},
		deployment: deployment, client: stand.NewClient(deployment.Ledger),
	}
	t.Cleanup(r.close)
	for i := range count {
		assert.NilError(t, r.addGateway(i))
	}
	return r
}

// Guards against processes that go on with more memory than their host has, and are unlike those of the users.
func TestProcessesThatExceedTheMemoryOfTheirHostAreKilled(t *testing.T) {
	r := startHosts(t, "exec sleep 60", 2)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { r.enforceMemory(ctx, r.processes[0], hostSize{memoryMb: 0.01}) })
	group.Go(func() { r.enforceMemory(ctx, r.processes[1], hostSizes[0]) })
	for end := time.Now().Add(startLimit); len(r.processes[0].history()) < 3 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	cancel()
	group.Wait()
	killed := 0
	for _, one := range r.processes[0].history() {
		if one.failed != nil && strings.Contains(one.failed.Error(), syscall.SIGKILL.String()) {
			killed++
		}
	}
	assert.Assert(t, killed >= 2, "%d killed in %v", killed, startLimit)
	assert.Assert(t, len(r.violations) >= killed && len(r.violations) <= len(r.processes[0].history()), "%d killed: %q", killed, r.violations)
	assert.Equal(t, len(r.processes[1].history()), 1)
	used := r.uses[hostSizes[0]]
	assert.Assert(t, used.memoryMb > 0 && used.memoryMb < hostSizes[0].memoryMb && used.fds > 0, "%+v", used)
}
