// Package store is the interface to the platform's object API: versioned objects
// with conditional updates and watches, and the platform's list of hosts, which may
// be out of date. The platform holds all persistent data of the project.
package store

import (
	"context"
	"fmt"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// MaxValue is the maximum size of a value in bytes.
const MaxValue = 1 << 20

// Object is one object at one version. Versions of a name grow with each
// write; that with number 0 means that the object does not exist.
type Object struct {
	Name    string
	Version Revision
	Value   []byte
	// Status is the status that is stored with the object, nil if there is none.
	Status []byte
	// Unversioned is set if the version can't be read. Version is then that of the answer that held the object.
	Unversioned bool
	// Digest is the digest of value and status (see package canon), 0 if it was not computed.
	Digest uint64
}

// HostState is the state of a host in the platform's list.
type HostState string

// States of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is an entry of the platform's list of hosts, which may be out of date.
type Host struct {
	// Name is unique. The list is ordered by name.
	Name string `json:"name"`
	// Address is the host:port of the project's process there.
	Address string `json:"address"`
	// Operators is the host:port of the process's operators' port; empty if it is the
	// default port at the same IP address.
	Operators string `json:"operators,omitempty"`
	// AvailabilityZone is the availability zone of the host.
	AvailabilityZone string `json:"availabilityZone"`
	// Role is "entry" or "agent".
	Role string `json:"role"`
	// Pool and Endpoint are set for hosts of agents.
	Pool     string    `json:"pool,omitempty"`
	Endpoint string    `json:"endpoint,omitempty"`
	State    HostState `json:"state"`
}

// HostQuery selects one page of the list.
type HostQuery struct {
	// Role and Pool filter the list if not empty.
	Role string
	Pool string
	// After is the name after which the page starts; empty starts at the beginning.
	After string
	// Limit is the maximum number of hosts in the page; 0 leaves it to the platform.
	Limit int
}

// HostPage is one page of the list. Next is the value of After for the next page,
// empty on the last one.
type HostPage struct {
	Hosts []Host `json:"hosts"`
	Next  string `json:"next,omitempty"`
}

// Store calls the platform through its function fields, which the HTTP client and
// tests supply.
type Store struct {
	// GetFunc reads an object. The version is 0 if it does not exist.
	GetFunc func(ctx context.Context, name string) (Object, error)
	// PutFunc writes an object if it is at version want; number 0 means that it must not
	// exist. A version with an era holds in that era only.
	PutFunc func(ctx context.Context, name string, want Revision, value []byte) (Object, error)
	// StatusFunc writes an object's status if the object is at version want.
	StatusFunc func(ctx context.Context, name string, want Revision, status []byte) (Object, error)
	// DeleteFunc deletes an object if it is at version want.
	DeleteFunc func(ctx context.Context, name string, want Revision) error
	// WatchFunc waits at most wait ms for a version other than seen and returns the
	// object, changed or not.
	WatchFunc func(ctx context.Context, name string, seen Revision, wait clock.Millis) (Object, error)
	// ListFunc lists the objects whose names begin with a prefix, without values.
	ListFunc func(ctx context.Context, prefix string) ([]Object, error)
	// HostsFunc reads one page of the list of hosts.
	HostsFunc func(ctx context.Context, query HostQuery) (HostPage, error)
	// ScanFunc reads all objects of a kind, with values.
	ScanFunc func(ctx context.Context, kind string) (Listing, error)
	// FollowFunc waits at most wait ms for changes of a kind after a revision. It
	// fails with a HistoryError if the store no longer has all of these changes.
	FollowFunc func(ctx context.Context, kind string, since Revision, wait clock.Millis) (Changes, error)
	// EraFunc returns the latest era that the store has stated, 0 if it has stated none.
	EraFunc func() uint64
}

// Listing holds all objects of a kind as of a revision of the whole store.
type Listing struct {
	Objects  []Object
	Revision Revision
	// Skipped holds a SkippedError for each object that was left out.
	Skipped []error
}

// SkippedError is the reason why an object is left out of a list or of changes.
type SkippedError struct {
	Kind string
	// Name is "" if it can't be read.
	Name  string
	Cause error
}

// Error implements error.
func (e *SkippedError) Error() string {
	return fmt.Sprintf("object %s/%s can't be read: %v", e.Kind, e.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *SkippedError) Unwrap() error { return e.Cause }

// Change is one object that was written or deleted.
type Change struct {
	Object  Object
	Deleted bool
}

// Changes holds changes in order, up to a revision. If that has another era than the revision
// after which changes were asked for, the changes in between are not known.
type Changes struct {
	Changes  []Change
	Revision Revision
	// Skipped is Listing.Skipped.
	Skipped []error
	// Partial is set if the store may have left out changes because of the size of the answer.
	Partial bool
}

// HistoryError is returned when the store has dropped some of the requested
// changes. The current state must then be read with Scan.
type HistoryError struct {
	Kind  string
	Since Revision
}

// Error implements error.
func (e *HistoryError) Error() string {
	return fmt.Sprintf("changes of %q after revision %s are no longer available", e.Kind, e.Since)
}

// ConflictError is returned when a conditional update had no effect because the
// object is not at version Want but at that of Current.
type ConflictError struct {
	Name    string
	Want    Revision
	Current Object
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %q is at version %s, not %s", e.Name, e.Current.Version, e.Want)
}

// UnknownError is returned when it is unknown whether a write took effect. Callers
// must read the object back before they repeat the write.
type UnknownError struct {
	Name  string
	Cause error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("write of %q may have taken effect: %v", e.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// UnavailableError is returned when a call had no effect: the platform is down, has
// refused it because of a rate limit, or the call was not sent because the call
// budget is spent.
type UnavailableError struct {
	Name       string
	RetryAfter clock.Millis
	Cause      error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform is not available for %q: %v", e.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// Get reads an object.
func (s *Store) Get(ctx context.Context, name string) (Object, error) { return s.GetFunc(ctx, name) }

// Put writes an object if it is at version want.
func (s *Store) Put(ctx context.Context, name string, want Revision, value []byte) (Object, error) {
	return s.PutFunc(ctx, name, want, value)
}

// PutStatus writes an object's status if the object is at version want.
func (s *Store) PutStatus(ctx context.Context, name string, want Revision, status []byte) (Object, error) {
	return s.StatusFunc(ctx, name, want, status)
}

// Delete deletes an object if it is at version want.
func (s *Store) Delete(ctx context.Context, name string, want Revision) error {
	return s.DeleteFunc(ctx, name, want)
}

// Watch waits for a version other than seen.
func (s *Store) Watch(ctx context.Context, name string, seen Revision, wait clock.Millis) (Object, error) {
	return s.WatchFunc(ctx, name, seen, wait)
}

// List lists the objects whose names begin with a prefix, without values.
func (s *Store) List(ctx context.Context, prefix string) ([]Object, error) {
	return s.ListFunc(ctx, prefix)
}

// Hosts reads one page of the list of hosts.
func (s *Store) Hosts(ctx context.Context, query HostQuery) (HostPage, error) {
	return s.HostsFunc(ctx, query)
}

// Scan reads all objects of a kind, with values.
func (s *Store) Scan(ctx context.Context, kind string) (Listing, error) {
	return s.ScanFunc(ctx, kind)
}

// Era returns the latest era that the store has stated, 0 if it has stated none.
func (s *Store) Era() uint64 {
	if s.EraFunc == nil {
		return 0
	}
	return s.EraFunc()
}

// Follow waits for changes of a kind after a revision.
func (s *Store) Follow(ctx context.Context, kind string, since Revision, wait clock.Millis) (Changes, error) {
	return s.FollowFunc(ctx, kind, since, wait)
}
