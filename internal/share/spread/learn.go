package spread

import (
	"context"
	"errors"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/share/head"
)

// Source says where an offered configuration came from.
type Source string

// Sources of configurations.
const (
	FromWatch Source = "watch"
	FromRead  Source = "read"
	FromPeer  Source = "peer"
)

// Verdict is what became of an offered configuration.
type Verdict string

// Verdicts on an offered configuration. Only accepted changes anything.
const (
	Accepted Verdict = "accepted"
	// Same is the release that is in force already.
	Same Verdict = "same"
	// Older is what a stale read, a late watch event, a peer with old news or
	// a restored store show.
	Older Verdict = "older"
	// Conflicting is another document under the number in force. Conditional updates
	// exclude it, unless the store was restored and written again.
	Conflicting Verdict = "split"
	// Invalid is a document that doesn't pass the checks.
	Invalid Verdict = "invalid"
	// Incomplete lacks a section that could not be had.
	Incomplete Verdict = "incomplete"
)

// SectionFunc fetches one section's bytes.
type SectionFunc func(ctx context.Context, ref head.Ref) ([]byte, error)

// document is a release with the bytes it came from, kept for peers.
type document struct {
	head     *head.Head
	raw      []byte
	sections []head.Section
	release  *Release
	// parts holds the encoded parts that agents asked for, by pool.
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

// Learner decides which configuration is in force in this process. Whatever
// is offered, from wherever, in whatever order and however often, only a whole
// and valid document of a strictly newer release takes effect.
type Learner struct {
	holder *Holder
	check  func(*manif.Manifest) error
	// acceptedFunc is told of each release that comes into force.
	acceptedFunc func(*Release)

	mu     sync.Mutex
	newest *document
	// spare holds sections of an attempt that could not be completed. When many
	// processes start at once the platform refuses some of their reads; without
	// this each would begin from the first section again, and none would end.
	spare map[head.Ref][]byte
	// open is false while the process starts and gathers the newest of several
	// sources before it puts one in force.
	open bool

	offers  *prometheus.CounterVec
	inForce prometheus.Gauge
}

// LearnOption changes a Learner while it is built.
type LearnOption func(*Learner)

// WithCheck sets the check that a manifest must pass before it takes effect.
func WithCheck(check func(*manif.Manifest) error) LearnOption {
	return func(l *Learner) { l.check = check }
}

// WithAccepted sets who is told of each release that comes into force. It
// must not block.
func WithAccepted(accepted func(*Release)) LearnOption {
	return func(l *Learner) { l.acceptedFunc = accepted }
}

// WithRegisterer publishes the counters.
func WithRegisterer(r prometheus.Registerer) LearnOption {
	return func(l *Learner) { r.MustRegister(l.offers, l.inForce) }
}

// NewLearner returns a learner that publishes to a holder. Nothing comes into
// force before Open.
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

// Activate ends the start of the process: the newest configuration gathered so far
// comes into force. It reports whether there is one.
func (l *Learner) Activate() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = true
	if l.newest == nil {
		return false
	}
	l.publish(l.newest.release)
	return true
}

// Number returns the newest release known here, in force or about to be.
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

// Offer judges a head document and, when it is newer, completes it with the
// sections that are missing here and puts it in force. The error says why a
// document is invalid or incomplete.
func (l *Learner) Offer(ctx context.Context, source Source, raw []byte, fetch SectionFunc) (Verdict, error) {
	verdict, err := l.judge(ctx, raw, fetch)
	l.offers.WithLabelValues(string(source), string(verdict)).Inc()
	return verdict, err
}

func (l *Learner) judge(ctx context.Context, raw []byte, fetch SectionFunc) (Verdict, error) {
	offered, err := head.Decode(raw)
	if err != nil {
		return Invalid, err
	}
	l.mu.Lock()
	held := l.newest
	l.mu.Unlock()
	if verdict := compare(held, offered); verdict != Accepted {
		return verdict, nil
	}
	next := &document{head: offered, raw: raw}
	if err := next.complete(ctx, held, l.sparing(fetch)); err != nil {
		var broken *head.DocumentError
		if errors.As(err, &broken) {
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
	next.release = New(offered.Release, manifest, offered.Zones, WithLeftEndpoints(offered.LeftEndpoints))
	return l.take(next), nil
}

// sparing fetches sections that an earlier attempt has not fetched already.
func (l *Learner) sparing(fetch SectionFunc) SectionFunc {
	return func(ctx context.Context, ref head.Ref) ([]byte, error) {
		l.mu.Lock()
		raw, known := l.spare[ref]
		l.mu.Unlock()
		if known {
			return raw, nil
		}
		raw, err := fetch(ctx, ref)
		if err != nil || head.DigestOf(raw) != ref.Digest {
			return raw, err
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.spare == nil {
			l.spare = make(map[head.Ref][]byte)
		}
		l.spare[ref] = raw
		return raw, nil
	}
}

// compare judges by the release number alone.
func compare(held *document, offered *head.Head) Verdict {
	switch {
	case held == nil || offered.Release > held.head.Release:
		return Accepted
	case offered.Release < held.head.Release:
		return Older
	case offered.Nonce != held.head.Nonce:
		return Conflicting
	default:
		return Same
	}
}

// complete gathers the sections: those that didn't change are here already.
func (d *document) complete(ctx context.Context, held *document, fetch SectionFunc) error {
	for _, ref := range d.head.Sections {
		raw, known := held.section(ref)
		if !known {
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

// take keeps the document unless a newer one came while its sections were
// fetched.
func (l *Learner) take(next *document) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	if verdict := compare(l.newest, next.head); verdict != Accepted {
		return verdict
	}
	l.newest, l.spare = next, nil
	if l.open {
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

// Snapshot returns the newest head and its sections as they were written; a
// nil head when there is none.
func (l *Learner) Snapshot() (*head.Head, []byte, []head.Section) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.newest == nil {
		return nil, nil, nil
	}
	return l.newest.head, l.newest.raw, l.newest.sections
}
