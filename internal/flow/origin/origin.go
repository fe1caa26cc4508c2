// Package origin holds where streams began. What endpoints of different software versions
// write can't be joined, so a stream may be resumed only at the version that began it. The
// package decides which processes keep the origin of a stream and whether an endpoint may
// resume it.
package origin

import (
	"crypto/sha256"
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/route/view"
)

const (
	// maxOrigins bounds the origins of a Book, about 5 MB. Further streams can't be resumed
	// through this process.
	maxOrigins = 32768
	// pruneInterval is the shortest time between two scans for expired origins.
	pruneInterval = clock.Second
)

// Key identifies a stream: the request that brought its first event, within its
// organisation, route and pool. The request's id is chosen by the caller, so that the id alone
// would name the streams of other organisations, too.
type Key [16]byte

// KeyOf returns the key of the stream that a request began.
func KeyOf(organisation, route, pool, request string) Key {
	return keyOf(organisation, route, pool, request)
}

// ContentKeyOf returns the key of all streams that requests of the same content began. It finds
// the origin for callers that don't name the attempt that began their stream.
func ContentKeyOf(organisation, route, pool, content string) Key {
	return keyOf(organisation, route, pool, "", content)
}

func keyOf(parts ...string) Key {
	hash := sha256.New()
	for _, part := range parts {
		_, _ = hash.Write([]byte(part)) // a hash never returns an error
		_, _ = hash.Write([]byte{0})
	}
	var key Key
	copy(key[:], hash.Sum(nil))
	return key
}

// Origin is the endpoint that sent the first event of a stream.
type Origin struct {
	// Endpoint and StartedAt identify one start of an endpoint. Version is that of its
	// software, "" if it is unknown.
	Endpoint  string
	StartedAt int64
	Version   string
	// BeganAt is the instant of the first event. The origin is kept until Until.
	BeganAt clock.Millis
	Until   clock.Millis
}

// Of returns the origin of a stream that an endpoint begins now.
func Of(e *view.Endpoint, now, until clock.Millis) Origin {
	return Origin{Endpoint: e.ID, StartedAt: e.StartedAt, Version: e.Version, BeganAt: now, Until: until}
}

// Agrees reports whether two origins allow the same endpoints.
func (o *Origin) Agrees(other *Origin) bool {
	if o.Version == "" || other.Version == "" {
		return o.Version == other.Version && o.Endpoint == other.Endpoint && o.StartedAt == other.StartedAt
	}
	return o.Version == other.Version
}

// Allows reports whether an endpoint may resume the stream: it runs the same software version
// or, if the version is unknown, it is the same start of the same endpoint.
func (o *Origin) Allows(e *view.Endpoint) bool {
	if o.Version == "" {
		return e.ID == o.Endpoint && e.StartedAt == o.StartedAt && e.Version == ""
	}
	return e.Version == o.Version
}

// Doubtful reports whether the version may be wrong because the entry of the endpoint has
// changed to another version since: the process may have been replaced before its entry.
func (o *Origin) Doubtful(endpoints *view.Snapshot) bool {
	e := endpoints.Find(o.Endpoint)
	return e != nil && e.Version != o.Version
}

// Verdict is what a Book holds of a stream.
type Verdict int

// Verdicts of a Book.
const (
	Unknown Verdict = iota
	Known
	// Contradictory means that processes have stated different versions: a caller used the
	// same request id twice.
	Contradictory
)

// String returns the verdict as a metric label.
func (v Verdict) String() string {
	switch v {
	case Known:
		return "known"
	case Contradictory:
		return "contradictory"
	default:
		return "unknown"
	}
}

// Book holds origins until they expire. It is safe for concurrent use.
type Book struct {
	mu       sync.Mutex
	byKey    map[Key]entry
	prunedAt clock.Millis
}

type entry struct {
	Origin
	contradictory bool
}

// New returns an empty Book.
func New() *Book { return &Book{byKey: make(map[Key]entry)} }

// Put stores the origin of a stream, or extends the time for which it is kept. It reports false
// if the Book is full.
func (b *Book) Put(key Key, o *Origin, now clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, found := b.byKey[key]
	if found && known.Until > now {
		known.contradictory = known.contradictory || !known.Agrees(o)
		known.Until = max(known.Until, o.Until)
		b.byKey[key] = known
		return true
	}
	if len(b.byKey) >= maxOrigins && now-b.prunedAt >= pruneInterval {
		b.prune(now)
	}
	if !found && len(b.byKey) >= maxOrigins {
		return false
	}
	b.byKey[key] = entry{Origin: *o}
	return true
}

// Find returns the origin of a stream; if it is contradictory, the first that was stated.
func (b *Book) Find(key Key, now clock.Millis) (Origin, Verdict) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, found := b.byKey[key]
	switch {
	case !found || known.Until <= now:
		return Origin{}, Unknown
	case known.contradictory:
		return known.Origin, Contradictory
	}
	return known.Origin, Known
}

// Each calls visit for each origin that has not expired. visit must not call the Book.
func (b *Book) Each(now clock.Millis, visit func(key Key, o *Origin, verdict Verdict)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, known := range b.byKey {
		verdict := Known
		if known.contradictory {
			verdict = Contradictory
		}
		if known.Until > now {
			visit(key, &known.Origin, verdict)
		}
	}
}

// PutContradictory records that processes have stated different versions for a stream.
func (b *Book) PutContradictory(key Key, o *Origin, now clock.Millis) bool {
	if !b.Put(key, o, now) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.byKey[key]
	known.contradictory = true
	b.byKey[key] = known
	return true
}

// Len returns the number of origins, including those that have expired since the last Prune.
func (b *Book) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.byKey)
}

// Prune removes expired origins, at most once per pruneInterval.
func (b *Book) Prune(now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now-b.prunedAt >= pruneInterval {
		b.prune(now)
	}
}

// prune removes expired origins. The caller must hold b.mu.
func (b *Book) prune(now clock.Millis) {
	b.prunedAt = now
	for key, known := range b.byKey {
		if known.Until <= now {
			delete(b.byKey, key)
		}
	}
}
