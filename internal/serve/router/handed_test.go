package router

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/serve/host"
)

func TestWhatPeersWereHandedIsRemembered(t *testing.T) {
	var h handed
	asked := &wire.Pieces{Pool: "encode", Bytes: 10}
	over := func(reference string) host.Outcome {
		return host.Outcome{References: []string{reference}, Endpoints: []string{"e1"}}
	}
	h.add("b", asked, over("old"), 1000)
	h.add("b", asked, over("new"), 5000)
	h.add("b", asked, host.Outcome{Reason: fault.Overloaded}, 5000)
	h.add("c", asked, over("other"), 5000)
	got := h.take("b", 1000+handedFor+1)
	assert.Equal(t, len(got), 1, "engines have dropped the old one")
	assert.DeepEqual(t, got[0], &wire.Unused{Pool: "encode", References: []string{"new"}, Endpoints: []string{"e1"}, Bytes: []int64{10}})
	assert.Equal(t, len(h.take("b", 6000)), 0)
	assert.Equal(t, len(h.take("c", 6000)), 1)
}

// A peer asks for thousands of results a second and is never restarted.
func TestWhatIsRememberedOfAPeerIsBounded(t *testing.T) {
	var h handed
	outcome := host.Outcome{References: []string{"r"}, Endpoints: []string{"e1"}}
	for range 3 * mostHanded {
		h.add("b", &wire.Pieces{Pool: "encode"}, outcome, clock.Millis(1000))
	}
	assert.Assert(t, len(h.take("b", 1000)) <= mostHanded+1)
}
