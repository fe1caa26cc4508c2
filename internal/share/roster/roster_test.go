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

// An endpoint that no entry holds a session to is paid for and gets no work; one
// that all hold is the one that falls over. Every endpoint must be held about
// equally often, whatever the numbers of entries and endpoints.
func TestEveryEndpointIsHeldAboutEquallyOften(t *testing.T) {
	cases := []struct{ entries, endpoints, zones, size int }{
		{3, 5, 3, 24},
		{10, 100, 4, 24},
		{100, 1500, 19, 24},
		{500, 1500, 19, 24},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d entries, %d endpoints", c.entries, c.endpoints), func(t *testing.T) {
			entries, endpoints := hosts("entry", c.entries, c.zones), hosts("agent", c.endpoints, c.zones)
			held := make(map[string]int)
			for _, entry := range entries {
				chosen := roster.Subset(entry, entries, endpoints, c.size)
				assert.Equal(t, len(chosen), min(c.size, c.endpoints))
				for _, host := range chosen {
					held[host.Name]++
				}
			}
			least, most := c.entries, 0
			for _, host := range endpoints {
				least, most = min(least, held[host.Name]), max(most, held[host.Name])
			}
			mean := c.entries * min(c.size, c.endpoints) / c.endpoints
			t.Logf("held by %d to %d entries, mean %d", least, most, mean)
			assert.Assert(t, least >= 1 && most <= 2*mean+2)
		})
	}
}

// One endpoint joins. If every entry chose anew, all sessions would be opened
// again at once, all over the fleet.
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

// News must reach every entry over the peers' sessions when only a few watch,
// or a zone stays in use on the entries that were left out.
func TestNewsReachesEveryEntry(t *testing.T) {
	for _, count := range []int{1, 2, 3, 8, 50, 200, 500} {
		entries := hosts("entry", count, 5)
		links := make(map[string][]string)
		reached := make(map[string]bool)
		var front []string
		watchers := 0
		for _, entry := range entries {
			for _, peer := range roster.Peers(entry, entries) {
				links[entry.Name] = append(links[entry.Name], peer.Name)
				links[peer.Name] = append(links[peer.Name], entry.Name)
			}
			if roster.IsWatcher(entry, entries) {
				watchers++
				reached[entry.Name] = true
				front = append(front, entry.Name)
			}
		}
		hops := 0
		for ; len(reached) < count && len(front) > 0; hops++ {
			var next []string
			for _, name := range front {
				for _, peer := range links[name] {
					if !reached[peer] {
						reached[peer] = true
						next = append(next, peer)
					}
				}
			}
			front = next
		}
		t.Logf("%d entries: %d watch, %d hops", count, watchers, hops)
		assert.Equal(t, len(reached), count)
		assert.Assert(t, watchers <= 8 && watchers >= min(count, 8))
		assert.Assert(t, hops <= 8)
	}
}

// platform is a list of hosts that can fail.
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

// bench runs a roster step by step.
type bench struct {
	fake   *clock.Fake
	roster *roster.Roster
	want   map[string][]store.Host
}

func newBench(p *platform, size int) *bench {
	b := &bench{fake: clock.NewFake(1), want: make(map[string][]store.Host)}
	b.roster = roster.New(store.Host{Name: "entry-0", Role: "entry"}, p.store(),
		roster.WithClock(b.fake.Clock()), roster.WithSize(size),
		roster.WithPools(func() []string { return []string{"p"} }),
		roster.WithChanged(func(pool string, hosts []store.Host) { b.want[pool] = hosts }))
	return b
}

// after moves the clock and lets the roster look once.
func (b *bench) after(span clock.Millis) {
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

// The platform's store goes down for an hour. Its list of hosts fails or comes
// back empty; the endpoints are all still there and must keep their sessions.
func TestOutageTakesNoEndpointAway(t *testing.T) {
	p := &platform{hosts: agents(4)}
	b := newBench(p, 24)
	b.after(1)
	assert.Equal(t, len(b.want["p"]), 4)
	for _, host := range p.hosts {
		b.roster.SessionOpened(host.Address, 1)
	}
	p.err = &store.UnavailableError{}
	b.after(clock.Hour)
	assert.Equal(t, len(b.want["p"]), 4)
	p.hosts, p.err = nil, nil
	b.after(clock.Hour)
	assert.Equal(t, len(b.want["p"]), 4, "sessions show that they live")
}

// A host fails for good. Its place goes to another endpoint, but not at the
// first lost session: a restart takes seconds and must not move sessions.
func TestSuspectedBeforeDead(t *testing.T) {
	p := &platform{hosts: agents(40)}
	b := newBench(p, 8)
	b.after(1)
	for _, host := range b.want["p"] {
		b.roster.SessionOpened(host.Address, 1)
	}
	lost := b.want["p"][0]
	b.roster.SessionEnded(lost.Address)
	b.after(20 * clock.Second)
	assert.Assert(t, slices.Contains(b.want["p"], lost))
	b.after(11 * clock.Second)
	b.after(1)
	assert.Assert(t, !slices.Contains(b.want["p"], lost))
	assert.Assert(t, len(b.want["p"]) >= 8)
}

// This process was paused for a minute and finds all its sessions lost. The
// others are well; it must not give them all up.
func TestPausedProcessDoesNotDeclareOthersDead(t *testing.T) {
	p := &platform{hosts: agents(40)}
	b := newBench(p, 8)
	b.after(1)
	before := b.want["p"]
	for _, host := range before {
		b.roster.SessionOpened(host.Address, 1)
		b.roster.SessionEnded(host.Address)
	}
	b.after(clock.Minute)
	b.after(clock.Minute)
	assert.DeepEqual(t, b.want["p"], before)
}

func TestNewIncarnationUnderTheSameAddress(t *testing.T) {
	b := newBench(&platform{}, 8)
	assert.Assert(t, !b.roster.SessionOpened("a", 1))
	assert.Assert(t, !b.roster.SessionOpened("a", 1))
	assert.Assert(t, b.roster.SessionOpened("a", 2))
}

// A process starts while the platform is down: a peer tells it who is there.
func TestHostsFromAPeer(t *testing.T) {
	p := &platform{hosts: agents(3)}
	peer := newBench(p, 8)
	peer.after(1)
	raw, err := peer.roster.Export("p")
	assert.NilError(t, err)
	own := newBench(&platform{err: &store.UnavailableError{}}, 8)
	own.after(1)
	assert.Assert(t, own.roster.Missing("p"))
	assert.NilError(t, own.roster.Import("p", raw))
	assert.Equal(t, len(own.want["p"]), 3)
}
