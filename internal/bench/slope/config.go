package slope

import (
	"context"
	"fmt"
	"runtime"

	"github.com/jujubescale/jujubescale/internal/conf/check"
	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/route/pool"
	"github.com/jujubescale/jujubescale/internal/share/head"
	"github.com/jujubescale/jujubescale/internal/share/spread"
	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

// newManifest returns a manifest with the given number of organisations.
func newManifest(organisations int) *manif.Manifest {
	m := whole.Sample()
	m.Organisations = nil
	for i := range organisations {
		m.Organisations = append(m.Organisations, manif.Organisation{
			Name: fmt.Sprintf("organisation-%d", i), Weight: 1 + i%8, MaxOpen: i % 100,
			TokenHashes: []string{fmt.Sprintf("%064x", 2*i), fmt.Sprintf("%064x", 2*i+1)},
			Services:    []string{"setup-sheets", "orders"},
		})
	}
	return m
}

// release is a configuration as the platform stores it.
type release struct {
	raw      []byte
	sections map[head.Ref][]byte
}

func newRelease(number uint64, m *manif.Manifest) (*release, error) {
	sections, err := head.Split(m)
	if err != nil {
		return nil, err
	}
	h := &head.Head{Release: number, Nonce: "nonce-of-24-characters--", ChangedBy: "pipeline", Action: head.ActionApply, ManifestRelease: number}
	r := &release{sections: make(map[head.Ref][]byte)}
	for _, section := range sections {
		h.Sections = append(h.Sections, section.Ref)
		r.sections[section.Ref] = section.Raw
	}
	r.raw, err = h.Encode()
	return r, err
}

func (r *release) fetch(_ context.Context, ref head.Ref) ([]byte, error) { return r.sections[ref], nil }

func newLearner() *spread.Learner {
	return spread.NewLearner(&spread.Holder{}, spread.WithCheck(check.Fill))
}

func organisationMemory() Probe {
	return Probe{
		Name: "memory of an organisation in force", X: "organisations", Y: "bytes", Sizes: []int{200, 400, 800, 1600},
		MeasureFunc: func(ctx context.Context, size int) (float64, error) {
			learner := newLearner()
			before := heap()
			if err := offer(ctx, learner, 1, newManifest(size)); err != nil {
				return 0, err
			}
			after := heap()
			runtime.KeepAlive(learner)
			return after - before, nil
		},
	}
}

func offer(ctx context.Context, learner *spread.Learner, number uint64, m *manif.Manifest) error {
	r, err := newRelease(number, m)
	if err != nil {
		return err
	}
	verdict, err := learner.Offer(ctx, spread.FromRead, r.raw, r.fetch)
	if err != nil || verdict != spread.Accepted {
		return fmt.Errorf("release %d: %s: %w", number, verdict, err)
	}
	return nil
}

// changeTime measures the processor time to apply a change of one organisation among many.
func changeTime() Probe {
	const changes = 20
	return Probe{
		Name: "processor time to take in a change of one organisation", X: "organisations", Y: "microseconds",
		Sizes: []int{100, 400, 800, 1600},
		MeasureFunc: func(ctx context.Context, size int) (float64, error) {
			learner, m := newLearner(), newManifest(size)
			var releases []*release
			for i := range changes + 1 {
				m.Organisations[0].MaxOpen = 1 + i
				next, err := newRelease(uint64(i+1), m)
				if err != nil {
					return 0, err
				}
				releases = append(releases, next)
			}
			if _, err := learner.Offer(ctx, spread.FromRead, releases[0].raw, releases[0].fetch); err != nil {
				return 0, err
			}
			before, err := processorTime()
			if err != nil {
				return 0, err
			}
			for _, next := range releases[1:] {
				if verdict, err := learner.Offer(ctx, spread.FromRead, next.raw, next.fetch); verdict != spread.Accepted {
					return 0, fmt.Errorf("%s: %w", verdict, err)
				}
			}
			after, err := processorTime()
			return float64((after - before).Microseconds()) / changes, err
		},
	}
}

// changeBytes measures the bytes that a process fetches after a change of one organisation.
func changeBytes() Probe {
	return Probe{
		Name: "bytes to fetch for a change of one organisation", X: "organisations", Y: "bytes",
		Sizes: []int{200, 400, 800, 1600},
		MeasureFunc: func(_ context.Context, size int) (float64, error) {
			m := newManifest(size)
			old, err := newRelease(1, m)
			if err != nil {
				return 0, err
			}
			m.Organisations[0].MaxOpen++
			next, err := newRelease(2, m)
			if err != nil {
				return 0, err
			}
			total := len(next.raw)
			for ref, raw := range next.sections {
				if _, held := old.sections[ref]; !held {
					total += len(raw)
				}
			}
			return float64(total), nil
		},
	}
}

func headBytes() Probe {
	return Probe{
		Name: "bytes of the head", X: "organisations", Y: "bytes", Sizes: []int{200, 400, 800, 1600},
		MeasureFunc: func(_ context.Context, size int) (float64, error) {
			r, err := newRelease(1, newManifest(size))
			if err != nil {
				return 0, err
			}
			return float64(len(r.raw)), nil
		},
	}
}

func identities(count int) []pool.Identity {
	list := make([]pool.Identity, 0, count)
	for i := range count {
		list = append(list, pool.Identity{
			Name: fmt.Sprintf("engines-%d", i), Pool: "engines", AvailabilityZone: fmt.Sprintf("za-%d", i%19),
		})
	}
	return list
}

func endpointMemory() Probe {
	return Probe{
		Name: "memory of an endpoint that an entry has sessions to", X: "endpoints", Y: "bytes",
		Sizes: []int{100, 200, 400, 800},
		MeasureFunc: func(_ context.Context, size int) (float64, error) {
			known := identities(size)
			before := heap()
			p := pool.New("za-1")
			for _, identity := range known {
				p.Add(identity, 0)
			}
			after := heap()
			runtime.KeepAlive(p)
			runtime.KeepAlive(known)
			return after - before, nil
		},
	}
}

// subsetTime measures the processor time to choose, among all endpoints of a pool, those to
// which a process keeps sessions.
func subsetTime() Probe {
	const rounds, subset = 20, 128
	return Probe{
		Name: "processor time to choose a subset of a pool", X: "endpoints", Y: "microseconds",
		Sizes: []int{500, 1000, 2000, 4000},
		MeasureFunc: func(_ context.Context, size int) (float64, error) {
			known := identities(size)
			before, err := processorTime()
			if err != nil {
				return 0, err
			}
			for range rounds {
				pool.Subset("entry-1", "za-1", known, subset)
			}
			after, err := processorTime()
			return float64((after - before).Microseconds()) / rounds, err
		},
	}
}
