package wire

import (
	"cmp"
	"slices"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/epoch"
	"github.com/jujubescale/jujubescale/internal/base/token"
)

// Sums holds the work of one or more processes. A KindReport carries the work of
// the sender, a KindGroup the work of all processes that report to the sender, and a
// KindTotal the work of all processes except the receiver. The kinds are distinct so
// that no process counts its own work twice.
type Sums struct {
	// Whole marks a full message, which replaces everything that the sender sent
	// before. The first message of a session is full.
	Whole bool `cbor:"whole,omitempty"`
	// Urgent is set if aggregators have to forward the message at once.
	Urgent bool `cbor:"urgent,omitempty"`
	// Ended withdraws everything that the sender sent before, because it now reports
	// to another process.
	Ended bool `cbor:"ended,omitempty"`
	// Owns is set if the sender of a report may own pools.
	Owns bool `cbor:"owns,omitempty"`
	// Work holds the endpoints whose work changed.
	Work []Work `cbor:"work,omitempty"`
	// Regular is set if Pools, PendingArrivals and Progress are complete. Other
	// messages don't change them.
	Regular         bool              `cbor:"regular,omitempty"`
	Pools           []PoolLoad        `cbor:"pools,omitempty"`
	PendingArrivals []PendingArrivals `cbor:"coming,omitempty"`
	Progress        []Progress        `cbor:"seen,omitempty"`
	// AsOf is the instant for which the ages in Progress hold, 0 if it is not known. It stays in the process.
	AsOf clock.Millis `cbor:"-"`
	// Members lists the processes of a group if HasMembers is set. In a total it
	// lists the registered processes that must not be used.
	HasMembers bool       `cbor:"hasMembers,omitempty"`
	Members    []Presence `cbor:"members,omitempty"`
	// Prefixes, Refused, Crashes and Parts hold the events since the previous message.
	Prefixes []PrefixUse  `cbor:"uses,omitempty"`
	Refused  []Refused    `cbor:"refused,omitempty"`
	Crashes  []Crash      `cbor:"crashes,omitempty"`
	Parts    []PartReport `cbor:"parts,omitempty"`
	// Limits holds the limits of endpoints that the receiver was not sent yet.
	Limits []EndpointLimit `cbor:"limits,omitempty"`
	// Interest lists the endpoints that the sender of a report normally uses, if
	// HasInterest is set. The sender gets updates on other endpoints less often.
	HasInterest bool     `cbor:"hasInterest,omitempty"`
	Interest    []string `cbor:"interest,omitempty"`
	// Trials replaces the trials sent before, if HasTrials is set.
	HasTrials bool    `cbor:"hasTrials,omitempty"`
	Trials    []Trial `cbor:"trials,omitempty"`
	// Holds lists the objects that the sender keeps although the store has lost them, a message
	// for each kind. It is sent at the start of a session, and again to a process that has not begun
	// to serve once the sender knows more.
	Holds []*Update `cbor:"lost,omitempty"`
	// Speeds holds the endpoints whose speeds changed. Each replaces the one that the sender
	// sent before.
	Speeds []Speed `cbor:"speeds,omitempty"`
}

// TrialKey identifies the requests that a Trial counts.
type TrialKey struct {
	Pool string `cbor:"pool"`
	// Version is the version that the rollout moves to.
	Version string `cbor:"version"`
	// Began is the recorded start of the rollout, which tells orders for one version apart. It is 0 in messages of
	// processes that don't state it.
	Began int64 `cbor:"began,omitempty"`
	// Candidate is set for counts of Version at one endpoint. Otherwise the counts
	// are those of the current version at all of its endpoints.
	Candidate bool   `cbor:"candidate,omitempty"`
	Route     string `cbor:"route,omitempty"`
	Endpoint  string `cbor:"endpoint,omitempty"`
}

// Trial counts the results of one version of a pool's endpoints for one route since
// the start of a rollout.
type Trial struct {
	TrialKey
	// Sent counts the requests sent, Answers those that have ended, and Failed those
	// that ended with a failure.
	Sent    int64 `cbor:"sent,omitempty"`
	Answers int64 `cbor:"answers,omitempty"`
	Failed  int64 `cbor:"failed,omitempty"`
	// TotalMs is the sum of the durations of the answers, and Histogram counts the
	// answers by the ratio of actual to expected duration; see canary.Bucket.
	TotalMs   int64   `cbor:"took,omitempty"`
	Histogram []int64 `cbor:"spread,omitempty"`
	// Suspended is set if a process has found the candidate bad.
	Suspended bool `cbor:"suspended,omitempty"`
	// Restarted is set if a process has started during the rollout. The counts of
	// its previous run are lost.
	Restarted bool `cbor:"restarted,omitempty"`
}

// Plus returns the sum of two trials of one key.
func (t Trial) Plus(more Trial) Trial {
	t.Sent += more.Sent
	t.Answers += more.Answers
	t.Failed += more.Failed
	t.TotalMs += more.TotalMs
	t.Suspended = t.Suspended || more.Suspended
	t.Restarted = t.Restarted || more.Restarted
	histogram := make([]int64, max(len(t.Histogram), len(more.Histogram)))
	copy(histogram, t.Histogram)
	for bucket, count := range more.Histogram {
		histogram[bucket] += count
	}
	t.Histogram = histogram
	return t
}

// Work is the work of one or more processes at one endpoint. EndpointLoad explains
// the fields.
type Work struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	Running  int64
	Prefill  int64
	Memory   int64
	Planned  int64
}

// IsZero reports whether there is no work.
func (w Work) IsZero() bool {
	return w.Running == 0 && w.Prefill == 0 && w.Memory == 0 && w.Planned == 0
}

// Plus returns the sum of two pieces of work at one endpoint.
func (w Work) Plus(more Work) Work {
	w.Running += more.Running
	w.Prefill += more.Prefill
	w.Memory += more.Memory
	w.Planned += more.Planned
	return w
}

// Minus returns the difference.
func (w Work) Minus(less Work) Work {
	w.Running -= less.Running
	w.Prefill -= less.Prefill
	w.Memory -= less.Memory
	w.Planned -= less.Planned
	return w
}

// Presence is a process that reports to an aggregator.
type Presence struct {
	_           struct{} `cbor:",toarray"`
	Process     string
	Incarnation token.Incarnation
	Owns        bool
}

// Progress is the progress of the sender in reading one kind of object from the store.
// It has read all changes up to Revision, the last of them at Changed, as of Age
// milliseconds ago.
type Progress struct {
	Kind     string       `cbor:"kind"`
	Era      uint64       `cbor:"era,omitempty"`
	Revision uint64       `cbor:"revision"`
	Changed  uint64       `cbor:"changed"`
	Age      clock.Millis `cbor:"age"`
	// Content is the revision up to which the changes themselves were read, 0 if it is not told. Up to Revision, the store has
	// stated that there are no others.
	Content uint64 `cbor:"content,omitempty"`
	// Digest is the digest of the names and versions of the objects in the store, 0 if it is not told.
	Digest uint64 `cbor:"digest,omitempty"`
	// Contents is a digest of 32 bits of the names, versions and contents of the objects in the store, 0 if it is not told.
	Contents uint64 `cbor:"sum,omitempty"`
	// By is the process whose call to the store has confirmed that last, 0 if it is not told.
	By token.Incarnation `cbor:"by,omitempty"`
}

// CommonEra returns the era that the sender has read of all kinds, 0 if it has read several.
func CommonEra(progress []Progress) uint64 {
	if len(progress) == 0 || slices.ContainsFunc(progress, func(p Progress) bool { return p.Era != progress[0].Era }) {
		return 0
	}
	return progress[0].Era
}

// At returns the revision up to which the sender has read.
func (p *Progress) At() epoch.Revision { return epoch.Revision{Era: p.Era, Number: p.Revision} }

// ChangedAt returns the revision of the last change that the sender has read.
func (p *Progress) ChangedAt() epoch.Revision { return epoch.Revision{Era: p.Era, Number: p.Changed} }

// ContentAt returns the revision up to which the sender has read the changes, the stated one if it tells none.
func (p *Progress) ContentAt() epoch.Revision {
	return epoch.Revision{Era: p.Era, Number: cmp.Or(p.Content, p.Revision)}
}

// Position returns what the sender has read, for a request for what it lacks.
func (p *Progress) Position() Revision {
	return Revision{Kind: p.Kind, Era: p.Era, Revision: p.Revision, Digest: p.Digest, Contents: p.Contents}
}

// Valid reports whether the last change is within the revision that was read.
func (p *Progress) Valid() bool {
	return p.Age >= 0 && !p.At().Before(p.ChangedAt()) && !p.At().Before(p.ContentAt())
}

// AnyOlder reports whether the store last confirmed some kind of objects longer ago than bound.
func AnyOlder(progress []Progress, bound clock.Millis) bool {
	return slices.ContainsFunc(progress, func(p Progress) bool { return p.Age > bound })
}

// Follow requests that a peer forward the changes of some kinds of objects that are
// newer than the given revisions. If Ended is set, the peer forwards none from now on. A peer
// of the previous version ignores that and goes on.
type Follow struct {
	Kinds []Revision `cbor:"kinds"`
	Ended bool       `cbor:"ended,omitempty"`
}

// Update forwards the changes of one kind of object in the store after Since up to
// Revision or, if Whole is set, all objects as of Revision.
type Update struct {
	Kind     string       `cbor:"kind"`
	Era      uint64       `cbor:"era,omitempty"`
	Since    uint64       `cbor:"since,omitempty"`
	Revision uint64       `cbor:"revision"`
	Changed  uint64       `cbor:"changed"`
	Whole    bool         `cbor:"whole,omitempty"`
	Age      clock.Millis `cbor:"age,omitempty"`
	// AsOf is the instant for which Age holds, 0 if it is not known. It stays in the process.
	AsOf clock.Millis `cbor:"-"`
	// Lost is set if Objects are not changes, but objects that the store has lost.
	Lost bool `cbor:"lost,omitempty"`
	// EraOnly is set if the era has risen without a loss: Since is of the era SinceEra, and the
	// objects are those as of it.
	EraOnly  bool   `cbor:"eraOnly,omitempty"`
	SinceEra uint64 `cbor:"sinceEra,omitempty"`
	// Outage is how long the store was unreachable before.
	Outage  clock.Millis `cbor:"away,omitempty"`
	Objects []Stored     `cbor:"objects,omitempty"`
	// Packed replaces Objects in a large update.
	Packed *Packed `cbor:"packed,omitempty"`
	// Content is Progress.Content, Digest and Contents those of all objects after the update. By is Progress.By.
	Content  uint64            `cbor:"content,omitempty"`
	Digest   uint64            `cbor:"digest,omitempty"`
	Contents uint64            `cbor:"sum,omitempty"`
	By       token.Incarnation `cbor:"by,omitempty"`
}

// Size returns the size of what the objects hold, in bytes.
func (u *Update) Size() int {
	size := 0
	for i := range u.Objects {
		size += len(u.Objects[i].Name) + len(u.Objects[i].Value) + len(u.Objects[i].Status)
	}
	if u.Packed != nil && u.Packed.Patch != nil {
		size += len(u.Packed.Patch.Object.Status) + len(u.Packed.Patch.Delta)
	}
	return size
}

// At returns the revision up to which the update goes.
func (u *Update) At() epoch.Revision { return epoch.Revision{Era: u.Era, Number: u.Revision} }

// SinceAt returns the revision after which the changes of the update begin.
func (u *Update) SinceAt() epoch.Revision {
	if u.EraOnly {
		return epoch.Revision{Era: u.SinceEra, Number: u.Since}
	}
	return epoch.Revision{Era: u.Era, Number: u.Since}
}

// ChangedAt returns the revision of the last change in the update.
func (u *Update) ChangedAt() epoch.Revision { return epoch.Revision{Era: u.Era, Number: u.Changed} }

// ContentAt returns the revision up to which the sender has read all changes, the stated one if it tells none.
func (u *Update) ContentAt() epoch.Revision {
	return epoch.Revision{Era: u.Era, Number: cmp.Or(u.Content, u.Revision)}
}

// Valid reports whether the last change is within the revision of the update.
func (u *Update) Valid() bool {
	return u.Kind != "" && u.Age >= 0 && !u.At().Before(u.ChangedAt()) && !u.At().Before(u.ContentAt())
}

// IsNewer reports whether the update has a higher revision than the known one of its kind.
func (u *Update) IsNewer(known []Progress) bool {
	return slices.ContainsFunc(known, func(p Progress) bool { return p.Kind == u.Kind && p.At().Before(u.At()) })
}

// Packed names the objects of an update, which the receiver requests in chunks. Bytes
// is the size of all chunks.
type Packed struct {
	Digest string `cbor:"digest"`
	Bytes  int    `cbor:"bytes"`
	// Patch is set if the update has one object. A receiver that holds the version before needs no chunks.
	Patch *Patch `cbor:"patch,omitempty"`
	// Checksum is Update.Checksum with the objects, 0 from a peer of the previous version.
	Checksum uint64 `cbor:"checksum,omitempty"`
}

// Patch is the only object of an update as the difference from the version before.
type Patch struct {
	// Object lacks its value.
	Object Stored `cbor:"object"`
	// Base is the version before, and Delta the difference from its value (see package delta), nil if the sender doesn't have that
	// version or the difference is large.
	Base  uint64 `cbor:"base,omitempty"`
	Delta []byte `cbor:"delta,omitempty"`
	// BaseDigest is the digest of the value of the version before, 0 from a peer of the previous version.
	BaseDigest uint64 `cbor:"baseDigest,omitempty"`
}

// PatchBase returns the version of the object that the update's patch applies to.
func (u *Update) PatchBase() epoch.Revision {
	return epoch.Revision{Era: u.Era, Number: u.Packed.Patch.Base}
}

// PatchVersion returns the version of the object of the update's patch.
func (u *Update) PatchVersion() epoch.Revision {
	return epoch.Revision{Era: u.Era, Number: u.Packed.Patch.Object.Version}
}

// ChunkRequest requests the chunk of packed objects at an offset in bytes.
type ChunkRequest struct {
	Digest string `cbor:"digest"`
	Offset int    `cbor:"offset,omitempty"`
}

// Chunk answers a ChunkRequest. Data is empty if the sender doesn't have the packed
// objects any more.
type Chunk struct {
	Digest string `cbor:"digest"`
	Offset int    `cbor:"offset,omitempty"`
	Data   []byte `cbor:"data,omitempty"`
}

// Bytes returns the size of the values in the update.
func (u *Update) Bytes() int {
	bytes := 0
	for i := range u.Objects {
		bytes += len(u.Objects[i].Value) + len(u.Objects[i].Status)
	}
	return bytes
}

// Stored is an object of the store.
type Stored struct {
	Name    string `cbor:"name"`
	Version uint64 `cbor:"version,omitempty"`
	Value   []byte `cbor:"value,omitempty"`
	Status  []byte `cbor:"status,omitempty"`
	Deleted bool   `cbor:"deleted,omitempty"`
	// Unversioned is set if the store's version can't be read.
	Unversioned bool `cbor:"unversioned,omitempty"`
	// Hold is set for an object that the store acknowledged in an earlier era and has lost.
	Hold *Hold `cbor:"hold,omitempty"`
	// Previous is the version before, nil if the sender doesn't have it. It stays in the process.
	Previous *Previous `cbor:"-"`
	// Digest is store.Object.Digest. It stays in the process.
	Digest uint64 `cbor:"-"`
}

// Previous is a version of an object that another one has replaced.
type Previous struct {
	Version uint64
	Value   []byte
}

// Hold explains why a process keeps an object that the store doesn't have.
type Hold struct {
	// Era is the era of the object's version, and Over the number of the version that the store
	// has of it in the era of the update, 0 for none.
	Era  uint64 `cbor:"era,omitempty"`
	Over uint64 `cbor:"over,omitempty"`
	// Left is how much longer the object is kept, 0 until it is written again.
	Left clock.Millis `cbor:"left,omitempty"`
}
