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

func plain(user, password string) []byte { return []byte("\x00" + user + "\x00" + password) }

// Users are added to and removed from the file, which is read as a whole or not at all; an unknown user and a
// wrong password fail alike.
func TestPasswordFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "users")
	set := func(name, password string, remove bool) error { return SetPassword(file, name, password, remove) }
	for name, err := range map[string]error{
		"no name": set("", "x", false), "a name with a colon": set("a:b", "x", false), "everyone's name": set("*", "x", false),
		"no password": set("ann", "", false), "who is not there": set("ann", "", true),
	} {
		if err == nil {
			t.Errorf("%s was accepted", name)
		}
	}
	for _, name := range []string{"ann", "bob", "ann"} { // the second time with another password
		if err := set(name, name+"'s", false); err != nil {
			t.Fatal(err)
		}
	}
	if err := set("ann", "new", false); err != nil {
		t.Fatal(err)
	}
	text, _ := os.ReadFile(file)
	if info, err := os.Stat(file); err != nil || info.Mode().Perm() != 0o600 || strings.Count(string(text), "ann:") != 1 {
		t.Errorf("%v, %s", info.Mode(), text)
	}
	authenticator, err := New(Settings{Users: file, PlainWithoutTLS: true, NoAnonymous: true})
	if err != nil {
		t.Fatal(err)
	}
	for range 2 { // the second time by the cached codes
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
				t.Errorf("%s %q: %v", test.mechanism, test.response, ok)
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
		"no hash": "bob", "another hash": "bob:$2a$10$abc", "cut off": "bob:" + hash[:len(hash)/2], "twice": "ann:" + hash, "no name": ":" + hash,
		"a hash that takes all memory": "bob:" + strings.Replace(hash, "m=19456", "m=4000000", 1), "one that takes for ever": "bob:" + strings.Replace(hash, "t=2", "t=2000000", 1),
		"one of another version": "bob:" + strings.Replace(hash, "v=19", "v=16", 1), "no salt": "bob:$argon2id$v=19$m=19456,t=2,p=1$$" + hash[len(hash)-43:],
	} {
		if err := os.WriteFile(file, []byte(string(good)+"# a note\n\n"+line+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := authenticator.Reload(); err == nil || !strings.Contains(err.Error(), file+":4: ") {
			t.Errorf("%s: %v", what, err)
		}
	}
	if err := os.WriteFile(file, good, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chmod(file, 0o644); err != nil {
		t.Fatal(err)
	}
	if err := authenticator.Reload(); err == nil || !strings.Contains(err.Error(), "chmod") {
		t.Errorf("a file that everyone may read: %v", err)
	}
	if _, ok := authenticator.Authenticate(Plain, plain("ann", "new"), nil); !ok {
		t.Error("a broken file has changed something")
	}
}

// Settings that make no sense are refused at the start, with the file or the key at fault.
func TestSettingsAreValidated(t *testing.T) {
	authority := testutil.NewAuthority(t)
	cert, key := authority.Pair("relay", time.Hour)
	other, _ := authority.Pair("other", time.Hour)
	for what, settings := range map[string]Settings{
		"wants its key": {Cert: cert}, "its certificate": {Key: key}, "over TLS only": {ClientCA: authority.CA}, "nobody could come": {NoAnonymous: true},
		"in the clear": {Users: "x"}, "wants a user and classes": {Grants: []Grant{{User: "ann"}}}, "does not match": {Cert: other, Key: key},
		"no such file": {Cert: cert, Key: key, ClientCA: "/not/there"}, "holds no certificate": {Cert: cert, Key: key, ClientCA: key},
	} {
		if _, err := New(settings); err == nil || !strings.Contains(err.Error(), what) {
			t.Errorf("want %q: %v", what, err)
		}
	}
	for what, upstream := range map[string]EndpointTLSSettings{"is missing": {Name: "x"}, "wants its key": {CA: authority.CA, Cert: cert}, "holds no certificate": {CA: key}} {
		if _, err := NewEndpointTLS(upstream); err == nil || !strings.Contains(err.Error(), what) {
			t.Errorf("want %q: %v", what, err)
		}
	}
	if settings, err := NewEndpointTLS(EndpointTLSSettings{}); settings != nil || err != nil || settings.ConfigFor("x") != nil || settings.Reload() != nil {
		t.Error("empty settings are not taken for no TLS")
	}
}

// Mechanisms depend on what a peer has shown, classes on grants.
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
	shown := &tls.ConnectionState{VerifiedChains: [][]*x509.Certificate{{{Subject: pkix.Name{CommonName: "desk"}}}}}
	for want, test := range map[string]*tls.ConnectionState{"ANONYMOUS": nil, "PLAIN ANONYMOUS": {}, "EXTERNAL PLAIN ANONYMOUS": shown} {
		if got := strings.Join(authenticator.Mechanisms(test), " "); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
	if user, ok := authenticator.Authenticate(External, nil, shown); !ok || user != "desk" {
		t.Errorf("%q, %v", user, ok)
	}
	if _, ok := authenticator.Authenticate(External, []byte("ann"), shown); ok {
		t.Error("a certificate speaks for another")
	}
	for user, classes := range map[string]string{AnonymousUser: "page", "ann": "page live", "desk": "page live print"} {
		for _, class := range []string{"page", "live", "print"} {
			if authenticator.Authorized(user, class) != strings.Contains(classes, class) {
				t.Errorf("%s and %s: %v", user, class, authenticator.Authorized(user, class))
			}
		}
	}
	if expires, ok := authenticator.CertificateExpiry(); !ok || time.Until(expires) > 21*24*time.Hour || time.Until(expires) < 19*24*time.Hour {
		t.Errorf("the certificate expires %v", expires)
	}
	if none := (*Authenticator)(nil); !none.Authorized("x", "y") || none.TLSConfig() != nil || !none.SASLOptional() || none.Reload() != nil {
		t.Error("a nil authenticator refuses something")
	}
}
