package agent_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/serve/agent"
	"github.com/jujubescale/jujubescale/internal/stand/pool"
	"github.com/jujubescale/jujubescale/internal/stand/slots"
)

// BenchmarkColdStart measures 60 callers that send calls without pause for two
// seconds to an endpoint that has just started, with and without an agent.
// docs/design/coldstart.md quotes its results.
func BenchmarkColdStart(b *testing.B) {
	const callers, span = 60, 2 * time.Second
	for name, withAgent := range map[string]bool{"noAgent": false, "agent": true} {
		b.Run(name, func(b *testing.B) {
			falls, answered := 0, int64(0)
			for b.Loop() {
				endpoint := pool.New("encode", pool.WithWork(10*time.Millisecond), pool.WithLoadLag(200*time.Millisecond),
					pool.WithCapacity(slots.Config{Limit: 16, ColdLimit: 4, ColdWork: 400 * time.Millisecond}))
				endpoint.Slots.Restart()
				server := httptest.NewServer(endpoint.Handler())
				if withAgent {
					answered += sendThroughAgent(b, server.URL, callers, span)
				} else {
					answered += sendWithoutAgent(server.URL, callers, span)
				}
				falls += endpoint.Slots.State().ColdCrashes
				_ = server.Config.Close()
			}
			b.ReportMetric(float64(falls)/float64(b.N), "falls")
			b.ReportMetric(float64(answered)/float64(b.N)/span.Seconds(), "answered/s")
		})
	}
}

func sendWithoutAgent(url string, callers int, span time.Duration) int64 {
	var answered atomic.Int64
	var group sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	for end := time.Now().Add(span); callers > 0; callers-- {
		group.Go(func() {
			for time.Now().Before(end) {
				response, err := client.Post(url+"/v1/run", "application/json", bytes.NewReader([]byte(`{"input":{}}`)))
				if err != nil {
					time.Sleep(time.Millisecond)
					continue
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				answered.Add(1)
			}
		})
	}
	group.Wait()
	return answered.Load()
}

func sendThroughAgent(b *testing.B, url string, callers int, span time.Duration) int64 {
	a := agent.New(agent.Settings{Process: "agent", Pool: "p", Endpoint: "e", Kind: manif.KindEncode, EndpointURL: url},
		agent.WithLog(log.New(io.Discard)), agent.WithHolder(newHolder(manif.KindEncode, 4, 16)))
	defer a.Close()
	server := httptest.NewServer(a.Handler())
	defer func() { _ = server.Config.Close() }()
	var answered atomic.Int64
	send := func(s *sess.Session) {
		c := &wire.Call{Organisation: "small", Idempotent: true, TimeLeft: 60_000, Body: []byte(`{"input":{}}`)}
		c.ID.Request, c.ID.Try = "cold", int(attemptNumber.Add(1))
		_ = s.Send(&wire.Frame{Kind: wire.KindCall, Call: c})
	}
	s, err := sess.Dial(b.Context(), strings.TrimPrefix(server.URL, "http://"), sess.WithHandler(func(s *sess.Session, f *wire.Frame) {
		switch f.Kind {
		case wire.KindEnd:
			answered.Add(1)
			_ = s.Send(&wire.Frame{Kind: wire.KindAck, Ack: &wire.Ack{ID: f.End.ID}})
			send(s)
		case wire.KindRefuse:
			time.AfterFunc(time.Millisecond, func() { send(s) })
		default:
		}
	}))
	assert.NilError(b, err)
	for range callers {
		send(s)
	}
	time.Sleep(span)
	s.Close(nil)
	<-s.Done()
	return answered.Load()
}
