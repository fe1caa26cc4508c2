package plat_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/stand/plat"
)

func TestFaultsOfReadsAndWatches(t *testing.T) {
	cases := []struct {
		name   string
		faults plat.Faults
		query  string
		want   reply
	}{
		{"none", plat.Faults{}, "", reply{200, "2", "new"}},
		{"down refuses reads", plat.Faults{Down: true}, "", reply{503, "", ""}},
		{"stale read returns the previous version", plat.Faults{Stale: 1}, "", reply{200, "1", "old"}},
		{"doubled watch event answers at once", plat.Faults{WatchDoubled: 1}, "?watch=2&waitMs=60000", reply{200, "2", "new"}},
		{"lost watch event answers at the end of the wait", plat.Faults{WatchLost: 1}, "?watch=1&waitMs=1", reply{200, "2", "new"}},
		{"stale watch returns an older version", plat.Faults{Stale: 1}, "?watch=3&waitMs=60000", reply{200, "1", "old"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := plat.New()
			p.Put("a", store.At(0), []byte("old"))
			p.Put("a", store.At(1), []byte("new"))
			p.SetFaults(c.faults)
			server := httptest.NewServer(p.Handler())
			defer server.Close()
			assert.DeepEqual(t, call(t, "GET", server.URL+"/v1/objects/a"+c.query, "", ""), c.want, sameReply)
		})
	}
}

// The platform stores a write, but its answer is lost. The writer gets a
// connection error and cannot tell whether the write took effect.
func TestWriteTakesEffectWhileItsAnswerIsLost(t *testing.T) {
	p := plat.New()
	p.SetFaults(plat.Faults{LoseAnswer: 1})
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	request, err := http.NewRequest(http.MethodPut, server.URL+"/v1/objects/a", http.NoBody)
	assert.NilError(t, err)
	request.Header.Set("If-Match", "0")
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		assert.NilError(t, response.Body.Close())
	}
	assert.Assert(t, err != nil)
	assert.Equal(t, p.Get("a").Version, store.At(1))
}

func TestRestoreResetsVersions(t *testing.T) {
	p := plat.New()
	p.Put("a", store.At(0), []byte("old"))
	backup := p.Snapshot()
	p.Put("a", store.At(1), []byte("new"))
	p.Restore(backup)
	got := p.Get("a")
	assert.Equal(t, got.Version, store.At(1))
	assert.Equal(t, string(got.Value), "old")
}

func TestCallsBeyondTheRateAreRefusedAndCounted(t *testing.T) {
	p := plat.New(plat.WithRates(1, 1))
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	call(t, "GET", server.URL+"/v1/objects/a", "", "")
	assert.Equal(t, call(t, "GET", server.URL+"/v1/objects/a", "", "").status, http.StatusTooManyRequests)
	assert.Equal(t, p.Calls(), plat.Calls{Reads: 2, Refused: 1})
}

func TestHostListLags(t *testing.T) {
	p := plat.New()
	p.SetHosts([]store.Host{{Name: "a"}})
	p.SetFaults(plat.Faults{HostLag: time.Hour})
	p.SetHosts([]store.Host{{Name: "b"}})
	assert.Equal(t, p.Hosts(store.HostQuery{}).Hosts[0].Name, "a")
	p.SetFaults(plat.Faults{})
	assert.Equal(t, p.Hosts(store.HostQuery{}).Hosts[0].Name, "b")
}
