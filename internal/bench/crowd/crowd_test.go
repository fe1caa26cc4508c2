// Package crowd_test plays callers that don't keep to the limits against real gateways.
package crowd_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/bench/soak"
)

const (
	callers   = 160
	bodyBytes = 1 << 20
	memoryMb  = 144
	maxFds    = 1024
	length    = 3 * time.Second
)

// Guards against processes that end, or refuse all other callers, because of many callers that send more than they may, or
// stop in the middle and stay.
func TestCrowdsEndNoProcess(t *testing.T) {
	if testing.Short() {
		t.Skip("short mode: each crowd takes 4 seconds")
	}
	program := build(t)
	limited := []soak.Crowd{soak.AnnouncedShort, soak.ChunkedShort, soak.TinyChunks, soak.AnswersUnread}
	for _, host := range []struct {
		name     string
		linkMbps float64
		crowds   []soak.Crowd
	}{
		{"1000 Mbps", 1000, soak.Crowds()},
		{"10 Mbps", 10, limited},
	} {
		for _, crowd := range host.crowds {
			t.Run(host.name+"/"+string(crowd), func(t *testing.T) { play(t, program, crowd, callers, host.linkMbps) })
		}
	}
}

// Guards against heads of many connections that use up the memory of a host.
func TestHeadsOfAllConnectionsFitTheMemory(t *testing.T) {
	if testing.Short() {
		t.Skip("short mode: each crowd takes 4 seconds")
	}
	const connections = 1500
	program := build(t)
	for _, crowd := range []soak.Crowd{soak.LargeHead, soak.LargeHalfHead} {
		t.Run(string(crowd), func(t *testing.T) {
			playWith(t, soak.CrowdOptions{Crowd: crowd, Callers: connections, LinkMbps: 1000, MaxFds: 2*connections + 75, Program: program})
		})
	}
}

// Guards against 400 callers on a narrow link whose bodies keep out all others: what the kernel takes of each new connection fills it.
func TestOrdinaryRequestsPassBesideACrowdThatFillsTheLink(t *testing.T) {
	if testing.Short() {
		t.Skip("short mode: the crowd takes 45 seconds")
	}
	play(t, build(t), soak.ChunkedShort, 400, 10)
}

// build builds jujubed and returns its path.
func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "jujubed")
	out, err := exec.Command("go", "build", "-o", program, "../../../cmd/jujubed").CombinedOutput()
	assert.NilError(t, err, string(out))
	return program
}

// play plays a crowd against a gateway with maxFds descriptors.
func play(t *testing.T, program string, crowd soak.Crowd, callers int, linkMbps float64) {
	t.Helper()
	playWith(t, soak.CrowdOptions{Crowd: crowd, Callers: callers, LinkMbps: linkMbps, MaxFds: maxFds, Program: program})
}

// playWith plays a crowd against a gateway on a host of memoryMb and checks what must hold.
func playWith(t *testing.T, options soak.CrowdOptions) {
	t.Helper()
	options.BodyBytes, options.MemoryMb, options.Length, options.Folder = bodyBytes, memoryMb, length, t.TempDir()
	report, err := soak.PlayCrowd(t.Context(), options)
	assert.NilError(t, err)
	t.Log(report)
	assert.Check(t, !report.Ended, "the process ended")
	assert.Check(t, report.MemoryMb <= memoryMb, "%.0f MB were used", report.MemoryMb)
	assert.Check(t, report.MaxFds <= options.MaxFds, "%d descriptors were open", report.MaxFds)
	assert.Check(t, report.AnsweredDuring > 0, "none of %d ordinary requests was answered beside the crowd", report.AskedDuring)
	assert.Check(t, report.AnsweredAfter > 0, "none of %d ordinary requests was answered after it", report.AskedAfter)
}
