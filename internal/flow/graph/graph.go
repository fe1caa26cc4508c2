// Package graph follows one request through its stages. Stages form a graph:
// each may read the results of earlier ones, and each has as many pieces as
// the request says. Results stay where they were made; only references to
// them are passed on.
package graph

import (
	"fmt"

	"github.com/jujubescale/jujubescale/internal/conf/table"
)

// maxPieces bounds the pieces of one stage, against a request that would fill
// the queues of everybody.
const maxPieces = 4096

// ShapeError says that a request's pieces don't fit its route's stages.
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
	waiting state = iota
	running
	done
)

// Run is the progress of one request. It is not safe for use by several
// goroutines at once.
type Run struct {
	stages  []table.Stage
	pieces  []int
	states  []state
	results [][]string
	read    []bool // whether a later stage reads the results of a stage
	fetched []bool // whether a stage has read its inputs
	spared  []bool // whether the results of a stage were returned by Spare
}

// New returns the run of a request with so many pieces for each stage; 0 leaves
// a stage out.
func New(stages []table.Stage, pieces []int) (*Run, error) {
	if len(pieces) != len(stages) {
		return nil, &ShapeError{Stages: len(stages), Pieces: pieces}
	}
	r := &Run{
		stages: stages, pieces: pieces,
		states:  make([]state, len(stages)),
		results: make([][]string, len(stages)),
		read:    make([]bool, len(stages)),
		fetched: make([]bool, len(stages)),
		spared:  make([]bool, len(stages)),
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
			r.read[before] = true
		}
	}
	for i := range stages {
		if r.leadsTo(i, i, len(stages)) {
			return nil, &ShapeError{Stages: len(stages), Pieces: pieces}
		}
	}
	return r, nil
}

// leadsTo reports whether a stage reads another one's results, directly or by
// others, within so many steps.
func (r *Run) leadsTo(stage, other, steps int) bool {
	if steps == 0 {
		return false
	}
	for _, before := range r.stages[stage].After {
		if before == other || r.leadsTo(before, other, steps-1) {
			return true
		}
	}
	return false
}

// DependsOn reports whether a stage reads another one's results, directly or by
// others.
func (r *Run) DependsOn(stage, other int) bool { return r.leadsTo(stage, other, len(r.stages)) }

// Ready returns the stages that can run now and were not begun.
func (r *Run) Ready() []int {
	var ready []int
	for i := range r.stages {
		if r.states[i] == waiting && r.inputsDone(i) {
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

// Waiting reports whether a stage has not been started.
func (r *Run) Waiting(stage int) bool { return r.states[stage] == waiting }

// Pieces returns the number of pieces of a stage.
func (r *Run) Pieces(stage int) int { return r.pieces[stage] }

// Results returns the references to a stage's results.
func (r *Run) Results(stage int) []string { return r.results[stage] }

// Inputs returns the references that a stage reads: those of all pieces of all
// stages before it, in order.
func (r *Run) Inputs(stage int) []string {
	var inputs []string
	for _, before := range r.stages[stage].After {
		inputs = append(inputs, r.results[before]...)
	}
	return inputs
}

// Finish takes the references to a stage's results, one for each piece.
func (r *Run) Finish(stage int, results []string) {
	r.results[stage] = results
	r.states[stage] = done
}

// MarkFetched notes that all pieces of a stage have read their inputs.
func (r *Run) MarkFetched(stage int) { r.fetched[stage] = r.states[stage] == running }

// Reclaimable returns, once, the references that every stage which reads them has
// read, although it is not done yet. They are needed again only if such a stage
// fails: where memory is short, it is better used for something else.
func (r *Run) Reclaimable() []string {
	var spare []string
	for i := range r.stages {
		if r.read[i] && !r.spared[i] && r.states[i] == done && r.readersFetched(i) {
			r.spared[i] = true
			spare = append(spare, r.results[i]...)
		}
	}
	return spare
}

func (r *Run) readersFetched(stage int) bool {
	for i := range r.stages {
		for _, before := range r.stages[i].After {
			if before == stage && r.states[i] != done && !r.fetched[i] {
				return false
			}
		}
	}
	return true
}

// ResetStage puts a stage, and all that it reads, back to the start, because a
// result is gone. It returns the references that are not used any more.
func (r *Run) ResetStage(stage int) []string {
	r.states[stage] = waiting
	r.fetched[stage], r.spared[stage] = false, false
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

// Restart puts every stage back to the start and returns the references that
// are not used any more.
func (r *Run) Restart() []string {
	unused := r.References()
	for i := range r.stages {
		r.results[i] = nil
		r.fetched[i], r.spared[i] = false, false
		if r.pieces[i] > 0 {
			r.states[i] = waiting
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
// stages that no other stage follows.
func (r *Run) FinalResults() []string {
	var inputs []string
	for i := range r.stages {
		if !r.read[i] {
			inputs = append(inputs, r.results[i]...)
		}
	}
	return inputs
}

// ReleaseConsumed returns the references that no stage still has to read and that the
// request itself doesn't read either, and forgets them: their memory can be
// given back early.
func (r *Run) ReleaseConsumed() []string {
	var spent []string
	for i := range r.stages {
		if r.read[i] && r.states[i] == done && r.readersDone(i) {
			spent = append(spent, r.results[i]...)
			r.results[i] = nil
		}
	}
	return spent
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

// ReleaseAll forgets all references, because everything was read, and returns
// them. The run stays done; Empty tells that it has nothing to show for it.
func (r *Run) ReleaseAll() []string {
	released := r.References()
	clear(r.results)
	return released
}

// ResultsMissing reports whether the request reads results that are no longer held.
func (r *Run) ResultsMissing() bool {
	for i := range r.stages {
		if !r.read[i] && r.pieces[i] > 0 && len(r.results[i]) == 0 {
			return true
		}
	}
	return false
}

// References returns every reference that is still held.
func (r *Run) References() []string {
	var all []string
	for _, results := range r.results {
		all = append(all, results...)
	}
	return all
}
