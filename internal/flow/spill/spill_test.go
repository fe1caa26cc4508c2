package spill_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/flow/spill"
)

func first(int) int { return 0 }

func ExampleChoose() {
	shards := []spill.Shard{{Zone: "east", Wait: 300, Known: true}, {Zone: "west", Wait: 20, Known: true}}
	fmt.Println(spill.Choose(shards, spill.Preference{Zone: "east"}, func(int) int { return 0 }))
	fmt.Println(spill.Choose(shards, spill.Preference{Zone: "east", ExtraWait: 400}, func(int) int { return 0 }))
	// Output:
	// 1
	// 0
}

// Guards against pieces that go where nobody makes them: to a shard whose owner is
// silent, that was asked in vain, or of which nothing is known.
func TestUncertainShardsAreAvoided(t *testing.T) {
	want := spill.Preference{Zone: "a"}
	for name, tt := range map[string]struct {
		shards []spill.Shard
		want   int
	}{
		"silent owner":      {[]spill.Shard{{Zone: "a", Known: true, Staleness: 600}, {Zone: "b", Known: true, Wait: 200}}, 1},
		"tried":             {[]spill.Shard{{Zone: "a", Known: true, Tried: true}, {Zone: "b", Known: true, Wait: 2000}}, 1},
		"unknown far away":  {[]spill.Shard{{Zone: "a", Known: true, Wait: 500}, {Zone: "b"}}, 0},
		"unknown near":      {[]spill.Shard{{Zone: "a"}, {Zone: "b", Known: true}}, 0},
		"nothing known":     {[]spill.Shard{{Zone: "b"}, {Zone: "c"}}, 0},
		"all tried":         {[]spill.Shard{{Zone: "a", Tried: true}, {Zone: "b", Tried: true}}, spill.None},
		"one that is whole": {[]spill.Shard{{Known: true, Wait: 5000}}, 0},
		"none":              {nil, spill.None},
	} {
		assert.Equal(t, spill.Choose(tt.shards, want, first), tt.want, name)
	}
}

// zone is one shard of a play: engines that make ten pieces in 370 ms each, and
// the queue before them.
type zone struct {
	busy    []clock.Millis
	waiting []clock.Millis // when each piece arrived
	told    float64        // the wait that its owner reported last
}

func (z *zone) wait() float64 {
	return float64(len(z.waiting)) / float64(10*len(z.busy)) * 370
}

func (z *zone) step(now clock.Millis, served *[]clock.Millis) {
	for i, until := range z.busy {
		if until > now || len(z.waiting) == 0 {
			continue
		}
		count := min(10, len(z.waiting))
		for _, arrived := range z.waiting[:count] {
			*served = append(*served, now+370-arrived)
		}
		z.waiting = z.waiting[count:]
		z.busy[i] = now + 370
	}
}

// play sends pieces to five shards of nine engines for ten seconds. One zone's
// callers send half of all. Owners report ten times a second.
func play(spills bool) (late, total int) {
	random := rand.New(rand.NewPCG(1, 2))
	zones := make([]*zone, 5)
	for i := range zones {
		zones[i] = &zone{busy: make([]clock.Millis, 9)}
	}
	var served []clock.Millis
	for now := clock.Millis(0); now < 12*clock.Second; now++ {
		if now < 10*clock.Second && random.Float64() < 0.95 { // 950 of 1,216 a second
			at := 0
			if random.IntN(2) == 0 {
				at = random.IntN(5)
			}
			if spills {
				shards := make([]spill.Shard, len(zones))
				for i, z := range zones {
					shards[i] = spill.Shard{Zone: fmt.Sprint(i), Wait: z.told, Known: true}
				}
				at = spill.Choose(shards, spill.Preference{Zone: fmt.Sprint(at)}, random.IntN)
			}
			zones[at].waiting = append(zones[at].waiting, now)
		}
		for _, z := range zones {
			z.step(now, &served)
			if now%100 == 0 {
				z.told = z.wait()
			}
		}
	}
	for _, took := range served {
		if took > 1100 {
			late++
		}
	}
	for _, z := range zones {
		late += len(z.waiting)
		total += len(z.waiting)
	}
	return late, total + len(served)
}

// Half of all callers stand in one zone, whose engines do a fifth of the work.
// Kept there, their pieces wait for seconds while other zones are half idle; with
// spilling, nearly all are made within 1,100 ms.
func TestBurstInOneZoneFlowsOver(t *testing.T) {
	kept, total := play(false)
	spilled, _ := play(true)
	t.Logf("late of %d: %d kept in their zone, %d spilled", total, kept, spilled)
	assert.Assert(t, kept*4 > total)
	assert.Assert(t, spilled*50 < total, "%d of %d", spilled, total)
}
