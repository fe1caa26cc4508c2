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

// Guards against pieces that are sent to a shard that does not process them: its owner
// does not report, an earlier attempt failed, or the shard is unknown.
func TestUncertainShardsAreAvoided(t *testing.T) {
	preferred := spill.Preference{Zone: "a"}
	for name, tt := range map[string]struct {
		shards []spill.Shard
		want   int
	}{
		"stale owner":       {[]spill.Shard{{Zone: "a", Known: true, Staleness: 600}, {Zone: "b", Known: true, Wait: 200}}, 1},
		"tried":             {[]spill.Shard{{Zone: "a", Known: true, Tried: true}, {Zone: "b", Known: true, Wait: 2000}}, 1},
		"unknown elsewhere": {[]spill.Shard{{Zone: "a", Known: true, Wait: 500}, {Zone: "b"}}, 0},
		"unknown preferred": {[]spill.Shard{{Zone: "a"}, {Zone: "b", Known: true}}, 0},
		"nothing known":     {[]spill.Shard{{Zone: "b"}, {Zone: "c"}}, 0},
		"all tried":         {[]spill.Shard{{Zone: "a", Tried: true}, {Zone: "b", Tried: true}}, spill.None},
		"undivided pool":    {[]spill.Shard{{Known: true, Wait: 5000}}, 0},
		"no shards":         {nil, spill.None},
	} {
		assert.Equal(t, spill.Choose(tt.shards, preferred, first), tt.want, name)
	}
}

// zone is one simulated shard: engines that process ten pieces in 370 ms each, and
// their queue.
type zone struct {
	busy         []clock.Millis
	waiting      []clock.Millis // arrival time of each piece
	reportedWait float64        // last wait reported by its owner
}

func (z *zone) wait() float64 {
	return float64(len(z.waiting)) / float64(10*len(z.busy)) * 370
}

func (z *zone) step(now clock.Millis, served *[]clock.Millis) {
	for i, end := range z.busy {
		if end > now || len(z.waiting) == 0 {
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

// simulate sends pieces to five shards of nine engines for ten seconds. Half of all
// pieces come from callers in one zone. Owners report ten times a second.
func simulate(spills bool) (late, total int) {
	random := rand.New(rand.NewPCG(1, 2))
	zones := make([]*zone, 5)
	for i := range zones {
		zones[i] = &zone{busy: make([]clock.Millis, 9)}
	}
	var served []clock.Millis
	for now := clock.Millis(0); now < 12*clock.Second; now++ {
		if now < 10*clock.Second && random.Float64() < 0.95 { // 950 of 1,216 a second
			target := 0
			if random.IntN(2) == 0 {
				target = random.IntN(5)
			}
			if spills {
				shards := make([]spill.Shard, len(zones))
				for i, z := range zones {
					shards[i] = spill.Shard{Zone: fmt.Sprint(i), Wait: z.reportedWait, Known: true}
				}
				target = spill.Choose(shards, spill.Preference{Zone: fmt.Sprint(target)}, random.IntN)
			}
			zones[target].waiting = append(zones[target].waiting, now)
		}
		for _, z := range zones {
			z.step(now, &served)
			if now%100 == 0 {
				z.reportedWait = z.wait()
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

// Half of all callers are in one zone that has a fifth of the engines. Without spilling,
// their pieces wait for seconds while other zones are half idle. With spilling, almost
// all are processed within 1,100 ms.
func TestBurstInOneZoneSpillsOver(t *testing.T) {
	kept, total := simulate(false)
	spilled, _ := simulate(true)
	t.Logf("late of %d: %d kept in their zone, %d spilled", total, kept, spilled)
	assert.Assert(t, kept*4 > total)
	assert.Assert(t, spilled*50 < total, "%d of %d", spilled, total)
}
