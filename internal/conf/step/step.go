// Package step runs the defaults and checks of a document as a list of small steps.
// All checks run even if some fail, so that one run reports all faults.
package step

import (
	"fmt"
	"strconv"

	"github.com/jujubescale/jujubescale/internal/base/fault"
)

// Step is the defaults and checks for one part of a document of type T.
type Step[T any] struct {
	// Name is a short name of the part of the document that the step handles.
	Name string
	// Default sets the defaults of missing fields; nil if there are none.
	Default func(doc *T)
	// Check reports faults; nil if there is nothing to check.
	Check func(doc *T, report *Report)
}

// ApplyDefaults applies the defaults of all steps in order.
func ApplyDefaults[T any](steps []Step[T], doc *T) {
	for _, s := range steps {
		if s.Default != nil {
			s.Default(doc)
		}
	}
}

// Check runs the checks of all steps in order. It returns all faults in one
// fault.InvalidListError, or nil if there are none.
func Check[T any](steps []Step[T], doc *T) error {
	var report Report
	for _, s := range steps {
		if s.Check != nil {
			s.Check(doc, &report)
		}
	}
	return report.Err()
}

// maxShownBytes is the maximum length of an invalid value in a message; longer values
// are truncated.
const maxShownBytes = 80

// Report collects the faults of one document.
type Report struct {
	faults []fault.InvalidError
}

// Add adds a fault: its path in the document, the value there and the allowed values.
func (r *Report) Add(path, value, allowed string) {
	if path == "" {
		path = "the document"
	}
	if len(value) > maxShownBytes {
		value = value[:maxShownBytes] + "..."
	}
	r.faults = append(r.faults, fault.InvalidError{Path: path, Value: value, Allowed: allowed})
}

// Range adds a fault if a whole number is outside its bounds.
func (r *Report) Range(path string, value, least, most int64) {
	if value < least || value > most {
		r.Add(path, strconv.FormatInt(value, 10), fmt.Sprintf("%d to %d", least, most))
	}
}

// FloatRange adds a fault unless a number is within its bounds; NaN never is.
func (r *Report) FloatRange(path string, value, least, most float64) {
	if !(value >= least && value <= most) {
		r.Add(path, fmt.Sprint(value), fmt.Sprintf("%v to %v", least, most))
	}
}

// Count adds a fault if a list is shorter or longer than allowed.
func (r *Report) Count(path string, count, least, most int) {
	if count < least || count > most {
		r.Add(path, fmt.Sprintf("%d entries", count), fmt.Sprintf("%d to %d entries", least, most))
	}
}

// Err returns all faults in one fault.InvalidListError, or nil if there are none.
func (r *Report) Err() error {
	if len(r.faults) == 0 {
		return nil
	}
	return &fault.InvalidListError{Faults: r.faults}
}

// Index returns the path of the entry of a list at an index.
func Index(list string, index int) string { return list + "[" + strconv.Itoa(index) + "]" }

// Unique records values and reports duplicates.
type Unique struct {
	// Allowed is the text about the allowed values in the message for a duplicate.
	Allowed string
	// seen maps each value to the path of its first occurrence.
	seen map[string]string
}

// Add adds a fault if the same value was added before.
func (u *Unique) Add(report *Report, path, value string) {
	if u.seen == nil {
		u.seen = make(map[string]string)
	}
	firstPath, duplicate := u.seen[value]
	if duplicate {
		report.Add(path, value, u.Allowed+"; it is used at "+firstPath+" already")
		return
	}
	u.seen[value] = path
}
