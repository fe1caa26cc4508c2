package view_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/route/view"
)

// Guards against counting a long prompt in full until its first event, although the
// engine has read most of it. Other requests would be sent elsewhere, and their shared
// prefixes read again there.
func TestPendingPrefillShrinksWhileAPromptIsRead(t *testing.T) {
	var l view.Load
	l.AddPrompt(24_000, 60, 1000)
	assert.Equal(t, l.PendingPrefill(60, 1000), int64(24_000))
	assert.Equal(t, l.PendingPrefill(60, 1200), int64(12_000))
	l.AddPrompt(6000, 60, 1200)
	assert.Equal(t, l.PendingPrefill(60, 1200), int64(18_000))
	assert.Equal(t, l.PendingPrefill(60, 1600), int64(0), "an overdue prompt counts as read")
	l.Prefill.Add(-24_000)
	assert.Equal(t, l.PendingPrefill(60, 1200), int64(6000), "the first event of the first prompt has arrived")
}

// Prompts that peers sent earlier are read first.
func TestPendingPrefillStartsAfterPromptsOfPeers(t *testing.T) {
	var l view.Load
	l.PeerPrefill.Store(6000)
	l.AddPrompt(6000, 60, 1000)
	assert.Equal(t, l.PendingPrefill(60, 1100), int64(6000))
	assert.Equal(t, l.PendingPrefill(60, 1150), int64(3000))
}
