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

// Weights of a choice between model engines.
const (
	// tokensPerMs is how many prompt tokens an engine reads in a millisecond:
	// the lower of the two figures on the users' sheets (40.8 and 51.1).
	tokensPerMs = 40.8
	// runningMs is what one running request adds to the time to the first token
	// of another: a chunk of a long prompt shares each step with all of them.
	runningMs = 1.5
	// fullMs is the delay of a request that finds all slots taken: about the
	// time until one of the running requests ends.
	fullMs = 600
	// memoryMs is the delay for each part of the memory that would be exceeded:
	// beyond it, the newest request is stopped and read again later.
	memoryMs = 8000
	// memoryShare of an engine's tokens may be promised; outputs are often
	// longer than estimated.
	memoryShare = 0.85
	// crossMsPerMB is what a megabyte of inputs from another availability zone
	// weighs: the price of a gigabyte across zones (84) against that of a late
	// answer, as the users state both, is about 40 ms of delay a megabyte.
	crossMsPerMB = 40
	// homeShare of a prompt's shared part is expected to be in memory at the
	// engine that the hash of that part names: other processes send it there too.
	homeShare = 0.6
)

// Prompt is what a generation needs.
type Prompt struct {
	// Tokens to read, and to generate as far as can be guessed.
	Tokens int64
	Output int64
	// Shared is the tokens of the parts that other requests have too, and Group
	// names the last of these parts; empty without any.
	Shared int64
	Group  string
	// InputBytes are the bytes of inputs by the availability zone they lie in.
	InputBytes []ZoneBytes
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
	// Slots and Capacity (tokens) of the engine.
	Slots    int64
	Capacity int64
	// Cached is how many tokens of the prompt this process believes to be there.
	Cached int64
	// Shut engines get nothing: they were tried before, are cold or failed.
	Shut bool
}

// NoEngine is the choice when every engine is shut.
const NoEngine = -1

// Generation returns the index of the engine with the least expected delay,
// and that delay in milliseconds.
func Generation(prompt *Prompt, engines []Engine) (int, float64) {
	home := homeOf(prompt, engines)
	best, least := NoEngine, 0.0
	for i := range engines {
		if engines[i].Shut {
			continue
		}
		if delay := delayAt(prompt, &engines[i], i == home); best == NoEngine || delay < least {
			best, least = i, delay
		}
	}
	return best, least
}

// homeOf returns the open engine that the hash of the shared part names, among
// those of the availability zone where most inputs lie.
func homeOf(prompt *Prompt, engines []Engine) int {
	if prompt.Group == "" {
		return NoEngine
	}
	zone := mostBytes(prompt.InputBytes)
	home, top := NoEngine, uint64(0)
	for i := range engines {
		if engines[i].Shut || (zone != "" && engines[i].Zone != zone) {
			continue
		}
		if weight := owner.Weight(prompt.Group, engines[i].ID); home == NoEngine || weight > top {
			home, top = i, weight
		}
	}
	return home
}

func mostBytes(inputs []ZoneBytes) string {
	var zone string
	var most int64
	for _, input := range inputs {
		if input.Bytes > most {
			zone, most = input.Zone, input.Bytes
		}
	}
	return zone
}

func delayAt(prompt *Prompt, engine *Engine, home bool) float64 {
	cached := float64(engine.Cached)
	if home {
		cached = max(cached, homeShare*float64(prompt.Shared))
	}
	unread := max(float64(prompt.Tokens)-cached, 0)
	delay := (float64(engine.Prefill) + unread) / tokensPerMs
	delay += runningMs * float64(engine.Running)
	if engine.Slots > 0 && engine.Running >= engine.Slots {
		delay += fullMs * float64(engine.Running-engine.Slots+1) / float64(engine.Slots) * 8
	}
	if engine.Capacity > 0 {
		room := memoryShare * float64(engine.Capacity)
		if taken := float64(engine.Memory + prompt.Tokens + prompt.Output); taken > room {
			delay += memoryMs * (taken - room) / room
		}
	}
	return delay + crossMsPerMB*crossMB(prompt.InputBytes, engine.Zone)
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
	// Near tells whether it stands in this process's availability zone.
	Near bool
	// Running requests and slots.
	Running int64
	Slots   int64
	// Recent is the duration of its latest answers.
	Recent clock.Millis
	Shut   bool
}

// farShare is what another availability zone weighs against a place: requests
// of 20 ms and more lose about a tenth of that on the way.
const farShare = 0.1

// Plain returns the index of the server that will probably answer first: the
// one with the fewest requests for its slots, weighed by how slow it was.
// Start is where equal ones are looked at first; callers pass a random number,
// so that many processes with the same view don't all choose the same.
func Plain(servers []Server, start int) int {
	best, least := NoEngine, 0.0
	for i := range servers {
		at := (start + i) % len(servers)
		server := &servers[at]
		if server.Shut {
			continue
		}
		load := float64(server.Running+1) / float64(max(server.Slots, 1))
		cost := (1 + max(load-1, 0)*2 + load/2) * float64(max(server.Recent, 1))
		if !server.Near {
			cost *= 1 + farShare
		}
		if best == NoEngine || cost < least {
			best, least = at, cost
		}
	}
	return best
}
