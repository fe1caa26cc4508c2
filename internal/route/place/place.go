// Package place chooses the endpoint for one request. It takes numbers and returns a
// choice, so that tests and benchmarks run it without a network.
//
// Long prompts delay the tokens of all other requests at the same engine. For
// generations, the package therefore adds up these costs in milliseconds of delay: the
// prompt tokens that each engine still has to read, those of this prompt that are not
// in its cache, the memory that the request will take, and the transfer of inputs from
// other availability zones.
package place

import (
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/route/owner"
)

// Weights of the choice between model engines, in milliseconds of delay unless stated
// otherwise.
const (
	// runningDelayMs is what each running request adds to the time to the first token
	// of another one: a chunk of a long prompt shares each step of the engine with all
	// running requests.
	runningDelayMs = 1.5
	// fullDelayMs is the delay of a request that finds all slots taken. It is about
	// the time until several running requests end.
	fullDelayMs = 5000
	// memoryDelayMs is the delay per unit of relative excess over the memory limit.
	// Beyond the limit, the engine preempts the newest request and reads its prompt
	// again later.
	memoryDelayMs = 8000
	// maxMemoryShare is the share of an engine's tokens that may be reserved. Outputs
	// are often longer than estimated.
	maxMemoryShare = 0.85
	// msPerCredit converts credits, the unit in which users state the worth and price
	// of requests, into delay. A request has some hundred milliseconds of slack before
	// its objective and loses one to four credits beyond it.
	msPerCredit = 500
	// rereadMsPerToken is the cost of reading a token again that another engine read
	// recently: 0.26 credits per thousand tokens.
	rereadMsPerToken = 0.26 * msPerCredit / 1000
	// crossZoneMsPerMB is the cost of a megabyte of inputs from another availability
	// zone: 84 credits per gigabyte.
	crossZoneMsPerMB = 84 * msPerCredit / 1000
	// lateDelayMs is the cost of missing the objective: a late answer is worth a sixth
	// of one in time.
	lateDelayMs = 1500
	// plannedShare is the share of the planned prompts that counts as delay when
	// engines are compared. They arrive over the next second or so, and most are read
	// before this request is sent. The returned delay does not include them.
	plannedShare = 0.4
	// tieBreakMs scales the hash that orders engines of equal cost. It only has to
	// exceed the noise of the other terms, so that processes agree on an engine
	// without communicating.
	tieBreakMs = 25
)

// Prompt describes the prompt of a generation.
type Prompt struct {
	// Tokens is the length of the prompt, Output the estimated length of the output.
	Tokens int64
	Output int64
	// Hot is the number of tokens in parts that some engine read recently.
	Hot int64
	// FirstPart and LastPart are the IDs of the first and the last part that other
	// requests share, "" if there is none.
	FirstPart string
	LastPart  string
	// TokensPerMs is the speed at which engines read prompts, 0 if it is unknown; see
	// Rate.
	TokensPerMs float64
	// Slack is the time left until the objective.
	Slack clock.Millis
	// MaxGap is the allowed gap between two events of the route's streams, and RunningGap
	// that of the streams that run at the engines; 0 for none.
	MaxGap     clock.Millis
	RunningGap clock.Millis
	// InputBytes is the size of the inputs by the availability zone that holds them.
	InputBytes []ZoneBytes
}

func (p *Prompt) rate() float64 {
	if p.TokensPerMs == 0 {
		return initialRate
	}
	return p.TokensPerMs
}

// ZoneBytes is an amount of data in one availability zone.
type ZoneBytes struct {
	Zone  string
	Bytes int64
}

// AddBytes adds bytes in a zone to those of all zones.
func AddBytes(all []ZoneBytes, zone string, bytes int64) []ZoneBytes {
	for i := range all {
		if all[i].Zone == zone {
			all[i].Bytes += bytes
			return all
		}
	}
	return append(all, ZoneBytes{Zone: zone, Bytes: bytes})
}

// Engine is the known state of a model engine.
type Engine struct {
	ID   string
	Zone string
	// Running counts requests, Prefill the prompt tokens still to be read, and Memory
	// the tokens held in memory.
	Running int64
	Prefill int64
	Memory  int64
	// Planned counts the prompt tokens of requests that will probably arrive soon.
	Planned int64
	// Slots is the engine's limit of running requests, Capacity its memory in tokens;
	// 0 if unknown.
	Slots    int64
	Capacity int64
	// Slowdown is the time that the engine takes for a unit of work relative to the usual
	// engine of the pool; 0 means 1.
	Slowdown float64
	// Cached is the estimated number of the prompt's tokens in the engine's cache, and
	// CachedHot the hot ones among them.
	Cached    int64
	CachedHot int64
	// Excluded engines are not chosen: they were tried before, are cold or have
	// failed.
	Excluded bool
}

// NoEngine is the returned index if every engine or server is excluded.
const NoEngine = -1

// ChooseEngine returns the index of the engine with the lowest cost and the expected
// time to the first token there, in milliseconds.
func ChooseEngine(prompt *Prompt, engines []Engine) (int, float64) {
	best, lowestCost, bestDelay := NoEngine, 0.0, 0.0
	for i := range engines {
		if engines[i].Excluded {
			continue
		}
		delay := firstTokenDelay(prompt, &engines[i])
		if cost := costOf(prompt, &engines[i], delay); best == NoEngine || cost < lowestCost {
			best, lowestCost, bestDelay = i, cost, delay
		}
	}
	return best, bestDelay
}

// slowdown returns the relative time for a unit of work at the engine.
func (e *Engine) slowdown() float64 {
	if e.Slowdown == 0 {
		return 1
	}
	return e.Slowdown
}

// firstTokenDelay returns the expected time to the first token in milliseconds.
func firstTokenDelay(prompt *Prompt, engine *Engine) float64 {
	unread := max(prompt.Tokens-engine.Cached, 0)
	work := float64(engine.Prefill+unread) / prompt.rate()
	work += runningDelayMs * float64(engine.Running)
	if engine.Slots > 0 && engine.Running >= engine.Slots {
		work += fullDelayMs * float64(engine.Running-engine.Slots+1) / float64(engine.Slots)
	}
	delay := work * engine.slowdown()
	if engine.Capacity > 0 {
		limit := maxMemoryShare * float64(engine.Capacity)
		if taken := float64(engine.Memory + prompt.Tokens + prompt.Output); taken > limit {
			delay += memoryDelayMs * (taken - limit) / limit
		}
	}
	return delay
}

// costOf adds the other costs of the choice to the delay.
func costOf(prompt *Prompt, engine *Engine, delay float64) float64 {
	cost := delay + plannedShare*float64(engine.Planned)*engine.slowdown()/prompt.rate() + rereadMsPerToken*float64(max(prompt.Hot-engine.CachedHot, 0))
	cost += crossZoneMsPerMB * remoteInputMB(prompt.InputBytes, engine.Zone)
	cost += lateDelayMs * missProbability(delay, float64(prompt.Slack))
	if prompt.MaxGap > 0 || prompt.RunningGap > 0 {
		cost += lateDelayMs * lateStreams(prompt, engine)
	}
	if engine.Slowdown > 1 && prompt.LastPart != "" {
		cost += homeDelayMs * (engine.Slowdown - 1)
	}
	if prompt.LastPart != "" {
		cost += tieBreakMs * (unitHash(prompt.LastPart, engine.ID) + unitHash(prompt.FirstPart, engine.ID))
	}
	return cost
}

// homeDelayMs is the cost of a slow engine for a prompt with shared parts, per unit of
// slowdown: later prompts with the same parts follow to the engine that has them cached, and
// stall its streams for longer than a usual engine would.
const homeDelayMs = 150

// maxLateStreams bounds the running streams that count as late through one prompt. Beyond it,
// the estimate of the pending prompts matters more than the number of streams.
const maxLateStreams = 12

// lateStreams estimates how many streams exceed their allowed gap because the engine reads
// this prompt: every prompt token that it reads delays the next event of each running stream.
// Only the additional risk counts for the running streams, because a stream with one gap that
// is too long is late already. The prompt's own stream is at risk from prompts of the same
// size that arrive after it.
func lateStreams(prompt *Prompt, engine *Engine) float64 {
	perToken := engine.slowdown() / prompt.rate()
	steps := runningDelayMs * float64(engine.Running) * engine.slowdown()
	before := steps + float64(engine.Prefill)*perToken
	reading := float64(max(prompt.Tokens-engine.Cached, 0)) * perToken
	if before+reading <= riskFrom*float64(prompt.smallestGap()) {
		return 0
	}
	late := gapRisk(steps+reading, prompt.MaxGap)
	if engine.Running > 0 {
		risk := gapRisk(before+reading, prompt.RunningGap) - gapRisk(before, prompt.RunningGap)
		late += risk * float64(min(engine.Running, maxLateStreams))
	}
	return late
}

// smallestGap returns the smaller one of the allowed gaps. At least one is set.
func (p *Prompt) smallestGap() clock.Millis {
	if p.MaxGap == 0 || p.RunningGap == 0 {
		return max(p.MaxGap, p.RunningGap)
	}
	return min(p.MaxGap, p.RunningGap)
}

// gapRisk estimates the probability that a pause of a stream exceeds the allowed gap. It grows
// from the share riskFrom of the gap on, like that of missing an objective: in a period of
// interference, reading takes about 1/riskFrom times as long.
func gapRisk(pause float64, gap clock.Millis) float64 {
	if gap <= 0 {
		return 0
	}
	return missProbability(pause, float64(gap))
}

// missProbability estimates the probability of missing the objective. It is 0 up to
// the share riskFrom of the slack and 1 at the full slack, because delays are
// estimates and requests that arrive later take part of each step.
func missProbability(delay, slack float64) float64 {
	if slack <= 0 {
		return 1
	}
	return min(max((delay/slack-riskFrom)/(1-riskFrom), 0), 1)
}

// riskFrom is the share of the slack above which a delay is a risk.
const riskFrom = 0.4

// unitHash returns a number from 0 to 1 that depends only on the two names.
func unitHash(part, engine string) float64 {
	const largest = 1 << 32
	return float64(owner.Weight(part, engine)>>32) / largest
}

func remoteInputMB(inputs []ZoneBytes, zone string) float64 {
	var bytes int64
	for _, input := range inputs {
		if input.Zone != zone {
			bytes += input.Bytes
		}
	}
	return float64(bytes) / 1e6
}

// Server is the known state of an endpoint of a plain service.
type Server struct {
	// SameZone is set if the server is in this process's availability zone.
	SameZone bool
	// Running is the number of requests, Slots the server's limit of them.
	Running int64
	Slots   int64
	// Latency is the duration of the server's latest answers.
	Latency clock.Millis
	// Slowdown is the relative time that the server states for work at this moment; 0
	// means 1.
	Slowdown float64
	Excluded bool
}

// remotePenalty is the relative cost of another availability zone: a request of 20 ms
// or more takes about a tenth longer on the way.
const remotePenalty = 0.1

// ChooseServer returns the index of the server that will probably answer first: the
// one with the fewest requests per slot, weighted by its latency. The first of equal
// servers at or after index start is chosen. Callers pass a random start, so that
// processes with the same view don't all choose the same server.
func ChooseServer(servers []Server, start int) int {
	best, lowestCost := NoEngine, 0.0
	for i := range servers {
		index := (start + i) % len(servers)
		server := &servers[index]
		if server.Excluded {
			continue
		}
		load := float64(server.Running+1) / float64(max(server.Slots, 1))
		cost := (1 + max(load-1, 0)*2 + load/2) * float64(max(server.Latency, 1))
		if server.Slowdown > 0 {
			cost *= server.Slowdown
		}
		if !server.SameZone {
			cost *= 1 + remotePenalty
		}
		if best == NoEngine || cost < lowestCost {
			best, lowestCost = index, cost
		}
	}
	return best
}
