// Package place chooses the endpoint for one request. It takes numbers and
// returns a choice, so that tests and benchmarks drive it without a network.
//
// For generations it answers loads in which long prompts delay the tokens of
// everything beside them: it adds up the prompt tokens that still wait at each
// engine, those of this prompt that the engine would have to read, the memory
// that will be taken, and what it costs to bring inputs from another
// availability zone, all in milliseconds of delay.
package place

import (
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/route/owner"
)

// Weights of a choice between model engines, in milliseconds of delay.
const (
	// runningMs is what one running request adds to the time to the first token
	// of another: a chunk of a long prompt shares each step with all of them.
	runningMs = 1.5
	// fullMs is the delay of a request that finds all slots taken: about the
	// time until several of the running requests end.
	fullMs = 5000
	// memoryMs is the delay for each part of the memory that would be exceeded:
	// beyond it, the newest request is stopped and read again later.
	memoryMs = 8000
	// memoryShare of an engine's tokens may be promised; outputs are often
	// longer than estimated.
	memoryShare = 0.85
	// creditMs is the delay that weighs as much as one credit, the unit in which
	// the users state worth and prices. A request has some hundred milliseconds
	// of slack before its objective, and loses one to four credits beyond it.
	creditMs = 500
	// hotMsPerToken weighs a token that has to be read again although another
	// engine read it a moment ago: 0.26 credits a thousand.
	hotMsPerToken = 0.26 * creditMs / 1000
	// crossMsPerMB weighs a megabyte of inputs from another availability zone:
	// 84 credits a gigabyte.
	crossMsPerMB = 84 * creditMs / 1000
	// lateMs weighs an answer beyond its objective, which is worth a sixth of
	// one within it.
	lateMs = 1500
	// plannedShare is the part of the prompts planned for an engine that counts
	// as delay when engines are compared: they come over the next second or so,
	// and most are read before this request is sent. Expected delays don't
	// count them.
	plannedShare = 0.4
	// hashMs is the spread of the order in which equal engines are preferred. It
	// only has to be larger than the noise of the other figures, so that
	// processes which know nothing of each other agree.
	hashMs = 25
)

// Prompt is what a generation needs.
type Prompt struct {
	// Tokens to read, and to generate as far as can be guessed.
	Tokens int64
	Output int64
	// Hot is the tokens of the parts that were read somewhere a moment ago.
	Hot int64
	// FirstPart and Group name the first and the last of the parts that other
	// requests have too; empty without any.
	FirstPart string
	LastPart  string
	// TokensPerMs is how fast engines read prompts, 0 where it isn't known; see
	// Rate.
	TokensPerMs float64
	// Slack is the time that is left until the objective.
	Slack clock.Millis
	// InputBytes are the bytes of inputs by the availability zone they lie in.
	InputBytes []ZoneBytes
}

func (p *Prompt) rate() float64 {
	if p.TokensPerMs == 0 {
		return firstRate
	}
	return p.TokensPerMs
}

// ZoneBytes is an amount of data in one availability zone.
type ZoneBytes struct {
	Zone  string
	Bytes int64
}

// Engine is what is known of one model engine.
type Engine struct {
	ID   string
	Zone string
	// Running requests, prompt tokens that wait, and tokens of memory taken.
	Running int64
	Prefill int64
	Memory  int64
	// Planned is the prompt tokens of requests that will probably come soon.
	Planned int64
	// Slots and Capacity (tokens) of the engine.
	Slots    int64
	Capacity int64
	// Cached is how many tokens of the prompt are believed to be there, and
	// CachedHot how many of those are hot.
	Cached    int64
	CachedHot int64
	// Excluded engines get nothing: they were tried before, are cold or failed.
	Excluded bool
}

// NoEngine is the choice when every engine is shut.
const NoEngine = -1

// ChooseEngine returns the index of the engine with the least cost, and the
// expected delay to the first token there, in milliseconds.
func ChooseEngine(prompt *Prompt, engines []Engine) (int, float64) {
	best, least, chosen := NoEngine, 0.0, 0.0
	for i := range engines {
		if engines[i].Excluded {
			continue
		}
		delay := delayAt(prompt, &engines[i])
		if cost := costAt(prompt, &engines[i], delay); best == NoEngine || cost < least {
			best, least, chosen = i, cost, delay
		}
	}
	return best, chosen
}

// delayAt is the time that the first token takes.
func delayAt(prompt *Prompt, engine *Engine) float64 {
	unread := max(prompt.Tokens-engine.Cached, 0)
	delay := float64(engine.Prefill+unread) / prompt.rate()
	delay += runningMs * float64(engine.Running)
	if engine.Slots > 0 && engine.Running >= engine.Slots {
		delay += fullMs * float64(engine.Running-engine.Slots+1) / float64(engine.Slots)
	}
	if engine.Capacity > 0 {
		room := memoryShare * float64(engine.Capacity)
		if taken := float64(engine.Memory + prompt.Tokens + prompt.Output); taken > room {
			delay += memoryMs * (taken - room) / room
		}
	}
	return delay
}

// costAt adds to the delay what else the choice costs.
func costAt(prompt *Prompt, engine *Engine, delay float64) float64 {
	cost := delay + plannedShare*float64(engine.Planned)/prompt.rate() + hotMsPerToken*float64(max(prompt.Hot-engine.CachedHot, 0))
	cost += crossMsPerMB * crossMB(prompt.InputBytes, engine.Zone)
	cost += lateMs * lateness(delay, float64(prompt.Slack))
	if prompt.LastPart != "" {
		cost += hashMs * (unit(prompt.LastPart, engine.ID) + unit(prompt.FirstPart, engine.ID))
	}
	return cost
}

// lateness is how probable a miss of the objective is: not below lateFrom of
// the slack, certain at all of it, because delays are guessed and what arrives
// later takes its part of each step.
func lateness(delay, slack float64) float64 {
	if slack <= 0 {
		return 1
	}
	return min(max((delay/slack-lateFrom)/(1-lateFrom), 0), 1)
}

// lateFrom is the part of the slack from which a delay becomes a risk.
const lateFrom = 0.4

// unit returns a number from 0 to 1 that only depends on two names.
func unit(group, engine string) float64 {
	const largest = 1 << 32
	return float64(owner.Weight(group, engine)>>32) / largest
}

func crossMB(inputs []ZoneBytes, zone string) float64 {
	var bytes int64
	for _, input := range inputs {
		if input.Zone != zone {
			bytes += input.Bytes
		}
	}
	return float64(bytes) / 1e6
}

// Server is what is known of one endpoint of a plain service.
type Server struct {
	// SameZone tells whether it stands in this process's availability zone.
	SameZone bool
	// Running requests and slots.
	Running int64
	Slots   int64
	// Latency is the duration of its latest answers.
	Latency  clock.Millis
	Excluded bool
}

// farShare is what another availability zone weighs against a place: requests
// of 20 ms and more lose about a tenth of that on the way.
const farShare = 0.1

// ChooseServer returns the index of the server that will probably answer first: the
// one with the fewest requests for its slots, weighed by how slow it was.
// Start is where equal ones are looked at first; callers pass a random number,
// so that many processes with the same view don't all choose the same.
func ChooseServer(servers []Server, start int) int {
	best, least := NoEngine, 0.0
	for i := range servers {
		at := (start + i) % len(servers)
		server := &servers[at]
		if server.Excluded {
			continue
		}
		load := float64(server.Running+1) / float64(max(server.Slots, 1))
		cost := (1 + max(load-1, 0)*2 + load/2) * float64(max(server.Latency, 1))
		if !server.SameZone {
			cost *= 1 + farShare
		}
		if best == NoEngine || cost < least {
			best, least = at, cost
		}
	}
	return best
}
