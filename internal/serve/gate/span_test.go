package gate

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestSpansAreSpelled(t *testing.T) {
	assert.Equal(t, spansText(nil), "")
	spans := []span{{stage: 0, took: 266}, {stage: 1, from: 268, took: 412, failed: true}}
	assert.Equal(t, spansText(spans), "0@0+266 1@268+412!")
}
