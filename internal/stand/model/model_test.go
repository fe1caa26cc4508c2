package model_test

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/stand/model"
)

// Two actors increment a number with a separate read and write. The model must
// find the interleaving that loses an update and the one that does not.
func TestFindsTheLostUpdate(t *testing.T) {
	results := make(map[int]bool)
	result := model.Explore(t, 100, func(w *model.World) {
		number := 0
		w.State(func() string { return strconv.Itoa(number) })
		for _, name := range []string{"a", "b"} {
			w.Go(name, func(a *model.Actor) {
				a.Step("read")
				read := number
				a.Note(strconv.Itoa(read))
				a.Step("write")
				number = read + 1
			})
		}
		w.Run()
		if !w.Pruned {
			results[number] = true
		}
	})
	t.Logf("%+v", result)
	assert.Assert(t, results[1] && results[2])
	assert.Equal(t, len(results), 2)
}

func TestEventsAndChoices(t *testing.T) {
	outcomes := make(map[string]bool)
	model.Explore(t, 100, func(w *model.World) {
		ticks := 0
		w.State(func() string { return strconv.Itoa(ticks) })
		w.Event("tick", func() bool { return ticks < 2 }, func() { ticks++ })
		w.Go("a", func(a *model.Actor) {
			a.Wait("tick", func() bool { return ticks > 0 })
			outcomes[strconv.Itoa(ticks)+strconv.Itoa(a.Choose(2))] = true
		})
		w.Run()
	})
	assert.Equal(t, len(outcomes), 4, "%v", outcomes)
}
