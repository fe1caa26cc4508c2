package mesh_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/token"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/serve/mesh"
)

// Guards against a watcher that takes its own slow link for a store that it can't reach: it gives up the transfer under way and
// follows others, which may be as late, while all that follow it wait.
func TestWatcherThatReceivesAnAnswerIsNotCutOff(t *testing.T) {
	const maxAge = 1800
	for name, tt := range map[string]struct {
		age       clock.Millis
		receiving bool
		want      bool
	}{
		"fresh":             {age: 100},
		"late, receiving":   {age: 5000, receiving: true},
		"late, no answer":   {age: 5000, want: true},
		"fresh, receiving":  {age: 100, receiving: true},
		"unknown, no reply": {age: maxAge + 1, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			m := mesh.New(t.Context(), mesh.Member{Name: "a", Incarnation: token.NewIncarnation()}, mesh.WithFollower(mesh.Follower{
				ProgressFunc:  func() []wire.Progress { return []wire.Progress{{Kind: "config", Age: tt.age}} },
				ReceivingFunc: func() bool { return tt.receiving },
				DownFunc:      func() bool { return false },
				MaxWatcherAge: maxAge,
			}))
			assert.Equal(t, m.IsCutOff(100_000), tt.want)
		})
	}
}
