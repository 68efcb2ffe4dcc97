// Package auth says who a peer is and what it may open: certificates for TLS, passwords of users,
// and grants of classes. What it reads from files is one immutable value, which Reload replaces whole
// or not at all; connections that stand go on with what they began under.
package auth

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// The mechanisms of SASL that there are.
const (
	Anonymous = "ANONYMOUS"
	Plain     = "PLAIN"
	External  = "EXTERNAL"
)

// AnonymousUser is who came by ANONYMOUS, or without the security layer, in grants.
const AnonymousUser = "anonymous"

// Settings say where things are, and what is allowed.
type Settings struct {
	Cert, Key string // PEM files of the relay's certificate and its key; empty: no TLS
	ClientCA  string // PEM file: clients may show a certificate signed by one of these, and are its subject's name by EXTERNAL
	Users     string // file of users and passwords, as `lockroad passwd` writes it; empty: no PLAIN

	NoAnonymous bool // clients have to say who they are
	ClearPlain  bool // passwords may come without TLS
	Grants      []Grant
}

// Grant says which classes a user may open. Without any grant all may open all.
type Grant struct {
	User    string   `toml:"user"` // "*": everyone
	Classes []string `toml:"classes"`
}

// KeyError is what is wrong with a setting, or the file that it names.
type KeyError struct {
	Key string // as in the operator's file, below amqp
	error
}

func (w KeyError) Unwrap() error { return w.error }

// at puts a key to an error, if it is one.
func at(key string, err error) error {
	if err == nil {
		return nil
	}
	return KeyError{key, err}
}

var errPair = errors.New("a certificate wants its key, and a key its certificate")

// Validate tells what makes no sense of itself; files are looked at by Open.
func (s *Settings) Validate() error {
	switch {
	case (s.Cert == "") != (s.Key == ""):
		return KeyError{"tls.cert", errPair}
	case s.ClientCA != "" && s.Cert == "":
		return KeyError{"tls.client_ca", errors.New("clients show certificates over TLS only: cert and key are missing")}
	case s.NoAnonymous && s.Users == "" && s.ClientCA == "":
		return KeyError{"sasl.anonymous", errors.New("nobody could come: neither users nor client_ca says who clients are")}
	case s.Users != "" && s.Cert == "" && !s.ClearPlain:
		return KeyError{"sasl.users", errors.New("passwords would come in the clear: set cert and key, or plain_without_tls")}
	}
	for i, g := range s.Grants {
		if g.User == "" || len(g.Classes) == 0 {
			return KeyError{"grant", fmt.Errorf("the %d. one wants a user and classes", i+1)}
		}
	}
	return nil
}

// state is what was read from files.
type state struct {
	cert    *tls.Certificate
	expires time.Time
	clients *x509.CertPool
	users   *users
}

// Authenticator says who comes in. A nil Gate lets everyone do everything, without TLS.
type Authenticator struct {
	set   Settings
	state atomic.Pointer[state]
}

// New reads all files. Its errors name the file.
func New(s Settings) (*Authenticator, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	g := &Authenticator{set: s}
	return g, g.Reload()
}

// Reload reads all files anew. After an error what was read before stays in force, whole.
func (g *Authenticator) Reload() error {
	if g == nil {
		return nil
	}
	var next state
	if g.set.Cert != "" {
		var err error
		if next.cert, next.expires, err = readPair(g.set.Cert, g.set.Key); err != nil {
			return at("tls.cert", err)
		}
	}
	if g.set.ClientCA != "" {
		var err error
		if next.clients, err = readPool(g.set.ClientCA); err != nil {
			return at("tls.client_ca", err)
		}
	}
	if g.set.Users != "" {
		var err error
		if next.users, err = readUsers(g.set.Users); err != nil {
			return at("sasl.users", err)
		}
	}
	g.state.Store(&next)
	return nil
}

// readPair reads a certificate and its key, and when the first of its chain expires.
func readPair(certFile, keyFile string) (*tls.Certificate, time.Time, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, time.Time{}, fmt.Errorf("%s and %s: %w", certFile, keyFile, err)
	}
	var first time.Time
	for _, der := range cert.Certificate {
		c, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, time.Time{}, fmt.Errorf("%s: %w", certFile, err)
		}
		if first.IsZero() || c.NotAfter.Before(first) {
			first = c.NotAfter
		}
	}
	return &cert, first, nil
}

func readPool(file string) (*x509.CertPool, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("%s holds no certificate", file)
	}
	return pool, nil
}

// TLS is how connections are secured, by what is in force as each comes in; nil: they are not.
func (g *Authenticator) TLS() *tls.Config {
	if g == nil || g.set.Cert == "" {
		return nil
	}
	return &tls.Config{GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		s := g.state.Load()
		c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*s.cert}}
		if s.clients != nil {
			c.ClientCAs, c.ClientAuth = s.clients, tls.VerifyClientCertIfGiven
		}
		return c, nil
	}}
}

// Expires is when the relay's certificate expires; false: it has none.
func (g *Authenticator) Expires() (time.Time, bool) {
	if g == nil || g.set.Cert == "" {
		return time.Time{}, false
	}
	return g.state.Load().expires, true
}

// Mechanisms are those that a peer may choose from. c is nil without TLS.
func (g *Authenticator) Mechanisms(c *tls.ConnectionState) (names []string) {
	if g == nil {
		return []string{Anonymous}
	}
	if subject(c) != "" {
		names = append(names, External)
	}
	if g.set.Users != "" && (c != nil || g.set.ClearPlain) {
		names = append(names, Plain)
	}
	if !g.set.NoAnonymous {
		names = append(names, Anonymous)
	}
	return names
}

// subject is the name in the certificate that a peer has shown and that was verified; "" if none was.
func subject(c *tls.ConnectionState) string {
	if c == nil || len(c.VerifiedChains) == 0 {
		return ""
	}
	return c.VerifiedChains[0][0].Subject.CommonName
}

// Bare tells whether a peer may come without the security layer.
func (g *Authenticator) Bare() bool { return g == nil || !g.set.NoAnonymous }

// Authenticate returns who a peer is, by a mechanism that it has chosen and its initial response. It fails alike
// for a user that is not there and for a wrong password, and after about the same time. It takes some 20 ms of
// processor time the first time for a password; one of them is looked at at a time.
func (g *Authenticator) Authenticate(mechanism string, response []byte, c *tls.ConnectionState) (user string, ok bool) {
	if !slices.Contains(g.Mechanisms(c), mechanism) {
		return "", false
	}
	switch mechanism {
	case Anonymous:
		return AnonymousUser, true
	case External:
		// The response may name whom it wants to be (RFC 4422, appendix A): itself, or nobody else.
		name := subject(c)
		return name, len(response) == 0 || string(response) == name
	}
	parts := strings.Split(string(response), "\x00") // RFC 4616: whom it wants to be, who it is, its password
	if len(parts) != 3 || parts[0] != "" && parts[0] != parts[1] {
		return "", false
	}
	return parts[1], g.state.Load().users.verify(parts[1], parts[2])
}

// Authorized tells whether a user may open a class.
func (g *Authenticator) Authorized(user, class string) bool {
	if g == nil || len(g.set.Grants) == 0 {
		return true
	}
	return slices.ContainsFunc(g.set.Grants, func(one Grant) bool {
		return (one.User == "*" || one.User == user) && slices.Contains(one.Classes, class)
	})
}

// Upstream says how connections to application servers are secured.
type Upstream struct {
	CA        string // PEM file: a server's certificate has to be signed by one of these; empty: no TLS
	Cert, Key string // PEM files that the relay shows; empty: none
	Name      string // that certificates have to be for; empty: the server's host
}

// EndpointTLS is the configuration for connections to servers, read anew by Reload. A nil one means no TLS.
type EndpointTLS struct {
	set    Upstream
	config atomic.Pointer[tls.Config]
}

// NewEndpointTLS reads all files; it returns nil where there is to be no TLS.
func NewEndpointTLS(u Upstream) (*EndpointTLS, error) {
	switch {
	case u == Upstream{}:
		return nil, nil
	case u.CA == "":
		return nil, KeyError{"servers_tls.ca", errors.New("is missing: a server's certificate could be anyone's")}
	case (u.Cert == "") != (u.Key == ""):
		return nil, KeyError{"servers_tls.cert", errPair}
	}
	s := &EndpointTLS{set: u}
	return s, s.Reload()
}

// Reload reads all files anew; after an error what was read before stays in force.
func (s *EndpointTLS) Reload() error {
	if s == nil {
		return nil
	}
	pool, err := readPool(s.set.CA)
	if err != nil {
		return at("servers_tls.ca", err)
	}
	c := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	if s.set.Cert != "" {
		pair, _, err := readPair(s.set.Cert, s.set.Key)
		if err != nil {
			return at("servers_tls.cert", err)
		}
		c.Certificates = []tls.Certificate{*pair}
	}
	s.config.Store(c)
	return nil
}

// For is the configuration for a server at a host; nil: no TLS.
func (s *EndpointTLS) For(host string) *tls.Config {
	if s == nil {
		return nil
	}
	c := s.config.Load().Clone()
	if c.ServerName = s.set.Name; c.ServerName == "" {
		c.ServerName = host
	}
	return c
}
