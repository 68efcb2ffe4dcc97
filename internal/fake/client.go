package fake

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	amqp10 "github.com/Azure/go-amqp"
)

// Class is what clients of a class do.
type Class struct {
	Name             string
	Share            float64       // of new connections
	TimeLimit        time.Duration // a client waits this long for an answer
	MeanLifetime     time.Duration // a connection lasts this long on average
	LatencyObjective time.Duration // a note is wanted back within; 0: 100 ms
}

// ClientPool plays clients, which come at a rate and at random, say something every so
// often and expect it back, leave after a while, and come again when they are told to
// move, turned away or cut off.
type ClientPool struct {
	Log             *EventLog
	LineAddress     string // address of the relay's line front
	AMQPAddress     string // and of its AMQP front; empty: all come by the other
	Share           float64
	Classes         []Class
	Rate            float64 // new clients a second
	Groups          int     // that they belong to, the first by far the most
	MessageInterval time.Duration
	MaxClients      int // clients at a time
	Seed            uint64
	SourceAddress   string // the address that they come from by line; "": any

	mu       sync.Mutex
	rng      *rand.Rand
	sessions uint64
	clients  map[*client]struct{}
	running  sync.WaitGroup
}

// client is one client.
type client struct {
	frontend, flow, group string
	class                 Class
	rng                   *rand.Rand
	drop                  chan struct{} // closed when it is to drop its connection
	lifetime              time.Duration // for so long; 0: by chance
}

// Prepare makes the crowd ready for clients to come.
func (c *ClientPool) Prepare() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rng = rand.New(rand.NewPCG(c.Seed, 7))
	c.clients = make(map[*client]struct{})
}

// Run has clients come until ctx ends, and then waits until all of them have left. It
// is called after Begin, once.
func (c *ClientPool) Run(ctx context.Context) {
	defer c.running.Wait()
	for {
		c.mu.Lock()
		wait := time.Duration(c.rng.ExpFloat64() / c.Rate * float64(time.Second))
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		if client := c.newClient(); client != nil {
			c.running.Go(func() { c.runClient(ctx, client) })
		}
	}
}

// newClient makes a new client, unless there are as many as may be.
func (c *ClientPool) newClient() *client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.clients) >= c.MaxClients {
		return nil
	}
	client := &client{frontend: "line", flow: fmt.Sprintf("%016x", c.rng.Uint64()|1), rng: rand.New(rand.NewPCG(c.rng.Uint64(), 0)), drop: make(chan struct{})}
	if c.AMQPAddress != "" && c.rng.Float64() < c.Share {
		client.frontend = "amqp"
	}
	at := c.rng.Float64()
	for _, class := range c.Classes {
		if client.class = class; at < class.Share {
			break
		}
		at -= class.Share
	}
	// Zipf's law, near enough: the nth group has a share like 1/n.
	group := int(math.Exp(c.rng.Float64()*math.Log(float64(max(1, c.Groups)+1)))) - 1
	client.group = fmt.Sprintf("%016x", uint64(group+1)*0x9e3779b97f4a7c15)
	c.clients[client] = struct{}{}
	return client
}

// Drop has a part of the clients that are there drop their connections and come again.
func (c *ClientPool) Drop(part float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for client := range c.clients {
		if c.rng.Float64() < part {
			close(client.drop)
			client.drop = make(chan struct{})
		}
	}
}

// defaultObjective is what clients want a note back within.
const defaultObjective = 100 * time.Millisecond

// SetRate changes how many new clients come a second.
func (c *ClientPool) SetRate(rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Rate = rate
}

const (
	maxRetries = 2 // of a client that is turned away
	// lateAnswerGrace is how much longer than its give-up time a client listens, so that what comes
	// too late is seen to be late.
	lateAnswerGrace = 700 * time.Millisecond
)

// runClient sees one client through all its visits.
func (c *ClientPool) runClient(ctx context.Context, client *client) {
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.clients, client)
	}()
	again, retry := false, 0
	for ctx.Err() == nil {
		c.mu.Lock()
		c.sessions++
		name := fmt.Sprintf("%08x%08x", uint32(c.Seed), c.sessions)
		drop := client.drop
		c.mu.Unlock()
		session := c.Log.addSession(Session{Frontend: client.frontend, Name: name, Flow: client.flow, Class: client.class.Name, Group: client.group, TimeLimit: client.class.TimeLimit, Returning: again, Retry: retry, At: time.Now()})
		visit := c.lineSession
		if client.frontend == "amqp" {
			visit = c.amqpSession
		}
		end := visit(ctx, client, session, drop)
		wait := 57*time.Millisecond + time.Duration(client.rng.Float64()*float64(463*time.Millisecond))
		switch end {
		case "left", "bye":
			return
		case "moved", "broken", "dropped":
			again, retry = true, 0
		default:
			if retry++; retry > maxRetries {
				return
			}
			c.Log.update(func() { wait = max(wait, session.RetryAfter) })
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// drawLifetime is how long a client means to stay from now on.
func (client *client) drawLifetime() time.Duration {
	if client.lifetime > 0 {
		return client.lifetime
	}
	return time.Duration(client.rng.ExpFloat64() * float64(client.class.MeanLifetime))
}

func (c *ClientPool) recordAnswer(session *Session, what string, back time.Duration) {
	c.Log.update(func() { session.Answer, session.SetupTime, session.RetryAfter = what, time.Since(session.At), back })
}

func (c *ClientPool) recordEnd(session *Session, how string) string {
	c.Log.update(func() { session.End, session.Established = how, time.Since(session.At)-session.SetupTime })
	return how
}

// lineSession is one transaction over the platform's protocol.
func (c *ClientPool) lineSession(ctx context.Context, client *client, session *Session, drop <-chan struct{}) string {
	d := net.Dialer{Timeout: client.class.TimeLimit}
	if c.SourceAddress != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(c.SourceAddress)}
	}
	conn, err := d.Dial("tcp", c.LineAddress)
	if err != nil {
		c.Log.update(func() { session.Refused = true })
		c.recordAnswer(session, "none", 0)
		return "none"
	}
	defer conn.Close()
	back := ""
	if session.Returning {
		back = ",again=1"
	}
	c.Log.update(func() { session.At = time.Now() })
	conn.SetDeadline(session.At.Add(client.class.TimeLimit + lateAnswerGrace))
	fmt.Fprintf(conn, "OPEN %s %s c=%s,d=%d,g=%s%s\r\n", session.Name, client.flow, client.class.Name, client.class.TimeLimit.Milliseconds(), client.group, back)
	r := bufio.NewReader(conn)
	text, err := r.ReadString('\n')
	word := strings.Fields(text)
	switch {
	case err != nil:
		c.recordAnswer(session, "none", 0)
		return "none"
	case word[0] == "BUSY":
		var wait int
		if len(word) > 1 {
			wait, _ = strconv.Atoi(word[1])
		}
		c.recordAnswer(session, "unavailable", time.Duration(wait)*time.Millisecond)
		c.countExtra(session, conn, r)
		return "unavailable"
	case word[0] != "UP":
		c.recordAnswer(session, "failed", 0)
		c.countExtra(session, conn, r)
		return "failed"
	}
	c.recordAnswer(session, "up", 0)
	conn.SetDeadline(time.Time{})
	lines := make(chan string, 16)
	go func() {
		defer close(lines)
		for {
			text, err := r.ReadString('\n')
			if err != nil {
				if !errors.Is(err, io.EOF) {
					lines <- "broken"
				}
				return
			}
			lines <- text
		}
	}()
	defer func() {
		conn.Close()
		for range lines { // until the reader has ended
		}
	}()
	return c.converse(ctx, client, session, drop, lines, func(seq int) error {
		_, err := io.WriteString(conn, note(seq, session.Name)+"\r\n")
		return err
	}, func() { conn.(*net.TCPConn).CloseWrite() })
}

// countExtra counts what follows an answer that is final.
func (c *ClientPool) countExtra(session *Session, conn net.Conn, r io.Reader) {
	conn.SetDeadline(time.Now().Add(time.Second))
	if n, _ := io.Copy(io.Discard, r); n > 0 {
		c.Log.update(func() { session.More++ })
	}
}

// converse says something every so often until an end. What comes back are echoes, and
// the words that end a transaction.
func (c *ClientPool) converse(ctx context.Context, client *client, session *Session, drop <-chan struct{}, lines <-chan string, say func(seq int) error, leave func()) string {
	life := time.NewTimer(client.drawLifetime())
	defer life.Stop()
	beat := time.NewTicker(max(c.MessageInterval, 10*time.Millisecond))
	defer beat.Stop()
	over := ctx.Done()
	leaving := false
	var last <-chan time.Time
	said, heard := 0, 0
	defer func() { c.Log.update(func() { session.Missed = said - heard }) }()
	for {
		select {
		case text, ok := <-lines:
			switch {
			case !ok && leaving:
				return c.recordEnd(session, "left")
			case !ok:
				return c.recordEnd(session, "bye")
			case text == "broken":
				return c.recordEnd(session, "broken")
			case text == "MOVE\r\n":
				return c.recordEnd(session, "moved")
			case text == "BYE\r\n":
			case strings.HasPrefix(text, "LOAD "):
			default:
				heard++
				c.checkEcho(session, strings.TrimRight(text, "\r\n"), heard, client.class.LatencyObjective)
			}
		case <-beat.C:
			if !leaving && say(said+1) == nil {
				said++
			}
		case <-drop:
			return c.recordEnd(session, "dropped")
		case <-life.C:
			leaving, over = true, nil
			leave()
			last = time.After(2 * time.Second)
		case <-over:
			leaving, over = true, nil
			leave()
			last = time.After(2 * time.Second)
		case <-last:
			return c.recordEnd(session, "left")
		}
	}
}

// amqpSession is one transaction over AMQP 1.0, by a client library that knows nothing
// of the relay.
func (c *ClientPool) amqpSession(ctx context.Context, client *client, session *Session, drop <-chan struct{}) string {
	open, cancel := context.WithTimeout(context.Background(), client.class.TimeLimit+lateAnswerGrace)
	defer cancel()
	conn, err := amqp10.Dial(open, "amqp://"+c.AMQPAddress, &amqp10.ConnOptions{SASLType: amqp10.SASLTypeAnonymous(), ContainerID: "client"})
	if err != nil {
		c.recordAnswer(session, "none", 0)
		return "none"
	}
	defer func() { _ = conn.Close() }()
	amqpSession, err := conn.NewSession(open, nil)
	if err != nil {
		c.recordAnswer(session, "none", 0)
		return "none"
	}
	// It waits from its attach on; what came before is not the transaction's.
	open, cancel = context.WithTimeout(context.Background(), client.class.TimeLimit+lateAnswerGrace)
	defer cancel()
	c.Log.update(func() { session.At = time.Now() })
	props := map[string]any{"class": client.class.Name, "give-up-ms": uint32(client.class.TimeLimit.Milliseconds()), "group": client.group, "item": client.flow, "again": session.Returning}
	sender, err := amqpSession.NewSender(open, "score", &amqp10.SenderOptions{Name: session.Name, Properties: props})
	var refused *amqp10.Error
	switch {
	case err != nil && errors.As(err, &refused) && refused.Condition == "amqp:resource-limit-exceeded":
		wait, _ := refused.Info["come-back-ms"].(uint32)
		c.recordAnswer(session, "unavailable", time.Duration(wait)*time.Millisecond)
		return "unavailable"
	case err != nil && errors.As(err, &refused):
		c.recordAnswer(session, "failed", 0)
		return "failed"
	case err != nil:
		c.recordAnswer(session, "none", 0)
		return "none"
	}
	c.recordAnswer(session, "up", 0)
	lines := make(chan string, 16)
	talking, stop := context.WithCancel(context.Background())
	defer stop()
	words := make(chan string, 16)
	go func() {
		defer close(lines)
		for {
			var text string
			select {
			case <-talking.Done():
				return
			case text = <-words:
			}
			err := sender.Send(talking, amqp10.NewMessage([]byte(text)), nil)
			said := fmt.Sprintf("M %d %s\r\n", time.Now().UnixMicro(), text) // settled: it came back
			switch what := endWord(err); {
			case talking.Err() != nil:
				return
			case err == nil:
				lines <- said
			case what == "bye":
				return
			default:
				lines <- what
				return
			}
		}
	}()
	defer func() {
		stop()
		for range lines {
		}
	}()
	return c.converse(ctx, client, session, drop, lines, func(seq int) error {
		select {
		case words <- note(seq, session.Name):
			return nil
		default:
			return errors.New("as many notes wait as may")
		}
	}, func() {
		stop()
		last, done := context.WithTimeout(context.Background(), 2*time.Second)
		defer done()
		_ = sender.Close(last)
	})
}

// checkEcho holds what came back against what it should be.
func (c *ClientPool) checkEcho(session *Session, text string, seq int, objective time.Duration) {
	var microseconds int64
	_, err := fmt.Sscanf(text, "M %d ", &microseconds)
	held := time.Since(time.UnixMicro(microseconds))
	_, rest, _ := strings.Cut(strings.TrimPrefix(text, "M "), " ")
	back, ok := readNote(rest, seq, session.Name)
	c.Log.update(func() {
		if session.Echoes++; err != nil || !ok {
			session.Garbled++
		} else {
			session.MaxHeld = max(session.MaxHeld, held)
		}
		if back > cmp.Or(objective, defaultObjective) {
			session.Late++
		}
	})
}

// RunSession has one client come for one transaction and returns what it saw of it. It stays
// for a time, or until ctx ends.
func (c *ClientPool) RunSession(ctx context.Context, front string, class Class, group string, stay time.Duration) Session {
	c.mu.Lock()
	c.sessions++
	n := c.sessions
	c.mu.Unlock()
	name := fmt.Sprintf("%08x%08x", uint32(c.Seed), n)
	client := &client{frontend: front, flow: name, group: group, class: class, rng: rand.New(rand.NewPCG(c.Seed, n)), lifetime: stay}
	session := c.Log.addSession(Session{Frontend: front, Name: name, Flow: name, Class: class.Name, Group: group, TimeLimit: class.TimeLimit, At: time.Now()})
	if front == "amqp" {
		c.amqpSession(ctx, client, session, nil)
	} else {
		c.lineSession(ctx, client, session, nil)
	}
	c.Log.mu.Lock()
	defer c.Log.mu.Unlock()
	return *session
}

// endWord is the word of the platform's protocol for how a link ended.
func endWord(err error) string {
	var gone *amqp10.LinkError
	switch {
	case err == nil:
		return ""
	case !errors.As(err, &gone):
		return "broken"
	case gone.RemoteErr == nil:
		return "bye"
	case gone.RemoteErr.Condition == "amqp:link:detach-forced":
		return "MOVE\r\n"
	}
	return "broken"
}
