// Package auth authenticates peers and authorizes what they open: certificates for TLS,
// password files of users, and grants of classes. What it reads from files is one immutable
// value, which Reload replaces as a whole or not at all; established connections go on with
// what was in force when they were accepted.
package auth

import (
	"errors"
	"fmt"
)

// The SASL mechanisms that are supported (RFC 4422, RFC 4505, RFC 4616).
const (
	Anonymous = "ANONYMOUS"
	Plain     = "PLAIN"
	External  = "EXTERNAL"
)

// AnonymousUser is the user in grants of a peer that has come by ANONYMOUS or without SASL.
const AnonymousUser = "anonymous"

// Settings say where the files are, and what is allowed.
type Settings struct {
	Cert, Key string // PEM files of the relay's certificate and its key; empty: no TLS
	ClientCA  string // PEM file of authorities; a client with a certificate of one of them is its common name by EXTERNAL
	Users     string // password file, as `lockroad passwd` writes it; empty: no PLAIN

	NoAnonymous     bool    // clients have to authenticate
	PlainWithoutTLS bool    // passwords are accepted without TLS
	Grants          []Grant // without any, every user may open every class
}

// Grant says which classes a user may open.
type Grant struct {
	User    string   `toml:"user"` // "*": every user
	Classes []string `toml:"classes"`
}

// SettingError says which setting is wrong, or names a file that can't be used.
type SettingError struct {
	Key string // as in the operator's file, below amqp
	Err error  // what is wrong
}

// Error returns the text of Err: whoever prints it puts the file and the key before it.
func (e SettingError) Error() string { return e.Err.Error() }

// Unwrap returns Err.
func (e SettingError) Unwrap() error { return e.Err }

// withKey returns a SettingError, or nil if err is nil.
func withKey(key string, err error) error {
	if err == nil {
		return nil
	}
	return SettingError{Key: key, Err: err}
}

var errIncompletePair = errors.New("a certificate wants its key, and a key its certificate")

// Validate returns a SettingError for settings that contradict each other. It reads no files: New
// does.
func (s *Settings) Validate() error {
	switch {
	case (s.Cert == "") != (s.Key == ""):
		return SettingError{Key: "tls.cert", Err: errIncompletePair}
	case s.ClientCA != "" && s.Cert == "":
		return SettingError{Key: "tls.client_ca", Err: errors.New("clients show certificates over TLS only: cert and key are missing")}
	case s.NoAnonymous && s.Users == "" && s.ClientCA == "":
		return SettingError{Key: "sasl.anonymous", Err: errors.New("nobody could come: neither users nor client_ca says who clients are")}
	case s.Users != "" && s.Cert == "" && !s.PlainWithoutTLS:
		return SettingError{Key: "sasl.users", Err: errors.New("passwords would come in the clear: set cert and key, or plain_without_tls")}
	}
	for i, grant := range s.Grants {
		if grant.User == "" || len(grant.Classes) == 0 {
			return SettingError{Key: "grant", Err: fmt.Errorf("the %d. one wants a user and classes", i+1)}
		}
	}
	return nil
}
