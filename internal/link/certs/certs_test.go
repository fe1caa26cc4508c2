package certs_test

import (
	"crypto/tls"
	"errors"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/certs"
	"github.com/jujubescale/jujubescale/internal/stand/testca"
)

func source(t *testing.T, pair testca.Pair, ca string, opts ...certs.Option) *certs.Source {
	t.Helper()
	s, err := certs.New(certs.Files{Cert: pair.Cert, Key: pair.Key, CA: ca}, opts...)
	assert.NilError(t, err)
	return s
}

// serve starts a server that counts the requests that reach its handler.
func serve(t *testing.T, config *tls.Config, reached *int) *httptest.Server {
	t.Helper()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		*reached++
		_, _ = io.WriteString(w, "served")
	}))
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.Listener = tls.NewListener(server.Listener, config)
	server.Start()
	server.URL = strings.Replace(server.URL, "http:", "https:", 1)
	t.Cleanup(server.Close)
	return server
}

func get(t *testing.T, url string, config *tls.Config) error {
	t.Helper()
	transport := &http.Transport{TLSClientConfig: config}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	assert.NilError(t, err)
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return err
}

// Guards against a port that requires a certificate but answers, or handles the request
// of, a client that has no valid one.
func TestOnlyValidCertificatesAreServed(t *testing.T) {
	authority, other := testca.New(t), testca.New(t)
	agent := source(t, authority.Issue(t, certs.NameAgent), authority.File)
	cases := map[string]struct {
		client *tls.Config
		served bool
	}{
		"entry": {source(t, authority.Issue(t, certs.NameEntry), authority.File).Client(certs.NameAgent), true},
		"another agent's certificate": {
			source(t, authority.Issue(t, certs.NameAgent), authority.File).Client(certs.NameAgent), false,
		},
		"certificate of another authority": {
			source(t, other.Issue(t, certs.NameEntry), authority.File).Client(certs.NameAgent), false,
		},
		"no certificate": {
			source(t, testca.Pair{}, authority.File).Client(certs.NameAgent), false,
		},
		"client that trusts another authority": {
			source(t, authority.Issue(t, certs.NameEntry), other.File).Client(certs.NameAgent), false,
		},
		"client that expects another role": {
			source(t, authority.Issue(t, certs.NameEntry), authority.File).Client(certs.NameOperator), false,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			reached := 0
			server := serve(t, agent.Server(certs.NameEntry), &reached)
			err := get(t, server.URL, c.client)
			assert.Equal(t, err == nil, c.served, "%v", err)
			server.Close()
			assert.Equal(t, reached == 1, c.served)
		})
	}
}

func TestServerNameMayBeAnAddress(t *testing.T) {
	authority := testca.New(t)
	reached := 0
	server := serve(t, source(t, authority.Issue(t, "127.0.0.1"), "").Server(), &reached)
	client := source(t, testca.Pair{}, authority.File)
	assert.NilError(t, get(t, server.URL, client.Client("127.0.0.1")))
	assert.ErrorContains(t, get(t, server.URL, client.Client("127.0.0.2")), "not accepted")
}

// Guards against a process that presents its old certificate after a renewal, which
// all clients would refuse once it expires. Certificates are renewed every few weeks.
func TestRenewedFilesAreReadAgain(t *testing.T) {
	authority, next := testca.New(t), testca.New(t)
	pair := authority.Issue(t, "127.0.0.1")
	fake := clock.NewFake(0)
	server := source(t, pair, "", certs.WithClock(fake.Clock()))
	reached := 0
	url := serve(t, server.Server(), &reached).URL
	trustsNext := source(t, testca.Pair{}, next.File).Client("127.0.0.1")
	assert.Assert(t, get(t, url, trustsNext) != nil)
	next.Renew(t, pair, "127.0.0.1")
	touch(t, pair)
	fake.Advance(clock.Second)
	assert.NilError(t, get(t, url, trustsNext))
}

// Guards against clients of an authority that are still served after the authority has
// been replaced in the CA file.
func TestReplacedAuthorityIsNotTrustedAnyMore(t *testing.T) {
	authority, next := testca.New(t), testca.New(t)
	fake := clock.NewFake(0)
	server := source(t, authority.Issue(t, certs.NameAgent), authority.File, certs.WithClock(fake.Clock()))
	reached := 0
	url := serve(t, server.Server(certs.NameEntry), &reached).URL
	client := source(t, authority.Issue(t, certs.NameEntry), authority.File).Client(certs.NameAgent)
	assert.NilError(t, get(t, url, client))
	raw, err := os.ReadFile(next.File)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(authority.File, raw, 0o600))
	later := time.Now().Add(time.Minute)
	assert.NilError(t, os.Chtimes(authority.File, later, later))
	fake.Advance(clock.Second)
	assert.Assert(t, get(t, url, client) != nil)
	assert.Equal(t, reached, 1)
}

// Guards against handshakes that fail during a renewal, when only one of certificate
// and key has been replaced.
func TestHalfWrittenPairIsNotLoaded(t *testing.T) {
	authority := testca.New(t)
	pair := authority.Issue(t, "127.0.0.1")
	fake := clock.NewFake(0)
	var failures []error
	server := source(t, pair, "", certs.WithClock(fake.Clock()), certs.WithReloadError(func(err error) { failures = append(failures, err) }))
	reached := 0
	url := serve(t, server.Server(), &reached).URL
	assert.NilError(t, os.WriteFile(pair.Key, []byte("half"), 0o600))
	fake.Advance(clock.Second)
	assert.NilError(t, get(t, url, source(t, testca.Pair{}, authority.File).Client("127.0.0.1")))
	assert.Equal(t, len(failures), 1)
}

func TestUnusableFiles(t *testing.T) {
	authority := testca.New(t)
	pair := authority.Issue(t, "x")
	for name, files := range map[string]certs.Files{
		"no certificate":   {Cert: "/nowhere", Key: pair.Key},
		"no authority":     {Cert: pair.Cert, Key: pair.Key, CA: "/nowhere"},
		"key as CA":        {Cert: pair.Cert, Key: pair.Key, CA: pair.Key},
		"foreign key":      {Cert: pair.Cert, Key: authority.Issue(t, "x").Key},
		"certificate only": {Cert: pair.Cert},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := certs.New(files)
			var file *certs.FileError
			assert.Assert(t, errors.As(err, &file), "%v", err)
		})
	}
}

func touch(t *testing.T, pair testca.Pair) {
	t.Helper()
	later := time.Now().Add(time.Minute)
	assert.NilError(t, os.Chtimes(pair.Cert, later, later))
	assert.NilError(t, os.Chtimes(pair.Key, later, later))
}
