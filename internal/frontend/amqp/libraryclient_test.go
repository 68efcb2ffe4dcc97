package amqp

import (
	"context"
	"crypto/tls"
	"testing"
	"time"

	client10 "github.com/Azure/go-amqp"
)

// dialFront opens a session of an independent client at a frontend.
func dialFront(t *testing.T, address string) *client10.Session {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	conn, err := client10.Dial(ctx, "amqp://"+address, &client10.ConnOptions{
		SASLType: client10.SASLTypeAnonymous(), MaxFrameSize: 1024,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	session, err := conn.NewSession(ctx, nil)
	if err != nil {
		t.Fatal(err)
	}
	return session
}

// dialSecured dials a frontend as a client of a library does.
func dialSecured(address string, config *tls.Config, as client10.SASLType) (*client10.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	scheme := "amqps://"
	if config == nil {
		scheme = "amqp://"
	}
	return client10.Dial(ctx, scheme+address, &client10.ConnOptions{SASLType: as, TLSConfig: config})
}

func linkProperties() map[string]any {
	return map[string]any{propClass: "page", propDeadline: uint32(2000), propGroup: "ab"}
}

// attachTo opens a link with properties, sends a message and closes it; it returns what it is told.
func attachTo(conn *client10.Conn, target string, props map[string]any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	session, err := conn.NewSession(ctx, nil)
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

// clientOf is a session of an independent client.
func clientOf(t testing.TB, relay *testRelay) *client10.Session {
	t.Helper()
	conn, err := dialSecured(relay.address, nil, client10.SASLTypeAnonymous())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	session, err := conn.NewSession(context.Background(), nil)
	if err != nil {
		t.Fatal(err)
	}
	return session
}

// attach opens a link and leaves it open.
func attach(t testing.TB, session *client10.Session, name string) *client10.Sender {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	sender, err := session.NewSender(ctx, "there", &client10.SenderOptions{Name: name, Properties: linkProperties()})
	if err != nil {
		t.Fatal(err)
	}
	return sender
}

func sendOne(t testing.TB, sender *client10.Sender) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := sender.Send(ctx, client10.NewMessage([]byte("n")), nil); err != nil {
		t.Error(err)
	}
}
