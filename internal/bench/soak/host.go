package soak

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"

	"golang.org/x/sys/unix"

	"github.com/jujubescale/jujubescale/internal/stand/netw"
)

// hostSize is what a host gives to a process. The process is told all of it in its settings, and the soak enforces it.
type hostSize struct {
	// share is the share of a processor, linkMbps the bandwidth of each direction in megabits per second, memoryMb the
	// memory in megabytes and maxFds the number of file descriptors.
	share, linkMbps, memoryMb float64
	maxFds                    int
	// hosts is the number of hosts of this size among sizedHosts.
	hosts int
}

var hostSizes = []hostSize{
	{share: 0.109, linkMbps: 10, memoryMb: 144, maxFds: 3075, hosts: 12},
	{share: 0.352, linkMbps: 25, memoryMb: 424, maxFds: 10250, hosts: 4},
	{share: 0.8, linkMbps: 200, memoryMb: 536, maxFds: 8192, hosts: 6},
}

// sizedHosts is the number of hosts in hostSizes.
const sizedHosts = 22

// sizeOf returns the size of the host of a process. Neighbours differ, so that few processes have hosts of all
// sizes, too.
func sizeOf(number int) hostSize {
	number = number * 5 % sizedHosts
	for _, size := range hostSizes {
		if number < size.hosts {
			return size
		}
		number -= size.hosts
	}
	return hostSizes[0]
}

// attachHost makes the proxies of a process use the link of a host of this size, which it returns. A session uses the
// links of both hosts.
func (r *run) attachHost(size *hostSize, callers, store, sessions *Proxy) *netw.Link {
	link := netw.NewLink(size.linkMbps * 1e6 / 8)
	callers.SetLink(link)
	store.SetClientLink(func(net.Conn) *netw.Link { return link })
	sessions.SetLink(link)
	sessions.SetClientLink(r.linkOfDialer)
	return link
}

// settings returns what a process on a host of this size is told.
func (s *hostSize) settings() hostSettings {
	return hostSettings{
		linkMbps: s.linkMbps, memoryMb: s.memoryMb, maxFds: s.maxFds, processorShare: s.share,
		env: []string{"GOMAXPROCS=1"}, // each of these hosts has one processor
	}
}

// limitFiles sets the maximum number of file descriptors of a process that has just started. 0 leaves it as it is.
func limitFiles(pid, maxFds int) error {
	if maxFds == 0 {
		return nil
	}
	limit := unix.Rlimit{Cur: uint64(maxFds), Max: uint64(maxFds)}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil && !errors.Is(err, unix.ESRCH) { // it may have exited
		return fmt.Errorf("limit of %d file descriptors for process %d: %w", maxFds, pid, err)
	}
	return nil
}

// firstHost returns the settings of the first gateway, whose callers use a link of its own if there is one.
func (r *run) firstHost(callers *Proxy) hostSettings {
	if r.firstHostSize != nil {
		settings, link := r.firstHostSize.hostOf()
		if link != nil {
			callers.SetLink(link)
		}
		return settings
	}
	settings := hostSettings{linkMbps: linkMbps, maxFds: r.firstFds, env: r.firstEnv}
	if r.firstLink != nil {
		callers.SetLink(r.firstLink)
		settings.linkMbps = r.firstLinkMbps
	}
	return settings
}

// linkOfDialer returns the link of the process that has opened a connection, nil if none of them has or its host has
// no link.
func (r *run) linkOfDialer(accepted net.Conn) *netw.Link {
	dialer, isTCP := accepted.RemoteAddr().(*net.TCPAddr)
	listener, _ := accepted.LocalAddr().(*net.TCPAddr)
	if !isTCP {
		return nil
	}
	socket, err := socketOf(dialer.Port, listener.Port)
	if err != nil {
		return nil
	}
	for _, p := range r.running() {
		if p.hasSocket(socket) {
			return p.link
		}
	}
	return nil
}

// running returns the processes that were started so far.
func (r *run) running() []*process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.processes)
}

// hasSocket reports whether the process has a socket open.
func (p *process) hasSocket(socket string) bool {
	p.mu.Lock()
	folder := filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid), "fd")
	p.mu.Unlock()
	entries, err := os.ReadDir(folder)
	if err != nil {
		return false // the process has just exited
	}
	return slices.ContainsFunc(entries, func(entry os.DirEntry) bool {
		target, err := os.Readlink(filepath.Join(folder, entry.Name()))
		return err == nil && target == socket
	})
}
