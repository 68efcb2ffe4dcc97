package amqp

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	client10 "github.com/Azure/go-amqp"

	"lockroad/internal/frontend/amqp/codec"
	"lockroad/internal/frontend/amqp/framing"
)

// negotiateAsEndpoint runs a fake endpoint's side of the negotiation up to, but excluding, the opens. It reports false
// if the connection cannot be used.
func negotiateAsEndpoint(t testing.TB, tcp streamConn) (*connection, bool) {
	conn := newConnection(tcp)
	header, err := conn.readProtocolHeader(peerReadTimeout)
	if err != nil {
		return nil, false
	}
	if header != framing.ProtocolHeaderSASL {
		t.Errorf("endpoint received protocol header %q from the relay, want SASL", header)
	}
	conn.writeProtocolHeader(framing.ProtocolHeaderSASL)
	want, offered := "ANONYMOUS", codec.Array{codec.Symbol("ANONYMOUS")}
	if _, isTLS := tcp.(*tls.Conn); isTLS { // the relay has a client certificate
		want, offered = "EXTERNAL", codec.Array{codec.Symbol("EXTERNAL"), codec.Symbol("ANONYMOUS")}
	}
	conn.writeSASL(framing.Performative{Code: framing.CodeSASLMechanisms, Fields: codec.List{offered}})
	frame, err := conn.readFrame(framing.TypeSASL, peerReadTimeout)
	if err != nil {
		return nil, false // the relay may abandon an attempt at any time, for example when its client has left
	}
	if frame.Code != framing.CodeSASLInit || codec.AsString(frame.Field(framing.SASLInitMechanism)) != want {
		t.Errorf("endpoint received %v instead of a SASL init with mechanism %s", frame, want)
		return nil, false
	}
	conn.writeSASL(framing.Performative{Code: framing.CodeSASLOutcome, Fields: codec.List{uint8(0)}})
	_, _ = conn.readProtocolHeader(peerReadTimeout)
	conn.writeProtocolHeader(framing.ProtocolHeaderAMQP)
	return conn, true
}

// answerOpenOrBegin answers an open or a begin on behalf of a fake endpoint.
func answerOpenOrBegin(conn *connection, endpointSession *session, frame framing.Frame) {
	switch frame.Code {
	case framing.CodeOpen:
		conn.applyOpen(frame.Performative)
		conn.writeFrame(0, newOpen("server"), nil)
	case framing.CodeBegin:
		_ = endpointSession.applyBegin(frame.Performative)
		conn.writeFrame(0, endpointSession.newBegin(uint16(0)), nil)
	}
}

// serveFrames runs a fake endpoint with one session. It calls handle with each frame of the relay, until handle reports
// false or the connection ends.
func serveFrames(t testing.TB, tcp streamConn, handle func(conn *connection, session *session, frame framing.Frame) bool) {
	conn, ok := negotiateAsEndpoint(t, tcp)
	if !ok {
		return
	}
	session := newSession(conn, 0)
	for {
		frame, err := conn.readFrame(framing.TypeAMQP, peerReadTimeout)
		if err != nil || !handle(conn, session, frame) {
			return
		}
	}
}

// serveAMQPEndpoint runs a fake endpoint that follows the scenario.
func serveAMQPEndpoint(t testing.TB, tcp *net.TCPConn, script *scenario) {
	serveAMQPEndpointOn(t, tcp, script)
}

// serveAMQPEndpointOn is serveAMQPEndpoint on a TCP or TLS connection.
func serveAMQPEndpointOn(t testing.TB, stream streamConn, script *scenario) {
	serveFrames(t, stream, func(conn *connection, session *session, frame framing.Frame) bool {
		switch frame.Code {
		case framing.CodeOpen, framing.CodeBegin:
			answerOpenOrBegin(conn, session, frame)
		case framing.CodeAttach:
			return answerAttach(t, conn, session, frame.Performative, script)
		case framing.CodeTransfer:
			if !frame.Bool(framing.TransferMore) {
				conn.writeFrame(0, acceptingDisposition(frame.Field(framing.TransferDeliveryID)), nil)
			}
		case framing.CodeDetach:
			conn.writeFrame(0, framing.Performative{Code: framing.CodeDetach, Fields: codec.List{uint32(0), true}}, nil)
		case framing.CodeClose:
			return false
		}
		return true
	})
}

// answerAttach applies the scenario's next action to an attach. It reports whether to keep the connection open.
func answerAttach(t testing.TB, conn *connection, session *session, performative framing.Performative, script *scenario) bool {
	properties, _ := performative.Field(framing.AttachProperties).(codec.Map)
	milliseconds, _ := codec.AsUint64(properties.Get(propDeadline))
	script.recordTimeout(time.Duration(milliseconds) * time.Millisecond)
	action := script.next(t, conn.LocalAddr())
	reply := attachReply(performative, 0)
	detach := func(condition string) bool {
		var errorValue any
		if condition != "" {
			errorValue = framing.NewErrorValue(condition, "scripted by the test", nil)
		}
		conn.writeFrame(0, framing.Performative{Code: framing.CodeDetach, Fields: codec.List{uint32(0), true, errorValue}}, nil)
		return true
	}
	accept := func() {
		script.answered()
		conn.writeFrame(0, reply, nil)
		session.sendFlow(framing.Performative{Code: framing.CodeFlow, Fields: codec.List{nil, nil, nil, nil, uint32(0), uint32(0), uint32(10)}})
	}
	switch action {
	case actionAccept:
		accept()
	case actionRejectFull:
		script.answered()
		conn.writeFrame(0, reply.With(framing.AttachTarget, nil), nil)
		return detach(framing.CondResourceLimitExceeded)
	case actionFail:
		script.answered()
		conn.writeFrame(0, reply.With(framing.AttachTarget, nil), nil)
		return detach(framing.CondInternalError)
	case actionHang, actionNoCredit:
		if action == actionNoCredit {
			conn.writeFrame(0, reply, nil)
		}
		_, _ = io.Copy(io.Discard, conn.reader)
		script.answered()
		return false
	case actionReset:
		script.answered()
		conn.streamConn.(*net.TCPConn).SetLinger(0)
		return false
	case actionAcceptAndDetach:
		accept()
		return detach("")
	case actionAcceptAndRedirect:
		accept()
		return detach(framing.CondDetachForced)
	case actionAcceptAndReset:
		accept()
		conn.streamConn.(*net.TCPConn).SetLinger(0)
		return false
	}
	return true
}

// openAMQP implements frontendProtocol.open with the go-amqp client.
func openAMQP(ctx context.Context, address, name string, timeout time.Duration) (string, bool, func() string) {
	conn, err := client10.Dial(ctx, "amqp://"+address, &client10.ConnOptions{SASLType: client10.SASLTypeAnonymous(), ContainerID: name})
	if err != nil {
		return "lost", false, nil
	}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	session, err := conn.NewSession(ctx, nil)
	if err != nil {
		return "lost", false, nil
	}
	sender, err := session.NewSender(ctx, "score", &client10.SenderOptions{Name: "a link", Properties: map[string]any{
		propClass: "page", propDeadline: uint32(timeout.Milliseconds()), propGroup: "5c0f6e1a2b3d4c59",
	}})
	var rejection *client10.Error
	switch {
	case err != nil && !errors.As(err, &rejection):
		return "lost", false, nil
	case err != nil && rejection.Condition == client10.ErrCond(framing.CondResourceLimitExceeded):
		_, retryAfter := rejection.Info[infoRetryAfter]
		return "unavailable", retryAfter, nil
	case err != nil:
		return "failed", false, nil
	}
	return "up", false, func() string {
		for {
			err := sender.Send(context.Background(), client10.NewMessage([]byte("a note")), nil)
			var linkErr *client10.LinkError
			switch {
			case err == nil:
				continue
			case !errors.As(err, &linkErr) || linkErr.RemoteErr != nil && linkErr.RemoteErr.Condition == client10.ErrCond(framing.CondConnectionForced):
				return "broken"
			case linkErr.RemoteErr == nil:
				return "ended"
			case linkErr.RemoteErr.Condition == client10.ErrCond(framing.CondDetachForced):
				return "moved"
			}
			return linkErr.Error()
		}
	}
}

// openAndSendAMQP implements frontendProtocol.openAndSend with transfers that precede any credit.
func openAndSendAMQP(t *testing.T, address string) string {
	client := dialRaw(t, address).begin()
	client.attach(1, codec.Map{codec.Symbol(propClass), "page", codec.Symbol(propDeadline), uint32(1200)})
	for i := range uint32(200) {
		client.writeFrame(3, framing.Performative{Code: framing.CodeTransfer, Fields: codec.List{uint32(1), i, []byte("t")}}, nil)
	}
	client.expect(framing.CodeAttach, 0, "")
	client.expect(framing.CodeDetach, 2, framing.CondTransferLimitExceeded)
	return "failed"
}
