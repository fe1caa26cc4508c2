package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

const (
	// memoryPoll is the pause between two looks at the memory of a process.
	memoryPoll = 250 * time.Millisecond
	// megabyte is the unit of memoryMb in the settings of a process.
	megabyte = 1 << 20
)

// hostUse is the highest use of memory in megabytes, and of file descriptors, among the hosts of one size.
type hostUse struct {
	memoryMb float64
	fds      int
}

// enforceMemory kills a process whose resident memory exceeds that of its host, as a real host does, and reports it
// once for each run of the process.
func (r *run) enforceMemory(ctx context.Context, p *process, size hostSize) {
	var last *incarnation
	for ctx.Err() == nil {
		pause(ctx, memoryPoll)
		used, exceeding, err := p.limitMemory(size.memoryMb)
		if err != nil {
			continue // the process has just exited
		}
		r.recordUse(size, used)
		if exceeding != nil && exceeding != last {
			last = exceeding
			r.addViolation("%s is killed %v after its start: its resident memory is %.1f MB, its host has %v MB",
				p.name, time.Since(exceeding.began).Round(time.Millisecond), used.memoryMb, size.memoryMb)
		}
	}
}

// limitMemory returns what the process uses of its host. If its resident memory exceeds a limit, limitMemory kills the
// process and returns the incarnation.
func (p *process) limitMemory(limitMb float64) (used hostUse, exceeding *incarnation, err error) {
	p.mu.Lock() // the process that is killed is the one that was measured
	defer p.mu.Unlock()
	folder := filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid))
	if used.memoryMb, err = residentMemory(filepath.Join(folder, "statm")); err != nil {
		return used, nil, err
	}
	if used.fds, err = countEntries(filepath.Join(folder, "fd")); err != nil {
		return used, nil, err
	}
	if used.memoryMb <= limitMb {
		return used, nil, nil
	}
	_ = p.command.Process.Kill() // fails if the process has just exited
	return used, p.incarnations[len(p.incarnations)-1], nil
}

// residentMemory returns the resident memory in megabytes that a statm file of proc(5) states.
func residentMemory(file string) (float64, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return 0, err
	}
	const residentField = 1
	fields := strings.Fields(string(raw))
	if len(fields) <= residentField {
		return 0, fmt.Errorf("%s has %d fields: %q", file, len(fields), raw)
	}
	pages, err := strconv.ParseInt(fields[residentField], 10, 64)
	return float64(pages) * float64(os.Getpagesize()) / megabyte, err
}

// countEntries returns the number of entries of a folder.
func countEntries(folder string) (int, error) {
	opened, err := os.Open(folder)
	if err != nil {
		return 0, err
	}
	defer func() { _ = opened.Close() }()
	names, err := opened.Readdirnames(0)
	return len(names), err
}

func (r *run) recordUse(size hostSize, used hostUse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.uses == nil {
		r.uses = make(map[hostSize]hostUse)
	}
	highest := r.uses[size]
	r.uses[size] = hostUse{memoryMb: max(highest.memoryMb, used.memoryMb), fds: max(highest.fds, used.fds)}
}

// describeUses describes the highest uses of the hosts by their sizes in one line.
func (r *run) describeUses() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []string
	for _, size := range hostSizes {
		if used, measured := r.uses[size]; measured {
			all = append(all, fmt.Sprintf("with %v of a processor at most %.1f of %v MB, %d of %d descriptors",
				size.share, used.memoryMb, size.memoryMb, used.fds, size.maxFds))
		}
	}
	return strings.Join(all, "; ")
}
