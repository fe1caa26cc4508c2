package graph_test

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/flow/graph"
)

// chain is a graph with one independent stage and three in a row.
var chain = []table.Stage{
	{Pool: "encode"},
	{Pool: "encode"},
	{Pool: "retrieve", After: []int{1}},
	{Pool: "rerank", After: []int{2}},
}

// start begins all stages that can run now.
func start(r *graph.Run) []int {
	ready := r.Ready()
	for _, stage := range ready {
		r.Begin(stage)
	}
	return ready
}

func ExampleRun() {
	run, _ := graph.New(chain, []int{1, 1, 2, 1})
	fmt.Println(start(run))
	run.Finish(0, []string{"host/a"})
	run.Finish(1, []string{"host/b"})
	fmt.Println(start(run), run.Inputs(2))
	run.Finish(2, []string{"host/c", "host/d"})
	fmt.Println(start(run), run.Inputs(3), run.ReleaseConsumed())
	run.Finish(3, []string{"host/e"})
	fmt.Println(run.Done(), run.FinalResults(), run.ReleaseConsumed())
	// Output:
	// [0 1]
	// [2] [host/b]
	// [3] [host/c host/d] [host/b]
	// true [host/a host/e] [host/c host/d]
}

func TestStageWithoutPiecesIsLeftOut(t *testing.T) {
	run, err := graph.New(chain, []int{0, 1, 1, 1})
	assert.NilError(t, err)
	assert.DeepEqual(t, start(run), []int{1})
	run, err = graph.New(chain[:1], []int{0})
	assert.NilError(t, err)
	assert.Assert(t, run.Done())
	assert.Equal(t, len(run.FinalResults()), 0)
}

// The maker of a result ends between two stages. Its reader can't go on, and
// without redoing what was lost the caller would get nothing at all.
func TestLostResultIsMadeAgain(t *testing.T) {
	run, err := graph.New(chain, []int{0, 1, 2, 1})
	assert.NilError(t, err)
	start(run)
	run.Finish(1, []string{"b"})
	start(run)
	assert.DeepEqual(t, run.ResetStage(2), []string{"b"})
	assert.DeepEqual(t, start(run), []int{1})
	run.Finish(1, []string{"b2"})
	assert.DeepEqual(t, start(run), []int{2})
	assert.DeepEqual(t, run.Inputs(2), []string{"b2"})
}

// A stage engine reads its inputs when a call begins, and works for a long time
// afterwards. Results that are kept until the call ends fill the memory of the
// engines before, whose calls then become small.
func TestInputsAreSpareOnceRead(t *testing.T) {
	run, err := graph.New(chain, []int{0, 1, 1, 1})
	assert.NilError(t, err)
	start(run)
	run.Finish(1, []string{"b"})
	start(run)
	assert.Equal(t, len(run.Reclaimable()), 0)
	run.MarkFetched(2)
	assert.DeepEqual(t, run.Reclaimable(), []string{"b"})
	assert.Equal(t, len(run.Reclaimable()), 0)
	// They are still there if the stage fails, unless their memory was used.
	assert.DeepEqual(t, run.Inputs(2), []string{"b"})
	run.Finish(2, []string{"c"})
	assert.DeepEqual(t, run.ReleaseConsumed(), []string{"b"})
}

func TestRestartGivesEverythingBack(t *testing.T) {
	run, err := graph.New(chain, []int{1, 1, 1, 1})
	assert.NilError(t, err)
	start(run)
	run.Finish(0, []string{"a"})
	run.Finish(1, []string{"b"})
	assert.DeepEqual(t, run.Restart(), []string{"a", "b"})
	assert.DeepEqual(t, start(run), []int{0, 1})
}

func TestShapesThatDoNotFitAreRefused(t *testing.T) {
	for _, tt := range []struct {
		stages []table.Stage
		pieces []int
	}{
		{chain, []int{1, 1}},
		{chain, []int{1, 1, 1, -1}},
		{chain, []int{1, 1, 1, 1 << 20}},
		{[]table.Stage{{After: []int{4}}}, []int{1}},
		{[]table.Stage{{After: []int{0}}}, []int{1}},
		{[]table.Stage{{After: []int{1}}, {After: []int{0}}}, []int{1, 1}},
	} {
		_, err := graph.New(tt.stages, tt.pieces)
		var shape *graph.ShapeError
		assert.Assert(t, errors.As(err, &shape), "%v", tt.pieces)
	}
}
