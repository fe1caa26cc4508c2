package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/go-logfmt/logfmt"
)

const (
	// claimSlack is how much later than the first process that has a newer version in force a confirmation of an older one may
	// be, for the times of log lines.
	claimSlack = 30 * time.Millisecond
	// maxClaims is the number of false claims of a process that are reported one by one.
	maxClaims = 3
)

// claim is what a request was decided by: a version that counted as the newest one as of an instant.
type claim struct {
	request, source string
	version         int
	asOf            time.Time
}

// checkClaims reports requests that were run or denied by a version that counted as confirmed for an instant at which another
// process had a newer one in force, whether or not that was too late. Instants at which the store hides changes don't count, and
// those shortly before: a confirmation counts from the start of a call, which may have been answered then.
func (r *run) checkClaims() {
	firsts := make(map[int]time.Time)
	for _, p := range r.processes {
		inForce, err := versionsInForce(p.logFile())
		if err != nil {
			r.addViolation("logs: %v", err)
			return
		}
		for _, one := range inForce {
			if first, known := firsts[one.version]; !known || one.at.Before(first) {
				firsts[one.version] = one.at
			}
		}
	}
	replaced := replacedAt(firsts)
	for _, p := range r.processes {
		claims, err := claimsOf(p.logFile())
		if err != nil {
			r.addViolation("logs: %v", err)
			return
		}
		reported := 0
		for _, c := range claims {
			at, found := replaced[c.version]
			if !found || c.asOf.Sub(at) <= claimSlack || r.faults.overlapping(at.Add(-changeWithin), c.asOf.Add(changeWithin), nil, StoreDropsHistory, StoreRestores) {
				continue
			}
			if reported++; reported <= maxClaims {
				r.addViolation("%s: request %s is decided by version %d, which %s has confirmed as of %v after a newer one was in force elsewhere",
					p.name, c.request, c.version, c.source, c.asOf.Sub(at))
			}
		}
		r.falseClaims.Add(int64(reported))
		r.claims.Add(int64(len(claims)))
	}
}

// replacedAt returns when a newer version than each one was first in force.
func replacedAt(firsts map[int]time.Time) map[int]time.Time {
	versions := make([]int, 0, len(firsts))
	for version := range firsts {
		versions = append(versions, version)
	}
	slices.Sort(versions)
	replaced := make(map[int]time.Time)
	var next time.Time
	for _, version := range slices.Backward(versions) {
		if !next.IsZero() {
			replaced[version] = next
		}
		if first := firsts[version]; next.IsZero() || first.Before(next) {
			next = first
		}
	}
	return replaced
}

// claimsOf returns the claims by which a process has run or denied requests, from its log.
func claimsOf(file string) ([]claim, error) {
	raw, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = raw.Close() }()
	var all []claim
	lines := bufio.NewScanner(raw)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if !bytes.Contains(lines.Bytes(), []byte(`msg="request ended"`)) {
			continue
		}
		one, refused, err := parseClaim(lines.Bytes())
		if err != nil {
			return nil, fmt.Errorf("line %q: %w", lines.Text(), err)
		}
		if !refused && one.version > 0 && one.source != "none" {
			all = append(all, one)
		}
	}
	return all, lines.Err()
}

// parseClaim returns the claim of a line. The instant is the earliest one that it may be: the decision may have been made after the
// request had waited.
func parseClaim(line []byte) (one claim, refused bool, err error) {
	var ended time.Time
	var ageMs, tookMs int
	for fields := logfmt.NewDecoder(bytes.NewReader(line)); fields.ScanRecord(); {
		for fields.ScanKeyval() {
			value := string(fields.Value())
			switch string(fields.Key()) {
			case "time":
				ended, err = time.Parse(time.RFC3339, value)
			case "request":
				one.request = value
			case "configuration":
				one.version, err = strconv.Atoi(value)
			case "configurationAgeMs":
				ageMs, err = strconv.Atoi(value)
			case "tookMs":
				tookMs, err = strconv.Atoi(value)
			case "claim":
				one.source = value
			case "status":
				refused = value == "503"
			}
			if err != nil {
				return one, refused, err
			}
		}
	}
	one.asOf = ended.Add(-time.Duration(ageMs+tookMs) * time.Millisecond)
	return one, refused, nil
}
