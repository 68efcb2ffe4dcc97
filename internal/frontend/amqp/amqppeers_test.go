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

// negotiateAsEndpoint is a fake endpoint's half of the opening, as the standard has it, up to
// the opens.
func negotiateAsEndpoint(t testing.TB, tcp streamConn) (*connection, bool) {
	conn := newConnection(tcp)
	header, err := conn.readProtocolHeader(serverWait)
	if err != nil {
		return nil, false
	}
	if header != framing.ProtocolHeaderSASL {
		t.Errorf("a server was greeted with %q", header)
	}
	conn.writeProtocolHeader(framing.ProtocolHeaderSASL)
	want, offered := "ANONYMOUS", codec.Array{codec.Symbol("ANONYMOUS")}
	if _, is := tcp.(*tls.Conn); is { // to which the relay has shown a certificate
		want, offered = "EXTERNAL", codec.Array{codec.Symbol("EXTERNAL"), codec.Symbol("ANONYMOUS")}
	}
	conn.writeSASL(framing.Performative{Code: framing.CodeSASLMechanisms, Fields: codec.List{offered}})
	frame, err := conn.readFrame(framing.TypeSASL, serverWait)
	if err != nil {
		return nil, false // the relay may give an attempt up at any time, as when its client has left
	}
	if frame.Code != framing.CodeSASLInit || codec.AsString(frame.Field(framing.SASLInitMechanism)) != want {
		t.Errorf("a server got %v for an init", frame)
		return nil, false
	}
	conn.writeSASL(framing.Performative{Code: framing.CodeSASLOutcome, Fields: codec.List{uint8(0)}})
	_, _ = conn.readProtocolHeader(serverWait)
	conn.writeProtocolHeader(framing.ProtocolHeaderAMQP)
	return conn, true
}

// answerOpenOrBegin answers the frames that open a fake endpoint's connection and its session.
func answerOpenOrBegin(conn *connection, s *session, frame framing.Frame) {
	switch frame.Code {
	case framing.CodeOpen:
		conn.applyOpen(frame.Performative)
		conn.writeFrame(0, newOpen("server"), nil)
	case framing.CodeBegin:
		_ = s.applyBegin(frame.Performative)
		conn.writeFrame(0, s.newBegin(uint16(0)), nil)
	}
}

// serveFrames is a fake endpoint with one session. It calls handle with each frame of the relay, until that reports false or the
// connection ends.
func serveFrames(t testing.TB, tcp streamConn, handle func(conn *connection, session *session, frame framing.Frame) bool) {
	conn, ok := negotiateAsEndpoint(t, tcp)
	if !ok {
		return
	}
	session := newSession(conn, 0)
	for {
		frame, err := conn.readFrame(framing.TypeAMQP, serverWait)
		if err != nil || !handle(conn, session, frame) {
			return
		}
	}
}

// serveAMQPEndpoint is a fake endpoint that does as the scenario says.
func serveAMQPEndpoint(t testing.TB, tcp *net.TCPConn, s *scenario) { serveAMQPEndpointOn(t, tcp, s) }

// serveAMQPEndpointOn is serveAMQPEndpoint on a connection that may be TLS.
func serveAMQPEndpointOn(t testing.TB, over streamConn, s *scenario) {
	serveFrames(t, over, func(conn *connection, session *session, frame framing.Frame) bool {
		switch frame.Code {
		case framing.CodeOpen, framing.CodeBegin:
			answerOpenOrBegin(conn, session, frame)
		case framing.CodeAttach:
			return answerAttach(t, conn, session, frame.Performative, s)
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

// answerAttach reports whether the connection goes on.
func answerAttach(t testing.TB, conn *connection, session *session, performative framing.Performative, s *scenario) bool {
	props, _ := performative.Field(framing.AttachProperties).(codec.Map)
	milliseconds, _ := codec.AsUint64(props.Get(propDeadline))
	s.recordTimeout(time.Duration(milliseconds) * time.Millisecond)
	act := s.next(t, conn.LocalAddr())
	reply := attachReply(performative, 0)
	end := func(cond string) bool {
		var e any
		if cond != "" {
			e = framing.NewErrorValue(cond, "as the case has it", nil)
		}
		conn.writeFrame(0, framing.Performative{Code: framing.CodeDetach, Fields: codec.List{uint32(0), true, e}}, nil)
		return true
	}
	up := func() {
		s.answered()
		conn.writeFrame(0, reply, nil)
		session.sendFlow(framing.Performative{Code: framing.CodeFlow, Fields: codec.List{nil, nil, nil, nil, uint32(0), uint32(0), uint32(10)}})
	}
	switch act {
	case actionAccept:
		up()
	case actionRejectFull:
		s.answered()
		conn.writeFrame(0, reply.With(framing.AttachTarget, nil), nil)
		return end(framing.CondResourceLimitExceeded)
	case actionFail:
		s.answered()
		conn.writeFrame(0, reply.With(framing.AttachTarget, nil), nil)
		return end(framing.CondInternalError)
	case actionHang, actionNoCredit:
		if act == actionNoCredit {
			conn.writeFrame(0, reply, nil)
		}
		_, _ = io.Copy(io.Discard, conn.reader)
		s.answered()
		return false
	case actionReset:
		s.answered()
		conn.streamConn.(*net.TCPConn).SetLinger(0)
		return false
	case actionAcceptAndDetach:
		up()
		return end("")
	case actionAcceptAndRedirect:
		up()
		return end(framing.CondDetachForced)
	case actionAcceptAndReset:
		up()
		conn.streamConn.(*net.TCPConn).SetLinger(0)
		return false
	}
	return true
}

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
	var end *client10.Error
	switch {
	case err != nil && !errors.As(err, &end):
		return "lost", false, nil
	case err != nil && end.Condition == client10.ErrCond(framing.CondResourceLimitExceeded):
		_, told := end.Info[infoRetryAfter]
		return "unavailable", told, nil
	case err != nil:
		return "failed", false, nil
	}
	return "up", false, func() string {
		for {
			err := sender.Send(context.Background(), client10.NewMessage([]byte("a note")), nil)
			var gone *client10.LinkError
			switch {
			case err == nil:
				continue
			case !errors.As(err, &gone) || gone.RemoteErr != nil && gone.RemoteErr.Condition == client10.ErrCond(framing.CondConnectionForced):
				return "broken"
			case gone.RemoteErr == nil:
				return "ended"
			case gone.RemoteErr.Condition == client10.ErrCond(framing.CondDetachForced):
				return "moved"
			}
			return gone.Error()
		}
	}
}

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
