package auth

import (
	"crypto/tls"
	"crypto/x509"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// credentials holds what was read from the files in Settings. It is immutable; fields without a
// file are nil.
type credentials struct {
	certificate *tls.Certificate
	expires     time.Time // earliest expiry in the certificate's chain
	clientCAs   *x509.CertPool
	users       *userFile
}

// Authenticator authenticates clients and authorizes them to open classes. A nil Authenticator
// requires no TLS and no SASL and authorizes everyone. It is safe for concurrent use.
type Authenticator struct {
	settings    Settings
	credentials atomic.Pointer[credentials]
}

// New validates the settings and reads all files. Its errors are of type SettingError.
func New(settings Settings) (*Authenticator, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	a := &Authenticator{settings: settings}
	return a, a.Reload()
}

// Reload reads all files again. If it returns an error, which is a SettingError, the credentials
// that were loaded before remain in use.
func (a *Authenticator) Reload() error {
	if a == nil {
		return nil
	}
	var next credentials
	if a.settings.Cert != "" {
		var err error
		if next.certificate, next.expires, err = readKeyPair(a.settings.Cert, a.settings.Key); err != nil {
			return newSettingError("tls.cert", err)
		}
	}
	if a.settings.ClientCA != "" {
		var err error
		if next.clientCAs, err = readCertPool(a.settings.ClientCA); err != nil {
			return newSettingError("tls.client_ca", err)
		}
	}
	if a.settings.Users != "" {
		var err error
		if next.users, err = readUserFile(a.settings.Users); err != nil {
			return newSettingError("sasl.users", err)
		}
	}
	a.credentials.Store(&next)
	return nil
}

// TLSConfig returns the TLS configuration for accepted connections, or nil if they use no TLS.
// Each handshake uses the credentials that were loaded last.
func (a *Authenticator) TLSConfig() *tls.Config {
	if a == nil || a.settings.Cert == "" {
		return nil
	}
	return &tls.Config{GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		current := a.credentials.Load()
		config := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*current.certificate}}
		if current.clientCAs != nil {
			config.ClientCAs, config.ClientAuth = current.clientCAs, tls.VerifyClientCertIfGiven
		}
		return config, nil
	}}
}

// CertificateExpiry returns the earliest expiry time in the relay's certificate chain. ok is false
// if no certificate is configured.
func (a *Authenticator) CertificateExpiry() (expires time.Time, ok bool) {
	if a == nil || a.settings.Cert == "" {
		return time.Time{}, false
	}
	return a.credentials.Load().expires, true
}

// Mechanisms returns the SASL mechanisms that are offered to a client, the strongest first. state
// is nil if the connection uses no TLS.
func (a *Authenticator) Mechanisms(state *tls.ConnectionState) (names []string) {
	if a == nil {
		return []string{Anonymous}
	}
	if commonName(state) != "" {
		names = append(names, External)
	}
	if a.settings.Users != "" && (state != nil || a.settings.PlainWithoutTLS) {
		names = append(names, Plain)
	}
	if !a.settings.RequireAuthentication {
		names = append(names, Anonymous)
	}
	return names
}

// commonName returns the common name of the client's verified certificate, or "" if there is none.
func commonName(state *tls.ConnectionState) string {
	if state == nil || len(state.VerifiedChains) == 0 {
		return ""
	}
	return state.VerifiedChains[0][0].Subject.CommonName
}

// SASLOptional reports whether a client may connect without SASL.
func (a *Authenticator) SASLOptional() bool { return a == nil || !a.settings.RequireAuthentication }

// Authenticate checks a client's initial response for the SASL mechanism that it has chosen, and
// returns its user. ok is false if authentication fails. state is nil if the connection uses no
// TLS. An unknown user and a wrong password differ neither in the result nor in the time taken.
// Calls that check a password wait for each other unless that password has matched before. The
// first check of a password takes some 20 ms of processor time.
func (a *Authenticator) Authenticate(mechanism string, response []byte, state *tls.ConnectionState) (user string, ok bool) {
	if !slices.Contains(a.Mechanisms(state), mechanism) {
		return "", false
	}
	switch mechanism {
	case Anonymous:
		return AnonymousUser, true
	case External:
		// The authorization identity in the response (RFC 4422, appendix A) must be the client's own.
		name := commonName(state)
		return name, len(response) == 0 || string(response) == name
	}
	parts := strings.Split(string(response), "\x00") // authorization identity, user, password (RFC 4616)
	if len(parts) != 3 || parts[0] != "" && parts[0] != parts[1] {
		return "", false
	}
	return parts[1], a.credentials.Load().users.verify(parts[1], parts[2])
}

// Authorized reports whether a user may open requests of a class.
func (a *Authenticator) Authorized(user, class string) bool {
	if a == nil || len(a.settings.Grants) == 0 {
		return true
	}
	return slices.ContainsFunc(a.settings.Grants, func(grant Grant) bool {
		return (grant.User == "*" || grant.User == user) && slices.Contains(grant.Classes, class)
	})
}
