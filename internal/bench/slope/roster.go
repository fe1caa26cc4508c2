package slope

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/charmbracelet/log"

	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/share/roster"
	"github.com/jujubescale/jujubescale/internal/stand/plat"
	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

const poolName = "engines"

// newPlatform returns a platform whose list of hosts has count endpoints of one pool.
func newPlatform(count int) *store.Store {
	p := plat.New()
	var hosts []store.Host
	for i := range count {
		hosts = append(hosts, store.Host{
			Name: fmt.Sprintf("host-engines-%05d", i), Address: fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250),
			AvailabilityZone: fmt.Sprintf("za-%d", i%19), Role: "agent", Pool: poolName,
			Endpoint: fmt.Sprintf("engines-%05d", i), State: store.HostLive,
		})
	}
	p.SetHosts(hosts)
	return &store.Store{HostsFunc: func(_ context.Context, query store.HostQuery) (store.HostPage, error) {
		return p.Hosts(query), nil
	}}
}

func newRoster(platform *store.Store) *roster.Roster {
	self := store.Host{Name: "host-entry-1", Address: "10.1.0.1:7000", AvailabilityZone: "za-1", Role: "entry"}
	return roster.New(self, platform, roster.WithPools(func() []string { return []string{poolName} }))
}

func rosterMemory() Probe {
	return Probe{
		Name: "memory of an endpoint on the list of hosts", X: "endpoints", Y: "bytes", Sizes: []int{500, 1000, 2000, 4000},
		MeasureFunc: func(ctx context.Context, size int) (float64, error) {
			platform := newPlatform(size)
			r := newRoster(platform)
			before := heap()
			r.Step(ctx)
			after := heap()
			runtime.KeepAlive(r)
			runtime.KeepAlive(platform)
			return after - before, nil
		},
	}
}

func rosterTime() Probe {
	const rounds = 10
	return Probe{
		Name: "processor time to read the list of a pool once", X: "endpoints", Y: "microseconds",
		Sizes: []int{500, 1000, 2000, 4000},
		MeasureFunc: func(ctx context.Context, size int) (float64, error) {
			platform := newPlatform(size)
			before, err := processorTime()
			if err != nil {
				return 0, err
			}
			for range rounds {
				newRoster(platform).Step(ctx)
			}
			after, err := processorTime()
			return float64((after - before).Microseconds()) / rounds, err
		},
	}
}

// idleTime measures a complete system without requests. Its processor time comes from
// heartbeats, load reports of the endpoints, lists of hosts and watches.
func idleTime() Probe {
	const span, entries = 5 * time.Second, 2
	return Probe{
		Name: "processor time of an idle system of 2 entries, stand-ins included", X: "agents", Y: "microseconds/s",
		Sizes: []int{5, 15, 30},
		MeasureFunc: func(_ context.Context, size int) (float64, error) {
			system, err := whole.New(whole.WithEndpoints(size/len(whole.Sample().Pools)), whole.WithEntries(entries),
				whole.WithLog(log.NewWithOptions(discard{}, log.Options{})))
			if err != nil {
				return 0, err
			}
			defer system.Close()
			time.Sleep(time.Second)
			before, err := processorTime()
			if err != nil {
				return 0, err
			}
			time.Sleep(span)
			after, err := processorTime()
			return float64((after - before).Microseconds()) / span.Seconds(), err
		},
	}
}

// discard is a writer that discards the logs of the daemons.
type discard struct{}

// Write implements io.Writer.
func (discard) Write(line []byte) (int, error) { return len(line), nil }
