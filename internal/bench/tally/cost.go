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
	// UsefulMs is the engine time of answers within their deadline. WastedMs is the engine
	// time of late, incomplete or missing answers and of duplicate runs.
	UsefulMs float64 `json:"usefulMs"`
	WastedMs float64 `json:"wastedMs"`
	// PerAnswerMs is the engine time of the pool divided by the number of its runs for
	// answers in time.
	PerAnswerMs float64 `json:"perAnswerMs"`
	answers     int
}

// Wasted returns the share of the engine time that was wasted.
func (s *Stage) Wasted() float64 {
	if s.UsefulMs+s.WastedMs == 0 {
		return 0
	}
	return s.WastedMs / (s.UsefulMs + s.WastedMs)
}

// Pool is the engine time of the endpoints of a pool.
type Pool struct {
	Name  string
	Usage []slots.Usage
}

// AddCosts sets the cost of each stage. It ignores the engine time of requests before and
// after the measurement.
func (r *Result) AddCosts(records []drive.Record, pools []Pool) {
	byRequest := make(map[string]*drive.Record, len(records))
	for i := range records {
		if records[i].RequestID != "" {
			byRequest[records[i].RequestID] = &records[i]
		}
	}
	var useful, wasted float64
	for _, pool := range pools {
		stage := stageCosts(pool, byRequest)
		useful += stage.UsefulMs
		wasted += stage.WastedMs
		r.Stages = append(r.Stages, stage)
	}
	if useful+wasted > 0 {
		r.WastedShare = wasted / (useful + wasted)
	}
}

func stageCosts(pool Pool, byRequest map[string]*drive.Record) Stage {
	stage := Stage{Pool: pool.Name}
	// An answer needs one complete run of a stage. Other runs were hedges or retries whose
	// results were not used.
	counted := make(map[string]bool)
	for _, usage := range pool.Usage {
		request, _, _ := strings.Cut(usage.ID, "/")
		run := usage.ID[:strings.LastIndexByte(usage.ID, '/')+1]
		record := byRequest[request]
		if record != nil && !record.Measured {
			continue
		}
		spent := float64(usage.Spent) / float64(time.Millisecond)
		if record == nil || record.Outcome != drive.InTime || !usage.Finished || counted[run] {
			stage.WastedMs += spent
			continue
		}
		counted[run] = true
		stage.UsefulMs += spent
		stage.answers++
	}
	if stage.answers > 0 {
		stage.PerAnswerMs = (stage.UsefulMs + stage.WastedMs) / float64(stage.answers)
	}
	return stage
}

// Ledger returns how often the call with the given mark ran, as counted by the plain
// services.
type Ledger func(mark string) int

// CheckAtMostOnce counts violations for calls that must not be repeated. It includes calls
// before and after the measurement.
func (r *Result) CheckAtMostOnce(records []drive.Record, ledger Ledger) {
	for i := range records {
		record := &records[i]
		if !strings.HasPrefix(record.Mark, drive.AtMostOncePrefix) {
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
