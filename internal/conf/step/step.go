// Package step runs the defaults and checks of a document as a visible list of
// small steps. Every step runs, so that one look shows all faults.
package step

import (
	"fmt"
	"strconv"

	"github.com/jujubescale/jujubescale/internal/base/fault"
)

// Step is one matter of a document of type T.
type Step[T any] struct {
	// Name says in a few words what the step looks after.
	Name string
	// Default fills what was left out; nil when there is nothing to fill.
	Default func(doc *T)
	// Check reports what is wrong; nil when there is nothing to check.
	Check func(doc *T, report *Report)
}

// ApplyDefaults runs the defaults of all steps in order.
func ApplyDefaults[T any](steps []Step[T], doc *T) {
	for _, s := range steps {
		if s.Default != nil {
			s.Default(doc)
		}
	}
}

// Check runs the checks of all steps in order and returns every fault as one
// fault.InvalidListError, or nil.
func Check[T any](steps []Step[T], doc *T) error {
	var report Report
	for _, s := range steps {
		if s.Check != nil {
			s.Check(doc, &report)
		}
	}
	return report.Err()
}

// maxShown bounds how much of a faulty value a message repeats, in bytes.
const maxShown = 80

// Report collects the faults of one document.
type Report struct {
	faults []fault.InvalidError
}

// Add notes a fault: where, what stands there, and what is allowed there.
func (r *Report) Add(path, value, allowed string) {
	if path == "" {
		path = "the document"
	}
	if len(value) > maxShown {
		value = value[:maxShown] + "..."
	}
	r.faults = append(r.faults, fault.InvalidError{Path: path, Value: value, Allowed: allowed})
}

// Range notes a fault when a number is outside its bounds.
func (r *Report) Range(path string, value, least, most int64) {
	if value < least || value > most {
		r.Add(path, strconv.FormatInt(value, 10), fmt.Sprintf("%d to %d", least, most))
	}
}

// FloatRange adds a fault unless a number lies within two bounds.
func (r *Report) FloatRange(path string, value, least, most float64) {
	if !(value >= least && value <= most) {
		r.Add(path, fmt.Sprint(value), fmt.Sprintf("%v to %v", least, most))
	}
}

// Count notes a fault when a list is shorter or longer than allowed.
func (r *Report) Count(path string, count, least, most int) {
	if count < least || count > most {
		r.Add(path, fmt.Sprintf("%d entries", count), fmt.Sprintf("%d to %d entries", least, most))
	}
}

// Err returns every fault as one fault.InvalidListError, or nil without any.
func (r *Report) Err() error {
	if len(r.faults) == 0 {
		return nil
	}
	return &fault.InvalidListError{Faults: r.faults}
}

// Index returns the path of an entry of a list.
func Index(list string, at int) string { return list + "[" + strconv.Itoa(at) + "]" }

// Unique remembers the values of a list and finds one that stands twice.
type Unique struct {
	// Allowed is what a message says of a value that stands twice.
	Allowed string
	seen    map[string]string
}

// Add notes a fault when the value was added before.
func (u *Unique) Add(report *Report, path, value string) {
	if u.seen == nil {
		u.seen = make(map[string]string)
	}
	first, twice := u.seen[value]
	if twice {
		report.Add(path, value, u.Allowed+"; it stands at "+first+" already")
		return
	}
	u.seen[value] = path
}
