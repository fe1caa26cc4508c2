package node_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/plat/call"
	"github.com/jujubescale/jujubescale/internal/plat/client"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/share/apply"
	"github.com/jujubescale/jujubescale/internal/share/node"
	"github.com/jujubescale/jujubescale/internal/share/spread"
	"github.com/jujubescale/jujubescale/internal/stand/plat"
)

// fleet is the nodes of several entries on loopback and a platform stand-in.
type fleet struct {
	platform *plat.Plat
	operator *apply.Operator
	holders  []*spread.Holder
	// bytes counts the bytes of the sessions between entries, in both directions.
	bytes atomic.Int64
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (f *fleet) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: &f.bytes}, nil
}

// manifest returns a manifest with organisations of realistic size, on which
// the number of sections depends.
func manifest(organisations, weight int) *manif.Manifest {
	m := &manif.Manifest{AvailabilityZones: []string{"z0", "z1", "z2"}, Pools: []manif.Pool{{Name: "p"}}}
	for i := range organisations {
		m.Organisations = append(m.Organisations, manif.Organisation{
			Name: fmt.Sprintf("organisation-%04d", i), Weight: 1, TokenHashes: []string{strings.Repeat("0123456789abcdef", 4)},
		})
	}
	m.Organisations[0].Weight = weight
	return m
}

func newFleet(tb testing.TB, size, organisations int) *fleet {
	tb.Helper()
	f := &fleet{platform: plat.New()}
	server := httptest.NewServer(f.platform.Handler())
	tb.Cleanup(server.Close)
	f.operator = apply.New(client.New(server.URL).Store())
	_, err := f.operator.Apply(context.Background(), manifest(organisations, 1), apply.Change{Who: "start"})
	assert.NilError(tb, err)
	ctx, cancel := context.WithCancel(context.Background())
	nodes := make([]*node.Entry, size)
	ports := make([]*httptest.Server, size)
	hosts := make([]store.Host, size)
	for i := range size {
		ports[i] = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { nodes[i].Accept(ctx, w, r) }))
		hosts[i] = store.Host{
			Name: fmt.Sprintf("entry-%03d", i), Address: strings.TrimPrefix(ports[i].URL, "http://"), Role: node.RoleEntry,
			AvailabilityZone: fmt.Sprintf("z%d", i%3), State: store.HostLive,
		}
	}
	f.platform.SetHosts(hosts)
	for i := range size {
		holder := &spread.Holder{}
		f.holders = append(f.holders, holder)
		nodes[i] = node.NewEntry(hosts[i], holder,
			node.WithCaller(call.New(client.New(server.URL).Store())), node.WithLog(log.New(io.Discard)),
			node.WithSession(sess.WithDial(f.dial), sess.WithHello(func() wire.Hello {
				return wire.Hello{Process: hosts[i].Name, Role: node.RoleEntry, AvailabilityZone: hosts[i].AvailabilityZone}
			})))
	}
	for i := range size {
		nodes[i].Run(ctx)
	}
	tb.Cleanup(func() {
		cancel()
		for i := range size {
			<-nodes[i].Done()
			ports[i].Close()
		}
	})
	f.wait(tb, 1)
	return f
}

// wait waits until a release is in force in all processes.
func (f *fleet) wait(tb testing.TB, release uint64) {
	tb.Helper()
	check := func(poll.LogT) poll.Result {
		for i, holder := range f.holders {
			if number := holder.Number(); number < release {
				return poll.Continue("entry %d has release %d", i, number)
			}
		}
		return poll.Success()
	}
	poll.WaitOn(tb, check, poll.WithTimeout(time.Minute), poll.WithDelay(10*time.Millisecond))
}

func (f *fleet) change(tb testing.TB, organisations, weight int) uint64 {
	tb.Helper()
	result, err := f.operator.Apply(context.Background(), manifest(organisations, weight), apply.Change{Who: "anna"})
	assert.NilError(tb, err)
	return result.Head.Release
}

// Only eight of twenty entries watch the platform. The others must get a change
// from them, or they use an evacuated zone until their next read of the head.
func TestChangeReachesEntriesThatDontWatch(t *testing.T) {
	f := newFleet(t, 20, 3)
	for weight := 2; weight < 5; weight++ {
		f.wait(t, f.change(t, 3, weight))
	}
	assert.Assert(t, f.platform.Calls().Watches > 0)
}

// BenchmarkInForce changes one of 1,700 organisations. It measures the time from
// the accepted write until the change is in force in each process, the number of
// platform calls, and the bytes on the sessions of each process.
func BenchmarkInForce(b *testing.B) {
	const organisations = 1700
	for _, size := range []int{10, 50, 200} {
		b.Run(fmt.Sprintf("%d processes", size), func(b *testing.B) {
			f := newFleet(b, size, organisations)
			time.Sleep(3 * time.Second) // let all sessions between entries open
			var spans []time.Duration
			before, sent := f.platform.Calls(), f.bytes.Load()
			weight := 2
			for b.Loop() {
				spans = append(spans, f.measure(b, organisations, weight)...)
				weight++
			}
			after := f.platform.Calls()
			changes := float64(weight - 2)
			slices.Sort(spans)
			b.ReportMetric(float64(spans[len(spans)/2].Microseconds())/1000, "p50-ms")
			b.ReportMetric(float64(spans[len(spans)-1].Microseconds())/1000, "max-ms")
			b.ReportMetric(float64(after.Reads-before.Reads)/changes, "reads/change")
			b.ReportMetric(float64(after.Watches-before.Watches)/changes, "watches/change")
			b.ReportMetric(float64(after.Writes-before.Writes)/changes, "writes/change")
			b.ReportMetric(float64(f.bytes.Load()-sent)/changes/float64(size), "session-bytes/change/process")
		})
	}
}

// measure makes one change and returns how long it took to come into force in
// each process.
func (f *fleet) measure(b *testing.B, organisations, weight int) []time.Duration {
	b.Helper()
	release := f.change(b, organisations, weight)
	accepted := time.Now()
	spans := make([]time.Duration, len(f.holders))
	for remaining := len(f.holders); remaining > 0; {
		for i, holder := range f.holders {
			if spans[i] == 0 && holder.Number() >= release {
				spans[i] = max(time.Since(accepted), 1)
				remaining--
			}
		}
		time.Sleep(100 * time.Microsecond)
	}
	return spans
}
