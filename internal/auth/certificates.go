package auth

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"time"
)

// readKeyPair reads a certificate chain and its key from PEM files. It also returns the earliest
// expiry time in the chain.
func readKeyPair(certFile, keyFile string) (*tls.Certificate, time.Time, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, time.Time{}, fmt.Errorf("certificate %s and key %s: %w", certFile, keyFile, err)
	}
	var expires time.Time
	for _, der := range cert.Certificate {
		parsed, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, time.Time{}, fmt.Errorf("certificate %s: %w", certFile, err)
		}
		if expires.IsZero() || parsed.NotAfter.Before(expires) {
			expires = parsed.NotAfter
		}
	}
	return &cert, expires, nil
}

// readCertPool reads CA certificates from a PEM file.
func readCertPool(file string) (*x509.CertPool, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("%s contains no certificate", file)
	}
	return pool, nil
}
