package wire

import (
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/base/token"
)

// Sums is the work of one process or of several. A KindReport carries that of
// the sender, a KindGroup that of all processes that report to the sender, and a
// KindTotal that of all processes but the receiver. The kinds differ so that no
// process adds up what already contains its own work.
type Sums struct {
	// Whole says that the message replaces all that the sender sent before. The
	// first message of a session is whole.
	Whole bool `cbor:"whole,omitempty"`
	// Urgent asks aggregators to pass the message on at once.
	Urgent bool `cbor:"urgent,omitempty"`
	// Ended withdraws all that the sender sent before: it reports elsewhere now.
	Ended bool `cbor:"ended,omitempty"`
	// Owns says that the sender of a report may own pools.
	Owns bool `cbor:"owns,omitempty"`
	// Work holds the endpoints that changed.
	Work []Work `cbor:"work,omitempty"`
	// Regular says that Pools, Inflow and Seen are complete; other messages leave
	// them as they were.
	Regular         bool              `cbor:"regular,omitempty"`
	Pools           []PoolLoad        `cbor:"pools,omitempty"`
	PendingArrivals []PendingArrivals `cbor:"coming,omitempty"`
	Progress        []Progress        `cbor:"seen,omitempty"`
	// Members are the processes of a group, when HasMembers is set; in a total,
	// the listed processes that are not to be used.
	HasMembers bool       `cbor:"hasMembers,omitempty"`
	Members    []Presence `cbor:"members,omitempty"`
	// Prefixes, Refused and Crashes are those since the message before.
	Prefixes []PrefixUse `cbor:"uses,omitempty"`
	Refused  []Refused   `cbor:"refused,omitempty"`
	Crashes  []Crash     `cbor:"crashes,omitempty"`
	// Interest names the endpoints that the sender of a report uses normally, when
	// HasInterest is set. It learns of work at others less often.
	HasInterest bool     `cbor:"hasInterest,omitempty"`
	Interest    []string `cbor:"interest,omitempty"`
	// Trials replace those sent before, when HasTrials is set.
	HasTrials bool    `cbor:"hasTrials,omitempty"`
	Trials    []Trial `cbor:"trials,omitempty"`
}

// TrialKey names what a Trial counts.
type TrialKey struct {
	Pool string `cbor:"pool"`
	// Version that the rollout goes to.
	Version string `cbor:"version"`
	// Candidate says that the counts are those of Version, at one endpoint; else
	// they are those of the version in force at all of its endpoints.
	Candidate bool   `cbor:"candidate,omitempty"`
	Route     string `cbor:"route,omitempty"`
	Endpoint  string `cbor:"endpoint,omitempty"`
}

// Trial counts how one version of a pool's endpoints has done for one route since
// a rollout began.
type Trial struct {
	TrialKey
	// Sent counts requests that were sent, Answers those that ended, and Failed
	// those of them that failed.
	Sent    int64 `cbor:"sent,omitempty"`
	Answers int64 `cbor:"answers,omitempty"`
	Failed  int64 `cbor:"failed,omitempty"`
	// TotalMs is the sum of the answers' durations, in milliseconds, and Spread counts
	// answers by how long they took against what was expected; see canary.Bucket.
	TotalMs   int64   `cbor:"took,omitempty"`
	Histogram []int64 `cbor:"spread,omitempty"`
	// Suspended says that some process has found the candidate bad.
	Suspended bool `cbor:"suspended,omitempty"`
	// Restarted says that some process has started during the rollout: what the one
	// before it counted is lost.
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
	spread := make([]int64, max(len(t.Histogram), len(more.Histogram)))
	copy(spread, t.Histogram)
	for class, count := range more.Histogram {
		spread[class] += count
	}
	t.Histogram = spread
	return t
}

// Work is what some processes have running at one endpoint; see EndpointLoad.
// All zero means none.
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

// Presence is one process that reports to an aggregator.
type Presence struct {
	_           struct{} `cbor:",toarray"`
	Process     string
	Incarnation token.Incarnation
	Owns        bool
}

// Progress is how far the sender has followed one kind of objects of the store: it
// has all changes up to Revision, the last one at Changed, as of Age
// milliseconds ago.
type Progress struct {
	Kind     string       `cbor:"kind"`
	Revision uint64       `cbor:"revision"`
	Changed  uint64       `cbor:"changed"`
	Age      clock.Millis `cbor:"age"`
}

// Follow asks a peer to pass on the changes of some kinds of objects, from the
// revisions that the sender has.
type Follow struct {
	Kinds []Revision `cbor:"kinds"`
}

// Update passes on changes of one kind of objects in the store, those after
// Since up to Revision, or, if Whole is set, all objects as of Revision.
type Update struct {
	Kind     string       `cbor:"kind"`
	Since    uint64       `cbor:"since,omitempty"`
	Revision uint64       `cbor:"revision"`
	Changed  uint64       `cbor:"changed"`
	Whole    bool         `cbor:"whole,omitempty"`
	Age      clock.Millis `cbor:"age,omitempty"`
	// Outage is how long the store had been out of reach before, in milliseconds.
	Outage  clock.Millis `cbor:"away,omitempty"`
	Objects []Stored     `cbor:"objects,omitempty"`
}

// Stored is one object of the store.
type Stored struct {
	Name    string `cbor:"name"`
	Version uint64 `cbor:"version,omitempty"`
	Value   []byte `cbor:"value,omitempty"`
	Status  []byte `cbor:"status,omitempty"`
	Deleted bool   `cbor:"deleted,omitempty"`
}
