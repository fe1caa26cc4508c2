// Package accept contains conformance tests for the platform's object API. Every
// implementation of store.Store must pass Run: the client with the simulated
// platform of the tests does, and so must the real platform of a deployment.
package accept

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/plat/store"
)

const (
	callLimit  = 30 * time.Second
	longWatch  = 20 * clock.Second
	shortWatch = 1 * clock.Millis(1)
	racers     = 16
)

// Subject is an implementation under test. It must have no objects whose names
// begin with Prefix.
type Subject struct {
	Store  *store.Store
	Prefix string
	// SetHosts replaces the list of hosts; if nil, the test of the list is skipped.
	SetHosts func([]store.Host)
}

// Run runs all conformance tests. It calls makeSubject once for each of them.
func Run(t *testing.T, makeSubject func(t *testing.T) Subject) {
	cases := []struct {
		name string
		run  func(ctx context.Context, t *testing.T, s Subject)
	}{
		{"an object that was never written has version 0", absent},
		{"a read returns the version and value of the last write", readBack},
		{"versions grow with each write", versionsGrow},
		{"creating an existing object conflicts and returns the object", createTwice},
		{"a write at an old version conflicts and has no effect", oldVersion},
		{"a delete at an old version conflicts", deleteOld},
		{"a deleted object is absent and can be created again", deleteAndCreate},
		{"exactly one of many concurrent writes succeeds", raceWrites},
		{"a watch returns at once when the version differs", watchDiffers},
		{"a watch returns the next change", watchChange},
		{"a watch returns the unchanged object after its wait", watchUnchanged},
		{"a watch returns a newly created object", watchCreate},
		{"a list contains only the objects below the prefix", list},
		{"a value of the maximum size is stored completely", largest},
		{"a larger value is refused without effect", tooLarge},
		{"names may contain special characters", specialCharacters},
		{"the list of hosts is ordered, filtered and paginated", hosts},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), callLimit)
			defer cancel()
			c.run(ctx, t, makeSubject(t))
		})
	}
}

func absent(ctx context.Context, t *testing.T, s Subject) {
	got, err := s.Store.Get(ctx, s.Prefix+"none")
	assert.NilError(t, err)
	assert.Equal(t, got.Version, store.Revision{})
	assert.Equal(t, len(got.Value), 0)
}

func mustPut(ctx context.Context, t *testing.T, s Subject, name string, want store.Revision, value string) store.Object {
	t.Helper()
	object, err := s.Store.Put(ctx, s.Prefix+name, want, []byte(value))
	assert.NilError(t, err)
	return object
}

func mustConflict(t *testing.T, err error) store.Object {
	t.Helper()
	var conflict *store.ConflictError
	assert.Assert(t, errors.As(err, &conflict), "got %v", err)
	return conflict.Current
}

func readBack(ctx context.Context, t *testing.T, s Subject) {
	put := mustPut(ctx, t, s, "a", store.Revision{}, "one")
	got, err := s.Store.Get(ctx, s.Prefix+"a")
	assert.NilError(t, err)
	assert.DeepEqual(t, got, put)
	assert.Equal(t, string(got.Value), "one")
}

func versionsGrow(ctx context.Context, t *testing.T, s Subject) {
	var version store.Revision
	for i := range 5 {
		object := mustPut(ctx, t, s, "a", version, fmt.Sprint(i))
		assert.Assert(t, version.Before(object.Version))
		version = object.Version
	}
}

func createTwice(ctx context.Context, t *testing.T, s Subject) {
	first := mustPut(ctx, t, s, "a", store.Revision{}, "one")
	_, err := s.Store.Put(ctx, s.Prefix+"a", store.Revision{}, []byte("two"))
	current := mustConflict(t, err)
	assert.Equal(t, current.Version, first.Version)
	assert.Equal(t, string(current.Value), "one")
}

func oldVersion(ctx context.Context, t *testing.T, s Subject) {
	first := mustPut(ctx, t, s, "a", store.Revision{}, "one")
	second := mustPut(ctx, t, s, "a", first.Version, "two")
	_, err := s.Store.Put(ctx, s.Prefix+"a", first.Version, []byte("three"))
	assert.Equal(t, mustConflict(t, err).Version, second.Version)
	got, err := s.Store.Get(ctx, s.Prefix+"a")
	assert.NilError(t, err)
	assert.Equal(t, string(got.Value), "two")
}

func deleteOld(ctx context.Context, t *testing.T, s Subject) {
	first := mustPut(ctx, t, s, "a", store.Revision{}, "one")
	mustPut(ctx, t, s, "a", first.Version, "two")
	current := mustConflict(t, s.Store.Delete(ctx, s.Prefix+"a", first.Version))
	assert.Equal(t, string(current.Value), "two")
}

func deleteAndCreate(ctx context.Context, t *testing.T, s Subject) {
	first := mustPut(ctx, t, s, "a", store.Revision{}, "one")
	assert.NilError(t, s.Store.Delete(ctx, s.Prefix+"a", first.Version))
	deleted, err := s.Store.Get(ctx, s.Prefix+"a")
	assert.NilError(t, err)
	assert.Equal(t, deleted.Version, store.Revision{})
	recreated := mustPut(ctx, t, s, "a", store.Revision{}, "two")
	// A writer with the version of the deleted object must not overwrite the new
	// one.
	assert.Assert(t, recreated.Version != first.Version)
}

func raceWrites(ctx context.Context, t *testing.T, s Subject) {
	first := mustPut(ctx, t, s, "a", store.Revision{}, "start")
	var wins atomic.Int64
	var group sync.WaitGroup
	for i := range racers {
		group.Go(func() {
			_, err := s.Store.Put(ctx, s.Prefix+"a", first.Version, []byte(fmt.Sprint(i)))
			if err == nil {
				wins.Add(1)
				return
			}
			var conflict *store.ConflictError
			assert.Check(t, errors.As(err, &conflict), "got %v", err)
		})
	}
	group.Wait()
	assert.Equal(t, wins.Load(), int64(1))
}

func watchDiffers(ctx context.Context, t *testing.T, s Subject) {
	first := mustPut(ctx, t, s, "a", store.Revision{}, "one")
	second := mustPut(ctx, t, s, "a", first.Version, "two")
	got, err := s.Store.Watch(ctx, s.Prefix+"a", first.Version, longWatch)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, second)
}

func watchChange(ctx context.Context, t *testing.T, s Subject) {
	first := mustPut(ctx, t, s, "a", store.Revision{}, "one")
	written := make(chan error, 1)
	go func() {
		_, err := s.Store.Put(ctx, s.Prefix+"a", first.Version, []byte("two"))
		written <- err
	}()
	got, err := s.Store.Watch(ctx, s.Prefix+"a", first.Version, longWatch)
	assert.NilError(t, err)
	assert.Equal(t, string(got.Value), "two")
	assert.NilError(t, <-written)
}

func watchUnchanged(ctx context.Context, t *testing.T, s Subject) {
	first := mustPut(ctx, t, s, "a", store.Revision{}, "one")
	got, err := s.Store.Watch(ctx, s.Prefix+"a", first.Version, shortWatch)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, first)
}

func watchCreate(ctx context.Context, t *testing.T, s Subject) {
	written := make(chan error, 1)
	go func() {
		_, err := s.Store.Put(ctx, s.Prefix+"a", store.Revision{}, []byte("one"))
		written <- err
	}()
	got, err := s.Store.Watch(ctx, s.Prefix+"a", store.Revision{}, longWatch)
	assert.NilError(t, err)
	assert.Equal(t, string(got.Value), "one")
	assert.NilError(t, <-written)
}

func list(ctx context.Context, t *testing.T, s Subject) {
	for _, name := range []string{"p/b", "p/a", "q/a"} {
		mustPut(ctx, t, s, name, store.Revision{}, "x")
	}
	objects, err := s.Store.List(ctx, s.Prefix+"p/")
	assert.NilError(t, err)
	names := []string{}
	for _, object := range objects {
		names = append(names, object.Name)
		assert.Assert(t, !object.Version.IsZero())
	}
	assert.DeepEqual(t, names, []string{s.Prefix + "p/a", s.Prefix + "p/b"})
}

func largest(ctx context.Context, t *testing.T, s Subject) {
	value := bytes.Repeat([]byte{7}, store.MaxValue)
	_, err := s.Store.Put(ctx, s.Prefix+"a", store.Revision{}, value)
	assert.NilError(t, err)
	got, err := s.Store.Get(ctx, s.Prefix+"a")
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got.Value, value))
}

func tooLarge(ctx context.Context, t *testing.T, s Subject) {
	_, err := s.Store.Put(ctx, s.Prefix+"a", store.Revision{}, make([]byte, store.MaxValue+1))
	assert.Assert(t, err != nil)
	got, err := s.Store.Get(ctx, s.Prefix+"a")
	assert.NilError(t, err)
	assert.Equal(t, got.Version, store.Revision{})
}

func specialCharacters(ctx context.Context, t *testing.T, s Subject) {
	for _, name := range []string{"a b", "ž/č", "x%2Fy", "q?r=1&s#t", "plus+"} {
		mustPut(ctx, t, s, name, store.Revision{}, name)
		got, err := s.Store.Get(ctx, s.Prefix+name)
		assert.NilError(t, err)
		assert.Equal(t, string(got.Value), name)
	}
}

func hosts(ctx context.Context, t *testing.T, s Subject) {
	if s.SetHosts == nil {
		t.Skip("this implementation's list of hosts can't be set")
	}
	s.SetHosts([]store.Host{
		{Name: "c", Role: "agent", Pool: "p", Address: "127.0.0.1:3", State: store.HostLive},
		{Name: "a", Role: "agent", Pool: "p", Address: "127.0.0.1:1", State: store.HostLeaving},
		{Name: "b", Role: "agent", Pool: "q", Address: "127.0.0.1:2", State: store.HostLive},
		{Name: "d", Role: "entry", Address: "127.0.0.1:4", State: store.HostLive},
	})
	first, err := s.Store.Hosts(ctx, store.HostQuery{Role: "agent", Pool: "p", Limit: 1})
	assert.NilError(t, err)
	assert.Equal(t, len(first.Hosts), 1)
	assert.Equal(t, first.Hosts[0].Name, "a")
	assert.Equal(t, first.Hosts[0].State, store.HostLeaving)
	second, err := s.Store.Hosts(ctx, store.HostQuery{Role: "agent", Pool: "p", Limit: 1, After: first.Next})
	assert.NilError(t, err)
	assert.Equal(t, second.Hosts[0].Name, "c")
	assert.Equal(t, second.Next, "")
}
