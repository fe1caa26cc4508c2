package daemon_test

import (
	"crypto/tls"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/certs"
	"github.com/jujubescale/jujubescale/internal/link/sess"
	"github.com/jujubescale/jujubescale/internal/ops/fleet"
	"github.com/jujubescale/jujubescale/internal/plat/client"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/stand/testca"
	"github.com/jujubescale/jujubescale/internal/stand/whole"
)

// tlsFlags returns the flags for the certificate files of one kind of connections.
func tlsFlags(kind string, pair testca.Pair, ca string) []string {
	args := []string{"--" + kind + "-tls-cert-file=" + pair.Cert, "--" + kind + "-tls-key-file=" + pair.Key}
	if ca != "" {
		args = append(args, "--"+kind+"-tls-ca-file="+ca)
	}
	return args
}

func certificates(t *testing.T, pair testca.Pair, ca string) *certs.Source {
	t.Helper()
	source, err := certs.New(certs.Files{Cert: pair.Cert, Key: pair.Key, CA: ca})
	assert.NilError(t, err)
	return source
}

// newSecureSystem runs an entry and an agent with TLS on every port.
func newSecureSystem(t *testing.T, authority *testca.Authority) *system {
	t.Helper()
	ports := authority.Issue(t, "127.0.0.1")
	operators := tlsFlags("operators", ports, authority.File)
	return newSystemWith(t,
		append(tlsFlags("processes", authority.Issue(t, certs.NameAgent), authority.File), operators...),
		append(append(tlsFlags("processes", authority.Issue(t, certs.NameEntry), authority.File), operators...),
			tlsFlags("callers", ports, "")...))
}

func get(t *testing.T, url string, config *tls.Config, bearer string) (int, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+bearer)
	transport := &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// Guards against access without the right credentials. With TLS on every port a
// caller with a token is served. A caller without a token or in plain HTTP, and a
// process or an operator with the certificate of another role, are refused.
func TestTLSRefusesWrongCredentials(t *testing.T) {
	authority := testca.New(t)
	s := newSecureSystem(t, authority)
	caller := certificates(t, testca.Pair{}, authority.File).Client("127.0.0.1")
	stock := strings.Replace(s.callers, "http:", "https:", 1) + "/v1/services/orders/call/stock/reel"
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status, err := get(t, stock, caller, whole.SampleToken); status != http.StatusNotFound {
			return poll.Continue("%d %v", status, err) // the service answers 404 for this path; other codes mean that it is not reachable yet
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))

	t.Run("caller without token", func(t *testing.T) {
		status, err := get(t, stock, caller, "wrong")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusUnauthorized)
	})
	t.Run("caller in plain HTTP", func(t *testing.T) {
		status, _ := get(t, strings.Replace(stock, "https:", "http:", 1), nil, whole.SampleToken)
		assert.Equal(t, status, http.StatusBadRequest)
	})
	t.Run("process with an agent's certificate", func(t *testing.T) {
		impostor := certificates(t, authority.Issue(t, certs.NameAgent), authority.File)
		_, err := sess.Dial(t.Context(), s.agent.address(t, "sessions"), sess.WithTLS(impostor.Client(certs.NameAgent)))
		assert.Assert(t, err != nil)
	})
	t.Run("process without certificate", func(t *testing.T) {
		_, err := sess.Dial(t.Context(), s.agent.address(t, "sessions"))
		assert.Assert(t, err != nil)
	})
	t.Run("operators", func(t *testing.T) { testOperators(t, s, authority) })
}

func testOperators(t *testing.T, s *system, authority *testca.Authority) {
	host := store.Host{Name: "host-1", Operators: s.agent.address(t, "operators")}
	cases := map[string]struct {
		pair   testca.Pair
		served bool
	}{
		"operator":                     {authority.Issue(t, certs.NameOperator), true},
		"an entry's certificate":       {authority.Issue(t, certs.NameEntry), false},
		"no certificate":               {testca.Pair{}, false},
		"another authority's operator": {testca.New(t).Issue(t, certs.NameOperator), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			hostsFleet := fleet.New(client.New(s.url).Store(), fleet.WithTimeout(10*clock.Second),
				fleet.WithTLS(certificates(t, c.pair, authority.File), ""))
			answer := hostsFleet.Statuses(t.Context(), []store.Host{host})[0]
			assert.Equal(t, answer.Cause == nil, c.served, "%v", answer.Cause)
			assert.Equal(t, answer.Status.Process == "agent-1", c.served)
		})
	}
}
