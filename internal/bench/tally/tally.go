// Package tally computes results from the records of a load and the engine time of the
// endpoints: deadline attainment, cost by stage, and service during faults and planned
// stops.
package tally

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/bench/drive"
	"github.com/jujubescale/jujubescale/internal/bench/plan"
	"github.com/jujubescale/jujubescale/internal/stand/plat"
)

// Result is the result of one run of an experiment.
type Result struct {
	Experiment    string  `json:"experiment"`
	System        string  `json:"system"`
	RatePerSecond float64 `json:"ratePerSecond"`
	// AttainableShare is the share of the requests for which the capacity suffices.
	AttainableShare float64 `json:"allowed"`
	Counts
	// Attainment is the share of all requests with a complete answer within the deadline.
	Attainment float64 `json:"attainment"`
	// WorstSecond is the lowest attainment of any second.
	WorstSecond float64 `json:"worstSecond"`
	// Doubled counts calls that must not be repeated and ran more than once.
	Doubled int `json:"doubled"`
	// FalseNotRun counts refusals with notRun for calls that ran.
	FalseNotRun int       `json:"falseNotRun"`
	LatencyMs   Quantiles `json:"latencyMs"`
	FirstMs     Quantiles `json:"firstMs"`
	Seconds     []Second  `json:"seconds"`
	Stages      []Stage   `json:"stages"`
	// WastedShare is the share of all engine time that did not contribute to an answer in
	// time.
	WastedShare float64         `json:"wastedShare"`
	Refusals    []Refusal       `json:"refusals,omitempty"`
	Details     []Detail        `json:"details,omitempty"`
	Falls       int             `json:"falls"`
	Zones       []EvacuatedZone `json:"zones,omitempty"`
	Platform    plat.Calls      `json:"platform"`
	Faults      []plan.Fault    `json:"faults,omitempty"`
}

// Counts holds the numbers of requests by outcome.
type Counts struct {
	Sent    int `json:"sent"`
	InTime  int `json:"inTime"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Cut     int `json:"cut"`
	Wrong   int `json:"wrong"`
}

// Attained returns the share of requests answered in time, or 1 if none was sent.
func (c *Counts) Attained() float64 {
	if c.Sent == 0 {
		return 1
	}
	return float64(c.InTime) / float64(c.Sent)
}

func (c *Counts) add(outcome drive.Outcome) {
	c.Sent++
	switch outcome {
	case drive.InTime:
		c.InTime++
	case drive.Late:
		c.Late++
	case drive.Refused:
		c.Refused++
	case drive.Cut:
		c.Cut++
	case drive.Wrong:
		c.Wrong++
	}
}

// Second counts the requests whose intended send time lies in one second of the
// measurement.
type Second struct {
	Second int `json:"second"`
	Counts
}

// Quantiles holds quantiles of durations in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Refusal counts the refusals with the same reason and state of execution.
type Refusal struct {
	Reason fault.Reason `json:"reason"`
	Ran    fault.Ran    `json:"ran"`
	Count  int          `json:"count"`
}

// Detail counts requests that were cut or wrong with the same detail.
type Detail struct {
	Outcome drive.Outcome `json:"outcome"`
	Detail  string        `json:"detail"`
	Count   int           `json:"count"`
}

// EvacuatedZone is an availability zone that operators took out of use. LastNewWorkMs is the
// time from then to the start of the last new work in the zone.
type EvacuatedZone struct {
	Zone          string `json:"zone"`
	LastNewWorkMs int64  `json:"lastNewWorkMs"`
}

// AddRequests sets the results that follow from the records. It ignores records before and
// after the measurement.
func (r *Result) AddRequests(records []drive.Record, seconds int) {
	r.Seconds = make([]Second, seconds)
	for i := range r.Seconds {
		r.Seconds[i].Second = i
	}
	latency, first := histogram(), histogram()
	for i := range records {
		record := &records[i]
		if !record.Measured {
			continue
		}
		r.add(record.Outcome)
		r.Seconds[min(int(record.At/time.Second), seconds-1)].add(record.Outcome)
		if record.Outcome == drive.InTime || record.Outcome == drive.Late {
			recordDuration(latency, record.Took)
		}
		if record.First > 0 {
			recordDuration(first, record.First)
		}
	}
	r.Attainment = r.Attained()
	r.WorstSecond = 1
	for i := range r.Seconds {
		r.WorstSecond = min(r.WorstSecond, r.Seconds[i].Attained())
	}
	r.LatencyMs, r.FirstMs = quantiles(latency), quantiles(first)
	r.Refusals, r.Details = refusals(records), details(records)
}

// Bounds of the histograms in microseconds.
const (
	minMicros         = 1
	maxMicros         = 120_000_000
	significantDigits = 3
)

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, significantDigits)
}

func recordDuration(h *hdrhistogram.Histogram, span time.Duration) {
	if err := h.RecordValue(min(span.Microseconds(), maxMicros)); err != nil {
		panic(err) // the value is within the histogram's bounds
	}
}

const microsPerMilli = 1000

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(quantile float64) float64 { return float64(h.ValueAtQuantile(quantile)) / microsPerMilli }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / microsPerMilli}
}

func refusals(records []drive.Record) []Refusal {
	counts := make(map[Refusal]int)
	for i := range records {
		if record := &records[i]; record.Measured && record.Reason != "" {
			counts[Refusal{Reason: record.Reason, Ran: record.Ran}]++
		}
	}
	var list []Refusal
	for kind, count := range counts {
		kind.Count = count
		list = append(list, kind)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Count > list[j].Count })
	return list
}

const maxDetails = 10

func details(records []drive.Record) []Detail {
	counts := make(map[Detail]int)
	for i := range records {
		record := &records[i]
		if record.Measured && (record.Outcome == drive.Cut || record.Outcome == drive.Wrong) {
			counts[Detail{Outcome: record.Outcome, Detail: string(record.Reason) + " " + record.Detail}]++
		}
	}
	var list []Detail
	for kind, count := range counts {
		kind.Count = count
		list = append(list, kind)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Count > list[j].Count })
	return list[:min(len(list), maxDetails)]
}
