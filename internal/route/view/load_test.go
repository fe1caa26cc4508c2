package view_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/route/view"
)

// An engine reads a prompt of 24,000 tokens. Until its first event all of it
// would count as waiting, though most has been read, and other requests would be
// sent elsewhere and have their beginnings read again there.
func TestPromptThatIsBeingReadCountsLessAndLess(t *testing.T) {
	var l view.Load
	l.AddPrompt(24_000, 60, 1000)
	assert.Equal(t, l.PendingPrefill(60, 1000), int64(24_000))
	assert.Equal(t, l.PendingPrefill(60, 1200), int64(12_000))
	l.AddPrompt(6000, 60, 1200)
	assert.Equal(t, l.PendingPrefill(60, 1200), int64(18_000))
	assert.Equal(t, l.PendingPrefill(60, 1600), int64(0), "it is late, but soon read")
	l.Prefill.Add(-24_000)
	assert.Equal(t, l.PendingPrefill(60, 1200), int64(6000), "its first event is there")
}

// Peers' prompts are read first, where they were sent before.
func TestPromptWaitsBehindThoseOfPeers(t *testing.T) {
	var l view.Load
	l.PeerPrefill.Store(6000)
	l.AddPrompt(6000, 60, 1000)
	assert.Equal(t, l.PendingPrefill(60, 1100), int64(6000))
	assert.Equal(t, l.PendingPrefill(60, 1150), int64(3000))
}
