package amqp

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	client10 "github.com/Azure/go-amqp"

	"lockroad/internal/auth"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/internal/testutil"
)

func certPool(t *testing.T, file string) *x509.CertPool {
	t.Helper()
	text, err := os.ReadFile(file)
	p := x509.NewCertPool()
	if err != nil || !p.AppendCertsFromPEM(text) {
		t.Fatal(err)
	}
	return p
}

// An independent client comes over TLS as a user, by a certificate, or as nobody, on to endpoints over TLS; what
// it may not do it is told in the standard's words. Keys that are replaced are those of the next connection, and
// what stands goes on.
func TestTLSAndSASLFromEndToEnd(t *testing.T) {
	a := testutil.NewAuthority(t)
	cert, key := a.Pair("relay", time.Hour)
	serverCert, serverKey := a.Pair("server", time.Hour)
	serverPair, err := tls.LoadX509KeyPair(serverCert, serverKey)
	if err != nil {
		t.Fatal(err)
	}
	users := filepath.Join(t.TempDir(), "users")
	if err := auth.SetPassword(users, "ann", "ann's", false); err != nil {
		t.Fatal(err)
	}
	gate, err := auth.New(auth.Settings{Cert: cert, Key: key, ClientCA: a.CA, Users: users, NoAnonymous: true,
		Grants: []auth.Grant{{User: "ann", Classes: []string{"page"}}, {User: "desk", Classes: []string{"none"}}}})
	if err != nil {
		t.Fatal(err)
	}
	up, err := auth.NewEndpointTLS(auth.EndpointTLSSettings{CA: a.CA, Cert: cert, Key: key})
	if err != nil {
		t.Fatal(err)
	}
	protocol := amqpProtocol(func(frontend *Frontend) { frontend.Authenticator, frontend.EndpointTLS = gate, up }, &tls.Config{Certificates: []tls.Certificate{serverPair}, ClientCAs: certPool(t, a.CA), ClientAuth: tls.RequireAndVerifyClientCert})
	relay := newTestRelay(t, protocol, 2, nil)
	trusts := &tls.Config{RootCAs: certPool(t, a.CA), ServerName: "127.0.0.1"}

	ann, err := dialSecured(relay.address, trusts, client10.SASLTypePlain("ann", "ann's"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ann.Close() }()
	if err := attachTo(ann, "there", linkProperties()); err != nil {
		t.Error(err)
	}
	deskCert, deskKey := a.Pair("desk", time.Hour)
	pair, err := tls.LoadX509KeyPair(deskCert, deskKey)
	if err != nil {
		t.Fatal(err)
	}
	shows := trusts.Clone()
	shows.Certificates = []tls.Certificate{pair}
	desk, err := dialSecured(relay.address, shows, client10.SASLTypeExternal(""))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = desk.Close() }()
	var refused *client10.Error
	if err := attachTo(desk, "there", linkProperties()); !errors.As(err, &refused) || refused.Condition != framing.CondUnauthorizedAccess || !strings.Contains(refused.Description, `"desk" may not open the class "page"`) {
		t.Errorf("desk is told %v", err)
	}
	for what, testCase := range map[string]struct {
		config *tls.Config
		as     client10.SASLType
	}{
		"a wrong password": {trusts, client10.SASLTypePlain("ann", "bob's")}, "nobody": {trusts, client10.SASLTypeAnonymous()},
		"no certificate": {trusts, client10.SASLTypeExternal("")}, "no TLS": {nil, client10.SASLTypePlain("ann", "ann's")},
		"no security layer": {trusts, nil}, "who trusts another": {&tls.Config{RootCAs: x509.NewCertPool()}, client10.SASLTypePlain("ann", "ann's")},
		"an old TLS": {&tls.Config{RootCAs: trusts.RootCAs, ServerName: "127.0.0.1", MaxVersion: tls.VersionTLS11}, client10.SASLTypePlain("ann", "ann's")},
	} {
		if conn, err := dialSecured(relay.address, testCase.config, testCase.as); err == nil {
			_ = conn.Close()
			t.Errorf("%s comes in", what)
		}
	}
	old := trusts.Clone()
	var seen *x509.Certificate
	old.VerifyConnection = func(c tls.ConnectionState) error { seen = c.PeerCertificates[0]; return nil }
	serial := func() string {
		conn, err := dialSecured(relay.address, old, client10.SASLTypePlain("ann", "ann's"))
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.Close()
		return seen.SerialNumber.String()
	}
	before := serial()
	a.Pair("relay", time.Hour)
	if err := errors.Join(gate.Reload(), up.Reload()); err != nil {
		t.Fatal(err)
	}
	if serial() == before {
		t.Error("a new connection has the old certificate")
	}
	if err := attachTo(ann, "there", linkProperties()); err != nil {
		t.Errorf("what stands over the old one: %v", err)
	}
}

// A client that begins TLS and never comes to its point goes within the time for an opening, and one that sends nothing of it too.
func TestHandshakeIsBounded(t *testing.T) {
	a := testutil.NewAuthority(t)
	cert, key := a.Pair("relay", time.Hour)
	gate, err := auth.New(auth.Settings{Cert: cert, Key: key})
	if err != nil {
		t.Fatal(err)
	}
	relay := newTestRelay(t, amqpProtocol(func(frontend *Frontend) { frontend.Authenticator = gate }, nil), 1, nil)
	for _, text := range []string{"", "\x16\x03\x01\x02", string(framing.ProtocolHeaderAMQP[:])} {
		conn, err := net.Dial("tcp", relay.address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		io.WriteString(conn, text)
		conn.SetReadDeadline(time.Now().Add(openTimeout + time.Second))
		if _, err := io.ReadAll(conn); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%q: it is still there", text)
		}
	}
}

// BenchmarkGreeting is the time from a dial to a link that is open and closed again, by how a client comes in.
// Compare within one run: the first is the base.
func BenchmarkGreeting(b *testing.B) {
	a := testutil.NewAuthority(b)
	cert, key := a.Pair("relay", time.Hour)
	users := filepath.Join(b.TempDir(), "users")
	if err := auth.SetPassword(users, "ann", "ann's", false); err != nil {
		b.Fatal(err)
	}
	gate, err := auth.New(auth.Settings{Cert: cert, Key: key, Users: users})
	if err != nil {
		b.Fatal(err)
	}
	text, _ := os.ReadFile(a.CA)
	trusts := &tls.Config{RootCAs: x509.NewCertPool(), ServerName: "127.0.0.1"}
	trusts.RootCAs.AppendCertsFromPEM(text)
	for _, way := range []struct {
		name   string
		gate   *auth.Authenticator
		config *tls.Config
		as     client10.SASLType
	}{
		{"anonymous", nil, nil, client10.SASLTypeAnonymous()},
		{"tls, anonymous", gate, trusts, client10.SASLTypeAnonymous()},
		{"tls, a password known again", gate, trusts, client10.SASLTypePlain("ann", "ann's")},
	} {
		b.Run(way.name, func(b *testing.B) {
			relay := newTestRelay(b, amqpProtocol(func(frontend *Frontend) { frontend.Authenticator = way.gate }, nil), 1, nil)
			for b.Loop() {
				conn, err := dialSecured(relay.address, way.config, way.as)
				if err != nil {
					b.Fatal(err)
				}
				if err := attachTo(conn, "there", linkProperties()); err != nil {
					b.Fatal(err)
				}
				_ = conn.Close()
			}
		})
	}
}
