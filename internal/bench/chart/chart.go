// Package chart draws results as SVG, such as deadline attainment by second with marked
// faults and cost by stage.
package chart

import (
	"io"

	gochart "github.com/wcharczuk/go-chart/v2"

	"github.com/jujubescale/jujubescale/internal/bench/tally"
)

const (
	width           = 1000
	height          = 420
	percent         = 100
	millisPerSecond = 1000
	padding         = 60
)

// Attainment draws the attainment of each second with one line per result. It marks the
// faults of the first result.
func Attainment(w io.Writer, results []*tally.Result) error {
	graph := gochart.Chart{
		Title: "requests answered in time, % a second", Width: width, Height: height,
		Background: gochart.Style{Padding: gochart.Box{Top: padding, Left: padding, Right: padding, Bottom: padding}},
		XAxis:      gochart.XAxis{Name: "second"},
		YAxis:      gochart.YAxis{Range: &gochart.ContinuousRange{Min: 0, Max: percent}},
	}
	for _, result := range results {
		line := gochart.ContinuousSeries{Name: result.Experiment + " " + result.System}
		for i := range result.Seconds {
			line.XValues = append(line.XValues, float64(result.Seconds[i].Second))
			line.YValues = append(line.YValues, percent*result.Seconds[i].Attained())
		}
		graph.Series = append(graph.Series, line)
	}
	graph.Series = append(graph.Series, faultMarks(results[0])...)
	graph.Elements = []gochart.Renderable{gochart.Legend(&graph)}
	return graph.Render(gochart.SVG, w)
}

// faultMarks draws a vertical line at the time of each fault, with its name.
func faultMarks(result *tally.Result) []gochart.Series {
	var marks []gochart.Series
	for i, fault := range result.Faults {
		at := float64(fault.AtMs) / millisPerSecond
		height := percent / float64(len(result.Faults)+1) * float64(i+1)
		marks = append(marks,
			gochart.ContinuousSeries{
				XValues: []float64{at, at}, YValues: []float64{0, percent},
				Style: gochart.Style{StrokeColor: gochart.ColorRed, StrokeDashArray: []float64{5, 5}},
			},
			gochart.AnnotationSeries{Annotations: []gochart.Value2{
				{XValue: at, YValue: height, Label: string(fault.Name) + " " + fault.Target},
			}})
	}
	return marks
}

// Cost draws the engine time per answer in time for each stage, with one bar per result.
func Cost(w io.Writer, results []*tally.Result) error {
	const barWidth, barSpacing, perBar = 30, 15, 60
	graph := gochart.BarChart{
		Title: "engine time by answer in time, ms, by stage", Height: height, BarWidth: barWidth, BarSpacing: barSpacing,
		Background: gochart.Style{Padding: gochart.Box{Top: padding, Bottom: padding}},
		XAxis:      gochart.Style{TextRotationDegrees: 30, FontSize: 7},
		YAxis:      gochart.YAxis{Range: &gochart.ContinuousRange{Min: 0, Max: maxCost(results)}},
	}
	for stage := range results[0].Stages {
		for i, result := range results {
			color := gochart.GetDefaultColor(i)
			graph.Bars = append(graph.Bars, gochart.Value{
				Value: result.Stages[stage].PerAnswerMs,
				Label: result.Stages[stage].Pool + " " + result.System,
				Style: gochart.Style{FillColor: color, StrokeColor: color},
			})
		}
	}
	graph.Width = max(width, perBar*len(graph.Bars))
	return graph.Render(gochart.SVG, w)
}

func maxCost(results []*tally.Result) float64 {
	const headroom = 1.1
	highest := 1.0
	for _, result := range results {
		for _, stage := range result.Stages {
			highest = max(highest, stage.PerAnswerMs)
		}
	}
	return headroom * highest
}

// Bar is a bar in a chart of Shares.
type Bar struct {
	Label string
	Value float64
}

// Shares draws a bar chart of shares from 0 to 1.
func Shares(w io.Writer, title string, bars []Bar) error {
	const barWidth, barSpacing, perBar = 14, 6, 24
	graph := gochart.BarChart{
		Title: title, Height: height, Width: max(width, perBar*len(bars)), BarWidth: barWidth, BarSpacing: barSpacing,
		Background: gochart.Style{Padding: gochart.Box{Top: padding, Bottom: padding}},
		XAxis:      gochart.Style{TextRotationDegrees: 90, FontSize: 6},
		YAxis:      gochart.YAxis{Range: &gochart.ContinuousRange{Min: 0, Max: 1}},
	}
	for _, bar := range bars {
		graph.Bars = append(graph.Bars, gochart.Value{Label: bar.Label, Value: bar.Value})
	}
	return graph.Render(gochart.SVG, w)
}

// Line is a line in a chart of Lines.
type Line struct {
	Label string
	X, Y  []float64
}

// Lines draws a line chart of shares from 0 to 1 by second.
func Lines(w io.Writer, title string, lines []Line) error {
	graph := gochart.Chart{
		Title: title, Width: width, Height: height,
		Background: gochart.Style{Padding: gochart.Box{Top: padding, Left: padding, Right: padding, Bottom: padding}},
		XAxis:      gochart.XAxis{Name: "second"},
		YAxis:      gochart.YAxis{Range: &gochart.ContinuousRange{Min: 0, Max: 1}},
	}
	for _, line := range lines {
		graph.Series = append(graph.Series, gochart.ContinuousSeries{Name: line.Label, XValues: line.X, YValues: line.Y})
	}
	graph.Elements = []gochart.Renderable{gochart.Legend(&graph)}
	return graph.Render(gochart.SVG, w)
}
