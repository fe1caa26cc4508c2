// Package testca creates certificates for tests: a certificate authority, and
// PEM files signed by it. The files are removed at the end of the test.
package testca

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Authority is a certificate authority.
type Authority struct {
	// File is the path of the authority's certificate (PEM).
	File string

	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Pair holds the paths of a certificate and its key, both PEM files.
type Pair struct {
	Cert string
	Key  string
}

// lifetime is how long certificates are valid after their creation. They are
// also valid for that long before it.
const lifetime = time.Hour

// New creates an authority with a new key.
func New(t *testing.T) *Authority {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber:          newSerial(t),
		Subject:               pkix.Name{CommonName: "test authority"},
		NotBefore:             time.Now().Add(-lifetime),
		NotAfter:              time.Now().Add(lifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(raw)
	assert.NilError(t, err)
	file := filepath.Join(t.TempDir(), "ca.pem")
	writePEM(t, file, "CERTIFICATE", raw)
	return &Authority{File: file, cert: cert, key: key}
}

// Issue creates a certificate for names, which are DNS names or IP addresses.
func (a *Authority) Issue(t *testing.T, names ...string) Pair {
	t.Helper()
	folder := t.TempDir()
	pair := Pair{Cert: filepath.Join(folder, "cert.pem"), Key: filepath.Join(folder, "key.pem")}
	a.Renew(t, pair, names...)
	return pair
}

// Renew overwrites the files of a pair with a new certificate and key.
func (a *Authority) Renew(t *testing.T, pair Pair, names ...string) {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: newSerial(t),
		NotBefore:    time.Now().Add(-lifetime),
		NotAfter:     time.Now().Add(lifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	for _, name := range names {
		if ip := net.ParseIP(name); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
		} else {
			template.DNSNames = append(template.DNSNames, name)
		}
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	assert.NilError(t, err)
	rawKey, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	writePEM(t, pair.Cert, "CERTIFICATE", raw)
	writePEM(t, pair.Key, "PRIVATE KEY", rawKey)
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	return key
}

func newSerial(t *testing.T) *big.Int {
	t.Helper()
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	assert.NilError(t, err)
	return serial
}

func writePEM(t *testing.T, file, kind string, raw []byte) {
	t.Helper()
	assert.NilError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600))
}
