package fake

import (
	"context"
	"errors"
	"fmt"
	"time"

	amqp10 "github.com/Azure/go-amqp"
)

var errQueueFull = errors.New("send message: queue is full")

// amqpLink is the link of an established session over AMQP.
type amqpLink struct {
	sender   *amqp10.Sender
	session  string          // name of the session
	messages chan string     // queued for sending
	ctx      context.Context // ends the sending goroutine
	stop     context.CancelFunc
}

func (l *amqpLink) send(sequence int) error {
	select {
	case l.messages <- newMessage(sequence, l.session):
		return nil
	default:
		return errQueueFull
	}
}

func (l *amqpLink) leave() {
	l.stop()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	_ = l.sender.Close(ctx)
}

// runAMQP runs the session over AMQP 1.0, with an independent client library.
func (s *clientSession) runAMQP(ctx context.Context) string {
	timeLimit := s.client.class.TimeLimit + lateAnswerGrace
	openCtx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	conn, err := amqp10.Dial(openCtx, "amqp://"+s.pool.AMQPAddress, &amqp10.ConnOptions{SASLType: amqp10.SASLTypeAnonymous(), ContainerID: "client"})
	if err != nil {
		return s.answered(answerNone, 0)
	}
	defer func() { _ = conn.Close() }()
	amqpSession, err := conn.NewSession(openCtx, nil)
	if err != nil {
		return s.answered(answerNone, 0)
	}
	// The request's time limit starts at the attach, not at the connection.
	attachCtx, cancelAttach := context.WithTimeout(context.Background(), timeLimit)
	defer cancelAttach()
	sender, err := s.attach(attachCtx, amqpSession)
	if err != nil {
		return s.attachFailed(err)
	}
	s.answered(answerUp, 0)
	link := &amqpLink{sender: sender, session: s.record.Name, messages: make(chan string, lineQueue)}
	link.ctx, link.stop = context.WithCancel(context.Background())
	defer link.stop()
	lines := make(chan string, lineQueue)
	go link.sendMessages(lines)
	defer func() {
		link.stop()
		for range lines { // drains the channel until the sender has ended
		}
	}()
	return s.exchangeMessages(ctx, lines, link)
}

func (s *clientSession) attach(ctx context.Context, session *amqp10.Session) (*amqp10.Sender, error) {
	s.update(func() { s.record.At = time.Now() })
	class := s.client.class
	properties := map[string]any{
		"class": class.Name, "give-up-ms": uint32(class.TimeLimit.Milliseconds()), "group": s.client.group,
		"item": s.client.flow, "again": s.record.Returning,
	}
	return session.NewSender(ctx, "score", &amqp10.SenderOptions{Name: s.record.Name, Properties: properties})
}

// attachFailed records the answer to the request that the error of an attach means.
func (s *clientSession) attachFailed(err error) string {
	var rejected *amqp10.Error
	switch {
	case !errors.As(err, &rejected):
		return s.answered(answerNone, 0)
	case rejected.Condition == "amqp:resource-limit-exceeded":
		wait, _ := rejected.Info["come-back-ms"].(uint32)
		return s.answered(answerUnavailable, time.Duration(wait)*time.Millisecond)
	}
	return s.answered(answerFailed, 0)
}

// sendMessages sends queued messages until the link ends or is stopped. For each settled
// message it sends an echo to lines. It closes lines, which the owner must drain.
func (l *amqpLink) sendMessages(lines chan<- string) {
	defer close(lines)
	for {
		var message string
		select {
		case <-l.ctx.Done():
			return
		case message = <-l.messages:
		}
		err := l.sender.Send(l.ctx, amqp10.NewMessage([]byte(message)), nil)
		echo := fmt.Sprintf("M %d %s\r\n", time.Now().UnixMicro(), message)
		switch line := lineOfError(err); {
		case l.ctx.Err() != nil:
			return
		case err == nil:
			lines <- echo
		case line == lineBye:
			return
		default:
			lines <- line
			return
		}
	}
}

// lineOfError translates the error that ended a link into a line of the line protocol.
func lineOfError(err error) string {
	var ended *amqp10.LinkError
	switch {
	case err == nil:
		return ""
	case !errors.As(err, &ended):
		return lineBroken
	case ended.RemoteErr == nil:
		return lineBye
	case ended.RemoteErr.Condition == "amqp:link:detach-forced":
		return lineMove
	}
	return lineBroken
}
