package mesh

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/link/wire"
)

// Guards against a watcher taken for cut off from the store because of a kind that is read rarely.
func TestKindsThatAreReadRarelyDontMakeAWatcherStale(t *testing.T) {
	seen := []wire.Seen{{Kind: "config", Age: 500}, {Kind: "quarantines", Age: 9000, Rare: true}}
	assert.Assert(t, !isStale(seen, 1800))
	seen[0].Age = 2000
	assert.Assert(t, isStale(seen, 1800))
}
