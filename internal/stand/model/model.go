// Package model is a model checker for real code. It runs a few actors through
// every interleaving of their steps, up to a depth. Actors run one at a time and
// yield at each step. All choices of the scheduler, of the actors and of the
// environment are explored.
package model

import (
	"hash/fnv"
	"runtime"
	"strconv"
	"strings"
	"testing"
)

// World is one run, which is determined by a sequence of choices.
type World struct {
	choices  []choice
	position int
	actors   []*Actor
	events   []event
	visited  map[uint64]bool
	state    func() string
	depth    int
	// Pruned is true if the run ended early in a state that an earlier run
	// explored.
	Pruned bool
}

// choice is the alternative taken at one point, and the number of alternatives.
type choice struct{ taken, count int }

// event is an action that the environment can take while it is enabled.
type event struct {
	name    string
	enabled func() bool
	run     func()
}

// Actor is one simulated process, which runs real code in its own goroutine.
type Actor struct {
	world   *World
	name    string
	resume  chan bool
	yielded chan struct{}
	ready   func() bool
	history []string
	done    bool
}

// Result is the size of an exploration: its runs, its distinct states and the
// choices made in all runs.
type Result struct {
	Runs   int
	States int
	Steps  int
}

// Explore calls run with a new World for every sequence of choices with at most
// depth scheduling decisions. It stops at the first run that fails the test, and
// logs its choices.
func Explore(tb testing.TB, depth int, run func(*World)) Result {
	tb.Helper()
	var result Result
	visited := make(map[uint64]bool)
	var choices []choice
	for {
		w := &World{choices: choices, visited: visited, depth: depth, state: func() string { return "" }}
		run(w)
		w.stopActors()
		result.Runs++
		result.Steps += w.position
		if tb.Failed() {
			tb.Logf("after %d runs, choices %v", result.Runs, w.choices[:w.position])
			return result
		}
		choices = w.choices[:w.position]
		for len(choices) > 0 && choices[len(choices)-1].taken+1 == choices[len(choices)-1].count {
			choices = choices[:len(choices)-1]
		}
		if len(choices) == 0 {
			result.States = len(visited)
			return result
		}
		choices[len(choices)-1].taken++
	}
}

// Choose returns a number from 0 to n-1. Explore tries all of them.
func (w *World) Choose(n int) int {
	if n == 1 {
		return 0
	}
	if w.position == len(w.choices) {
		w.choices = append(w.choices, choice{count: n})
	}
	taken := w.choices[w.position].taken
	w.position++
	return taken
}

// State sets the function that describes the state of the world, apart from the
// actors' histories. It must cover everything that events change. Explore
// continues only once from each combination of state and histories.
func (w *World) State(state func() string) { w.state = state }

// Event adds an action that the environment can take whenever enabled returns
// true.
func (w *World) Event(name string, enabled func() bool, run func()) {
	w.events = append(w.events, event{name: name, enabled: enabled, run: run})
}

// Go adds an actor. It starts when Run first schedules it.
func (w *World) Go(name string, run func(*Actor)) {
	a := &Actor{world: w, name: name, resume: make(chan bool), yielded: make(chan struct{}), ready: func() bool { return true }}
	w.actors = append(w.actors, a)
	go func() {
		defer func() {
			a.done = true
			a.yielded <- struct{}{}
		}()
		if !<-a.resume {
			return
		}
		run(a)
	}()
}

// Step yields to the other actors, and adds the next action of the actor to its
// history.
func (a *Actor) Step(what string) { a.Wait(what, func() bool { return true }) }

// Wait is like Step, but the actor continues only when ready returns true.
func (a *Actor) Wait(what string, ready func() bool) {
	a.history = append(a.history, what)
	a.ready = ready
	a.yielded <- struct{}{}
	if !<-a.resume {
		runtime.Goexit()
	}
}

// Note adds an observation of the actor to its history.
func (a *Actor) Note(what string) { a.history = append(a.history, what) }

// Choose returns World.Choose(n) and adds the choice to the actor's history.
func (a *Actor) Choose(n int) int {
	taken := a.world.Choose(n)
	a.Note(strconv.Itoa(taken))
	return taken
}

// Run schedules actors and events until none can run, the depth is reached, or
// the state was explored before.
func (w *World) Run() {
	for range w.depth {
		var runnable []func()
		for _, a := range w.actors {
			if !a.done && a.ready() {
				runnable = append(runnable, a.run)
			}
		}
		for _, e := range w.events {
			if e.enabled() {
				runnable = append(runnable, e.run)
			}
		}
		if len(runnable) == 0 {
			return
		}
		// End a run early only at a new choice. The states before it were
		// recorded by the earlier runs that this run repeats.
		atNewChoice := w.position >= len(w.choices)
		if atNewChoice && w.recordState() {
			w.Pruned = true
			return
		}
		runnable[w.Choose(len(runnable))]()
	}
}

func (a *Actor) run() {
	a.resume <- true
	<-a.yielded
}

// recordState records the current state and reports whether it was recorded before.
func (w *World) recordState() bool {
	h := fnv.New64a()
	_, _ = h.Write([]byte(w.state()))
	for _, a := range w.actors {
		_, _ = h.Write([]byte("|" + a.name + ":" + strings.Join(a.history, ",")))
	}
	sum := h.Sum64()
	if w.visited[sum] {
		return true
	}
	w.visited[sum] = true
	return false
}

// stopActors ends the goroutines of the actors that have not ended.
func (w *World) stopActors() {
	for _, a := range w.actors {
		if !a.done {
			a.resume <- false
			<-a.yielded
		}
	}
}
