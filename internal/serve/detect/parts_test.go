package detect_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/stand/fleet"
	"github.com/jujubescale/jujubescale/platform/stand"
)

const (
	badPart = "bad0"
	// Requests with the part that crashes engines, and sound ones, in a second.
	badPerSecond   = 25
	soundPerSecond = 100
	// Bounds of a part that crashes engines: at most maxLate requests with it reach engines later
	// than lateAfter after the lateCrash-th crash, and maxCrashes engines crash in all. From
	// recoveredAfter on, sound requests begin at the first attempt at least minBegun times as
	// often as before.
	maxLate        = 3
	lateCrash      = 5
	lateAfter      = 3 * time.Second
	maxCrashes     = 8
	recoveredAfter = 6 * time.Second
	minBegun       = 0.9
)

// prompts draws the parts of prompts.
type prompts struct {
	// last is set if the bad part comes behind the other shared parts.
	last bool
}

// sound returns a prompt with parts that most requests share, and sometimes with a rare or a
// new one.
func (p prompts) sound() string {
	prefix := fmt.Sprintf("aa:100,%x:50", 0xb0+rand.IntN(4))
	switch rand.IntN(10) {
	case 0:
		prefix += fmt.Sprintf(",c%03x:20", rand.IntN(64))
	case 1:
		prefix += fmt.Sprintf(",d%08x:20", rand.Uint32())
	}
	return prefix + fmt.Sprintf(",f%08x:10", rand.Uint32())
}

// bad returns a sound prompt with the bad part.
func (p prompts) bad() string {
	if !p.last {
		return badPart + ":30," + p.sound()
	}
	return "aa:100," + badPart + fmt.Sprintf(":30,%x:50,f%08x:10", 0xb0+rand.IntN(4), rand.Uint32())
}

// outcomes counts the requests that began at their first attempt.
type outcomes struct {
	mu          sync.Mutex
	sent, begun int
	refused     map[string]int
}

func (o *outcomes) add(got stand.Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent++
	if got.LastEvent > 0 {
		o.begun++
		return
	}
	if o.refused == nil {
		o.refused = make(map[string]int)
	}
	o.refused[fmt.Sprint(got.Status)]++
}

func (o *outcomes) share() float64 { return float64(o.begun) / float64(max(o.sent, 1)) }

// send sends requests to all gateways for a time.
func send(t *testing.T, f *fleet.Fleet, perSecond int, length time.Duration, prompt func() string, into *outcomes) {
	t.Helper()
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for until := time.Now().Add(length); time.Now().Before(until); {
		<-ticker.C
		to := f.Gateways[rand.IntN(len(f.Gateways))].Address
		group.Go(func() { into.add(f.Client.Do(t.Context(), to, fleet.Draft(prompt()))) })
	}
	group.Wait()
}

func addPoison(f *fleet.Fleet) *stand.Poison {
	poison := &stand.Poison{Part: badPart, EntryRemovalDelay: 450 * time.Millisecond, RestartDelay: 1500 * time.Millisecond}
	f.Ledger.AddPoison(poison)
	return poison
}

// checkReached checks how often requests with the bad part reached engines.
func checkReached(t *testing.T, poison *stand.Poison) {
	t.Helper()
	arrivals, crashes := poison.Arrivals(), poison.Crashes()
	late := 0
	if len(crashes) >= lateCrash {
		for _, at := range arrivals {
			if at.After(crashes[lateCrash-1].Add(lateAfter)) {
				late++
			}
		}
	}
	t.Logf("%d requests with the part reached engines, %d of them late; %d engines crashed", len(arrivals), late, len(crashes))
	assert.Check(t, late <= maxLate, "%d requests with the part reached engines late", late)
	assert.Check(t, len(crashes) <= maxCrashes, "%d engines crashed", len(crashes))
}

// Guards against requests that share a part of their prompt which crashes engines, and reach one
// engine after the other because no two of them are alike.
func TestPartThatCrashesEnginesReachesFew(t *testing.T) {
	for name, p := range map[string]prompts{"first part": {}, "later part": {last: true}} {
		t.Run(name, func(t *testing.T) {
			f := fleet.New(t, 3, 6)
			var before, after, bad outcomes
			send(t, f, soundPerSecond, 2*time.Second, p.sound, &before)
			poison := addPoison(f)
			const length = 12 * time.Second
			var group sync.WaitGroup
			group.Go(func() { send(t, f, badPerSecond, length, p.bad, &bad) })
			var during outcomes
			send(t, f, soundPerSecond, recoveredAfter+time.Second, p.sound, &during)
			send(t, f, soundPerSecond, length-recoveredAfter-time.Second, p.sound, &after)
			group.Wait()
			t.Logf("sound requests that began: %.3f before, %.3f at first, %.3f later (refused %v, %v)", before.share(), during.share(), after.share(), during.refused, after.refused)
			checkReached(t, poison)
			assert.Check(t, after.share() >= minBegun*before.share(), "%.3f of the sound requests began, %.3f before", after.share(), before.share())
		})
	}
}

// Guards against a crash that is taken for a whole answer: the engine answers without length or
// chunks and closes its connection in order.
func TestCrashInAnAnswerWithoutLengthIsCounted(t *testing.T) {
	f := fleet.New(t, 3, 6)
	for _, e := range f.Engines(fleet.Models) {
		e.SetUnframed(true)
	}
	poison := addPoison(f)
	const sent = 20
	var empty []int
	for i := range sent {
		got := f.Client.Do(t.Context(), f.Gateways[i%3].Address, fleet.Draft(prompts{}.bad()))
		if got.Status == 200 && got.LastEvent == 0 && !got.Truncated {
			empty = append(empty, i)
		}
		time.Sleep(50 * time.Millisecond)
	}
	assert.Check(t, len(empty) == 0, "requests %v got an empty answer as a whole one", empty)
	assert.Check(t, len(poison.Crashes()) <= maxCrashes, "%d engines crashed", len(poison.Crashes()))
}
