// Package slope measures the marginal cost of sessions, known endpoints, organisations and
// configuration changes. Each probe measures several sizes and fits a line; docs/CAPACITY.md
// is based on the slopes.
package slope

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"syscall"
	"time"
)

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Line is a least-squares fit: y = Base + Slope * x.
type Line struct {
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
	// Error is the standard error of the slope.
	Error float64 `json:"error"`
	// R2 is the share of the variance that the line explains.
	R2 float64 `json:"r2"`
}

// Fit fits a line to at least three points with different X.
func Fit(points []Point) Line {
	n := float64(len(points))
	var sumX, sumY float64
	for _, p := range points {
		sumX += p.X
		sumY += p.Y
	}
	meanX, meanY := sumX/n, sumY/n
	var xx, xy, yy float64
	for _, p := range points {
		xx += (p.X - meanX) * (p.X - meanX)
		xy += (p.X - meanX) * (p.Y - meanY)
		yy += (p.Y - meanY) * (p.Y - meanY)
	}
	line := Line{Slope: xy / xx}
	line.Base = meanY - line.Slope*meanX
	residual := 0.0
	for _, p := range points {
		deviation := p.Y - line.Base - line.Slope*p.X
		residual += deviation * deviation
	}
	line.Error = math.Sqrt(residual / (n - 2) / xx)
	line.R2 = 1
	if yy > 0 {
		line.R2 = 1 - residual/yy
	}
	return line
}

// Probe measures one slope.
type Probe struct {
	// Name describes the measured cost, X is the counted thing and Y the unit of the cost.
	Name string
	X    string
	Y    string
	// Sizes are the measured values of X.
	Sizes []int
	// MeasureFunc returns the cost at one size.
	MeasureFunc func(ctx context.Context, size int) (float64, error)
}

// Result holds the points of a probe and the fitted line.
type Result struct {
	Name   string  `json:"name"`
	X      string  `json:"x"`
	Y      string  `json:"y"`
	Points []Point `json:"points"`
	Line   Line    `json:"line"`
}

// Run measures each size of a probe the given number of times, cycling through the sizes.
func Run(ctx context.Context, probe *Probe, repeats int) (*Result, error) {
	result := &Result{Name: probe.Name, X: probe.X, Y: probe.Y}
	for range repeats {
		for _, size := range probe.Sizes {
			cost, err := probe.MeasureFunc(ctx, size)
			if err != nil {
				return nil, fmt.Errorf("%s at %d: %w", probe.Name, size, err)
			}
			result.Points = append(result.Points, Point{X: float64(size), Y: cost})
		}
	}
	result.Line = Fit(result.Points)
	return result, nil
}

// Probes returns every probe, in the order of docs/CAPACITY.md.
func Probes() []Probe {
	return []Probe{
		sessionMemory(), sessionBytes(), heartbeatTime(),
		endpointMemory(), subsetTime(), rosterMemory(), rosterTime(), idleTime(),
		organisationMemory(), changeTime(), changeBytes(), headBytes(),
	}
}

// heap returns the bytes in use after a garbage collection, including stacks.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// processorTime returns the processor time that this process has used so far.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
