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

// certPool returns a pool with the certificates of a PEM file.
func certPool(t *testing.T, file string) *x509.CertPool {
	t.Helper()
	pem, err := os.ReadFile(file)
	pool := x509.NewCertPool()
	if err != nil || !pool.AppendCertsFromPEM(pem) {
		t.Fatal(err)
	}
	return pool
}

// Clients authenticate over TLS by password or certificate, and their requests reach endpoints over TLS. Unauthorized
// classes and invalid credentials must be rejected. Reloaded certificates must apply to new connections without ending
// existing ones.
func TestTLSAndSASLFromEndToEnd(t *testing.T) {
	authority := testutil.NewAuthority(t)
	cert, key := authority.Pair("relay", time.Hour)
	serverCert, serverKey := authority.Pair("server", time.Hour)
	serverPair, err := tls.LoadX509KeyPair(serverCert, serverKey)
	if err != nil {
		t.Fatal(err)
	}
	users := filepath.Join(t.TempDir(), "users")
	if err := auth.SetPassword(users, "ann", "ann's", false); err != nil {
		t.Fatal(err)
	}
	authenticator, err := auth.New(auth.Settings{Cert: cert, Key: key, ClientCA: authority.CA, Users: users, RequireAuthentication: true,
		Grants: []auth.Grant{{User: "ann", Classes: []string{"page"}}, {User: "desk", Classes: []string{"none"}}}})
	if err != nil {
		t.Fatal(err)
	}
	endpointTLS, err := auth.NewEndpointTLS(auth.EndpointTLSSettings{CA: authority.CA, Cert: cert, Key: key})
	if err != nil {
		t.Fatal(err)
	}
	protocol := amqpProtocol(func(frontend *Frontend) { frontend.Authenticator, frontend.EndpointTLS = authenticator, endpointTLS }, &tls.Config{Certificates: []tls.Certificate{serverPair}, ClientCAs: certPool(t, authority.CA), ClientAuth: tls.RequireAndVerifyClientCert})
	relay := newTestRelay(t, protocol, 2, nil)
	clientTLS := &tls.Config{RootCAs: certPool(t, authority.CA), ServerName: "127.0.0.1"}

	ann, err := dialSecured(relay.address, clientTLS, client10.SASLTypePlain("ann", "ann's"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ann.Close() }()
	if err := attachTo(ann, "there", linkProperties()); err != nil {
		t.Error(err)
	}
	deskCert, deskKey := authority.Pair("desk", time.Hour)
	pair, err := tls.LoadX509KeyPair(deskCert, deskKey)
	if err != nil {
		t.Fatal(err)
	}
	certificateTLS := clientTLS.Clone()
	certificateTLS.Certificates = []tls.Certificate{pair}
	desk, err := dialSecured(relay.address, certificateTLS, client10.SASLTypeExternal(""))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = desk.Close() }()
	var rejection *client10.Error
	if err := attachTo(desk, "there", linkProperties()); !errors.As(err, &rejection) || rejection.Condition != framing.CondUnauthorizedAccess || !strings.Contains(rejection.Description, `"desk" may not open the class "page"`) {
		t.Errorf("attach of an unauthorized class: %v", err)
	}
	for name, testCase := range map[string]struct {
		config   *tls.Config
		saslType client10.SASLType
	}{
		"a wrong password": {clientTLS, client10.SASLTypePlain("ann", "bob's")}, "anonymous": {clientTLS, client10.SASLTypeAnonymous()},
		"no certificate": {clientTLS, client10.SASLTypeExternal("")}, "no TLS": {nil, client10.SASLTypePlain("ann", "ann's")},
		"no SASL": {clientTLS, nil}, "a client without the CA": {&tls.Config{RootCAs: x509.NewCertPool()}, client10.SASLTypePlain("ann", "ann's")},
		"TLS 1.1": {&tls.Config{RootCAs: clientTLS.RootCAs, ServerName: "127.0.0.1", MaxVersion: tls.VersionTLS11}, client10.SASLTypePlain("ann", "ann's")},
	} {
		if conn, err := dialSecured(relay.address, testCase.config, testCase.saslType); err == nil {
			_ = conn.Close()
			t.Errorf("%s: the connection was accepted", name)
		}
	}
	recordingTLS := clientTLS.Clone()
	var certificate *x509.Certificate
	recordingTLS.VerifyConnection = func(state tls.ConnectionState) error { certificate = state.PeerCertificates[0]; return nil }
	serial := func() string { // of the relay's certificate on a new connection
		conn, err := dialSecured(relay.address, recordingTLS, client10.SASLTypePlain("ann", "ann's"))
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.Close()
		return certificate.SerialNumber.String()
	}
	before := serial()
	authority.Pair("relay", time.Hour)
	if err := errors.Join(authenticator.Reload(), endpointTLS.Reload()); err != nil {
		t.Fatal(err)
	}
	if serial() == before {
		t.Error("a new connection uses the old certificate after a reload")
	}
	if err := attachTo(ann, "there", linkProperties()); err != nil {
		t.Errorf("request on a connection from before the reload: %v", err)
	}
}

// A client that does not complete its TLS handshake must be disconnected within openTimeout.
func TestIncompleteTLSHandshakeTimesOut(t *testing.T) {
	authority := testutil.NewAuthority(t)
	cert, key := authority.Pair("relay", time.Hour)
	authenticator, err := auth.New(auth.Settings{Cert: cert, Key: key})
	if err != nil {
		t.Fatal(err)
	}
	relay := newTestRelay(t, amqpProtocol(func(frontend *Frontend) { frontend.Authenticator = authenticator }, nil), 1, nil)
	for _, input := range []string{"", "\x16\x03\x01\x02", string(framing.ProtocolHeaderAMQP[:])} {
		conn, err := net.Dial("tcp", relay.address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		io.WriteString(conn, input)
		conn.SetReadDeadline(time.Now().Add(openTimeout + time.Second))
		if _, err := io.ReadAll(conn); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("client that sent %q is still connected after openTimeout", input)
		}
	}
}

// BenchmarkConnect measures connecting, running one request and disconnecting, by authentication method. Only results
// of the same run are comparable.
func BenchmarkConnect(b *testing.B) {
	authority := testutil.NewAuthority(b)
	cert, key := authority.Pair("relay", time.Hour)
	users := filepath.Join(b.TempDir(), "users")
	if err := auth.SetPassword(users, "ann", "ann's", false); err != nil {
		b.Fatal(err)
	}
	authenticator, err := auth.New(auth.Settings{Cert: cert, Key: key, Users: users})
	if err != nil {
		b.Fatal(err)
	}
	pem, _ := os.ReadFile(authority.CA)
	clientTLS := &tls.Config{RootCAs: x509.NewCertPool(), ServerName: "127.0.0.1"}
	clientTLS.RootCAs.AppendCertsFromPEM(pem)
	for _, testCase := range []struct {
		name          string
		authenticator *auth.Authenticator
		config        *tls.Config
		saslType      client10.SASLType
	}{
		{"anonymous", nil, nil, client10.SASLTypeAnonymous()},
		{"tls, anonymous", authenticator, clientTLS, client10.SASLTypeAnonymous()},
		{"tls, cached password", authenticator, clientTLS, client10.SASLTypePlain("ann", "ann's")},
	} {
		b.Run(testCase.name, func(b *testing.B) {
			relay := newTestRelay(b, amqpProtocol(func(frontend *Frontend) { frontend.Authenticator = testCase.authenticator }, nil), 1, nil)
			for b.Loop() {
				conn, err := dialSecured(relay.address, testCase.config, testCase.saslType)
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
