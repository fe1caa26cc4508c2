package spread_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/share/head"
	"github.com/jujubescale/jujubescale/internal/share/spread"
)

var errLost = errors.New("lost")

// published holds every document ever written. Peers, stale reads, late watch
// events and restored stores may offer any of them again.
type published struct {
	heads    [][]byte
	sections map[head.Ref][]byte
}

func newPublished() *published { return &published{sections: make(map[head.Ref][]byte)} }

// write adds a release whose pool limit is its number, so that tests can tell
// which manifest is in force.
func (p *published) write(t assert.TestingT, release uint64, zones ...head.Zone) []byte {
	manifest := &manif.Manifest{
		AvailabilityZones: []string{"za", "zb"},
		Pools:             []manif.Pool{{Name: "pool", Limit: int(release)}},
	}
	sections, err := head.Split(manifest)
	assert.NilError(t, err)
	h := &head.Head{Release: release, Nonce: fmt.Sprint("n", release), Zones: zones}
	for _, section := range sections {
		p.sections[section.Ref] = section.Raw
		h.Sections = append(h.Sections, section.Ref)
	}
	raw, err := h.Encode()
	assert.NilError(t, err)
	p.heads = append(p.heads, raw)
	return raw
}

func (p *published) fetch(_ context.Context, ref head.Ref) ([]byte, error) {
	raw, found := p.sections[ref]
	if !found {
		return nil, errLost
	}
	return raw, nil
}

func TestOffers(t *testing.T) {
	p := newPublished()
	one, two := p.write(t, 1), p.write(t, 2)
	var other head.Head
	decoded, err := head.Decode(two)
	assert.NilError(t, err)
	other = *decoded
	other.Nonce = "someone else's"
	split, err := other.Encode()
	assert.NilError(t, err)
	other.Release, other.Sections = 9, []head.Ref{{Name: "pools", Digest: 1}}
	unknown, err := other.Encode()
	assert.NilError(t, err)
	lost := func(context.Context, head.Ref) ([]byte, error) { return nil, errLost }
	wrong := func(context.Context, head.Ref) ([]byte, error) { return []byte("[]"), nil }
	cases := []struct {
		name  string
		raw   []byte
		fetch spread.SectionFunc
		want  spread.Verdict
	}{
		{"a stale read", one, p.fetch, spread.Older},
		{"a repeated watch event", two, p.fetch, spread.Same},
		{"another document with the same release number", split, p.fetch, spread.Conflicting},
		{"a document that is not JSON", []byte("{"), p.fetch, spread.Invalid},
		{"an empty document", []byte("{}"), p.fetch, spread.Invalid},
		{"a section that can't be fetched", unknown, lost, spread.Incomplete},
		{"a section with other content", unknown, wrong, spread.Invalid},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			holder := &spread.Holder{}
			l := spread.NewLearner(holder)
			l.Activate()
			_, err := l.Offer(t.Context(), spread.FromRead, two, p.fetch)
			assert.NilError(t, err)
			verdict, _ := l.Offer(t.Context(), spread.FromRead, c.raw, c.fetch)
			assert.Equal(t, verdict, c.want)
			assert.Equal(t, holder.Number(), uint64(2))
		})
	}
}

// An invalid manifest is written to the store without the operators' client,
// which would have checked it. If it took effect, requests would fail in every
// process at once.
func TestInvalidManifestNeverTakesEffect(t *testing.T) {
	p := newPublished()
	holder := &spread.Holder{}
	l := spread.NewLearner(holder, spread.WithCheck(func(m *manif.Manifest) error {
		if m.Pools[0].Limit == 2 {
			return errLost
		}
		return nil
	}))
	l.Activate()
	for release := uint64(1); release <= 3; release++ {
		_, _ = l.Offer(t.Context(), spread.FromRead, p.write(t, release), p.fetch)
		assert.Assert(t, holder.Number() != 2)
	}
	assert.Equal(t, holder.Number(), uint64(3))
}

// A process starts while a read of the platform is stale, so the first release
// it gets is old. It must gather from all sources before one takes effect.
func TestNothingIsInForceBeforeActivate(t *testing.T) {
	p := newPublished()
	old, newer := p.write(t, 1), p.write(t, 2)
	holder := &spread.Holder{}
	l := spread.NewLearner(holder)
	for _, raw := range [][]byte{old, newer} {
		_, err := l.Offer(t.Context(), spread.FromPeer, raw, p.fetch)
		assert.NilError(t, err)
		assert.Equal(t, holder.Number(), uint64(0))
	}
	assert.Assert(t, l.Activate())
	assert.Equal(t, holder.Number(), uint64(2))
}

// process is an entry and an agent in the property test.
type process struct {
	holder  *spread.Holder
	learner *spread.Learner
	part    *spread.PartHolder
	agent   *spread.Holder
	highest uint64
}

func newProcess() *process {
	p := &process{holder: &spread.Holder{}, agent: &spread.Holder{}}
	p.learner = spread.NewLearner(p.holder)
	p.part = spread.NewPartHolder(p.agent)
	p.learner.Activate()
	return p
}

// Stale reads, late, repeated and reordered watch events, peers that are behind,
// a restored store, lost sections and restarts happen in any order. A process
// that returns to an older release may send work to an evacuated zone.
func TestConfigurationNeverReverts(t *testing.T) {
	const steps, processes = 1200, 4
	total := 0
	rapid.Check(t, func(rt *rapid.T) {
		p := newPublished()
		p.write(rt, 1)
		all := make([]*process, processes)
		for i := range all {
			all[i] = newProcess()
		}
		choices := rapid.SliceOfN(rapid.Uint32(), steps, steps).Draw(rt, "choices")
		for _, choice := range choices {
			step(rt, p, all, choice)
			total++
		}
		for _, one := range all {
			_, _ = one.learner.Offer(context.Background(), spread.FromRead, p.heads[len(p.heads)-1], p.fetch)
			assert.Equal(rt, one.holder.Number(), uint64(len(p.heads)), "release in force after the faults ended")
		}
	})
	t.Logf("%d steps", total)
	assert.Assert(t, total >= 100_000 || testing.Short(), "%d steps", total)
}

func step(t *rapid.T, p *published, all []*process, choice uint32) {
	ctx := context.Background()
	target := all[choice%uint32(len(all))]
	rest := choice / uint32(len(all))
	action, rest := rest%8, rest/8
	past := p.heads[rest%uint32(len(p.heads))]
	lossy := func(ctx context.Context, ref head.Ref) ([]byte, error) {
		if rest%3 == 0 {
			return nil, errLost
		}
		return p.fetch(ctx, ref)
	}
	switch action {
	case 0:
		p.write(t, uint64(len(p.heads)+1))
	case 1, 2:
		_, _ = target.learner.Offer(ctx, spread.FromWatch, past, lossy)
	case 3:
		_, _ = target.learner.Offer(ctx, spread.FromRead, p.heads[len(p.heads)-1], lossy)
	case 4, 5:
		exchange(ctx, target, all[rest%uint32(len(all))], lossy)
	case 6:
		askPart(t, target, all[rest%uint32(len(all))])
	default:
		if rest%5 == 0 {
			*target = *newProcess()
		}
	}
	verify(t, target)
}

// exchange offers the newest configuration of a peer, with sections from that peer.
func exchange(ctx context.Context, target, peer *process, lossy spread.SectionFunc) {
	answer := peer.learner.Serve(&wire.Fetch{Name: spread.HeadName})
	if !answer.Found {
		return
	}
	_, _ = target.learner.Offer(ctx, spread.FromPeer, answer.Bytes, func(ctx context.Context, ref head.Ref) ([]byte, error) {
		got := peer.learner.Serve(&wire.Fetch{Name: ref.Name, Digest: uint64(ref.Digest)})
		if !got.Found {
			return nil, errLost
		}
		if _, err := lossy(ctx, ref); err != nil {
			return nil, err
		}
		return got.Bytes, nil
	})
}

func askPart(t *rapid.T, target, peer *process) {
	request := target.part.Request("pool")
	before := target.agent.Number()
	_, err := target.part.Accept(peer.learner.Serve(&request))
	assert.NilError(t, err)
	assert.Assert(t, target.agent.Number() >= before)
	if target.agent.Number() > 0 {
		assert.Equal(t, target.agent.Current().Pool("pool").Limit, int(target.agent.Number()))
	}
}

func verify(t *rapid.T, target *process) {
	now := target.holder.Number()
	assert.Assert(t, now >= target.highest, "release went back from %d to %d", target.highest, now)
	target.highest = now
	if now > 0 {
		assert.Equal(t, target.holder.Current().Pool("pool").Limit, int(now), "manifest belongs to another release")
	}
}
