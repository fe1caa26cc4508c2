// Package certs loads the certificates of one kind of connection and makes TLS
// configurations from them. Replaced files are read again at one of the next
// handshakes, so that renewed certificates need no restart.
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

// DNS names that a certificate must contain for each role. One authority signs all
// certificates, so without the names a stolen certificate of an agent could be used
// to act as an entry or an operator.
const (
	NameEntry    = "entry"
	NameAgent    = "agent"
	NameOperator = "operator"
)

// Files holds the paths of the PEM files. If CA is empty, a server requests no
// certificate, and a client trusts the authorities of the system. Cert and Key may be
// empty for a client without a certificate.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// FileError is returned for a file that can't be used.
type FileError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("TLS file %q: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// Source holds the contents of the files, as last read.
type Source struct {
	files        Files
	clock        *clock.Clock
	checkEvery   clock.Millis
	reloadFailed func(error)

	contents atomic.Pointer[contents]
	checked  atomic.Int64
	reload   sync.Mutex
}

// contents holds the parsed files, as read at one time. It is immutable.
type contents struct {
	cert  *tls.Certificate
	pool  *x509.CertPool
	stamp [3]stamp
}

// stamp identifies the version of a file, to detect changes.
type stamp struct {
	modTime time.Time
	size    int64
}

const defaultCheckEvery = clock.Second

// Option configures a Source.
type Option func(*Source)

// WithClock replaces the clock.
func WithClock(c *clock.Clock) Option { return func(s *Source) { s.clock = c } }

// WithReloadError sets a function that is called when changed files can't be used. The
// old contents stay in use.
func WithReloadError(failed func(error)) Option { return func(s *Source) { s.reloadFailed = failed } }

// New reads the files. It returns a FileError if one of them can't be used.
func New(files Files, opts ...Option) (*Source, error) {
	s := &Source{files: files, clock: clock.New(), checkEvery: defaultCheckEvery, reloadFailed: func(error) {}}
	for _, opt := range opts {
		opt(s)
	}
	first, err := read(files)
	if err != nil {
		return nil, err
	}
	s.contents.Store(first)
	s.checked.Store(int64(s.clock.Now()))
	return s, nil
}

// Server returns the configuration of a port. With a CA file, a client must present a
// certificate of that authority with one of the names, or with any name if none is
// given.
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

// Client returns the configuration of connections to a server whose certificate must
// be valid for the name, which may be an IP address.
func (s *Source) Client(name string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection below verifies the certificate instead, because the standard
		// verification would always use the authorities that were read first.
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

// PeerError is returned if the certificate of the other end is not accepted.
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

var errNoCertificate = errors.New("no certificate was presented")

func verify(state tls.ConnectionState, pool *x509.CertPool, usage x509.ExtKeyUsage, names []string) error {
	if len(state.PeerCertificates) == 0 {
		return &PeerError{Names: names, Cause: errNoCertificate}
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

// current returns the contents of the files. It checks the files for changes at most
// once in checkEvery, by one caller at a time.
func (s *Source) current() *contents {
	now := s.clock.Now()
	if now-clock.Millis(s.checked.Load()) < s.checkEvery || !s.reload.TryLock() {
		return s.contents.Load()
	}
	defer s.reload.Unlock()
	s.checked.Store(int64(now))
	old := s.contents.Load()
	if stampFiles(s.files) == old.stamp {
		return old
	}
	next, err := read(s.files)
	if err != nil {
		// Certificate and key are two files that don't match until both have been
		// replaced. The old pair stays in use until then, so that no handshake fails.
		s.reloadFailed(err)
		return old
	}
	s.contents.Store(next)
	return next
}

func read(files Files) (*contents, error) {
	out := &contents{stamp: stampFiles(files)}
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

func stampFiles(files Files) [3]stamp {
	var out [3]stamp
	for i, name := range []string{files.Cert, files.Key, files.CA} {
		if info, err := os.Stat(name); err == nil {
			out[i] = stamp{modTime: info.ModTime(), size: info.Size()}
		}
	}
	return out
}
