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

// Chart writes an SVG chart of the attempts that were not answered in time. The
// causes are stacked: each has one line, and the uppermost line is their sum.
func Chart(w io.Writer, report *Report) error {
	graph := gochart.Chart{
		Title: "attempts not answered in time, by cause", Width: chartWidth, Height: chartHeight,
		Background: gochart.Style{Padding: gochart.Box{Top: chartPadding, Left: chartPadding, Right: chartPadding, Bottom: chartPadding}},
		XAxis:      gochart.XAxis{Name: "second"},
		YAxis:      gochart.YAxis{Range: &gochart.ContinuousRange{Min: 0, Max: float64(mostLost(report) + 1)}},
	}
	stacked := make([]float64, len(report.Intervals))
	for _, cause := range causesByCount(report) {
		line := gochart.ContinuousSeries{Name: string(cause)}
		for i, span := range report.Intervals {
			stacked[i] += float64(span.Causes[cause])
			line.XValues = append(line.XValues, float64(span.FromMs)/float64(clock.Second))
			line.YValues = append(line.YValues, stacked[i])
		}
		graph.Series = append(graph.Series, line)
	}
	if len(graph.Series) == 0 || len(report.Intervals) == 1 {
		// The library needs at least one line with two points.
		graph.Series = []gochart.Series{gochart.ContinuousSeries{XValues: []float64{0, 1}, YValues: []float64{0, float64(mostLost(report))}}}
	}
	graph.Elements = []gochart.Renderable{gochart.Legend(&graph)}
	return graph.Render(gochart.SVG, w)
}

// mostLost returns the largest number of losses in one interval.
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

// causesByCount returns all causes, ordered by descending frequency.
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
