// Package token creates the identifiers of processes, requests and attempts.
package token

import (
	"encoding/hex"
	"math/rand/v2"
	"slices"
	"strconv"
)

// Incarnation identifies one run of a process, because successive runs can have
// the same address. It is random, never zero, and new at each start.
type Incarnation uint64

// NewIncarnation returns a random incarnation.
func NewIncarnation() Incarnation {
	for {
		if incarnation := Incarnation(rand.Uint64()); incarnation != 0 {
			return incarnation
		}
	}
}

// String returns the incarnation in hexadecimal.
func (i Incarnation) String() string { return strconv.FormatUint(uint64(i), 16) }

const requestBytes = 12

// NewRequestID returns a random request identifier of 24 hexadecimal digits.
func NewRequestID() string {
	var raw [requestBytes]byte
	high, low := rand.Uint64(), rand.Uint32()
	for i := range 8 {
		raw[i] = byte(high >> (8 * i))
	}
	for i := range 4 {
		raw[8+i] = byte(low >> (8 * i))
	}
	return hex.EncodeToString(raw[:])
}

// Attempt identifies one attempt at one stage of one request; Try is the number
// of the attempt. It is comparable, so that it can be the key of a map.
type Attempt struct {
	Request string `cbor:"request"`
	Stage   int    `cbor:"stage"`
	Try     int    `cbor:"try"`
}

// String returns the attempt as request/stage/try.
func (a Attempt) String() string {
	return a.Request + "/" + strconv.Itoa(a.Stage) + "/" + strconv.Itoa(a.Try)
}

// Difference returns the sorted names of the processes whose incarnation is in set and not in
// other.
func Difference(set, other map[string]Incarnation) []string {
	var names []string
	for name, incarnation := range set {
		if in, found := other[name]; !found || in != incarnation {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
