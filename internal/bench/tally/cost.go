package tally

import (
	"strings"
	"time"

	"github.com/jujubescale/jujubescale/internal/base/fault"
	"github.com/jujubescale/jujubescale/internal/bench/drive"
	"github.com/jujubescale/jujubescale/internal/stand/slots"
)

// Stage is the engine time spent in one pool.
type Stage struct {
	Pool string `json:"pool"`
	// UsefulMs went into answers within their deadline, WastedMs into nothing:
	// answers that came late or not at all, and runs done twice.
	UsefulMs float64 `json:"usefulMs"`
	WastedMs float64 `json:"wastedMs"`
	// PerAnswerMs is all engine time here by answers in time that ran here.
	PerAnswerMs float64 `json:"perAnswerMs"`
	answers     int
}

// Wasted returns the share of the engine time that went into nothing.
func (s *Stage) Wasted() float64 {
	if s.UsefulMs+s.WastedMs == 0 {
		return 0
	}
	return s.WastedMs / (s.UsefulMs + s.WastedMs)
}

// Pool is the engine time that one pool's endpoints spent.
type Pool struct {
	Name  string
	Usage []slots.Usage
}

// Cost fills in the cost by stage. Work for requests before and after the
// measurement does not count.
func (r *Result) Cost(records []drive.Record, pools []Pool) {
	byRequest := make(map[string]*drive.Record, len(records))
	for i := range records {
		if records[i].RequestID != "" {
			byRequest[records[i].RequestID] = &records[i]
		}
	}
	var useful, wasted float64
	for _, pool := range pools {
		stage := costOf(pool, byRequest)
		useful += stage.UsefulMs
		wasted += stage.WastedMs
		r.Stages = append(r.Stages, stage)
	}
	if useful+wasted > 0 {
		r.WastedShare = wasted / (useful + wasted)
	}
}

func costOf(pool Pool, byRequest map[string]*drive.Record) Stage {
	stage := Stage{Pool: pool.Name}
	// One whole run of a stage is what the answer needed; others were hedges or
	// retries whose result nobody used.
	used := make(map[string]bool)
	for _, usage := range pool.Usage {
		request, _, _ := strings.Cut(usage.ID, "/")
		work := usage.ID[:strings.LastIndexByte(usage.ID, '/')+1]
		record := byRequest[request]
		if record != nil && !record.Counts {
			continue
		}
		spent := float64(usage.Spent) / float64(time.Millisecond)
		if record == nil || record.Outcome != drive.InTime || !usage.Finished || used[work] {
			stage.WastedMs += spent
			continue
		}
		used[work] = true
		stage.UsefulMs += spent
		stage.answers++
	}
	if stage.answers > 0 {
		stage.PerAnswerMs = (stage.UsefulMs + stage.WastedMs) / float64(stage.answers)
	}
	return stage
}

// Ledger is what the plain services count: how often the call with a mark ran.
type Ledger func(mark string) int

// Once fills in the checks of calls that may not be repeated, with those before and after the measurement.
func (r *Result) Once(records []drive.Record, ledger Ledger) {
	for i := range records {
		record := &records[i]
		if !strings.HasPrefix(record.Mark, drive.OnceMark) {
			continue
		}
		runs := ledger(record.Mark)
		if runs > 1 {
			r.Doubled++
		}
		if record.Outcome == drive.Refused && record.Ran == fault.NotRun && runs > 0 {
			r.FalseNotRun++
		}
	}
}
