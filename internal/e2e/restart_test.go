package e2e_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a refusal when a model engine restarts in the middle of a
// stream. It has lost the stream and answers 404 when the agent tries to resume
// it. This must not count as an error of the request: the caller must get the
// complete answer from another engine.
func TestEngineRestartsInMidStream(t *testing.T) {
	system := startSystem(t, slowEngines())
	lines := openStream(t.Context(), t, system, 25)
	restarted := 0
	for _, place := range system.Places {
		if place.Engine != nil && place.Slots().State().Running > 0 {
			place.Slots().Restart()
			restarted++
		}
	}
	assert.Equal(t, restarted, 1)
	text, output := readStream(t, lines)
	assert.Assert(t, strings.HasSuffix(output, "end=25"), "%q %q", text, output)
	assert.Equal(t, text, output)
}
