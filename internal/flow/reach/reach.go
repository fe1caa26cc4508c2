// Package reach estimates when the answer to a request will be available, from the
// queues of the remaining stages, and decides whether to admit or continue the
// request.
//
// It protects against more load than the stage engines can process. Without it,
// every request waits in some queue until its deadline, engines work for requests
// that miss the deadline in the next stage, and callers get the error as late as
// possible.
package reach

import (
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/flow/batch"
)

// Queue is the state of the queue of a pool or shard.
type Queue struct {
	Bounds batch.Bounds
	// Engines is the number of engines that accept calls, Free the number of them
	// that have no call.
	Engines int
	Free    int
	// BatchSize is the number of pieces in a call when more are queued than fit. The
	// memory for results can keep it below the limit of the engine. 0 if unknown.
	BatchSize float64
	// ResultMemory is the memory for results of one engine, in bytes.
	ResultMemory int64
	// Staleness is how much older the report is than usual, in milliseconds. The owner
	// may hang, so the reported queue is assumed to shrink meanwhile.
	Staleness float64
	// Queued is the number of queued pieces by class of rank, see RankEdges.
	Queued []int
	// PendingArrivals is the number of pieces that open requests will send after their
	// current stages, by class of rank.
	PendingArrivals []int
}

// RankEdges are the upper bounds of the classes of rank by which queued pieces are
// counted, in milliseconds from now. The last class has no upper bound. The classes
// are narrower than the difference between the objectives of two kinds of requests,
// so that pieces of the less urgent kind are not counted as ahead of the more urgent.
var RankEdges = []clock.Millis{0, 150, 300, 450, 600, 800, 1000, 1200, 1400, 1600, 1800, 2000, 2200, 2500, 2800, 3200}

// Class returns the class of a rank that is ahead milliseconds from now.
func Class(ahead clock.Millis) int {
	for i, edge := range RankEdges {
		if ahead < edge {
			return i
		}
	}
	return len(RankEdges)
}

// ClassCounts returns the counts by class for pieces that all have the same rank.
func ClassCounts(ahead clock.Millis, pieces int) []int {
	classes := make([]int, len(RankEdges)+1)
	classes[Class(ahead)] = pieces
	return classes
}

// Wait estimates how long a piece waits for its call, in milliseconds. The piece has
// the given rank and arrives after arrivesIn milliseconds. By then the engines have
// processed some of the queued pieces, and pending arrivals of requests that started
// earlier are ahead of the piece.
func (q *Queue) Wait(rank clock.Millis, arrivesIn float64) float64 {
	if q.Engines == 0 {
		return noEngineWait
	}
	batchSize := q.BatchSize
	if batchSize < 1 {
		batchSize = float64(q.Bounds.Pieces)
	}
	callTime := q.Bounds.Duration(int(batchSize))
	rate := batchSize * float64(q.Engines) / callTime
	ahead := float64(countAhead(q.Queued, rank)) + float64(countAhead(q.PendingArrivals, rank)) - rate*(arrivesIn+q.Staleness)
	if ahead < float64(q.Free*q.Bounds.Pieces) {
		return 0
	}
	// Part of a call passes until an engine is free. Each full batch ahead adds the
	// duration of a call.
	return callTime/float64(q.Engines+1) + max(ahead, 0)/rate
}

// countAhead returns the number of pieces in the class of rank or a lower class.
func countAhead(classes []int, rank clock.Millis) int {
	ahead := 0
	for class, pieces := range classes {
		if class <= Class(rank) {
			ahead += pieces
		}
	}
	return ahead
}

// noEngineWait is the wait in milliseconds for a pool that currently has no engine.
// Engines that restart are available again within a few seconds.
const noEngineWait = 2500

// Request is an open request and the state of its stages.
type Request struct {
	Stages []table.Stage
	Pieces []int
	// Done marks the stages that have their results or are being run by an engine.
	Done []bool
	// Slack is the time until the objective, Left the time until the deadline.
	Slack clock.Millis
	Left  clock.Millis
	// Penalty is added to the rank, so that the request is served after others.
	Penalty clock.Millis
	// Returned is set if the caller was refused earlier and has retried after the
	// requested delay.
	Returned bool
	// Generation is the estimated time after the stages until the first byte of the
	// answer, in milliseconds.
	Generation float64
	// Correction is added to the estimate, see the type Correction; in milliseconds.
	Correction float64
	// ReservedShare is the share of the slack that is left to more urgent requests.
	ReservedShare float64
}

// Remaining estimates the time until the first byte of the answer, in milliseconds:
// the longest path through the stages that are not done. The function queues returns
// the state of a pool's queue, or nil if it is unknown.
func (r *Request) Remaining(queues func(pool string) *Queue) float64 {
	longest := 0.0
	ends := make([]float64, len(r.Stages))
	for i := range ends {
		ends[i] = notComputed
	}
	for i := range r.Stages {
		longest = max(longest, r.stageEnd(i, ends, queues))
	}
	return longest + r.Generation
}

// notComputed marks a stage whose end has not been computed.
const notComputed = -1

// stageEnd returns the time until a stage ends, in milliseconds, and stores it in ends.
func (r *Request) stageEnd(stage int, ends []float64, queues func(string) *Queue) float64 {
	if ends[stage] != notComputed {
		return ends[stage]
	}
	ends[stage] = 0
	if r.Pieces[stage] == 0 || r.Done[stage] {
		return 0
	}
	start := 0.0
	for _, before := range r.Stages[stage].After {
		start = max(start, r.stageEnd(before, ends, queues))
	}
	ends[stage] = start
	if q := queues(r.Stages[stage].Pool); q != nil {
		pieces := min(r.Pieces[stage], max(q.Bounds.Pieces, 1))
		ends[stage] += q.Wait(r.rank(), start) + q.Bounds.Duration(pieces)
	}
	return ends[stage]
}

// Bottleneck returns the pool with the longest current wait for the request, or ""
// if there is no wait.
func (r *Request) Bottleneck(queues func(pool string) *Queue) string {
	longest, binding := 0.0, ""
	for i, stage := range r.Stages {
		q := queues(stage.Pool)
		if q == nil || r.Pieces[i] == 0 || r.Done[i] {
			continue
		}
		if wait := q.Wait(r.rank(), 0); wait > longest {
			longest, binding = wait, stage.Pool
		}
	}
	return binding
}

// rank returns the rank of the request's pieces in a queue, in milliseconds from now.
func (r *Request) rank() clock.Millis {
	if r.Slack < 0 {
		return r.Slack + r.Penalty + batch.LatePenalty
	}
	return r.Slack + r.Penalty
}

// Limits for delaying a stage.
const (
	// largeShare is the share of an engine's memory for results from which a stage is
	// delayed. Smaller results do not limit the batches of other requests.
	largeShare = 0.04
	// delayMargin is how much longer than estimated a delayed stage may take, as a
	// share of the estimate. minDelay is the shortest useful delay and the smallest
	// safety margin, in milliseconds: about half a call, which is the typical error
	// of a queue estimate.
	delayMargin = 0.3
	minDelay    = 100
)

// StageDelay returns how long to delay a stage that is ready to start, or 0 to start
// it now. If no other stage reads the results of a stage, they stay in the memory of
// its engine until all other stages are done. Large results reduce the batches of
// other requests meanwhile, down to a few pieces per call during bursts. A delayed
// stage ends shortly before the others and uses that memory only for a short time.
func (r *Request) StageDelay(stage int, queues func(pool string) *Queue) clock.Millis {
	q := queues(r.Stages[stage].Pool)
	results := float64(r.Stages[stage].ResultBytes) * float64(r.Pieces[stage])
	if q == nil || r.hasReader(stage) || results < largeShare*float64(q.ResultMemory) {
		return 0
	}
	ends := make([]float64, len(r.Stages))
	for i := range ends {
		ends[i] = notComputed
	}
	others := 0.0
	for i := range r.Stages {
		if i != stage {
			others = max(others, r.stageEnd(i, ends, queues))
		}
	}
	delay := others - (1+delayMargin)*r.stageEnd(stage, ends, queues) - minDelay
	if delay < minDelay {
		return 0
	}
	return clock.Millis(delay)
}

// hasReader reports whether another stage that has to run reads the results of stage.
func (r *Request) hasReader(stage int) bool {
	for i := range r.Stages {
		if r.Pieces[i] > 0 && slices.Contains(r.Stages[i].After, stage) {
			return true
		}
	}
	return false
}

// Shares of the time until the deadline.
const (
	// deadlineShare limits the estimate of a request that has started. As long as the
	// answer is likely within the deadline, the request continues, because the work
	// already done for it would be lost otherwise.
	deadlineShare = 0.9
	// lateShare limits the estimate of a returned request that will miss its objective.
	// Such a request is admitted behind others, because its caller would not return
	// after another refusal. The limit is low because estimates of the wait behind
	// others are inaccurate.
	lateShare = 0.3
)

// Admissible reports whether the request should start, given its remaining time in
// milliseconds: it has to be likely to meet its objective.
func (r *Request) Admissible(remaining float64) bool {
	return remaining+r.Correction <= r.usableSlack() && remaining <= deadlineShare*float64(r.Left)
}

// usableSlack returns the slack without the reserve for more urgent requests, in
// milliseconds.
func (r *Request) usableSlack() float64 { return (1 - r.ReservedShare) * float64(r.Slack) }

// MeetsDeadline reports whether a request that has started is likely to meet its
// deadline and should continue.
func (r *Request) MeetsDeadline(remaining float64) bool {
	return remaining <= deadlineShare*float64(r.Left)
}

// AdmissibleLate reports whether a request that is likely to miss its objective
// should start behind all others, given its remaining time in milliseconds.
func (r *Request) AdmissibleLate(remaining float64) bool {
	return r.Returned && remaining <= lateShare*float64(r.Left)
}

// Excess returns by how many milliseconds the estimate exceeds the limit for
// admission. The caller can retry when the queues are shorter by that much.
func (r *Request) Excess(remaining float64) clock.Millis {
	return clock.Millis(max(remaining+r.Correction-r.usableSlack(), 0))
}
