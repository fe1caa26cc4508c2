package conn

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Verdict states what a complete answer without an id shows about its request.
type Verdict int

// Verdicts of Request.VerifyFunc.
const (
	// Malformed means that the answer can't be one to this request. It is skipped if it
	// equals an earlier answer on its connection.
	Malformed Verdict = iota
	// Unique means that no answer to another request has the same content. It is skipped
	// if it equals an earlier answer on its connection.
	Unique
	// Ambiguous means that the answer to another request may be equal by chance. The
	// connection is closed after it, so that the next equal one comes from another request.
	Ambiguous
	// Harmless means that another answer may be equal by chance, and that taking one for
	// the other does no harm. The connection is closed after an answer that equals an
	// earlier one, unless the answer is empty.
	Harmless
	// Immaterial means that the content of the answer is not used. The connection is kept:
	// an answer to another request is recognized by the digests, and a duplicate of this one
	// by what the next request with a used answer expects.
	Immaterial
)

// MalformedError is returned when an endpoint sent an answer that is none to the
// request.
type MalformedError struct {
	// Status is the status of the answer, 0 if what came is no answer at all.
	Status int
	Bytes  int64
	Cause  error
}

// Error implements error.
func (e *MalformedError) Error() string {
	if e.Status == 0 {
		return fmt.Sprintf("malformed answer: %v", e.Cause)
	}
	return fmt.Sprintf("answer with status %d and %d bytes is none to the request", e.Status, e.Bytes)
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// errNoAnswer is the cause of a MalformedError for bytes that begin no answer.
var errNoAnswer = errors.New("bytes that begin no answer")

// headError returns the error for a head that could not be read. An end of the
// connection within a head is an incomplete answer, everything else is malformed.
func (r *Reply) headError(request *Request, cause error) error {
	var failed net.Error
	if request.VerifyFunc == nil || errors.Is(cause, io.ErrUnexpectedEOF) || errors.As(cause, &failed) {
		return cause
	}
	return r.malformed(cause)
}

// malformed records that the endpoint sent what is no answer.
func (r *Reply) malformed(cause error) error {
	r.noAnswer = true
	r.group.distrust(causeMalformed)
	return &MalformedError{Cause: cause}
}

// verify reads the body of an answer and reports whether the answer counts. It returns
// false for a duplicate of an earlier answer.
func (r *Reply) verify(request *Request, response *http.Response) (accepted bool, err error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, request.MaxBytes+1))
	if err != nil {
		return false, err
	}
	verdict := Malformed
	if int64(len(body)) <= request.MaxBytes {
		verdict = request.VerifyFunc(response.StatusCode, response.Header, body)
	}
	digest := digestOf(response.StatusCode, body)
	position := slices.IndexFunc(r.conn.digests, func(d answerDigest) bool { return d.sum == digest })
	known := position >= 0
	if known && (verdict == Unique || verdict == Malformed || r.conn.digests[position].unique) {
		r.conn.sawStray = true
		r.group.distrust(causeDuplicate)
		r.group.skipped(request.Work)
		return false, nil
	}
	if verdict == Malformed {
		r.noAnswer = true
		r.group.distrust(causeMalformed)
		return false, &MalformedError{Status: response.StatusCode, Bytes: int64(len(body))}
	}
	if !known {
		r.conn.digests = append(r.conn.digests, answerDigest{sum: digest, unique: verdict == Unique})
	}
	r.setResponse(request, response)
	r.eof = &eofReader{from: bytes.NewReader(body), sawEOF: true}
	r.Body, r.Length = r.eof, int64(len(body))
	distinct := verdict == Unique || verdict == Immaterial || (verdict == Harmless && (!known || len(body) == 0))
	r.reusable = r.reusable && distinct && len(r.conn.digests) < maxDigests
	return true, nil
}

// answerDigest is the digest of an answer that a connection has carried.
type answerDigest struct {
	sum uint64
	// unique is set if no other answer has the same content.
	unique bool
}

// digestOf returns the digest of an answer. Headers are left out because an endpoint may
// date each copy of an answer anew.
func digestOf(status int, body []byte) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var prefix [8]byte
	binary.LittleEndian.PutUint64(prefix[:], uint64(status)) //nolint:gosec // a status has three digits
	_, _ = digest.Write(prefix[:])                           // a Digest never returns an error
	_, _ = digest.Write(body)
	return digest.Sum64()
}
