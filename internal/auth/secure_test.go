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

// Users come and go in the file, which is read whole or not at all; who is not there and who has another
// password fail alike.
func TestUsers(t *testing.T) {
	file := filepath.Join(t.TempDir(), "users")
	set := func(name, password string, remove bool) error { return SetPassword(file, name, password, remove) }
	for name, bad := range map[string]error{
		"no name": set("", "x", false), "a name with a colon": set("a:b", "x", false), "everyone's name": set("*", "x", false),
		"no password": set("ann", "", false), "who is not there": set("ann", "", true),
	} {
		if bad == nil {
			t.Errorf("%s was taken", name)
		}
	}
	for _, one := range []string{"ann", "bob", "ann"} { // the second time with another password
		if err := set(one, one+"'s", false); err != nil {
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
	g, err := New(Settings{Users: file, ClearPlain: true, NoAnonymous: true})
	if err != nil {
		t.Fatal(err)
	}
	for range 2 { // the second time by what is remembered
		for _, c := range []struct {
			mechanism string
			response  []byte
			ok        bool
		}{
			{Plain, plain("ann", "new"), true}, {Plain, plain("bob", "bob's"), true}, {Plain, []byte("ann\x00ann\x00new"), true},
			{Plain, plain("ann", "ann's"), false}, {Plain, plain("ann", ""), false}, {Plain, plain("bob", "new"), false}, {Plain, plain("eve", "new"), false},
			{Plain, []byte("bob\x00ann\x00new"), false}, {Plain, []byte("ann"), false}, {Plain, nil, false},
			{Anonymous, nil, false}, {External, nil, false}, {"SCRAM-SHA-256", nil, false},
		} {
			if _, ok := g.Authenticate(c.mechanism, c.response, nil); ok != c.ok {
				t.Errorf("%s %q: %v", c.mechanism, c.response, ok)
			}
		}
	}
	if err := set("bob", "", true); err != nil {
		t.Fatal(err)
	}
	if err := g.Reload(); err != nil {
		t.Fatal(err)
	}
	if _, ok := g.Authenticate(Plain, plain("bob", "bob's"), nil); ok {
		t.Error("who was taken out still comes in")
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
		if err := g.Reload(); err == nil || !strings.Contains(err.Error(), file+":4: ") {
			t.Errorf("%s: %v", what, err)
		}
	}
	if err := os.WriteFile(file, good, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chmod(file, 0o644); err != nil {
		t.Fatal(err)
	}
	if err := g.Reload(); err == nil || !strings.Contains(err.Error(), "chmod") {
		t.Errorf("everyone may read it: %v", err)
	}
	if _, ok := g.Authenticate(Plain, plain("ann", "new"), nil); !ok {
		t.Error("a broken file has changed something")
	}
}

// What makes no sense is refused at the start, with the file or the key at fault.
func TestSettingsAreChecked(t *testing.T) {
	a := testutil.NewAuthority(t)
	cert, key := a.Pair("relay", time.Hour)
	other, _ := a.Pair("other", time.Hour)
	for what, s := range map[string]Settings{
		"wants its key": {Cert: cert}, "its certificate": {Key: key}, "over TLS only": {ClientCA: a.CA}, "nobody could come": {NoAnonymous: true},
		"in the clear": {Users: "x"}, "wants a user and classes": {Grants: []Grant{{User: "ann"}}}, "does not match": {Cert: other, Key: key},
		"no such file": {Cert: cert, Key: key, ClientCA: "/not/there"}, "holds no certificate": {Cert: cert, Key: key, ClientCA: key},
	} {
		if _, err := New(s); err == nil || !strings.Contains(err.Error(), what) {
			t.Errorf("want %q: %v", what, err)
		}
	}
	for what, u := range map[string]Upstream{"is missing": {Name: "x"}, "wants its key": {CA: a.CA, Cert: cert}, "holds no certificate": {CA: key}} {
		if _, err := NewEndpointTLS(u); err == nil || !strings.Contains(err.Error(), what) {
			t.Errorf("want %q: %v", what, err)
		}
	}
	if s, err := NewEndpointTLS(Upstream{}); s != nil || err != nil || s.For("x") != nil || s.Reload() != nil {
		t.Error("nothing that is set is something")
	}
}

// Mechanisms go by what a peer has shown, classes by grants.
func TestWhoMayWhat(t *testing.T) {
	a := testutil.NewAuthority(t)
	cert, key := a.Pair("relay", 20*24*time.Hour)
	users := filepath.Join(t.TempDir(), "users")
	if err := SetPassword(users, "ann", "x", false); err != nil {
		t.Fatal(err)
	}
	g, err := New(Settings{Cert: cert, Key: key, ClientCA: a.CA, Users: users,
		Grants: []Grant{{"*", []string{"page"}}, {"ann", []string{"live"}}, {"desk", []string{"live", "print"}}}})
	if err != nil {
		t.Fatal(err)
	}
	shown := &tls.ConnectionState{VerifiedChains: [][]*x509.Certificate{{{Subject: pkix.Name{CommonName: "desk"}}}}}
	for want, c := range map[string]*tls.ConnectionState{"ANONYMOUS": nil, "PLAIN ANONYMOUS": {}, "EXTERNAL PLAIN ANONYMOUS": shown} {
		if got := strings.Join(g.Mechanisms(c), " "); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
	if user, ok := g.Authenticate(External, nil, shown); !ok || user != "desk" {
		t.Errorf("%q, %v", user, ok)
	}
	if _, ok := g.Authenticate(External, []byte("ann"), shown); ok {
		t.Error("a certificate speaks for another")
	}
	for user, classes := range map[string]string{AnonymousUser: "page", "ann": "page live", "desk": "page live print"} {
		for _, class := range []string{"page", "live", "print"} {
			if g.Authorized(user, class) != strings.Contains(classes, class) {
				t.Errorf("%s and %s: %v", user, class, g.Authorized(user, class))
			}
		}
	}
	if at, ok := g.Expires(); !ok || time.Until(at) > 21*24*time.Hour || time.Until(at) < 19*24*time.Hour {
		t.Errorf("it expires %v", at)
	}
	if none := (*Authenticator)(nil); !none.Authorized("x", "y") || none.TLS() != nil || !none.Bare() || none.Reload() != nil {
		t.Error("without a gate something is kept out")
	}
}
