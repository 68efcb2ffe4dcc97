package auth

import (
	"crypto/tls"
	"crypto/x509"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// credentials is what was read from files.
type credentials struct {
	certificate *tls.Certificate
	expires     time.Time
	clientCAs   *x509.CertPool
	users       *userFile
}

// Authenticator authenticates and authorizes peers. A nil Authenticator accepts everyone for
// everything, without TLS. Any goroutine may call its methods.
type Authenticator struct {
	settings    Settings
	credentials atomic.Pointer[credentials]
}

// New validates the settings and reads all files. Its errors are of type SettingError, and name
// the file where one can't be used.
func New(settings Settings) (*Authenticator, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	a := &Authenticator{settings: settings}
	return a, a.Reload()
}

// Reload reads all files again. After an error, a SettingError, all that was read before stays in
// force.
func (a *Authenticator) Reload() error {
	if a == nil {
		return nil
	}
	var next credentials
	if a.settings.Cert != "" {
		var err error
		if next.certificate, next.expires, err = readKeyPair(a.settings.Cert, a.settings.Key); err != nil {
			return withKey("tls.cert", err)
		}
	}
	if a.settings.ClientCA != "" {
		var err error
		if next.clientCAs, err = readCertPool(a.settings.ClientCA); err != nil {
			return withKey("tls.client_ca", err)
		}
	}
	if a.settings.Users != "" {
		var err error
		if next.users, err = readUserFile(a.settings.Users); err != nil {
			return withKey("sasl.users", err)
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

// Mechanisms returns the SASL mechanisms that a peer may choose from, the strongest first.
// state is nil without TLS.
func (a *Authenticator) Mechanisms(state *tls.ConnectionState) (names []string) {
	if a == nil {
		return []string{Anonymous}
	}
	if subject(state) != "" {
		names = append(names, External)
	}
	if a.settings.Users != "" && (state != nil || a.settings.PlainWithoutTLS) {
		names = append(names, Plain)
	}
	if !a.settings.NoAnonymous {
		names = append(names, Anonymous)
	}
	return names
}

// subject returns the common name of the peer's verified certificate, or "" without grant.
func subject(state *tls.ConnectionState) string {
	if state == nil || len(state.VerifiedChains) == 0 {
		return ""
	}
	return state.VerifiedChains[0][0].Subject.CommonName
}

// SASLOptional reports whether a peer may connect without SASL.
func (a *Authenticator) SASLOptional() bool { return a == nil || !a.settings.NoAnonymous }

// Authenticate returns the user of a peer, by the mechanism that it has chosen and its initial
// response. state is nil without TLS. An unknown user and a wrong password are not
// distinguished, neither by the result nor by the time taken. The first check of a password
// takes some 20 ms of processor time; one password is hashed at a time.
func (a *Authenticator) Authenticate(mechanism string, response []byte, state *tls.ConnectionState) (user string, ok bool) {
	if !slices.Contains(a.Mechanisms(state), mechanism) {
		return "", false
	}
	switch mechanism {
	case Anonymous:
		return AnonymousUser, true
	case External:
		// The response may hold an authorization identity (RFC 4422, appendix A): only the peer's own.
		name := subject(state)
		return name, len(response) == 0 || string(response) == name
	}
	parts := strings.Split(string(response), "\x00") // RFC 4616: authorization identity, user, password
	if len(parts) != 3 || parts[0] != "" && parts[0] != parts[1] {
		return "", false
	}
	return parts[1], a.credentials.Load().users.verify(parts[1], parts[2])
}

// Authorized reports whether a user may open a class.
func (a *Authenticator) Authorized(user, class string) bool {
	if a == nil || len(a.settings.Grants) == 0 {
		return true
	}
	return slices.ContainsFunc(a.settings.Grants, func(grant Grant) bool {
		return (grant.User == "*" || grant.User == user) && slices.Contains(grant.Classes, class)
	})
}
