package spread

import (
	"context"
	"errors"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/share/head"
)

// Source is where an offered configuration came from.
type Source string

// Sources of offered configurations.
const (
	FromWatch Source = "watch"
	FromRead  Source = "read"
	FromPeer  Source = "peer"
)

// Verdict is the decision on an offered configuration.
type Verdict string

// Verdicts on offered configurations. Only Accepted has an effect.
const (
	Accepted Verdict = "accepted"
	// Same means that the release is already in force.
	Same Verdict = "same"
	// Older means that the release is older than the current one. It came from
	// a stale read, a late watch event, a peer that is behind or a restored
	// store.
	Older Verdict = "older"
	// Conflicting means that the document differs from the current one but has
	// the same number. Conditional updates prevent this, unless the store was
	// restored to an older state and written again.
	Conflicting Verdict = "split"
	// Invalid means that the document doesn't pass the checks.
	Invalid Verdict = "invalid"
	// Incomplete means that a section could not be fetched.
	Incomplete Verdict = "incomplete"
)

// SectionFunc fetches the bytes of one section.
type SectionFunc func(ctx context.Context, ref head.Ref) ([]byte, error)

// document is a release and its encoded form, which is sent to peers.
type document struct {
	head     *head.Head
	raw      []byte
	sections []head.Section
	release  *Release
	// parts maps a pool to its encoded part, once an agent requested it.
	parts sync.Map
}

func (d *document) section(ref head.Ref) ([]byte, bool) {
	if d == nil {
		return nil, false
	}
	for i := range d.sections {
		if d.sections[i].Ref == ref {
			return d.sections[i].Raw, true
		}
	}
	return nil, false
}

// Learner decides which configuration is in force in this process. It accepts
// offers from several sources, in any order and repeatedly. Only a complete and
// valid document of a newer release takes effect.
type Learner struct {
	holder *Holder
	check  func(*manif.Manifest) error
	// acceptedFunc is called with each release that comes into force.
	acceptedFunc func(*Release)

	mu     sync.Mutex
	newest *document
	// fetched holds the sections that an incomplete attempt has fetched. If many
	// processes start at once, the platform refuses some of their reads. If each
	// attempt fetched all sections again, none would ever be complete.
	fetched map[head.Ref][]byte
	// active is false while the process starts and gathers releases from several
	// sources. Meanwhile no release is put in force.
	active bool

	offers  *prometheus.CounterVec
	inForce prometheus.Gauge
}

// LearnOption configures a Learner.
type LearnOption func(*Learner)

// WithCheck sets the check that a manifest must pass before it takes effect.
func WithCheck(check func(*manif.Manifest) error) LearnOption {
	return func(l *Learner) { l.check = check }
}

// WithAccepted sets a function that is called with each release that comes into
// force. It must not block.
func WithAccepted(accepted func(*Release)) LearnOption {
	return func(l *Learner) { l.acceptedFunc = accepted }
}

// WithRegisterer registers the metrics.
func WithRegisterer(r prometheus.Registerer) LearnOption {
	return func(l *Learner) { r.MustRegister(l.offers, l.inForce) }
}

// NewLearner returns a learner that publishes releases to a holder. No release
// comes into force before Activate.
func NewLearner(holder *Holder, opts ...LearnOption) *Learner {
	l := &Learner{
		holder: holder, check: func(*manif.Manifest) error { return nil }, acceptedFunc: func(*Release) {},
		offers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jujubescale_config_offers_total",
			Help: "Configurations offered to this process by source and verdict.",
		}, []string{"source", "verdict"}),
		inForce: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "jujubescale_config_release",
			Help: "Release in force in this process.",
		}),
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Activate puts the newest configuration gathered so far in force, and from now
// on each newer one as it is accepted. It reports whether there is one yet.
func (l *Learner) Activate() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active = true
	if l.newest == nil {
		return false
	}
	l.publish(l.newest.release)
	return true
}

// Number returns the number of the newest accepted release, or 0 if there is
// none. Before Activate it is not in force yet.
func (l *Learner) Number() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.number()
}

func (l *Learner) number() uint64 {
	if l.newest == nil {
		return 0
	}
	return l.newest.release.Number
}

// Offer accepts a head document if it is newer and valid. It fetches the
// sections that are missing here. Once the learner is active, an accepted
// release is in force at once. The error states why a document is invalid or
// incomplete.
func (l *Learner) Offer(ctx context.Context, source Source, raw []byte, fetch SectionFunc) (Verdict, error) {
	verdict, err := l.evaluate(ctx, raw, fetch)
	l.offers.WithLabelValues(string(source), string(verdict)).Inc()
	return verdict, err
}

func (l *Learner) evaluate(ctx context.Context, raw []byte, fetch SectionFunc) (Verdict, error) {
	offered, err := head.Decode(raw)
	if err != nil {
		return Invalid, err
	}
	l.mu.Lock()
	current := l.newest
	l.mu.Unlock()
	if verdict := compare(current, offered); verdict != Accepted {
		return verdict, nil
	}
	next := &document{head: offered, raw: raw}
	if err := next.complete(ctx, current, l.reuseFetched(fetch)); err != nil {
		var invalid *head.DocumentError
		if errors.As(err, &invalid) {
			return Invalid, err
		}
		return Incomplete, err
	}
	manifest, err := next.join()
	if err != nil {
		return Invalid, err
	}
	if err := l.check(manifest); err != nil {
		return Invalid, err
	}
	next.release = New(offered.Release, manifest, offered.Zones, WithDisabledEndpoints(offered.DisabledEndpoints))
	return l.install(next), nil
}

// reuseFetched wraps fetch so that it returns sections that an earlier,
// incomplete attempt has fetched.
func (l *Learner) reuseFetched(fetch SectionFunc) SectionFunc {
	return func(ctx context.Context, ref head.Ref) ([]byte, error) {
		l.mu.Lock()
		raw, found := l.fetched[ref]
		l.mu.Unlock()
		if found {
			return raw, nil
		}
		raw, err := fetch(ctx, ref)
		if err != nil || head.DigestOf(raw) != ref.Digest {
			return raw, err
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.fetched == nil {
			l.fetched = make(map[head.Ref][]byte)
		}
		l.fetched[ref] = raw
		return raw, nil
	}
}

// compare returns the verdict that follows from release number and nonce.
func compare(current *document, offered *head.Head) Verdict {
	switch {
	case current == nil || offered.Release > current.head.Release:
		return Accepted
	case offered.Release < current.head.Release:
		return Older
	case offered.Nonce != current.head.Nonce:
		return Conflicting
	default:
		return Same
	}
}

// complete adds the sections. It fetches only those that current lacks.
func (d *document) complete(ctx context.Context, current *document, fetch SectionFunc) error {
	for _, ref := range d.head.Sections {
		raw, found := current.section(ref)
		if !found {
			var err error
			if raw, err = fetch(ctx, ref); err != nil {
				return err
			}
			if head.DigestOf(raw) != ref.Digest {
				return &head.DocumentError{Name: ref.Object(), Cause: "content and digest differ"}
			}
		}
		d.sections = append(d.sections, head.Section{Ref: ref, Raw: raw})
	}
	return nil
}

func (d *document) join() (*manif.Manifest, error) {
	raws := make([][]byte, 0, len(d.sections))
	for i := range d.sections {
		raws = append(raws, d.sections[i].Raw)
	}
	return head.Join(d.head.Sections, raws)
}

// install makes next the newest document, unless a newer one was installed while
// the sections of next were fetched.
func (l *Learner) install(next *document) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	if verdict := compare(l.newest, next.head); verdict != Accepted {
		return verdict
	}
	l.newest, l.fetched = next, nil
	if l.active {
		l.publish(next.release)
	}
	return Accepted
}

func (l *Learner) publish(release *Release) {
	if l.holder.Accept(release) {
		l.inForce.Set(float64(release.Number))
		l.acceptedFunc(release)
	}
}

// Snapshot returns the newest head, decoded and as it was written, and its
// sections. The head is nil if there is none.
func (l *Learner) Snapshot() (*head.Head, []byte, []head.Section) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.newest == nil {
		return nil, nil, nil
	}
	return l.newest.head, l.newest.raw, l.newest.sections
}
