// Package fleet asks the daemons on the platform's list of hosts, at their
// operators' ports, what they say of themselves.
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
	// parallel bounds the requests on their way at once.
	parallel  = 64
	maxAnswer = 4 << 20
)

// Fleet asks daemons.
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

// Option changes a Fleet while it is built.
type Option func(*Fleet)

// WithPort sets the usual operators' port.
func WithPort(port int) Option { return func(f *Fleet) { f.port = port } }

// WithToken sets the operator's bearer token.
func WithToken(token string) Option { return func(f *Fleet) { f.token = token } }

// WithTLS asks over TLS. The daemons' certificates must be valid for the name,
// or for the address that is asked when it is empty.
func WithTLS(source *certs.Source, server string) Option {
	return func(f *Fleet) { f.source, f.server = source, server }
}

// WithTimeout bounds one request.
func WithTimeout(timeout clock.Millis) Option { return func(f *Fleet) { f.timeout = timeout } }

// New returns a fleet on a platform's list of hosts.
func New(platform *store.Store, opts ...Option) *Fleet {
	f := &Fleet{HostsFunc: platform.Hosts, port: defaultPort, timeout: defaultTimeout}
	for _, opt := range opts {
		opt(f)
	}
	f.client = &http.Client{Transport: &http.Transport{DialTLSContext: f.dialTLS, MaxIdleConnsPerHost: 1}}
	return f
}

func (f *Fleet) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	name := f.server
	if name == "" {
		name, _, _ = net.SplitHostPort(address) // the transport always gives host and port
	}
	dialer := tls.Dialer{Config: f.source.Client(name)}
	return dialer.DialContext(ctx, network, address)
}

// Answer is what one daemon said. Cause is set when it could not be asked.
type Answer struct {
	Host   store.Host
	Status admin.Status
	Cause  error
}

// Hosts reads the whole list of hosts of a role; an empty role means all.
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

// Statuses asks the hosts for their status, several at a time. The answers come in
// the order of the hosts.
func (f *Fleet) Statuses(ctx context.Context, hosts []store.Host) []Answer {
	answers := make([]Answer, len(hosts))
	f.each(hosts, func(i int, host store.Host) {
		answers[i].Host = host
		answers[i].Cause = f.get(ctx, host, admin.PathStatus, &answers[i].Status)
	})
	return answers
}

// Request asks the hosts what they remember of a request.
func (f *Fleet) Request(ctx context.Context, hosts []store.Host, id string) []admin.Request {
	var mu sync.Mutex
	var found []admin.Request
	f.each(hosts, func(_ int, host store.Host) {
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

// ReleasesFunc asks the hosts which release they have in force. A host that has the
// release once is not asked again, because a release never goes back.
func (f *Fleet) ReleasesFunc(hosts []store.Host, release uint64) func(context.Context) []apply.ProcessRelease {
	known := make([]apply.ProcessRelease, len(hosts))
	return func(ctx context.Context) []apply.ProcessRelease {
		var ask []store.Host
		var at []int
		for i := range hosts {
			if known[i].Release < release {
				ask, at = append(ask, hosts[i]), append(at, i)
			}
		}
		for i, answer := range f.Statuses(ctx, ask) {
			known[at[i]] = apply.ProcessRelease{Process: answer.Host.Name, Release: answer.Status.Release, Cause: answer.Cause}
		}
		return known
	}
}

func (f *Fleet) each(hosts []store.Host, ask func(int, store.Host)) {
	slots := make(chan struct{}, parallel)
	var group sync.WaitGroup
	for i := range hosts {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			ask(i, hosts[i])
		})
	}
	group.Wait()
}

// StatusError says that a daemon refused to answer.
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
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
