package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// Guards against a property of a host that its process is told and that is not enforced: the process makes other
// decisions than on a host that has it.
func TestHostsHaveTheSizesThatTheirProcessesAreTold(t *testing.T) {
	const hosts = 5 // of all three sizes
	r := startHosts(t, "exec sleep 60", hosts)
	told := make(map[hostSize]bool)
	for i, p := range r.processes {
		size := sizeOf(i)
		told[size] = true
		raw, err := os.ReadFile(p.settingsFile())
		assert.NilError(t, err)
		var settings struct {
			ProcessorShare, LinkMbps, MemoryMb float64
			MaxFds                             int
		}
		assert.NilError(t, json.Unmarshal(raw, &settings))
		assert.Equal(t, settings.ProcessorShare, size.share)
		assert.Equal(t, settings.LinkMbps, size.linkMbps)
		assert.Equal(t, settings.MemoryMb, size.memoryMb)
		assert.Equal(t, settings.MaxFds, size.maxFds)
		var files unix.Rlimit
		assert.NilError(t, unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_NOFILE, nil, &files))
		assert.Equal(t, files, unix.Rlimit{Cur: uint64(size.maxFds), Max: uint64(size.maxFds)})
	}
	assert.Equal(t, len(told), len(hostSizes))
}

// Guards against processes that are told a link and get the bandwidth of the loopback: versions of 750 KB arrive at
// once, and a process that reads them for others is never too slow.
func TestTransfersTakeTheTimeOfTheLinksOfTheirHosts(t *testing.T) {
	const (
		small, large = 0, 4 // gateways with 10 and 200 Mbit/s
		bytes        = 770_000
		least        = 600 * time.Millisecond // 616 ms with 10 Mbit/s
	)
	assert.Equal(t, sizeOf(small).linkMbps, 10.0)
	assert.Equal(t, sizeOf(large).linkMbps, 200.0)
	// The test opens the connections of the process named by opener, -1 for none of them.
	for name, link := range map[string]struct {
		opener int
		target func(*run) (proxy *Proxy, behind string)
	}{
		"callers of a slow host": {-1, func(r *run) (*Proxy, string) { return r.callers[small], r.processes[small].ports.callers }},
		"store of a slow host":   {-1, func(r *run) (*Proxy, string) { return r.stores[small], r.deployment.Address }},
		"session to a slow host": {large, func(r *run) (*Proxy, string) { return r.sessionsOf(small), r.processes[small].ports.sessions }},
		"session of a slow host": {small, func(r *run) (*Proxy, string) { return r.sessionsOf(large), r.processes[large].ports.sessions }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := startHosts(t, "exec sleep 60", large+1)
			if link.opener >= 0 {
				self, err := os.FindProcess(os.Getpid())
				assert.NilError(t, err)
				r.mu.Lock()
				r.processes = append(r.processes, &process{command: &exec.Cmd{Process: self}, link: r.processes[link.opener].link})
				r.mu.Unlock()
				defer func() { // the test doesn't end itself with the processes
					r.mu.Lock()
					r.processes = r.processes[:large+1]
					r.mu.Unlock()
				}()
			}
			proxy, behind := link.target(r)
			client, server := connectThrough(t, proxy, behind)
			var group sync.WaitGroup
			for direction, ends := range map[string][2]net.Conn{"to the target": {client, server}, "from the target": {server, client}} {
				group.Go(func() {
					took := transfer(t, ends[0], ends[1], bytes)
					t.Logf("%s: %v", direction, took)
					assert.Check(t, took >= least, "%s took %v", direction, took)
				})
			}
			group.Wait()
		})
	}
}

func (r *run) sessionsOf(number int) *Proxy {
	proxy, _ := r.sessions.Load(r.processes[number].name)
	return proxy.(*Proxy)
}

// connectThrough returns both ends of a connection through a proxy to an address on which the test listens.
func connectThrough(t *testing.T, proxy *Proxy, behind string) (client, server net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", behind)
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	client, err = net.Dial("tcp", proxy.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	server, err = listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	return client, server
}

// transfer returns the time until the receiver has all bytes that the sender writes.
func transfer(t *testing.T, from io.Writer, to io.Reader, bytes int64) time.Duration {
	began := time.Now()
	var group sync.WaitGroup
	group.Go(func() {
		_, err := from.Write(make([]byte, bytes))
		assert.Check(t, err)
	})
	_, err := io.CopyN(io.Discard, to, bytes)
	assert.Check(t, err)
	group.Wait()
	return time.Since(began)
}

// Guards against processes that get more processor time than their share, which they are told.
func TestProcessesGetTheProcessorTimeOfTheirHost(t *testing.T) {
	const during = 1500 * time.Millisecond
	r := startHosts(t, "while :; do :; done", 1)
	p, share := r.processes[0], sizeOf(0).share
	before, err := p.processorTime()
	assert.NilError(t, err)
	stop := r.startQuotas()
	began, stopped := time.Now(), false
	for time.Since(began) < during || !stopped && time.Since(began) < startLimit {
		stopped = stopped || isStopped(t, p)
		time.Sleep(time.Millisecond)
	}
	after, err := p.processorTime()
	took := time.Since(began)
	stop()
	assert.NilError(t, err)
	// On a busy machine the process may get no more than its share without a quota.
	assert.Assert(t, stopped, "the process was never stopped in %v", took)
	used := (after - before).Seconds() / took.Seconds()
	// A process that runs while the soak doesn't look pays for it in the periods that follow.
	assert.Assert(t, used > 0 && used < 2*share+0.2, "used %.3f of a processor, its share is %v", used, share)
}

// isStopped reports whether a signal has stopped the process, by its state in stat of proc(5).
func isStopped(t *testing.T, p *process) bool {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	assert.NilError(t, err)
	_, state, _ := strings.Cut(string(raw), ") ")
	return strings.HasPrefix(state, "T")
}
