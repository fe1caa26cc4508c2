package losses

import (
	"cmp"
	"io"
	"slices"

	gochart "github.com/wcharczuk/go-chart/v2"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

const (
	chartWidth   = 1000
	chartHeight  = 420
	chartPadding = 60
)

// Chart draws the attempts that were not answered in time as SVG: over time, one
// line a cause on top of those before, so that the uppermost one is their sum.
func Chart(w io.Writer, report *Report) error {
	graph := gochart.Chart{
		Title: "attempts not answered in time, by cause", Width: chartWidth, Height: chartHeight,
		Background: gochart.Style{Padding: gochart.Box{Top: chartPadding, Left: chartPadding, Right: chartPadding, Bottom: chartPadding}},
		XAxis:      gochart.XAxis{Name: "second"},
		YAxis:      gochart.YAxis{Range: &gochart.ContinuousRange{Min: 0, Max: float64(mostLost(report) + 1)}},
	}
	below := make([]float64, len(report.Intervals))
	for _, cause := range causesByCount(report) {
		line := gochart.ContinuousSeries{Name: string(cause)}
		for i, span := range report.Intervals {
			below[i] += float64(span.Causes[cause])
			line.XValues = append(line.XValues, float64(span.FromMs)/float64(clock.Second))
			line.YValues = append(line.YValues, below[i])
		}
		graph.Series = append(graph.Series, line)
	}
	if len(graph.Series) == 0 || len(report.Intervals) == 1 {
		// The library draws no line without two points.
		graph.Series = []gochart.Series{gochart.ContinuousSeries{XValues: []float64{0, 1}, YValues: []float64{0, float64(mostLost(report))}}}
	}
	graph.Elements = []gochart.Renderable{gochart.Legend(&graph)}
	return graph.Render(gochart.SVG, w)
}

// mostLost returns the largest sum of causes within one span.
func mostLost(report *Report) int {
	most := 0
	for _, span := range report.Intervals {
		lost := 0
		for _, count := range span.Causes {
			lost += count
		}
		most = max(most, lost)
	}
	return most
}

// causesByCount returns all causes, the most frequent first.
func causesByCount(report *Report) []Cause {
	counts := make(map[Cause]int)
	for _, span := range report.Intervals {
		for cause, count := range span.Causes {
			counts[cause] += count
		}
	}
	causes := make([]Cause, 0, len(counts))
	for cause := range counts {
		causes = append(causes, cause)
	}
	slices.SortFunc(causes, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	return causes
}
