package auth

import (
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lockroad/internal/testutil"
)

// plain returns the initial response of the PLAIN mechanism.
func plain(user, password string) []byte { return []byte("\x00" + user + "\x00" + password) }

// Users can be added, changed and removed, and an invalid file must not replace the users that were
// loaded before.
func TestPasswordFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "users")
	set := func(name, password string, remove bool) error { return SetPassword(file, name, password, remove) }
	for name, err := range map[string]error{
		"empty name": set("", "x", false), "name with a colon": set("a:b", "x", false), "name of all users": set("*", "x", false),
		"empty password": set("ann", "", false), "removal of an unknown user": set("ann", "", true),
	} {
		if err == nil {
			t.Errorf("%s: SetPassword returned no error", name)
		}
	}
	for _, name := range []string{"ann", "bob", "ann"} { // the second call for ann replaces her password
		if err := set(name, name+"'s", false); err != nil {
			t.Fatal(err)
		}
	}
	if err := set("ann", "new", false); err != nil {
		t.Fatal(err)
	}
	text, _ := os.ReadFile(file)
	if info, err := os.Stat(file); err != nil || info.Mode().Perm() != 0o600 || strings.Count(string(text), "ann:") != 1 {
		t.Errorf("password file has mode %v and content %s", info.Mode(), text)
	}
	authenticator, err := New(Settings{Users: file, PlainWithoutTLS: true, RequireAuthentication: true})
	if err != nil {
		t.Fatal(err)
	}
	for range 2 { // the second time, passwords that have matched are cached
		for _, test := range []struct {
			mechanism string
			response  []byte
			ok        bool
		}{
			{Plain, plain("ann", "new"), true}, {Plain, plain("bob", "bob's"), true}, {Plain, []byte("ann\x00ann\x00new"), true},
			{Plain, plain("ann", "ann's"), false}, {Plain, plain("ann", ""), false}, {Plain, plain("bob", "new"), false}, {Plain, plain("eve", "new"), false},
			{Plain, []byte("bob\x00ann\x00new"), false}, {Plain, []byte("ann"), false}, {Plain, nil, false},
			{Anonymous, nil, false}, {External, nil, false}, {"SCRAM-SHA-256", nil, false},
		} {
			if _, ok := authenticator.Authenticate(test.mechanism, test.response, nil); ok != test.ok {
				t.Errorf("Authenticate(%s, %q) = %v, want %v", test.mechanism, test.response, ok, test.ok)
			}
		}
	}
	if err := set("bob", "", true); err != nil {
		t.Fatal(err)
	}
	if err := authenticator.Reload(); err != nil {
		t.Fatal(err)
	}
	if _, ok := authenticator.Authenticate(Plain, plain("bob", "bob's"), nil); ok {
		t.Error("a removed user is still authenticated")
	}
	good, _ := os.ReadFile(file)
	hash := strings.TrimSpace(strings.TrimPrefix(string(good), "ann:"))
	for what, line := range map[string]string{
		"no hash": "bob", "bcrypt hash": "bob:$2a$10$abc", "truncated hash": "bob:" + hash[:len(hash)/2], "duplicate user": "ann:" + hash, "no name": ":" + hash,
		"too much memory": "bob:" + strings.Replace(hash, "m=19456", "m=4000000", 1), "too many passes": "bob:" + strings.Replace(hash, "t=2", "t=2000000", 1),
		"unsupported version": "bob:" + strings.Replace(hash, "v=19", "v=16", 1), "empty salt": "bob:$argon2id$v=19$m=19456,t=2,p=1$$" + hash[len(hash)-43:],
	} {
		if err := os.WriteFile(file, []byte(string(good)+"# a note\n\n"+line+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := authenticator.Reload(); err == nil || !strings.Contains(err.Error(), file+":4: ") {
			t.Errorf("%s: Reload returned %v, want an error in line 4", what, err)
		}
	}
	if err := os.WriteFile(file, good, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chmod(file, 0o644); err != nil {
		t.Fatal(err)
	}
	if err := authenticator.Reload(); err == nil || !strings.Contains(err.Error(), "chmod") {
		t.Errorf("file that all users may read: Reload returned %v, want an error that mentions chmod", err)
	}
	if _, ok := authenticator.Authenticate(Plain, plain("ann", "new"), nil); !ok {
		t.Error("a user is not authenticated after an invalid file was rejected")
	}
}

// Invalid settings and files must be rejected with an error that says what is wrong.
func TestSettingsAreValidated(t *testing.T) {
	authority := testutil.NewAuthority(t)
	cert, key := authority.Pair("relay", time.Hour)
	other, _ := authority.Pair("other", time.Hour)
	for want, settings := range map[string]Settings{
		"cert and key must be set": {Cert: cert}, "key must be set together": {Key: key}, "only over TLS": {ClientCA: authority.CA}, "no client could authenticate": {RequireAuthentication: true},
		"sent unencrypted": {Users: "x"}, "must have a user and classes": {Grants: []Grant{{User: "ann"}}}, "does not match": {Cert: other, Key: key},
		"no such file": {Cert: cert, Key: key, ClientCA: "/not/there"}, "contains no certificate": {Cert: cert, Key: key, ClientCA: key},
	} {
		if _, err := New(settings); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("New(%+v): error %v, want %q", settings, err, want)
		}
	}
	for want, settings := range map[string]EndpointTLSSettings{"is missing": {Name: "x"}, "cert and key must be set together": {CA: authority.CA, Cert: cert}, "contains no certificate": {CA: key}} {
		if _, err := NewEndpointTLS(settings); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("NewEndpointTLS(%+v): error %v, want %q", settings, err, want)
		}
	}
	if settings, err := NewEndpointTLS(EndpointTLSSettings{}); settings != nil || err != nil || settings.ConfigFor("x") != nil || settings.Reload() != nil {
		t.Error("the zero value of the settings does not mean no TLS")
	}
}

// A client must be offered only the mechanisms that it can use, and open only classes granted to its user.
func TestMechanismsAndGrants(t *testing.T) {
	authority := testutil.NewAuthority(t)
	cert, key := authority.Pair("relay", 20*24*time.Hour)
	users := filepath.Join(t.TempDir(), "users")
	if err := SetPassword(users, "ann", "x", false); err != nil {
		t.Fatal(err)
	}
	authenticator, err := New(Settings{Cert: cert, Key: key, ClientCA: authority.CA, Users: users,
		Grants: []Grant{{"*", []string{"page"}}, {"ann", []string{"live"}}, {"desk", []string{"live", "print"}}}})
	if err != nil {
		t.Fatal(err)
	}
	verified := &tls.ConnectionState{VerifiedChains: [][]*x509.Certificate{{{Subject: pkix.Name{CommonName: "desk"}}}}}
	for want, state := range map[string]*tls.ConnectionState{"ANONYMOUS": nil, "PLAIN ANONYMOUS": {}, "EXTERNAL PLAIN ANONYMOUS": verified} {
		if got := strings.Join(authenticator.Mechanisms(state), " "); got != want {
			t.Errorf("offered mechanisms %q, want %q", got, want)
		}
	}
	if user, ok := authenticator.Authenticate(External, nil, verified); !ok || user != "desk" {
		t.Errorf("EXTERNAL: user %q, %v, want desk", user, ok)
	}
	if _, ok := authenticator.Authenticate(External, []byte("ann"), verified); ok {
		t.Error("a certificate authenticates another user than its own")
	}
	for user, classes := range map[string]string{AnonymousUser: "page", "ann": "page live", "desk": "page live print"} {
		for _, class := range []string{"page", "live", "print"} {
			if authenticator.Authorized(user, class) != strings.Contains(classes, class) {
				t.Errorf("Authorized(%s, %s) = %v", user, class, authenticator.Authorized(user, class))
			}
		}
	}
	if expires, ok := authenticator.CertificateExpiry(); !ok || time.Until(expires) > 21*24*time.Hour || time.Until(expires) < 19*24*time.Hour {
		t.Errorf("CertificateExpiry returned %v, want a time in 20 days", expires)
	}
	if none := (*Authenticator)(nil); !none.Authorized("x", "y") || none.TLSConfig() != nil || !none.SASLOptional() || none.Reload() != nil {
		t.Error("a nil Authenticator requires TLS or SASL, denies a class or fails to reload")
	}
}
