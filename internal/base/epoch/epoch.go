// Package epoch orders the states of a store over its eras.
package epoch

import (
	"cmp"
	"fmt"
)

// Revision orders the states of a store and the versions of its objects. Numbers grow with each
// change, but only within one era: when the store comes back from a copy, its era rises, and the
// numbers after that of the copy are given out again. Era 0 is that of a store without eras.
// Number 0 is that of an object that does not exist.
type Revision struct {
	Era    uint64 `cbor:"era,omitempty" json:"era,omitempty"`
	Number uint64 `cbor:"revision" json:"revision"`
}

// Compare returns a negative number if r is older than other, 0 if both are the same, and a
// positive number if r is newer.
func (r Revision) Compare(other Revision) int {
	if r.Era != other.Era {
		return cmp.Compare(r.Era, other.Era)
	}
	return cmp.Compare(r.Number, other.Number)
}

// Before reports whether r is older than other.
func (r Revision) Before(other Revision) bool { return r.Compare(other) < 0 }

// EraBefore reports whether r belongs to an earlier era than other.
func (r Revision) EraBefore(other Revision) bool { return r.Era < other.Era }

// IsZero reports whether r is the revision of an object that does not exist.
func (r Revision) IsZero() bool { return r.Number == 0 }

// String returns the number, with the era before it if there is one.
func (r Revision) String() string {
	if r.Era == 0 {
		return fmt.Sprint(r.Number)
	}
	return fmt.Sprintf("%d/%d", r.Era, r.Number)
}

// Latest returns the newer one of two revisions.
func Latest(a, b Revision) Revision {
	if a.Before(b) {
		return b
	}
	return a
}
