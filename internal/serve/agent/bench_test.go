package agent_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/conf/manif"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/link/wire"
	"github.com/jujubescale/jujubescale/internal/serve/agent"
)

var instantEndpoint = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/load" {
		_, _ = io.WriteString(w, `{"startId":1,"limit":256}`)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, `{"output":{}}`)
})

// BenchmarkBareCall measures calls to the endpoint without an agent.
func BenchmarkBareCall(b *testing.B) {
	server := httptest.NewServer(instantEndpoint)
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	post := func(b *testing.B) {
		response, err := client.Post(server.URL+"/v1/run", "application/json", bytes.NewReader([]byte(`{"input":{}}`)))
		assert.NilError(b, err)
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	b.Run("inFlight=1", func(b *testing.B) {
		for b.Loop() {
			post(b)
		}
	})
	b.Run("inFlight=64", func(b *testing.B) {
		b.SetParallelism(64 / runtime.GOMAXPROCS(0))
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				post(b)
			}
		})
	})
}

// BenchmarkAgentCall measures the same calls through a session and the agent, with
// 1 and with 64 calls in flight.
func BenchmarkAgentCall(b *testing.B) {
	for _, inFlight := range []int{1, 64} {
		b.Run(fmt.Sprintf("inFlight=%d", inFlight), func(b *testing.B) { benchmarkCalls(b, inFlight) })
	}
}

func benchmarkCalls(b *testing.B, inFlight int) {
	endpoint := httptest.NewServer(instantEndpoint)
	defer endpoint.Close()
	a := agent.New(agent.Settings{Process: "agent", Pool: "p", Endpoint: "e", Kind: manif.KindEncode, EndpointURL: endpoint.URL},
		agent.WithLog(log.New(io.Discard)), agent.WithHolder(newHolder(manif.KindEncode, 256, 256)))
	defer a.Close()
	server := httptest.NewServer(a.Handler())
	defer server.CloseClientConnections()
	ready, ended := make(chan struct{}, 1), make(chan bool, inFlight)
	s, err := sess.Dial(b.Context(), strings.TrimPrefix(server.URL, "http://"), sess.WithHandler(func(s *sess.Session, f *wire.Frame) {
		switch f.Kind {
		case wire.KindLeave:
			if f.Leave.Resumed {
				ready <- struct{}{}
			}
		case wire.KindEnd:
			_ = s.Send(&wire.Frame{Kind: wire.KindAck, Ack: &wire.Ack{ID: f.End.ID}})
			ended <- true
		case wire.KindRefuse:
			ended <- false
		default:
		}
	}))
	assert.NilError(b, err)
	if s.Peer().Leaving {
		<-ready
	}
	send := func(n int) {
		c := &wire.Call{Organisation: "small", Idempotent: true, TimeLeft: 60_000, Body: []byte(`{"input":{}}`)}
		c.ID.Request = fmt.Sprint(n)
		assert.NilError(b, s.Send(&wire.Frame{Kind: wire.KindCall, Call: c}))
	}
	b.ReportAllocs()
	b.ResetTimer()
	sent, done, refused := 0, 0, 0
	for done < b.N {
		for sent < b.N && sent-done < inFlight {
			send(sent)
			sent++
		}
		if !<-ended {
			refused++
		}
		done++
	}
	b.StopTimer()
	b.ReportMetric(float64(refused), "refused")
	s.Close(nil)
	<-s.Done()
}
