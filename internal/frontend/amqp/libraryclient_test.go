package amqp

import (
	"context"
	"crypto/tls"
	"testing"
	"time"

	client10 "github.com/Azure/go-amqp"
)

// dialSmallFrames opens a session of a go-amqp client that accepts frames of 1024 bytes.
func dialSmallFrames(t *testing.T, address string) *client10.Session {
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

// dialSecured connects a go-amqp client to a frontend, with TLS if config is not nil.
func dialSecured(address string, config *tls.Config, saslType client10.SASLType) (*client10.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	scheme := "amqps://"
	if config == nil {
		scheme = "amqp://"
	}
	return client10.Dial(ctx, scheme+address, &client10.ConnOptions{SASLType: saslType, TLSConfig: config})
}

// linkProperties returns the properties of a valid request.
func linkProperties() map[string]any {
	return map[string]any{propClass: "page", propDeadline: uint32(2000), propGroup: "ab"}
}

// attachTo attaches a link in a new session, sends a message and detaches. It returns the first error.
func attachTo(conn *client10.Conn, target string, properties map[string]any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	session, err := conn.NewSession(ctx, nil)
	if err != nil {
		return err
	}
	sender, err := session.NewSender(ctx, target, &client10.SenderOptions{Properties: properties})
	if err != nil {
		return err
	}
	if err := sender.Send(ctx, client10.NewMessage([]byte("n")), nil); err != nil {
		return err
	}
	return sender.Close(ctx)
}

// newClientSession opens a session of a new go-amqp client.
func newClientSession(t testing.TB, relay *testRelay) *client10.Session {
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

// attach attaches a link and leaves it open.
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

// sendOne sends a message and waits for its outcome.
func sendOne(t testing.TB, sender *client10.Sender) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := sender.Send(ctx, client10.NewMessage([]byte("n")), nil); err != nil {
		t.Error(err)
	}
}
