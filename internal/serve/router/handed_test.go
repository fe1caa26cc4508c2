package router

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/serve/host"
)

func TestDeliveredResultsAreRecordedPerPeer(t *testing.T) {
	var d deliveredResults
	request := &wire.Pieces{Pool: "encode", Bytes: 10}
	outcome := func(reference string) host.Outcome {
		return host.Outcome{References: []string{reference}, Endpoints: []string{"e1"}}
	}
	d.add("b", request, outcome("old"), 1000)
	d.add("b", request, outcome("new"), 5000)
	d.add("b", request, host.Outcome{Reason: fault.Overloaded}, 5000)
	d.add("c", request, outcome("other"), 5000)
	got := d.remove("b", 1000+deliveredMaxAge+1)
	assert.Equal(t, len(got), 1, "engines have dropped the older results")
	assert.DeepEqual(t, got[0], &wire.Unused{Pool: "encode", References: []string{"new"}, Endpoints: []string{"e1"}, Bytes: []int64{10}})
	assert.Equal(t, len(d.remove("b", 6000)), 0)
	assert.Equal(t, len(d.remove("c", 6000)), 1)
}

// Guards against memory that grows without bound when a peer requests thousands of
// results a second and is never restarted.
func TestDeliveredResultsOfAPeerAreBounded(t *testing.T) {
	var d deliveredResults
	outcome := host.Outcome{References: []string{"r"}, Endpoints: []string{"e1"}}
	for range 3 * maxDeliveredPerPeer {
		d.add("b", &wire.Pieces{Pool: "encode"}, outcome, clock.Millis(1000))
	}
	assert.Assert(t, len(d.remove("b", 1000)) <= maxDeliveredPerPeer+1)
}
