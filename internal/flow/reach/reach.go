// Package reach estimates when a request would have its answer, from the queues
// of the stages that it still has to pass, and decides whether to begin or to
// go on with it.
//
// It answers loads above what the stage engines bear. Without it every request
// waits in some queue until its deadline, engines work for requests that then
// miss it in the next stage, and callers hear of that as late as possible.
package reach

import (
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/conf/table"
	"github.com/jujubescale/jujubescale/internal/flow/batch"
)

// Queue is what is known of the queue of one pool.
type Queue struct {
	Bounds batch.Bounds
	// Engines that take calls, and those of them that are free.
	Engines int
	Free    int
	// BatchSize is how many pieces a call holds when more wait than fit; memory for
	// results may keep it below what the engine takes. 0 when it isn't known.
	BatchSize float64
	// ResultMemory is the memory for results of one engine, in bytes.
	ResultMemory int64
	// Staleness is how much older this is than it usually is, in milliseconds. Its owner
	// may hang: the queue that it told of last is not there for ever.
	Staleness float64
	// Queued is the pieces that wait, by rank: see Edges.
	Queued []int
	// PendingArrivals is the pieces that requests under way will ask for after the stages
	// that they are in, by rank.
	PendingArrivals []int
}

// RankEdges are the upper ends of the classes of rank by which waiting pieces are
// counted, in milliseconds from now; the last class has none. They are finer
// than the distance between the objectives of two kinds of requests, so that the
// more urgent kind doesn't count the other as ahead of it.
var RankEdges = []clock.Millis{0, 150, 300, 450, 600, 800, 1000, 1200, 1400, 1600, 1800, 2000, 2200, 2500, 2800, 3200}

// Class returns the class of a rank that lies so far from now.
func Class(ahead clock.Millis) int {
	for i, edge := range RankEdges {
		if ahead < edge {
			return i
		}
	}
	return len(RankEdges)
}

// ClassCounts returns so many pieces of a rank by class.
func ClassCounts(ahead clock.Millis, pieces int) []int {
	classes := make([]int, len(RankEdges)+1)
	classes[Class(ahead)] = pieces
	return classes
}

// Wait estimates how long a piece of a rank that arrives after a while waits for
// its call; both are in milliseconds. What waits now is worked on meanwhile, and
// what comes from requests that began earlier is ahead of it by then.
func (q *Queue) Wait(rank clock.Millis, arrives float64) float64 {
	if q.Engines == 0 {
		return noEngines
	}
	fill := q.BatchSize
	if fill < 1 {
		fill = float64(q.Bounds.Pieces)
	}
	span := q.Bounds.Duration(int(fill))
	rate := fill * float64(q.Engines) / span
	ahead := float64(upTo(q.Queued, rank)) + float64(upTo(q.PendingArrivals, rank)) - rate*(arrives+q.Staleness)
	if ahead < float64(q.Free*q.Bounds.Pieces) {
		return 0
	}
	// A place becomes free after a part of a call, and calls ahead each take a
	// whole one.
	return span/float64(q.Engines+1) + max(ahead, 0)/rate
}

// upTo counts the pieces that go before those of a rank, or with them.
func upTo(classes []int, rank clock.Millis) int {
	ahead := 0
	for class, pieces := range classes {
		if class <= Class(rank) {
			ahead += pieces
		}
	}
	return ahead
}

// noEngines is the wait of a pool that has no engine just now, in milliseconds:
// engines that restart are back within a few seconds.
const noEngines = 2500

// Request is a request on its way through its stages.
type Request struct {
	Stages []table.Stage
	Pieces []int
	// Done tells which stages have their results or are with an engine.
	Done []bool
	// Slack is the time until the objective, Left that until the deadline.
	Slack clock.Millis
	Left  clock.Millis
	// Penalty puts the request behind others.
	Penalty clock.Millis
	// Returned says that its caller was refused before and has come back as told.
	Returned bool
	// Generation is how long the request itself takes after its stages, in milliseconds.
	Generation float64
	// Correction is how much longer than estimated it probably takes, in milliseconds.
	Correction float64
	// ReservedShare is the part of its slack that it leaves free for more urgent requests.
	ReservedShare float64
}

// Remaining estimates the time to the first byte of the answer, in
// milliseconds: the longest way through the stages that are not done. Queues
// returns what is known of a pool, nil when nothing is.
func (r *Request) Remaining(queues func(pool string) *Queue) float64 {
	longest := 0.0
	ends := make([]float64, len(r.Stages))
	for i := range ends {
		ends[i] = unknown
	}
	for i := range r.Stages {
		longest = max(longest, r.end(i, ends, queues))
	}
	return longest + r.Generation
}

// unknown is the end of a stage that was not looked at yet.
const unknown = -1

// end returns when a stage ends.
func (r *Request) end(stage int, ends []float64, queues func(string) *Queue) float64 {
	if ends[stage] != unknown {
		return ends[stage]
	}
	ends[stage] = 0
	if r.Pieces[stage] == 0 || r.Done[stage] {
		return 0
	}
	start := 0.0
	for _, before := range r.Stages[stage].After {
		start = max(start, r.end(before, ends, queues))
	}
	ends[stage] = start
	if q := queues(r.Stages[stage].Pool); q != nil {
		pieces := min(r.Pieces[stage], max(q.Bounds.Pieces, 1))
		ends[stage] += q.Wait(r.rank(), start) + q.Bounds.Duration(pieces)
	}
	return ends[stage]
}

// Bottleneck returns the pool that the request would wait for longest now, "" for
// none.
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

// rank is what the request's pieces wait behind, from now.
func (r *Request) rank() clock.Millis {
	if r.Slack < 0 {
		return r.Slack + r.Penalty + batch.LatePenalty
	}
	return r.Slack + r.Penalty
}

// Bounds of putting a stage off.
const (
	// heavyShare is the part of an engine's memory from which a stage's results
	// are worth being made late: below it memory is not what binds.
	heavyShare = 0.04
	// putOffShare is how much longer than estimated a stage may take that is put
	// off, and putOffLeast the shortest useful delay and the least that is kept
	// in hand, about half a call: estimates of queues are off by that much.
	putOffShare = 0.3
	putOffLeast = 100
)

// StageDelay returns for how long a stage that could begin now is better put off, 0
// for not at all. The results of a stage that only the request itself reads lie
// in its engine's memory until the other stages are done, too. Large ones leave
// no room for the calls of others meanwhile, and engines work in calls of a few
// pieces during bursts. Begun so that it ends shortly before the others do, such a
// stage takes memory for its own call and little more.
func (r *Request) StageDelay(stage int, queues func(pool string) *Queue) clock.Millis {
	q := queues(r.Stages[stage].Pool)
	results := float64(r.Stages[stage].ResultBytes) * float64(r.Pieces[stage])
	if q == nil || r.followed(stage) || results < heavyShare*float64(q.ResultMemory) {
		return 0
	}
	ends := make([]float64, len(r.Stages))
	for i := range ends {
		ends[i] = unknown
	}
	others := 0.0
	for i := range r.Stages {
		if i != stage {
			others = max(others, r.end(i, ends, queues))
		}
	}
	spare := others - (1+putOffShare)*r.end(stage, ends, queues) - putOffLeast
	if spare < putOffLeast {
		return 0
	}
	return clock.Millis(spare)
}

// followed reports whether another stage that is to run reads a stage's results.
func (r *Request) followed(stage int) bool {
	for i := range r.Stages {
		if r.Pieces[i] > 0 && slices.Contains(r.Stages[i].After, stage) {
			return true
		}
	}
	return false
}

// Shares of the time left up to which requests begin late, and go on.
const (
	// goOnShare: a request that has begun goes on as long as it probably has its
	// answer within its deadline; what was spent on it would be lost otherwise.
	goOnShare = 0.9
	// lateShare: a request whose caller has come back begins behind others, though
	// it will be late, if it probably has its answer within this part of the time
	// left. Refused once more it would not come again; estimates of how long it
	// waits behind others are rough.
	lateShare = 0.3
)

// Admissible reports whether a request that would take so many milliseconds is
// begun: if it probably meets its objective.
func (r *Request) Admissible(remaining float64) bool {
	return remaining+r.Correction <= r.share() && remaining <= goOnShare*float64(r.Left)
}

// share is the part of the slack that the request may use, in milliseconds.
func (r *Request) share() float64 { return (1 - r.ReservedShare) * float64(r.Slack) }

// MeetsDeadline reports whether a request that has begun goes on.
func (r *Request) MeetsDeadline(remaining float64) bool {
	return remaining <= goOnShare*float64(r.Left)
}

// AdmissibleLate reports whether a request is begun that will probably miss its
// objective, behind all that won't, where it would take so many milliseconds.
func (r *Request) AdmissibleLate(remaining float64) bool {
	return r.Returned && remaining <= lateShare*float64(r.Left)
}

// Excess returns by how many milliseconds a request misses what it needs to
// begin: when the queues have become so much shorter it may come back.
func (r *Request) Excess(remaining float64) clock.Millis {
	return clock.Millis(max(remaining+r.Correction-r.share(), 0))
}
