// Package auth authenticates clients by TLS certificates and password files, authorizes them to
// open classes, and configures TLS for connections to endpoints. Reload replaces everything that
// was read from files, or nothing, and does not affect connections that are already authenticated.
package auth

import (
	"errors"
	"fmt"
)

// The supported SASL mechanisms (RFC 4422, RFC 4505, RFC 4616).
const (
	Anonymous = "ANONYMOUS"
	Plain     = "PLAIN"
	External  = "EXTERNAL"
)

// AnonymousUser is the user, as in grants, of a client that uses ANONYMOUS or no SASL.
const AnonymousUser = "anonymous"

// Settings configures an Authenticator.
type Settings struct {
	Cert, Key string // PEM files of the relay's certificate and its key; empty: no TLS
	ClientCA  string // PEM file of the CAs of client certificates, whose common name is the user; empty: no EXTERNAL
	Users     string // password file, as written by `lockroad passwd`; empty: no PLAIN

	RequireAuthentication bool    // clients must authenticate
	PlainWithoutTLS       bool    // PLAIN is offered without TLS too
	Grants                []Grant // empty: every user may open every class
}

// Grant lists classes that a user may open.
type Grant struct {
	User    string   `toml:"user"` // "*": all users
	Classes []string `toml:"classes"`
}

// SettingError is an error in a setting or in the file that it names.
type SettingError struct {
	Key string // key in the operator's file, without the prefix "amqp."
	Err error
}

// Error returns the text of Err without Key, which the caller prints before it.
func (e SettingError) Error() string { return e.Err.Error() }

// Unwrap returns Err.
func (e SettingError) Unwrap() error { return e.Err }

// newSettingError returns a SettingError, or nil if err is nil.
func newSettingError(key string, err error) error {
	if err == nil {
		return nil
	}
	return SettingError{Key: key, Err: err}
}

var errIncompletePair = errors.New("cert and key must be set together")

// Validate returns a SettingError if settings contradict each other. It reads no files.
func (s *Settings) Validate() error {
	switch {
	case (s.Cert == "") != (s.Key == ""):
		return SettingError{Key: "tls.cert", Err: errIncompletePair}
	case s.ClientCA != "" && s.Cert == "":
		return SettingError{Key: "tls.client_ca", Err: errors.New("requires cert and key: clients send certificates only over TLS")}
	case s.RequireAuthentication && s.Users == "" && s.ClientCA == "":
		return SettingError{Key: "sasl.anonymous", Err: errors.New("no client could authenticate: neither users nor client_ca is set")}
	case s.Users != "" && s.Cert == "" && !s.PlainWithoutTLS:
		return SettingError{Key: "sasl.users", Err: errors.New("passwords would be sent unencrypted: set cert and key, or plain_without_tls")}
	}
	for i, grant := range s.Grants {
		if grant.User == "" || len(grant.Classes) == 0 {
			return SettingError{Key: "grant", Err: fmt.Errorf("entry %d must have a user and classes", i+1)}
		}
	}
	return nil
}
