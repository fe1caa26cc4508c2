package blame_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/blame"
	"github.com/jujubescale/jujubescale/internal/flow/crash"
)

// The load: requests with a culprit arrive beside sound ones at random gateways, engines crash
// under it or stop for another reason, and reports are late or lost.
const (
	tick         = 10 * clock.Millis(1)
	playTime     = 20 * clock.Second
	soundPerTick = 1
	badEvery     = 4 // ticks
	// firstEventTime is how long an engine takes to its first event or crash, restartTime until it
	// is back.
	firstEventTime = 80 * clock.Millis(1)
	restartTime    = 2 * clock.Second
	// maxDelay is the longest time that a report takes, lostShare the share of those lost.
	maxDelay  = 250 * clock.Millis(1)
	lostShare = 0.05
	// Targets: engines that crash under one part, and the time for which a sound part is refused.
	maxCrashes = 8
	maxRefused = 5 * clock.Second
)

// load is one play.
type load struct {
	random   *rand.Rand
	now      clock.Millis
	gateways []*blame.Tracker
	engines  []loadEngine
	running  []loadRequest
	mail     []loadMail
	culprits []string
	// stops is the chance of an unrelated stop of engines in a tick.
	stops float64

	crashes map[string]int
	// refusedSince holds since when requests with a sound part are refused without one that was
	// allowed, longest the longest such time.
	refusedSince map[string]clock.Millis
	longest      clock.Millis
	longestPart  string
}

type loadEngine struct {
	run    int
	downTo clock.Millis
}

type loadRequest struct {
	gateway, engine, run int
	parts                []blame.Part
	culprit              string
	firstEventAt         clock.Millis
}

type loadMail struct {
	to      int
	at      clock.Millis
	reports []blame.Report
}

func newLoad(seed uint64, gateways, engines, culprits int, stops float64) *load {
	l := &load{
		random: rand.New(rand.NewPCG(seed, 1)), now: 1, engines: make([]loadEngine, engines), stops: stops,
		crashes: make(map[string]int), refusedSince: make(map[string]clock.Millis),
	}
	for range gateways {
		l.gateways = append(l.gateways, blame.New())
	}
	for i := range culprits {
		l.culprits = append(l.culprits, fmt.Sprint("culprit", i))
	}
	return l
}

// soundIDs draws the shared parts of a sound prompt.
func (l *load) soundIDs() []string {
	prompt := []string{"all", fmt.Sprint("popular", l.random.IntN(4))}
	switch l.random.IntN(10) {
	case 0:
		prompt = append(prompt, fmt.Sprint("rare", l.random.IntN(64)))
	case 1:
		prompt = append(prompt, fmt.Sprint("new", l.random.Uint32()))
	}
	return prompt
}

// arrive handles a new request with at most one culprit.
func (l *load) arrive(prompt []string, culprit string) {
	all := parts(prompt...)
	gateway := l.random.IntN(len(l.gateways))
	verdict := l.gateways[gateway].Check(all, v1, l.now)
	if len(verdict.Held) > 0 && (verdict.Wait > 0 || !l.askOwner(gateway, verdict.Held)) {
		if culprit == "" {
			l.recordRefusal(verdict.Held)
		}
		return
	}
	if culprit == "" {
		for _, id := range prompt {
			delete(l.refusedSince, id)
		}
	}
	engine := l.random.IntN(len(l.engines))
	for range len(l.engines) {
		if l.engines[engine].downTo <= l.now {
			break
		}
		engine = (engine + 1) % len(l.engines)
	}
	if l.engines[engine].downTo > l.now {
		return
	}
	l.running = append(l.running, loadRequest{
		gateway: gateway, engine: engine, run: l.engines[engine].run, parts: all, culprit: culprit,
		firstEventAt: l.now + firstEventTime/2 + clock.Millis(l.random.IntN(int(firstEventTime))),
	})
}

func (l *load) recordRefusal(held []blame.Part) {
	for _, part := range held {
		since, found := l.refusedSince[part.ID]
		if !found {
			since = l.now
			l.refusedSince[part.ID] = l.now
		}
		if l.now-since > l.longest {
			l.longest, l.longestPart = l.now-since, part.ID
		}
	}
}

func (l *load) askOwner(gateway int, held []blame.Part) bool {
	owner := int(held[0].Key[0]) % len(l.gateways)
	granted, wait := l.gateways[owner].TakeTrial(held, v1, l.now)
	if !granted {
		l.gateways[gateway].Postpone(held, l.now+wait)
	}
	return granted
}

// stop ends engines and breaks off what they run. If there is a culprit, it caused that.
func (l *load) stop(engines map[int]bool, culprit string) {
	if culprit != "" {
		l.crashes[culprit]++
	}
	suspects := make(map[[2]int][][]blame.Part)
	kept := l.running[:0]
	for _, r := range l.running {
		if !engines[r.engine] {
			kept = append(kept, r)
			continue
		}
		at := [2]int{r.gateway, r.engine}
		suspects[at] = append(suspects[at], r.parts)
	}
	l.running = kept
	for at, requests := range suspects {
		l.gateways[at[0]].RecordCrash(fmt.Sprintf("e%d/%d", at[1], l.engines[at[1]].run), v1, requests, l.now)
	}
	for engine := range engines {
		l.engines[engine].run++
		l.engines[engine].downTo = l.now + restartTime
	}
}

// finish handles the first events of requests, and crashes in place of them.
func (l *load) finish() {
	for i := 0; i < len(l.running); i++ {
		r := l.running[i]
		if r.firstEventAt > l.now {
			continue
		}
		if r.culprit != "" {
			l.stop(map[int]bool{r.engine: true}, r.culprit)
			i = -1 // the list has changed
			continue
		}
		l.running = append(l.running[:i], l.running[i+1:]...)
		i--
		l.gateways[r.gateway].RecordAnswer(fmt.Sprint("e", r.engine), v1, r.parts, l.now)
	}
}

func (l *load) deliver() {
	kept := l.mail[:0]
	for _, m := range l.mail {
		if m.at > l.now {
			kept = append(kept, m)
			continue
		}
		l.gateways[m.to].AddReports(m.reports, l.now)
	}
	l.mail = kept
	for from, g := range l.gateways {
		reports, _ := g.TakeUnsent()
		if len(reports) == 0 {
			continue
		}
		for to := range l.gateways {
			if to != from && l.random.Float64() >= lostShare {
				l.mail = append(l.mail, loadMail{to: to, at: l.now + 5 + clock.Millis(l.random.IntN(int(maxDelay))), reports: reports})
			}
		}
	}
}

func (l *load) play() {
	for step := 0; l.now < playTime; step++ {
		l.now += tick
		l.finish()
		l.deliver()
		if l.random.Float64() < l.stops {
			stopped := make(map[int]bool)
			for range 1 + l.random.IntN(max(len(l.engines)/2, 1)) {
				stopped[l.random.IntN(len(l.engines))] = true
			}
			l.stop(stopped, "")
		}
		for range soundPerTick {
			l.arrive(l.soundIDs(), "")
		}
		if step%badEvery == 0 && l.now > 2*clock.Second {
			for _, culprit := range l.culprits {
				l.arrive(append(l.soundIDs(), culprit), culprit)
			}
		}
		if step%400 == 0 {
			for i, g := range l.gateways {
				g.Restate(func(key crash.Key) bool { return int(key[0])%len(l.gateways) == i }, l.now)
			}
		}
	}
}

// Guards against culprits that crash many engines, and sound parts that are refused for long:
// beside one or two culprits, at engines that stop for other reasons, with reports late or lost.
func TestCulpritsCrashFewEnginesAndSoundPartsAreServed(t *testing.T) {
	seeds := uint64(1000)
	if testing.Short() {
		seeds = 50
	}
	var worst, total, plays int
	var longest clock.Millis
	for seed := range seeds {
		gateways := []int{3, 24}[seed%2]
		l := newLoad(seed, gateways, 6+int(seed%3)*9, int(seed%4/2+seed%2), float64(seed%5)*0.002)
		l.play()
		for culprit, crashes := range l.crashes {
			assert.Check(t, crashes <= maxCrashes, "seed %d: %d engines crashed under %s", seed, crashes, culprit)
			worst, total, plays = max(worst, crashes), total+crashes, plays+1
		}
		assert.Check(t, l.longest <= maxRefused, "seed %d: sound requests with %s were refused for %d ms", seed, l.longestPart, l.longest)
		longest = max(longest, l.longest)
	}
	t.Logf("%.1f engines crashed under a culprit, %d at most; a sound part was refused for %d ms at most", float64(total)/float64(max(plays, 1)), worst, longest)
}

// Guards against trials that grow with the fleet.
func TestCulpritCrashesFewEnginesOfALargeFleet(t *testing.T) {
	for seed := range uint64(3) {
		l := newLoad(seed, 300, 48, 1, 0.002)
		l.play()
		t.Logf("seed %d: %v, a sound part was refused for %d ms at most", seed, l.crashes, l.longest)
		assert.Check(t, l.crashes["culprit0"] <= maxCrashes, "%v", l.crashes)
		assert.Check(t, l.longest <= maxRefused, "%s: %d ms", l.longestPart, l.longest)
	}
}
