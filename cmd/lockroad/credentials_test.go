package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	amqp10 "github.com/Azure/go-amqp"

	"lockroad/internal/testutil"
)

// With users set by lockroad passwd and AMQP over TLS, SIGHUP must reload users and certificates without breaking
// established connections, reject an invalid password file, and log a warning for a certificate that expires soon.
func TestCredentialsReloadAtSIGHUP(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t)
	authority := testutil.NewAuthority(t)
	cert, key := authority.Pair("relay", 10*24*time.Hour)
	users, operator, address := filepath.Join(cluster.dir, "users"), filepath.Join(cluster.dir, "operator.toml"), freeAddress(t)
	passwd := func(user, password string) {
		t.Helper()
		var out, errs strings.Builder
		if code := execute([]string{"passwd", users, user}, streams{strings.NewReader(password + "\n"), &out, &errs}); code != 0 {
			t.Fatal("passwd: exit code", code, out.String(), errs.String())
		}
	}
	passwd("ann", "ann's")
	text := fmt.Sprintf("[amqp]\nlisten = %q\nserver_port = %d\n[amqp.tls]\ncert = %q\nkey = %q\n[amqp.sasl]\nusers = %q\nanonymous = false\n[[amqp.place]]\naddress = \"scores/*\"\nclass = \"page\"\n",
		address, cluster.site.AMQPPort, cert, key, users)
	if err := os.WriteFile(operator, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, out, errs := runCommandLine("check", operator); code != 0 || !strings.Contains(out, "OK (operator file)") {
		t.Fatal("check of the operator file: exit code", code, out, errs)
	}
	relay := cluster.startProcess("LOCKROAD_OPERATOR=" + operator)
	relay.awaitReady()
	ca, _ := os.ReadFile(authority.CA)
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(ca)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	open := func(user, password string) (*amqp10.Sender, *x509.Certificate, error) {
		var served *x509.Certificate
		conn, err := amqp10.Dial(ctx, "amqps://"+address, &amqp10.ConnOptions{SASLType: amqp10.SASLTypePlain(user, password), TLSConfig: &tls.Config{RootCAs: pool, ServerName: "127.0.0.1",
			VerifyConnection: func(state tls.ConnectionState) error { served = state.PeerCertificates[0]; return nil }}})
		if err != nil {
			return nil, nil, err
		}
		t.Cleanup(func() { _ = conn.Close() })
		session, err := conn.NewSession(ctx, nil)
		if err != nil {
			return nil, nil, err
		}
		sender, err := session.NewSender(ctx, "scores/1", nil)
		return sender, served, err
	}
	send := func(sender *amqp10.Sender) {
		t.Helper()
		if err := sender.Send(ctx, amqp10.NewMessage([]byte("N 1 1 x")), nil); err != nil {
			t.Error(err)
		}
	}
	ann, old, err := open("ann", "ann's")
	if err != nil {
		t.Fatal(err)
	}
	send(ann)
	if _, _, err := open("bob", "bob's"); err == nil {
		t.Fatal("a user who is not in the password file was authenticated")
	}
	passwd("bob", "bob's")
	authority.Pair("relay", 20*24*time.Hour)
	_ = relay.Process.Signal(syscall.SIGHUP)
	testutil.Until(t, "a user added before SIGHUP is not authenticated", func() bool {
		_, _, err := open("bob", "bob's")
		return err == nil
	})
	bob, renewed, err := open("bob", "bob's")
	if err != nil || renewed.SerialNumber.Cmp(old.SerialNumber) == 0 {
		t.Fatalf("the relay still serves the old certificate; error %v", err)
	}
	send(bob)
	send(ann)
	if err := os.WriteFile(users, []byte("odd\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_ = relay.Process.Signal(syscall.SIGHUP)
	testutil.Until(t, "the second SIGHUP does not reload the configuration", func() bool { return relay.metrics()["config_applied_total"] == 2 })
	if _, _, err := open("bob", "bob's"); err != nil {
		t.Errorf("after the reload of an invalid password file bob is not authenticated: %v", err)
	}
	relay.shutDown()
	for _, want := range []string{"expires soon", "days=9", "days=19", "credentials reload rejected", users + ":1: "} {
		if !strings.Contains(relay.log.String(), want) {
			t.Errorf("the log does not contain %q", want)
		}
	}
}
