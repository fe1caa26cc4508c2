package fluid_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jujubescale/jujubescale/internal/bench/fluid"
)

func model() *fluid.Model {
	return &fluid.Model{
		Name: "m", Seconds: 10,
		Pools: []fluid.Pool{{Name: "encode", Engines: 2, Slots: 1}, {Name: "model", Engines: 10, Slots: 1}},
		Routes: []fluid.Route{
			{Name: "draft", PerSecond: 10, Worth: 4, ObjectiveMs: 1000, Uses: []fluid.Use{{Pool: "encode", SlotMs: 100}, {Pool: "model", SlotMs: 100}}},
			{Name: "guide", PerSecond: 10, Worth: 1, ObjectiveMs: 1000, Uses: []fluid.Use{{Pool: "encode", SlotMs: 50}}},
		},
	}
}

func ExampleNewBound() {
	bound := fluid.NewBound(&fluid.Model{
		Name: "m", Seconds: 2,
		Pools:  []fluid.Pool{{Name: "encode", Engines: 1, Slots: 1}},
		Routes: []fluid.Route{{Name: "draft", PerSecond: 10, Worth: 1, ObjectiveMs: 1, Uses: []fluid.Use{{Pool: "encode", SlotMs: 200}}}},
	}, 2)
	fmt.Printf("%.2f %s\n", bound.Worth, bound.Intervals[0].BottleneckText())
	// Output: 0.50 encode
}

func TestLoadWithinCapacityIsServed(t *testing.T) {
	b := fluid.NewBound(model(), 2)
	assert.Equal(t, len(b.Intervals), 5)
	assert.Equal(t, b.Worth, 1.0)
}

// Guards against a bound that ignores a burst, or that serves requests of lower value first.
func TestBurstServesMostValuableRequests(t *testing.T) {
	m := model()
	m.Events = []fluid.Event{{FromS: 2, ToS: 4, Route: "*", Times: 4}, {FromS: 6, ToS: 8, Pool: "encode", Times: 0}}
	b := fluid.NewBound(m, 2)
	assert.Equal(t, b.Intervals[0].Worth, 1.0)
	burst := b.Intervals[1]
	assert.Assert(t, math.Abs(burst.Offered[0]-80) < 1e-6)
	// Two engines work for 3 s each, the interval and the objective: 60 drafts at 100 ms and no
	// guides.
	assert.Assert(t, math.Abs(burst.Served[0]-60) < 1e-6 && burst.Served[1] < 1e-6, "%+v", burst)
	assert.DeepEqual(t, burst.Bottlenecks, []string{"encode"})
	assert.Assert(t, b.Intervals[3].Worth < 1)
	assert.Assert(t, b.ByRoute[0] > b.ByRoute[1])
}

// Guards against solutions that exceed a limit or are not optimal.
func TestSolutionsAreOptimal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := model()
		for i := range m.Routes {
			m.Routes[i].PerSecond = rapid.Float64Range(0, 60).Draw(t, "rate")
			m.Routes[i].Worth = rapid.Float64Range(0.1, 5).Draw(t, "worth")
			for j := range m.Routes[i].Uses {
				m.Routes[i].Uses[j].SlotMs = rapid.Float64Range(0, 300).Draw(t, "use")
			}
		}
		b := fluid.NewBound(m, 2)
		var best [][]float64
		for _, interval := range b.Intervals {
			best = append(best, interval.Served)
			if interval.Served[0] > interval.Offered[0]+1e-6 || interval.Served[1] > interval.Offered[1]+1e-6 {
				t.Fatalf("more served than offered: %+v", interval)
			}
		}
		if !fits(m, best, 1e-3) {
			t.Fatalf("%v does not fit", best)
		}
		for range 20 {
			alternative := moveServed(t, b)
			if fits(m, alternative, 0) && worth(m, alternative) > worth(m, best)+1e-6 {
				t.Fatalf("%v is better than %v", alternative, best)
			}
		}
	})
}

// fits reports whether the engine time suffices for the served requests of each window of
// two-second intervals, including the objective of one second after the window.
func fits(m *fluid.Model, served [][]float64, slackMs float64) bool {
	first, second := m.Routes[0].Uses, m.Routes[1].Uses
	for from := range served {
		encode, models := 0.0, 0.0
		for to := from; to < len(served); to++ {
			encode += served[to][0]*first[0].SlotMs + served[to][1]*second[0].SlotMs
			models += served[to][0] * first[1].SlotMs
			seconds := float64(2*(to-from+1) + 1)
			if encode > 2*1000*seconds+slackMs || models > 10*1000*seconds+slackMs {
				return false
			}
		}
	}
	return true
}

func worth(m *fluid.Model, served [][]float64) float64 {
	sum := 0.0
	for _, counts := range served {
		sum += counts[0]*m.Routes[0].Worth + counts[1]*m.Routes[1].Worth
	}
	return sum
}

// moveServed randomly changes the numbers of served requests, between 0 and the numbers of
// requests that arrive.
func moveServed(t *rapid.T, b *fluid.Bound) [][]float64 {
	var other [][]float64
	for _, interval := range b.Intervals {
		var counts []float64
		for r, offered := range interval.Offered {
			count := interval.Served[r] + rapid.Float64Range(-1, 1).Draw(t, "move")*offered
			counts = append(counts, min(max(count, 0), offered))
		}
		other = append(other, counts)
	}
	return other
}

func TestInvalidModelsAreRejected(t *testing.T) {
	for field, text := range map[string]string{
		"model":     `{`,
		"seconds":   `{"name":"m"}`,
		"pools[0]":  `{"seconds":1,"pools":[{"name":"a"}],"routes":[{}]}`,
		"pools[1]":  `{"seconds":1,"pools":[{"name":"a","engines":1,"slots":1},{"name":"a","engines":1,"slots":1}],"routes":[{}]}`,
		"routes[0]": `{"seconds":1,"pools":[{"name":"a","engines":1,"slots":1}],"routes":[{"name":"r","worth":1,"objectiveMs":1,"uses":[{"pool":"b"}]}]}`,
		"events[0]": `{"seconds":1,"pools":[{"name":"a","engines":1,"slots":1}],"routes":[{"name":"r","worth":1,"objectiveMs":1}],"events":[{"route":"x","toS":1}]}`,
	} {
		_, err := fluid.Read(strings.NewReader(text))
		assert.ErrorContains(t, err, field+":")
	}
	_, err := fluid.Read(strings.NewReader(`{"seconds":1,"more":2}`))
	assert.ErrorContains(t, err, "more")
}

func FuzzRead(f *testing.F) {
	f.Add(`{"seconds":1,"pools":[{"name":"a","engines":1,"slots":1}],"routes":[{"name":"r","worth":1,"objectiveMs":1,"perSecond":3}]}`)
	f.Fuzz(func(_ *testing.T, text string) {
		m, err := fluid.Read(strings.NewReader(text))
		if err != nil || m.Seconds > 100 {
			return
		}
		fluid.NewBound(m, 10)
	})
}
