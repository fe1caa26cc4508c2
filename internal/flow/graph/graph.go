// Package graph tracks the progress of one request through its stages. The
// stages form an acyclic graph: each may read the results of other stages, and
// the request sets the number of pieces of each. Results stay at the engine that
// computed them; only references to them are passed on.
package graph

import (
	"fmt"

	"github.com/jujubescale/jujubescale/internal/conf/table"
)

// maxPieces limits the pieces of one stage, so that one request can't fill the
// queues that all requests share.
const maxPieces = 4096

// ShapeError reports that a request's numbers of pieces don't fit the stages of
// its route, or that the stages don't form an acyclic graph.
type ShapeError struct {
	Stages int
	Pieces []int
}

// Error implements error.
func (e *ShapeError) Error() string {
	return fmt.Sprintf("pieces %v do not fit the %d stages of the route", e.Pieces, e.Stages)
}

type state uint8

const (
	pending state = iota
	running
	done
)

// Run is the progress of one request. It is not safe for concurrent use.
type Run struct {
	stages     []table.Stage
	pieces     []int
	states     []state
	results    [][]string
	hasReaders []bool // whether another stage reads the results of a stage
	inputsRead []bool // whether a stage has read its inputs
	reclaimed  []bool // whether Reclaimable has returned the results of a stage
}

// New returns the run of a request. pieces holds the number of pieces of each
// stage; a stage with 0 pieces is skipped. It returns a *ShapeError if pieces and
// stages don't fit.
func New(stages []table.Stage, pieces []int) (*Run, error) {
	if len(pieces) != len(stages) {
		return nil, &ShapeError{Stages: len(stages), Pieces: pieces}
	}
	r := &Run{
		stages: stages, pieces: pieces,
		states:     make([]state, len(stages)),
		results:    make([][]string, len(stages)),
		hasReaders: make([]bool, len(stages)),
		inputsRead: make([]bool, len(stages)),
		reclaimed:  make([]bool, len(stages)),
	}
	for i, stage := range stages {
		if pieces[i] < 0 || pieces[i] > maxPieces {
			return nil, &ShapeError{Stages: len(stages), Pieces: pieces}
		}
		if pieces[i] == 0 {
			r.states[i] = done
		}
		for _, before := range stage.After {
			if before < 0 || before >= len(stages) || before == i {
				return nil, &ShapeError{Stages: len(stages), Pieces: pieces}
			}
			r.hasReaders[before] = true
		}
	}
	for i := range stages {
		if r.dependsWithin(i, i, len(stages)) {
			return nil, &ShapeError{Stages: len(stages), Pieces: pieces}
		}
	}
	return r, nil
}

// dependsWithin reports whether a stage depends on another one through at most the
// given number of steps.
func (r *Run) dependsWithin(stage, other, steps int) bool {
	if steps == 0 {
		return false
	}
	for _, before := range r.stages[stage].After {
		if before == other || r.dependsWithin(before, other, steps-1) {
			return true
		}
	}
	return false
}

// DependsOn reports whether a stage reads another one's results, directly or
// through other stages.
func (r *Run) DependsOn(stage, other int) bool { return r.dependsWithin(stage, other, len(r.stages)) }

// Ready returns the stages that have not started and whose inputs are complete.
func (r *Run) Ready() []int {
	var ready []int
	for i := range r.stages {
		if r.states[i] == pending && r.inputsDone(i) {
			ready = append(ready, i)
		}
	}
	return ready
}

// Begin marks a stage as running.
func (r *Run) Begin(stage int) { r.states[stage] = running }

func (r *Run) inputsDone(stage int) bool {
	for _, before := range r.stages[stage].After {
		if r.states[before] != done {
			return false
		}
	}
	return true
}

// Waiting reports whether a stage has not started.
func (r *Run) Waiting(stage int) bool { return r.states[stage] == pending }

// Pieces returns the number of pieces of a stage.
func (r *Run) Pieces(stage int) int { return r.pieces[stage] }

// Results returns the references to a stage's results.
func (r *Run) Results(stage int) []string { return r.results[stage] }

// Inputs returns the references that a stage reads: those of all pieces of the
// stages directly before it, in order.
func (r *Run) Inputs(stage int) []string {
	var inputs []string
	for _, before := range r.stages[stage].After {
		inputs = append(inputs, r.results[before]...)
	}
	return inputs
}

// Finish marks a stage as done and stores the references to its results, one for
// each piece.
func (r *Run) Finish(stage int, results []string) {
	r.results[stage] = results
	r.states[stage] = done
}

// MarkInputsRead records that all pieces of a running stage have read their inputs.
func (r *Run) MarkInputsRead(stage int) { r.inputsRead[stage] = r.states[stage] == running }

// Reclaimable returns the references to results that all later stages have read,
// although not all of these stages are done. Such a result is needed again only if
// one of them fails, so an engine that is short of memory can drop it. Each
// reference is returned once.
func (r *Run) Reclaimable() []string {
	var reclaimable []string
	for i := range r.stages {
		if r.hasReaders[i] && !r.reclaimed[i] && r.states[i] == done && r.readersFetched(i) {
			r.reclaimed[i] = true
			reclaimable = append(reclaimable, r.results[i]...)
		}
	}
	return reclaimable
}

func (r *Run) readersFetched(stage int) bool {
	for i := range r.stages {
		for _, before := range r.stages[i].After {
			if before == stage && r.states[i] != done && !r.inputsRead[i] {
				return false
			}
		}
	}
	return true
}

// ResetStage marks a stage, and all stages that it depends on, as not started,
// because one of its inputs was lost. It returns the references that are no longer
// used.
func (r *Run) ResetStage(stage int) []string {
	r.states[stage] = pending
	r.inputsRead[stage], r.reclaimed[stage] = false, false
	var unused []string
	for _, before := range r.stages[stage].After {
		if r.pieces[before] == 0 {
			continue
		}
		unused = append(unused, r.results[before]...)
		r.results[before] = nil
		unused = append(unused, r.ResetStage(before)...)
	}
	return unused
}

// Restart marks every stage as not started and returns the references that are no
// longer used.
func (r *Run) Restart() []string {
	unused := r.References()
	for i := range r.stages {
		r.results[i] = nil
		r.inputsRead[i], r.reclaimed[i] = false, false
		if r.pieces[i] > 0 {
			r.states[i] = pending
		}
	}
	return unused
}

// Done reports whether every stage has its results.
func (r *Run) Done() bool {
	for _, s := range r.states {
		if s != done {
			return false
		}
	}
	return true
}

// FinalResults returns the references that the request itself reads: those of the
// stages that no other stage reads.
func (r *Run) FinalResults() []string {
	var results []string
	for i := range r.stages {
		if !r.hasReaders[i] {
			results = append(results, r.results[i]...)
		}
	}
	return results
}

// ReleaseConsumed removes and returns the references that neither a stage nor the
// request itself will read again, so that their memory can be freed early.
func (r *Run) ReleaseConsumed() []string {
	var consumed []string
	for i := range r.stages {
		if r.hasReaders[i] && r.states[i] == done && r.readersDone(i) {
			consumed = append(consumed, r.results[i]...)
			r.results[i] = nil
		}
	}
	return consumed
}

func (r *Run) readersDone(stage int) bool {
	for i := range r.stages {
		for _, before := range r.stages[i].After {
			if before == stage && r.states[i] != done {
				return false
			}
		}
	}
	return true
}

// ReleaseAll removes and returns all references, after everything was read. The
// run stays done, and ResultsMissing reports that its results are gone.
func (r *Run) ReleaseAll() []string {
	released := r.References()
	clear(r.results)
	return released
}

// ResultsMissing reports whether results that the request reads are not held, for
// example after ReleaseAll.
func (r *Run) ResultsMissing() bool {
	for i := range r.stages {
		if !r.hasReaders[i] && r.pieces[i] > 0 && len(r.results[i]) == 0 {
			return true
		}
	}
	return false
}

// References returns all references that are still held.
func (r *Run) References() []string {
	var all []string
	for _, results := range r.results {
		all = append(all, results...)
	}
	return all
}
