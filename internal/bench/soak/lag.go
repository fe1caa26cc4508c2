package soak

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Lags are the times from the acknowledgement of a version until each process without faults had it, or a newer
// one, in force.
type Lags struct {
	Count, OverBound           int
	Median, Ninetieth, Highest time.Duration
	NinetyNinth                time.Duration
	// Worst holds the version and the process of the highest one.
	Worst lag
}

// lag is the time until a version was in force at a process.
type lag struct {
	publishedVersion
	process string
	took    time.Duration
}

// String describes the times in one line.
func (l Lags) String() string {
	round := func(d time.Duration) time.Duration { return d.Round(10 * time.Millisecond) }
	return fmt.Sprintf("%d, median %v, 90th %v, 99th %v, highest %v (version %d at %s, acknowledged at %s), %d over %v",
		l.Count, round(l.Median), round(l.Ninetieth), round(l.NinetyNinth), round(l.Highest), l.Worst.version, l.Worst.process, l.Worst.at.UTC().Format("15:04:05.000"), l.OverBound, changeWithin)
}

// DescribeLags describes the lags of all processes, and those of the one that gets most requests.
func (r *Report) DescribeLags() string {
	if r.BusiestLags.Count == 0 {
		return r.Lags.String()
	}
	return r.Lags.String() + "; at the busiest process " + r.BusiestLags.String()
}

func newLags(all []lag) Lags {
	if len(all) == 0 {
		return Lags{}
	}
	slices.SortFunc(all, func(a, b lag) int { return cmp.Compare(a.took, b.took) })
	at := func(share float64) time.Duration { return all[min(int(share*float64(len(all))), len(all)-1)].took }
	worst := all[len(all)-1]
	lags := Lags{Count: len(all), Median: at(0.5), Ninetieth: at(0.9), NinetyNinth: at(0.99), Highest: worst.took, Worst: worst}
	for _, one := range all {
		if one.took > changeWithin {
			lags.OverBound++
		}
	}
	return lags
}

// lagsAt returns the times until versions of moveRoute were in force at some processes, by their logs.
func (r *run) lagsAt(processes []*process) Lags {
	var all []lag
	for _, p := range processes {
		inForce, err := versionsInForce(p.logFile())
		if err != nil {
			r.addViolation("logs: %v", err)
			return Lags{}
		}
		history := p.history()
		for _, published := range r.moved.published {
			if took, measured := r.lagOf(p, history, inForce, published); measured {
				all = append(all, lag{publishedVersion: published, process: p.name, took: took})
			}
		}
	}
	return newLags(all)
}

// lagOf returns the time until a process had a version in force, and false if the process did not run then or a
// fault kept it from following the store.
func (r *run) lagOf(p *process, history []incarnation, inForce []publishedVersion, published publishedVersion) (time.Duration, bool) {
	current := slices.IndexFunc(history, func(one incarnation) bool {
		return one.began.Before(published.at.Add(-stableTime)) && (one.ended.IsZero() || one.ended.After(published.at))
	})
	if current < 0 || published.at.After(r.started.Add(r.Length-recoverySpan)) {
		return 0, false
	}
	running := history[current]
	first := slices.IndexFunc(inForce, func(v publishedVersion) bool {
		return v.version >= published.version && v.at.After(running.began)
	})
	at := r.started.Add(r.Length) // a version that never came into force
	if first >= 0 {
		at = inForce[first].at
	}
	stopped := func(instant time.Time) bool { return !instant.IsZero() && instant.Before(at) }
	if stopped(running.ended) || stopped(running.terminated) || !r.followed(p, published.at.Add(-stableTime), at) {
		return 0, false
	}
	return max(at.Sub(published.at), 0), true
}

// versionsInForce returns the versions that a process has put in force, and when, from its log.
func versionsInForce(file string) ([]publishedVersion, error) {
	raw, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = raw.Close() }()
	var all []publishedVersion
	for lines := bufio.NewScanner(raw); lines.Scan(); {
		if !bytes.Contains(lines.Bytes(), []byte(`msg="configuration in force"`)) {
			continue
		}
		var one publishedVersion
		for fields := logfmt.NewDecoder(bytes.NewReader(lines.Bytes())); fields.ScanRecord(); {
			for fields.ScanKeyval() {
				switch string(fields.Key()) {
				case "time":
					one.at, err = time.Parse(time.RFC3339, string(fields.Value()))
				case "configuration":
					one.version, err = strconv.Atoi(string(fields.Value()))
				}
				if err != nil {
					return nil, fmt.Errorf("line %q: %w", lines.Text(), err)
				}
			}
		}
		all = append(all, one)
	}
	return all, nil
}
