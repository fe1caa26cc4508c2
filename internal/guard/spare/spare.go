// Package spare decides whether a gateway's host has memory, file descriptors and bandwidth
// for another request. It handles the load of more requests than a small host can serve: a
// request that is accepted without them fails later, or makes the requests of others fail.
// The package does no I/O.
package spare

import (
	"fmt"
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// Resource is a resource of the host.
type Resource string

// Resources of the host.
const (
	Memory Resource = "memory"
	Files  Resource = "fileDescriptors"
	Link   Resource = "link"
)

const (
	// memoryShare is the share of the memory that the Go runtime may use. It is above the
	// soft limit that the daemon sets (0.6): the runtime exceeds that only if collecting
	// garbage frees no more memory. Buffers of the kernel need the rest up to 0.8.
	memoryShare = 0.65
	// filesShare is the share of the file descriptors up to which requests are accepted.
	// Files, sessions with peers and calls to the store need the rest.
	filesShare = 0.9
	// linkShare is the share of the link's bandwidth that events may use.
	linkShare = 0.9
	// sampleSpan is the longest time between two samples of what is used.
	sampleSpan = 100 * clock.Millis(1)
	// Retry times. A slow reader is cut after two seconds, an endpoint closes idle
	// connections after a second and a half, and the bandwidth is that of the last second.
	memoryRetry = 2 * clock.Second
	filesRetry  = 1500 * clock.Millis(1)
	linkRetry   = clock.Second
)

// Limits are the resources of the host; 0 means no limit.
type Limits struct {
	// Memory is in bytes.
	Memory, Files int64
}

// Usage is what the process uses.
type Usage struct {
	// Memory is what the Go runtime uses in bytes.
	Memory, Files int64
	// Link is the share of the link's bandwidth that events use.
	Link float64
	// ReadersFull is set if the data that is held for slow readers leaves no room for
	// another caller.
	ReadersFull bool
}

// Lack is the resource that is lacking, and after what time it will be available.
type Lack struct {
	Resource   Resource
	Usage      Usage
	RetryAfter clock.Millis
}

// String returns the resource and what is used, for logs.
func (l *Lack) String() string {
	return fmt.Sprintf("the host lacks %s: %d MB, %d file descriptors and %.0f%% of the link are in use, readers full: %t",
		l.Resource, l.Usage.Memory>>20, l.Usage.Files, 100*l.Usage.Link, l.Usage.ReadersFull)
}

// Book samples what the process uses.
type Book struct {
	limits     Limits
	sampleFunc func() Usage

	mu        sync.Mutex
	sampled   bool
	sampledAt clock.Millis
	usage     Usage
}

// New returns a book. The function returns what the process uses now.
func New(limits Limits, sample func() Usage) *Book { return &Book{limits: limits, sampleFunc: sample} }

// Check returns what another request lacks, nil if nothing. A nil Book has no limits.
func (b *Book) Check(now clock.Millis) *Lack {
	if b == nil {
		return nil
	}
	u := b.current(now)
	switch {
	case u.ReadersFull || exceeds(u.Memory, b.limits.Memory, memoryShare):
		return &Lack{Resource: Memory, Usage: u, RetryAfter: memoryRetry}
	case exceeds(u.Files, b.limits.Files, filesShare):
		return &Lack{Resource: Files, Usage: u, RetryAfter: filesRetry}
	case u.Link > linkShare:
		return &Lack{Resource: Link, Usage: u, RetryAfter: linkRetry}
	}
	return nil
}

// current returns a sample that is at most sampleSpan old.
func (b *Book) current(now clock.Millis) Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.sampled || now-b.sampledAt >= sampleSpan {
		b.usage, b.sampledAt, b.sampled = b.sampleFunc(), now, true
	}
	return b.usage
}

func exceeds(used, limit int64, share float64) bool {
	return limit > 0 && float64(used) > share*float64(limit)
}
