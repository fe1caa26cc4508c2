// Package fleet queries the operators' ports of the daemons on the platform's
// list of hosts.
package fleet

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"

	"github.com/jujubescale/jujubescale/internal/base/bound"
	"github.com/jujubescale/jujubescale/internal/base/clock"
	"github.com/jujubescale/jujubescale/internal/link/certs"
	"github.com/jujubescale/jujubescale/internal/ops/admin"
	"github.com/jujubescale/jujubescale/internal/plat/store"
	"github.com/jujubescale/jujubescale/internal/share/apply"
)

const (
	defaultPort    = 7001
	defaultTimeout = 2 * clock.Second
	hostsPage      = 500
	// maxParallel bounds the number of concurrent requests.
	maxParallel    = 64
	maxAnswerBytes = 4 << 20
)

// Fleet queries daemons.
type Fleet struct {
	// HostsFunc reads one page of the platform's list.
	HostsFunc func(ctx context.Context, query store.HostQuery) (store.HostPage, error)

	port    int
	token   string
	source  *certs.Source
	server  string
	timeout clock.Millis
	client  *http.Client
}

// Option configures a Fleet in New.
type Option func(*Fleet)

// WithPort sets the operators' port of hosts whose entry on the list has no
// operators' address.
func WithPort(port int) Option { return func(f *Fleet) { f.port = port } }

// WithToken sets the operator's bearer token.
func WithToken(token string) Option { return func(f *Fleet) { f.token = token } }

// WithTLS enables TLS. The daemons' certificates must be valid for the server
// name, or for the address of the daemon if the name is empty.
func WithTLS(source *certs.Source, server string) Option {
	return func(f *Fleet) { f.source, f.server = source, server }
}

// WithTimeout bounds one request.
func WithTimeout(timeout clock.Millis) Option { return func(f *Fleet) { f.timeout = timeout } }

// New returns a fleet of the daemons on the platform's list of hosts.
func New(platform *store.Store, opts ...Option) *Fleet {
	f := &Fleet{HostsFunc: platform.Hosts, port: defaultPort, timeout: defaultTimeout}
	for _, opt := range opts {
		opt(f)
	}
	f.client = &http.Client{Transport: bound.NewTransport(&http.Transport{DialTLSContext: f.dialTLS, MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: bound.MaxHeadBytes})}
	return f
}

func (f *Fleet) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	name := f.server
	if name == "" {
		name, _, _ = net.SplitHostPort(address) // the transport always passes host and port
	}
	dialer := tls.Dialer{Config: f.source.Client(name)}
	return dialer.DialContext(ctx, network, address)
}

// Answer is the status of one daemon. Cause is the error if the query failed.
type Answer struct {
	Host   store.Host
	Status admin.Status
	Cause  error
}

// Hosts returns all hosts with a role. An empty role means all roles.
func (f *Fleet) Hosts(ctx context.Context, role string) ([]store.Host, error) {
	var hosts []store.Host
	query := store.HostQuery{Role: role, Limit: hostsPage}
	for {
		page, err := f.HostsFunc(ctx, query)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, page.Hosts...)
		if page.Next == "" {
			return hosts, nil
		}
		query.After = page.Next
	}
}

// Statuses queries the status of the hosts concurrently. The answers are in the
// order of the hosts.
func (f *Fleet) Statuses(ctx context.Context, hosts []store.Host) []Answer {
	answers := make([]Answer, len(hosts))
	f.forEach(hosts, func(i int, host store.Host) {
		answers[i].Host = host
		answers[i].Cause = f.get(ctx, host, admin.PathStatus, &answers[i].Status)
	})
	return answers
}

// Request queries the hosts for their records of a request. It ignores hosts that
// have none or can't be queried.
func (f *Fleet) Request(ctx context.Context, hosts []store.Host, id string) []admin.Request {
	var mu sync.Mutex
	var found []admin.Request
	f.forEach(hosts, func(_ int, host store.Host) {
		var request admin.Request
		if f.get(ctx, host, admin.PathRequest+url.PathEscape(id), &request) != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		found = append(found, request)
	})
	return found
}

// ReleasesFunc returns a function that queries which release each host has in
// force. The function doesn't query a host again once it has the given release or
// a newer one, because the release in force never decreases.
func (f *Fleet) ReleasesFunc(hosts []store.Host, release uint64) func(context.Context) []apply.ProcessRelease {
	known := make([]apply.ProcessRelease, len(hosts))
	return func(ctx context.Context) []apply.ProcessRelease {
		var behind []store.Host
		var indexes []int
		for i := range hosts {
			if known[i].Release < release {
				behind, indexes = append(behind, hosts[i]), append(indexes, i)
			}
		}
		for i, answer := range f.Statuses(ctx, behind) {
			known[indexes[i]] = apply.ProcessRelease{Process: answer.Host.Name, Release: answer.Status.Release, Cause: answer.Cause}
		}
		return known
	}
}

// forEach calls query for each host, at most maxParallel at a time.
func (f *Fleet) forEach(hosts []store.Host, query func(int, store.Host)) {
	slots := make(chan struct{}, maxParallel)
	var group sync.WaitGroup
	for i := range hosts {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			query(i, hosts[i])
		})
	}
	group.Wait()
}

// StatusError reports a response of a daemon with another status than 200.
type StatusError struct {
	Host   string
	Status int
	Detail string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered status %d: %s", e.Host, e.Status, e.Detail)
}

func (f *Fleet) get(ctx context.Context, host store.Host, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, f.timeout.Duration())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, f.base(host)+path, nil)
	if err != nil {
		return err
	}
	if f.token != "" {
		request.Header.Set("Authorization", "Bearer "+f.token)
	}
	response, err := f.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return &StatusError{Host: host.Name, Status: response.StatusCode, Detail: string(body)}
	}
	return json.Unmarshal(body, into)
}

func (f *Fleet) base(host store.Host) string {
	scheme := "http://"
	if f.source != nil {
		scheme = "https://"
	}
	if host.Operators != "" {
		return scheme + host.Operators
	}
	ip, _, err := net.SplitHostPort(host.Address)
	if err != nil {
		ip = host.Address
	}
	return scheme + net.JoinHostPort(ip, strconv.Itoa(f.port))
}
