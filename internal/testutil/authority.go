package testutil

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
)

// Authority is a certificate authority for tests. Its files are in a temporary directory.
type Authority struct {
	CA   string // path of its certificate
	t    testing.TB
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority creates an authority whose certificate is valid for an hour.
func NewAuthority(t testing.TB) *Authority {
	t.Helper()
	authority := &Authority{t: t, dir: t.TempDir()}
	authority.key = authority.newKey()
	authority.cert = &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	authority.CA = authority.write("ca.pem", "CERTIFICATE", authority.sign(authority.cert, &authority.key.PublicKey))
	return authority
}

func (a *Authority) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	return key
}

func (a *Authority) sign(certificate *x509.Certificate, key *ecdsa.PublicKey) []byte {
	der, err := x509.CreateCertificate(rand.Reader, certificate, a.cert, key, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	return der
}

func (a *Authority) write(name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}

// Pair creates a certificate for a common name and 127.0.0.1, and returns the paths of the
// certificate and its key. It replaces an earlier pair of the same name.
func (a *Authority) Pair(name string, validity time.Duration) (cert, key string) {
	a.t.Helper()
	newKey := a.newKey()
	der := a.sign(&x509.Certificate{SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(validity), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}, &newKey.PublicKey)
	keyDER, err := x509.MarshalECPrivateKey(newKey)
	if err != nil {
		a.t.Fatal(err)
	}
	return a.write(name+".pem", "CERTIFICATE", der), a.write(name+".key", "EC PRIVATE KEY", keyDER)
}
