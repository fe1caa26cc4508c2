// Package certs holds the certificates of one kind of connections and makes
// TLS configurations of them. Files that are replaced are read again at the
// next handshake, so certificates that are renewed need no restart.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jujubescale/jujubescale/internal/base/clock"
)

// Names that a certificate must carry as DNS name to act in a role. Without
// them, whoever takes the certificate of one agent could pose as an entry or
// as an operator, because one authority signs for all.
const (
	NameEntry    = "entry"
	NameAgent    = "agent"
	NameOperator = "operator"
)

// Files names the PEM files. CA may be empty: a server then asks for no
// certificate, and a client trusts the authorities of the machine. Cert and
// Key may be empty for a client that shows none.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// FileError says which file can't be used.
type FileError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("TLS file %q: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// Source holds what the files said when they were last read.
type Source struct {
	files      Files
	clock      *clock.Clock
	checkEvery clock.Millis
	failed     func(error)

	held    atomic.Pointer[held]
	checked atomic.Int64
	reload  sync.Mutex
}

// held is the content of the files at one time; it is never changed.
type held struct {
	cert  *tls.Certificate
	pool  *x509.CertPool
	stamp [3]stamp
}

// stamp tells two contents of a file apart.
type stamp struct {
	changed time.Time
	size    int64
}

const defaultCheckEvery = clock.Second

// Option changes a Source while it is built.
type Option func(*Source)

// WithClock replaces the clock.
func WithClock(c *clock.Clock) Option { return func(s *Source) { s.clock = c } }

// WithReloadError sets who hears of files that can't be used; the old ones stay.
func WithReloadError(failed func(error)) Option { return func(s *Source) { s.failed = failed } }

// New reads the files; it fails when they can't be used.
func New(files Files, opts ...Option) (*Source, error) {
	s := &Source{files: files, clock: clock.New(), checkEvery: defaultCheckEvery, failed: func(error) {}}
	for _, opt := range opts {
		opt(s)
	}
	first, err := read(files)
	if err != nil {
		return nil, err
	}
	s.held.Store(first)
	s.checked.Store(int64(s.clock.Now()))
	return s, nil
}

// Server returns the configuration of a port. With a CA file the other end
// must show a certificate of that authority which carries one of the names, or
// any name when none is given.
func (s *Source) Server(names ...string) *tls.Config {
	config := &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.current().cert, nil
		},
	}
	if s.files.CA != "" {
		config.ClientAuth = tls.RequireAnyClientCert
		config.VerifyConnection = func(state tls.ConnectionState) error {
			return verify(state, s.current().pool, x509.ExtKeyUsageClientAuth, names)
		}
	}
	return config
}

// Client returns the configuration of connections to a server whose
// certificate must be valid for the name, which may be an IP number.
func (s *Source) Client(name string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// Verification is ours below, because the standard one would hold on
		// to the authorities that were read first.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			if cert := s.current().cert; cert != nil {
				return cert, nil
			}
			return &tls.Certificate{}, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return verify(state, s.current().pool, x509.ExtKeyUsageServerAuth, []string{name})
		},
	}
}

// PeerError says why the other end of a connection was not accepted.
type PeerError struct {
	Names []string
	Cause error
}

// Error implements error.
func (e *PeerError) Error() string {
	return fmt.Sprintf("certificate not accepted for %v: %v", e.Names, e.Cause)
}

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Cause }

var errNone = errors.New("none was shown")

func verify(state tls.ConnectionState, pool *x509.CertPool, usage x509.ExtKeyUsage, names []string) error {
	if len(state.PeerCertificates) == 0 {
		return &PeerError{Names: names, Cause: errNone}
	}
	options := x509.VerifyOptions{
		Roots:         pool,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{usage},
	}
	for _, intermediate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(intermediate)
	}
	leaf := state.PeerCertificates[0]
	if _, err := leaf.Verify(options); err != nil {
		return &PeerError{Names: names, Cause: err}
	}
	return verifyName(leaf, names)
}

func verifyName(leaf *x509.Certificate, names []string) error {
	if len(names) == 0 {
		return nil
	}
	var err error
	for _, name := range names {
		if err = leaf.VerifyHostname(name); err == nil {
			return nil
		}
	}
	return &PeerError{Names: names, Cause: err}
}

// current returns what the files say. It looks at them at most once per
// interval, and by one caller at a time.
func (s *Source) current() *held {
	now := s.clock.Now()
	if now-clock.Millis(s.checked.Load()) < s.checkEvery || !s.reload.TryLock() {
		return s.held.Load()
	}
	defer s.reload.Unlock()
	s.checked.Store(int64(now))
	old := s.held.Load()
	if stampsOf(s.files) == old.stamp {
		return old
	}
	next, err := read(s.files)
	if err != nil {
		// Certificate and key are two files: between the two writes they don't
		// fit each other. Keeping the old ones until both are there means that
		// no handshake fails meanwhile.
		s.failed(err)
		return old
	}
	s.held.Store(next)
	return next
}

func read(files Files) (*held, error) {
	out := &held{stamp: stampsOf(files)}
	if files.Cert != "" || files.Key != "" {
		cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
		if err != nil {
			return nil, &FileError{File: files.Cert, Cause: err}
		}
		out.cert = &cert
	}
	if files.CA == "" {
		return out, nil
	}
	raw, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, &FileError{File: files.CA, Cause: err}
	}
	out.pool = x509.NewCertPool()
	if !out.pool.AppendCertsFromPEM(raw) {
		return nil, &FileError{File: files.CA, Cause: errors.New("no certificate in it")}
	}
	return out, nil
}

func stampsOf(files Files) [3]stamp {
	var out [3]stamp
	for i, name := range []string{files.Cert, files.Key, files.CA} {
		if info, err := os.Stat(name); err == nil {
			out[i] = stamp{changed: info.ModTime(), size: info.Size()}
		}
	}
	return out
}
