package router

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/ops/logs"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/route/view"
	"github.com/jujubescale/jujubescale/internal/serve/resume"
)

// newOrigins returns what is known of the streams that callers may resume. The aggregators keep
// it, to which sessions are open anyway, and in small fleets others.
func (g *Gateway) newOrigins() *resume.Tracker {
	stored := newStoredOrigins(g)
	return resume.New(resume.WithClock(g.Clock), resume.WithLog(g.Log), resume.WithRegistry(g.Registry), resume.WithStorage(resume.Storage{
		VersionsFunc: func() map[string][]string { return poolVersions(g.endpoints.Snapshot()) },
		ReadyFunc:    func() bool { return g.feeds.members.Listed() },
		WriteFunc:    stored.write, ReadFunc: stored.read, CleanFunc: stored.removeExpired,
	}), resume.WithPeers(resume.Peers{
		Self:           g.Name,
		KeepersFunc:    func() []string { return g.mesh.OriginKeepers() },
		AggregatorFunc: func() string { return g.mesh.Aggregator() },
		SendFunc:       func(to string, origins *wire.Origins) error { return g.mesh.SendOrigins(to, origins) },
		AskFunc: func(ctx context.Context, to string, request *wire.OriginRequest) (*wire.OriginAnswer, error) {
			return g.mesh.RequestOrigin(ctx, to, request)
		},
		OpenFunc:  func(to string) { g.mesh.OpenSession(to) },
		AloneFunc: g.isAlone,
	}))
}

// poolVersions returns the software versions of the endpoints of each pool, sorted.
func poolVersions(endpoints *view.Snapshot) map[string][]string {
	versions := make(map[string][]string)
	endpoints.Each(func(e *view.Endpoint) {
		known := versions[e.Pool]
		if at, found := slices.BinarySearch(known, e.Version); !found {
			versions[e.Pool] = slices.Insert(known, at, e.Version)
		}
	})
	return versions
}

// StreamOrigins is the object in the platform's store that records where streams began. Its name is
// that of the process that wrote it, its incarnation and a number. It holds what was true when it
// was written and stays true, so that a store that comes back from a copy makes nothing wrong.
type StreamOrigins struct {
	Origins []StreamOrigin `json:"origins"`
}

// StreamOrigin is the endpoint that sent the first event of a stream. Times are in milliseconds
// since the Unix epoch.
type StreamOrigin struct {
	// Stream is the key of the stream, 16 bytes.
	Stream    []byte `json:"stream"`
	Endpoint  string `json:"endpoint"`
	StartedAt int64  `json:"startedAt"`
	Version   string `json:"version,omitempty"`
	BeganMs   int64  `json:"beganMs"`
	UntilMs   int64  `json:"untilMs"`
}

// maxRemovedOrigins bounds the expired objects that a process removes after its start.
const maxRemovedOrigins = 32

// storedOrigins writes and reads StreamOrigins.
type storedOrigins struct {
	gateway *Gateway

	mu       sync.Mutex
	versions map[int]store.Revision
	expired  []store.Object
}

func newStoredOrigins(g *Gateway) *storedOrigins {
	return &storedOrigins{gateway: g, versions: make(map[int]store.Revision)}
}

// write replaces an object of this process.
func (s *storedOrigins) write(ctx context.Context, number int, origins []wire.Origin) error {
	nowMs, object := time.Now().UnixMilli(), StreamOrigins{Origins: []StreamOrigin{}}
	for _, o := range origins {
		object.Origins = append(object.Origins, StreamOrigin{
			Stream: o.Stream, Endpoint: o.Endpoint, StartedAt: o.StartedAt, Version: o.Version, BeganMs: nowMs - int64(o.Age), UntilMs: nowMs + int64(o.Left),
		})
	}
	value, err := json.Marshal(&object)
	if err != nil {
		return err
	}
	g := s.gateway
	name := fmt.Sprintf("%s/%s.%s.%d", g.Dialect.OriginKind, g.Name, g.incarnation, number)
	s.mu.Lock()
	version := s.versions[number]
	s.mu.Unlock()
	written, err := g.Store.Put(ctx, name, version, value)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		// The answer to an earlier write was lost, or the object was removed as expired.
		written, err = g.Store.Put(ctx, name, conflict.Current.Version, value)
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions[number] = written.Version
	return nil
}

// read returns the origins that all processes have written.
func (s *storedOrigins) read(ctx context.Context) ([]wire.Origin, error) {
	listing, err := s.gateway.Store.Scan(ctx, s.gateway.Dialect.OriginKind)
	if err != nil {
		return nil, err
	}
	nowMs := time.Now().UnixMilli()
	var all []wire.Origin
	var expired []store.Object
	for _, object := range listing.Objects {
		origins, ended := decodeOrigins(object.Value, nowMs)
		all = append(all, origins...)
		if ended {
			expired = append(expired, object)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expired = expired
	return all, nil
}

// removeExpired removes some of the objects that read has found expired, those of which this process
// is the owner.
func (s *storedOrigins) removeExpired(ctx context.Context) {
	g := s.gateway
	s.mu.Lock()
	owned := slices.DeleteFunc(s.expired, func(object store.Object) bool { return !g.mesh.Owns(object.Name) })
	s.expired = nil
	s.mu.Unlock()
	for _, object := range owned[:min(len(owned), maxRemovedOrigins)] {
		if err := g.Store.Delete(ctx, object.Name, object.Version); err != nil {
			g.Log.Info("expired stream origins not removed", "object", object.Name, logs.KeyError, err)
			return
		}
	}
}

// expiredAfter is how long the origins of an object must have expired before it is removed: the
// clocks of processes differ.
const expiredAfter = clock.Minute

// decodeOrigins returns the origins in an object that have not expired, and whether all of them
// expired some time ago. One that can't be decoded counts as expired.
func decodeOrigins(value []byte, nowMs int64) (origins []wire.Origin, ended bool) {
	var object StreamOrigins
	if json.Unmarshal(value, &object) != nil {
		return nil, true
	}
	ended = true
	for _, o := range object.Origins {
		ended = ended && nowMs-o.UntilMs > int64(expiredAfter)
		if o.UntilMs > nowMs {
			origins = append(origins, wire.Origin{
				Stream: o.Stream, Endpoint: o.Endpoint, StartedAt: o.StartedAt, Version: o.Version,
				Age: clock.Millis(max(nowMs-o.BeganMs, 0)), Left: clock.Millis(o.UntilMs - nowMs),
			})
		}
	}
	return origins, ended
}
