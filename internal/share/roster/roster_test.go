package roster_test

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/share/roster"
)

func hosts(kind string, count, zones int) []store.Host {
	made := make([]store.Host, 0, count)
	for i := range count {
		made = append(made, store.Host{
			Name: fmt.Sprintf("%s-%05d", kind, i), Address: fmt.Sprintf("%s:%d", kind, i),
			AvailabilityZone: fmt.Sprintf("z%d", i%zones), State: store.HostLive,
		})
	}
	return made
}

// An endpoint in no entry's subset gets no work, and one in too many subsets is
// overloaded. Every endpoint must be in about the same number of subsets,
// whatever the numbers of entries and endpoints.
func TestSubsetsCoverEndpointsEvenly(t *testing.T) {
	cases := []struct{ entries, endpoints, zones, size int }{
		{3, 5, 3, 24},
		{10, 100, 4, 24},
		{100, 1500, 19, 24},
		{500, 1500, 19, 24},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d entries, %d endpoints", c.entries, c.endpoints), func(t *testing.T) {
			entries, endpoints := hosts("entry", c.entries, c.zones), hosts("agent", c.endpoints, c.zones)
			subsets := make(map[string]int)
			for _, entry := range entries {
				chosen := roster.Subset(entry, entries, endpoints, c.size)
				assert.Equal(t, len(chosen), min(c.size, c.endpoints))
				for _, host := range chosen {
					subsets[host.Name]++
				}
			}
			least, most := c.entries, 0
			for _, host := range endpoints {
				least, most = min(least, subsets[host.Name]), max(most, subsets[host.Name])
			}
			mean := c.entries * min(c.size, c.endpoints) / c.endpoints
			t.Logf("each endpoint is in %d to %d subsets, mean %d", least, most, mean)
			assert.Assert(t, least >= 1 && most <= 2*mean+2)
		})
	}
}

// An endpoint joins. If the subsets changed completely, the whole fleet would
// open all sessions again at once.
func TestSubsetStaysMostlyTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := hosts("entry", rapid.IntRange(1, 60).Draw(t, "entries"), 4)
		endpoints := hosts("agent", rapid.IntRange(25, 400).Draw(t, "endpoints"), 4)
		self := entries[rapid.IntRange(0, len(entries)-1).Draw(t, "self")]
		before := roster.Subset(self, entries, endpoints[1:], 24)
		after := roster.Subset(self, entries, endpoints, 24)
		kept := 0
		for _, host := range after {
			if slices.Contains(before, host) {
				kept++
			}
		}
		assert.Assert(t, kept >= 22, "kept %d of 24", kept)
	})
}

// Only a few entries watch the head. A release must reach all others over the
// sessions between peers, or entries that miss it go on using an evacuated zone.
func TestReleaseReachesEveryEntry(t *testing.T) {
	for _, count := range []int{1, 2, 3, 8, 50, 200, 500} {
		entries := hosts("entry", count, 5)
		links := make(map[string][]string)
		reached := make(map[string]bool)
		var frontier []string
		watchers := 0
		for _, entry := range entries {
			for _, peer := range roster.Peers(entry, entries) {
				links[entry.Name] = append(links[entry.Name], peer.Name)
				links[peer.Name] = append(links[peer.Name], entry.Name)
			}
			if roster.IsWatcher(entry, entries) {
				watchers++
				reached[entry.Name] = true
				frontier = append(frontier, entry.Name)
			}
		}
		hops := 0
		for ; len(reached) < count && len(frontier) > 0; hops++ {
			var next []string
			for _, name := range frontier {
				for _, peer := range links[name] {
					if !reached[peer] {
						reached[peer] = true
						next = append(next, peer)
					}
				}
			}
			frontier = next
		}
		t.Logf("%d entries: %d watch, %d hops", count, watchers, hops)
		assert.Equal(t, len(reached), count)
		assert.Assert(t, watchers <= 8 && watchers >= min(count, 8))
		assert.Assert(t, hops <= 8)
	}
}

// platform returns a fixed list of hosts, or an error.
type platform struct {
	hosts []store.Host
	err   error
	calls int
}

func (p *platform) store() *store.Store {
	return &store.Store{HostsFunc: func(_ context.Context, query store.HostQuery) (store.HostPage, error) {
		p.calls++
		var page store.HostPage
		for _, host := range p.hosts {
			if host.Role == query.Role && (query.Pool == "" || host.Pool == query.Pool) && host.Name > query.After {
				page.Hosts = append(page.Hosts, host)
			}
		}
		return page, p.err
	}}
}

// harness runs a roster step by step with a fake clock.
type harness struct {
	fake   *clock.Fake
	roster *roster.Roster
	chosen map[string][]store.Host
}

func newHarness(p *platform, size int) *harness {
	b := &harness{fake: clock.NewFake(1), chosen: make(map[string][]store.Host)}
	b.roster = roster.New(store.Host{Name: "entry-0", Role: "entry"}, p.store(),
		roster.WithClock(b.fake.Clock()), roster.WithSize(size),
		roster.WithPools(func() []string { return []string{"p"} }),
		roster.WithChanged(func(pool string, hosts []store.Host) { b.chosen[pool] = hosts }))
	return b
}

// stepAfter advances the clock and takes one step.
func (b *harness) stepAfter(span clock.Millis) {
	b.fake.Advance(span)
	b.roster.Step(context.Background())
}

func agents(count int) []store.Host {
	made := hosts("agent", count, 3)
	for i := range made {
		made[i].Role, made[i].Pool = "agent", "p"
	}
	return made
}

// The platform's store is down for an hour. Reads of its list of hosts fail, and
// later return an empty list. All endpoints still run and must keep their
// sessions.
func TestPlatformOutageKeepsEndpoints(t *testing.T) {
	p := &platform{hosts: agents(4)}
	b := newHarness(p, 24)
	b.stepAfter(1)
	assert.Equal(t, len(b.chosen["p"]), 4)
	for _, host := range p.hosts {
		b.roster.SessionOpened(host.Address, 1)
	}
	p.err = &store.UnavailableError{}
	b.stepAfter(clock.Hour)
	assert.Equal(t, len(b.chosen["p"]), 4)
	p.hosts, p.err = nil, nil
	b.stepAfter(clock.Hour)
	assert.Equal(t, len(b.chosen["p"]), 4, "endpoints with an open session stay")
}

// A host fails for good and is replaced by another endpoint, but not as soon as
// its session is lost: a restart takes seconds and must not move sessions.
func TestLostEndpointIsReplacedAfterTimeout(t *testing.T) {
	p := &platform{hosts: agents(40)}
	b := newHarness(p, 8)
	b.stepAfter(1)
	for _, host := range b.chosen["p"] {
		b.roster.SessionOpened(host.Address, 1)
	}
	lost := b.chosen["p"][0]
	b.roster.SessionEnded(lost.Address)
	b.stepAfter(20 * clock.Second)
	assert.Assert(t, slices.Contains(b.chosen["p"], lost))
	b.stepAfter(11 * clock.Second)
	b.stepAfter(1)
	assert.Assert(t, !slices.Contains(b.chosen["p"], lost))
	assert.Assert(t, len(b.chosen["p"]) >= 8)
}

// This process was paused for a minute and lost all its sessions. The endpoints
// still run, and it must not replace them.
func TestPausedProcessKeepsEndpoints(t *testing.T) {
	p := &platform{hosts: agents(40)}
	b := newHarness(p, 8)
	b.stepAfter(1)
	before := b.chosen["p"]
	for _, host := range before {
		b.roster.SessionOpened(host.Address, 1)
		b.roster.SessionEnded(host.Address)
	}
	b.stepAfter(clock.Minute)
	b.stepAfter(clock.Minute)
	assert.DeepEqual(t, b.chosen["p"], before)
}

func TestNewIncarnationUnderTheSameAddress(t *testing.T) {
	b := newHarness(&platform{}, 8)
	assert.Assert(t, !b.roster.SessionOpened("a", 1))
	assert.Assert(t, !b.roster.SessionOpened("a", 1))
	assert.Assert(t, b.roster.SessionOpened("a", 2))
}

// A process starts while the platform is down. It gets the hosts from a peer.
func TestHostsImportedFromPeer(t *testing.T) {
	p := &platform{hosts: agents(3)}
	peer := newHarness(p, 8)
	peer.stepAfter(1)
	raw, err := peer.roster.Export("p")
	assert.NilError(t, err)
	importer := newHarness(&platform{err: &store.UnavailableError{}}, 8)
	importer.stepAfter(1)
	assert.Assert(t, importer.roster.Missing("p"))
	assert.NilError(t, importer.roster.Import("p", raw))
	assert.Equal(t, len(importer.chosen["p"]), 3)
}
