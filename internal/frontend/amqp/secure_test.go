package amqp

import (
	"context"
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
	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
	"lockroad/internal/listener"
	"lockroad/internal/proxy"
	"lockroad/internal/testutil"
)

// amqpProtocol is AMQP with a front that is prepared, and servers that speak TLS if theirs is given.
func amqpProtocol(prepare func(*Frontend), servers *tls.Config) frontendProtocol {
	protocol := protocols[1]
	protocol.newFrontend = func(k *proxy.Proxy, seats int) frontendServer {
		f := &Frontend{Proxy: k, Limiter: &listener.ConnLimiter{Slots: seats, MaxIdle: 64}}
		prepare(f)
		return f
	}
	if servers != nil {
		protocol.serveEndpoint = func(t testing.TB, tcp *net.TCPConn, s *scenario) {
			secured := tls.Server(tcp, servers)
			if secured.Handshake() == nil {
				serveAMQPEndpointOn(t, secured, s)
			}
		}
	}
	return protocol
}

// dialSecured dials a front as a client of a library does.
func dialSecured(address string, config *tls.Config, as client10.SASLType) (*client10.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	scheme := "amqps://"
	if config == nil {
		scheme = "amqp://"
	}
	return client10.Dial(ctx, scheme+address, &client10.ConnOptions{SASLType: as, TLSConfig: config})
}

// attachTo opens a link with properties, sends a message and closes it; it returns what it is told.
func attachTo(c *client10.Conn, target string, props map[string]any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	session, err := c.NewSession(ctx, nil)
	if err != nil {
		return err
	}
	sender, err := session.NewSender(ctx, target, &client10.SenderOptions{Properties: props})
	if err != nil {
		return err
	}
	if err := sender.Send(ctx, client10.NewMessage([]byte("n")), nil); err != nil {
		return err
	}
	return sender.Close(ctx)
}

func certPool(t *testing.T, file string) *x509.CertPool {
	t.Helper()
	text, err := os.ReadFile(file)
	p := x509.NewCertPool()
	if err != nil || !p.AppendCertsFromPEM(text) {
		t.Fatal(err)
	}
	return p
}

// An independent client comes over TLS as a user, by a certificate, or as nobody, on to servers over TLS; what
// it may not do it is told in the standard's words. Keys that are replaced are those of the next connection, and
// what stands goes on.
func TestSecuredFromEndToEnd(t *testing.T) {
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
	up, err := auth.NewEndpointTLS(auth.Upstream{CA: a.CA, Cert: cert, Key: key})
	if err != nil {
		t.Fatal(err)
	}
	protocol := amqpProtocol(func(f *Frontend) { f.Authenticator, f.EndpointTLS = gate, up }, &tls.Config{Certificates: []tls.Certificate{serverPair}, ClientCAs: certPool(t, a.CA), ClientAuth: tls.RequireAndVerifyClientCert})
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
	for what, c := range map[string]struct {
		config *tls.Config
		as     client10.SASLType
	}{
		"a wrong password": {trusts, client10.SASLTypePlain("ann", "bob's")}, "nobody": {trusts, client10.SASLTypeAnonymous()},
		"no certificate": {trusts, client10.SASLTypeExternal("")}, "no TLS": {nil, client10.SASLTypePlain("ann", "ann's")},
		"no security layer": {trusts, nil}, "who trusts another": {&tls.Config{RootCAs: x509.NewCertPool()}, client10.SASLTypePlain("ann", "ann's")},
		"an old TLS": {&tls.Config{RootCAs: trusts.RootCAs, ServerName: "127.0.0.1", MaxVersion: tls.VersionTLS11}, client10.SASLTypePlain("ann", "ann's")},
	} {
		if c, err := dialSecured(relay.address, c.config, c.as); err == nil {
			_ = c.Close()
			t.Errorf("%s comes in", what)
		}
	}
	old := trusts.Clone()
	var seen *x509.Certificate
	old.VerifyConnection = func(c tls.ConnectionState) error { seen = c.PeerCertificates[0]; return nil }
	serial := func() string {
		c, err := dialSecured(relay.address, old, client10.SASLTypePlain("ann", "ann's"))
		if err != nil {
			t.Fatal(err)
		}
		_ = c.Close()
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
	relay := newTestRelay(t, amqpProtocol(func(f *Frontend) { f.Authenticator = gate }, nil), 1, nil)
	for _, text := range []string{"", "\x16\x03\x01\x02", string(framing.ProtocolHeaderAMQP[:])} {
		c, err := net.Dial("tcp", relay.address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, text)
		c.SetReadDeadline(time.Now().Add(openTimeout + time.Second))
		if _, err := io.ReadAll(c); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%q: it is still there", text)
		}
	}
}

// A client that names an address only is placed by the rule for it, and its server is told what the rule
// has added. Where no rule fits, the refusal names what is missing.
func TestPlainClientsArePlacedByRules(t *testing.T) {
	places := []Placement{{Address: "scores/*/preview", Class: "none"}, {Address: "scores/*", Class: "page", Timeout: 900 * time.Millisecond, Group: "address"}, {Container: "desk-*", Class: "page"}}
	for i := range places {
		if err := places[i].Compile(); err != nil {
			t.Fatal(err)
		}
	}
	f := &Frontend{Proxy: newTestRelay(t, protocols[1], 1, nil).proxy, Placements: places}
	attach := func(address string, props codec.Map) framing.Performative {
		return framing.Performative{Code: framing.CodeAttach, Fields: codec.List{"a link", uint32(0), false, nil, nil, codec.Described{Descriptor: uint64(0x28), Value: codec.List{"here"}}, codec.Described{Descriptor: uint64(0x29), Value: codec.List{address}}, nil, nil, uint32(0), nil, nil, nil, props}}
	}
	for _, c := range []struct {
		address, container string
		props              codec.Map
		class, wrong       string
		give               time.Duration
		group              uint64
	}{
		{"scores/12", "x", nil, "page", "", 900 * time.Millisecond, hashKey("scores/12")},
		{"scores/12", "x", codec.Map{codec.Symbol(propGroup), "ab", codec.Symbol(propDeadline), uint32(300)}, "page", "", 300 * time.Millisecond, 0xab},
		{"other", "desk-3", nil, "page", "", clientTimeout, 0},
		{"scores/1/preview", "x", nil, "", `"none" is no known class`, 0, 0},
		{"other", "x", nil, "", `no class is told: there is neither the property "class" nor a rule for the address "other" of the container "x"`, 0, 0},
		{"other", "x", codec.Map{codec.Symbol(propClass), "page"}, "", `"give-up-ms"`, 0, 0},
		{"scores/12", "x", codec.Map{codec.Symbol(propDeadline), "soon"}, "", `"give-up-ms"`, 0, 0},
	} {
		now := f.Proxy.Clock.Now()
		ask, told, err := f.parseRequest(attach(c.address, c.props), c.container, "a link")
		if c.wrong != "" {
			if err == nil || !strings.Contains(err.Error(), c.wrong) {
				t.Errorf("%s of %s: %v", c.address, c.container, err)
			}
			continue
		}
		props, _ := told.Field(13).(codec.Map)
		if err != nil || ask.Class != c.class || ask.Group != c.group || (ask.Deadline-now).Round(50*time.Millisecond) != c.give ||
			codec.AsString(props.Get(propClass)) != c.class || hashKey(props.Get(propGroup)) != c.group {
			t.Errorf("%s of %s: %+v, %v, %v", c.address, c.container, ask, props, err)
		}
	}
	for what, p := range map[string]Placement{"class: is missing": {Address: "x"}, "give_up": {Class: "x", Timeout: -1}, "group": {Class: "x", Group: "property:"}} {
		if err := p.Compile(); err == nil || !strings.Contains(err.Error(), what) {
			t.Errorf("want %q: %v", what, err)
		}
	}
	protocol := amqpProtocol(func(f *Frontend) { f.Placements = places }, nil)
	relay := newTestRelay(t, protocol, 1, nil)
	c, err := dialSecured(relay.address, nil, client10.SASLTypeAnonymous())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if err := attachTo(c, "scores/7", nil); err != nil {
		t.Errorf("a plain client: %v", err)
	}
	if err := attachTo(c, "elsewhere", nil); err == nil || !strings.Contains(err.Error(), "no class is told") {
		t.Errorf("one that no rule fits: %v", err)
	}
}

// Where the settings name tenants an attach has to name one of them, as an opening on the line does.
func TestAttachesNameATenant(t *testing.T) {
	relay := newTestRelay(t, protocols[1], 1, nil)
	terms := *relay.proxy.Settings()
	terms.Tenants = []string{"fraser", "cedar"}
	relay.proxy.UpdateSettings(&terms)
	f := &Frontend{Proxy: relay.proxy}
	for tenant, wrong := range map[any]string{nil: `"" is no known tenant`, "other": `"other" is no known tenant`, "cedar": ""} {
		props := codec.Map{codec.Symbol(propClass), "page", codec.Symbol(propDeadline), uint32(300)}
		if tenant != nil {
			props = append(props, codec.Symbol(propTenant), tenant)
		}
		ask, _, err := f.parseRequest(framing.Performative{Code: framing.CodeAttach, Fields: codec.List{"a link", uint32(0), false, nil, nil, nil, nil, nil, nil, uint32(0), nil, nil, nil, props}}, "x", "a link")
		if wrong == "" && (err != nil || ask.Tenant != tenant) || wrong != "" && (err == nil || !strings.Contains(err.Error(), wrong)) {
			t.Errorf("tenant %v: %+v, %v", tenant, ask, err)
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
			relay := newTestRelay(b, amqpProtocol(func(f *Frontend) { f.Authenticator = way.gate }, nil), 1, nil)
			for b.Loop() {
				c, err := dialSecured(relay.address, way.config, way.as)
				if err != nil {
					b.Fatal(err)
				}
				if err := attachTo(c, "there", linkProperties()); err != nil {
					b.Fatal(err)
				}
				_ = c.Close()
			}
		})
	}
}
