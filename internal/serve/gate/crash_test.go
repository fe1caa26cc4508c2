package gate

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/route/view"
	"github.com/jujubescale/jujubescale/internal/serve/target"
)

// Guards against connections that break taken for crashes, and crashes for broken connections.
func TestProbeTellsCrashesFromBrokenConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	endpoint := &target.Target{Endpoint: &view.Endpoint{ID: "e", Address: listener.Addr().String()}}
	assert.Assert(t, !probe(t.Context(), endpoint))
	assert.NilError(t, listener.Close())
	assert.Assert(t, probe(t.Context(), endpoint))
}
