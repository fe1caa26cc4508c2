// Package usage measures what this process uses of its host.
package usage

import (
	"os"
	"runtime/metrics"
	"time"

	"golang.org/x/sys/unix"
)

// Memory returns the memory that the Go runtime has from the operating system, in bytes.
func Memory() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64()) - int64(samples[1].Value.Uint64())
}

// Processor returns the processor time that the process has used since its start, in seconds, 0 if it is
// unknown.
func Processor() float64 {
	var used unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &used); err != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano()).Seconds()
}

// Files returns the number of open file descriptors, 0 if it is unknown.
func Files() int64 {
	folder, err := os.Open("/proc/self/fd")
	if err != nil {
		return 0
	}
	defer func() { _ = folder.Close() }()
	names, err := folder.Readdirnames(0)
	if err != nil {
		return 0
	}
	return int64(len(names))
}
