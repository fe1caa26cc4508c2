package resume_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/origin"
	"github.com/jujubescale/jujubescale/internal/serve/resume"
)

// Guards against an origin that its keepers drop because of an age below zero: the stream began
// between the moment at which the time of a message is read and the moment at which it is made.
func TestOriginsStateNoAgeBelowZero(t *testing.T) {
	o := &origin.Origin{Endpoint: "e", Version: "v1", BeganAt: 100, Until: 1000}
	assert.Equal(t, resume.Message(origin.Key{1}, o, 99).Age, clock.Millis(0))
}
