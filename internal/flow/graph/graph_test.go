package graph_test

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/flow/graph"
)

// chain is a graph with one independent stage and a chain of three.
var chain = []table.Stage{
	{Pool: "encode"},
	{Pool: "encode"},
	{Pool: "retrieve", After: []int{1}},
	{Pool: "rerank", After: []int{2}},
}

// beginReady starts all stages that can run.
func beginReady(r *graph.Run) []int {
	ready := r.Ready()
	for _, stage := range ready {
		r.Begin(stage)
	}
	return ready
}

func ExampleRun() {
	run, _ := graph.New(chain, []int{1, 1, 2, 1})
	fmt.Println(beginReady(run))
	run.Finish(0, []string{"host/a"})
	run.Finish(1, []string{"host/b"})
	fmt.Println(beginReady(run), run.Inputs(2))
	run.Finish(2, []string{"host/c", "host/d"})
	fmt.Println(beginReady(run), run.Inputs(3), run.ReleaseConsumed())
	run.Finish(3, []string{"host/e"})
	fmt.Println(run.Done(), run.FinalResults(), run.ReleaseConsumed())
	// Output:
	// [0 1]
	// [2] [host/b]
	// [3] [host/c host/d] [host/b]
	// true [host/a host/e] [host/c host/d]
}

func TestStageWithoutPiecesIsSkipped(t *testing.T) {
	run, err := graph.New(chain, []int{0, 1, 1, 1})
	assert.NilError(t, err)
	assert.DeepEqual(t, beginReady(run), []int{1})
	run, err = graph.New(chain[:1], []int{0})
	assert.NilError(t, err)
	assert.Assert(t, run.Done())
	assert.Equal(t, len(run.FinalResults()), 0)
}

// Guards against a request that fails because an engine stopped between two stages
// and its results were lost: the earlier stage has to run again.
func TestLostResultIsComputedAgain(t *testing.T) {
	run, err := graph.New(chain, []int{0, 1, 2, 1})
	assert.NilError(t, err)
	beginReady(run)
	run.Finish(1, []string{"b"})
	beginReady(run)
	assert.DeepEqual(t, run.ResetStage(2), []string{"b"})
	assert.DeepEqual(t, beginReady(run), []int{1})
	run.Finish(1, []string{"b2"})
	assert.DeepEqual(t, beginReady(run), []int{2})
	assert.DeepEqual(t, run.Inputs(2), []string{"b2"})
}

// Guards against results that stay in memory until a later stage is done, although
// its engine reads them when its call starts. The memory of the earlier engines
// would be full, and their batches would become small.
func TestInputsAreReclaimableOnceRead(t *testing.T) {
	run, err := graph.New(chain, []int{0, 1, 1, 1})
	assert.NilError(t, err)
	beginReady(run)
	run.Finish(1, []string{"b"})
	beginReady(run)
	assert.Equal(t, len(run.Reclaimable()), 0)
	run.MarkInputsRead(2)
	assert.DeepEqual(t, run.Reclaimable(), []string{"b"})
	assert.Equal(t, len(run.Reclaimable()), 0)
	// The run still holds them, in case the stage fails and they were not dropped.
	assert.DeepEqual(t, run.Inputs(2), []string{"b"})
	run.Finish(2, []string{"c"})
	assert.DeepEqual(t, run.ReleaseConsumed(), []string{"b"})
}

func TestRestartReturnsAllReferences(t *testing.T) {
	run, err := graph.New(chain, []int{1, 1, 1, 1})
	assert.NilError(t, err)
	beginReady(run)
	run.Finish(0, []string{"a"})
	run.Finish(1, []string{"b"})
	assert.DeepEqual(t, run.Restart(), []string{"a", "b"})
	assert.DeepEqual(t, beginReady(run), []int{0, 1})
}

func TestNewRejectsPiecesThatDoNotFitStages(t *testing.T) {
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
