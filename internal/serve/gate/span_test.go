package gate

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestFormatSpans(t *testing.T) {
	assert.Equal(t, formatSpans(nil), "")
	spans := []span{{stage: 0, duration: 266}, {stage: 1, start: 268, duration: 412, failed: true}}
	assert.Equal(t, formatSpans(spans), "0@0+266 1@268+412!")
}
