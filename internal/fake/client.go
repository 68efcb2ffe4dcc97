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

	mu    sync.Mutex
	rng   *rand.Rand
	names uint64
	here  map[*guest]struct{}
	all   sync.WaitGroup
}

// guest is one client.
type guest struct {
	front, flow, group string
	class              Class
	rng                *rand.Rand
	drop               chan struct{} // closed when it is to drop its connection
	stays              time.Duration // for so long; 0: by chance
}

// Prepare makes the crowd ready for clients to come.
func (c *ClientPool) Prepare() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rng = rand.New(rand.NewPCG(c.Seed, 7))
	c.here = make(map[*guest]struct{})
}

// Run has clients come until ctx ends, and then waits until all of them have left. It
// is called after Begin, once.
func (c *ClientPool) Run(ctx context.Context) {
	defer c.all.Wait()
	for {
		c.mu.Lock()
		wait := time.Duration(c.rng.ExpFloat64() / c.Rate * float64(time.Second))
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		if g := c.guest(); g != nil {
			c.all.Go(func() { c.stay(ctx, g) })
		}
	}
}

// guest makes a new client, unless there are as many as may be.
func (c *ClientPool) guest() *guest {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.here) >= c.MaxClients {
		return nil
	}
	g := &guest{front: "line", flow: fmt.Sprintf("%016x", c.rng.Uint64()|1), rng: rand.New(rand.NewPCG(c.rng.Uint64(), 0)), drop: make(chan struct{})}
	if c.AMQPAddress != "" && c.rng.Float64() < c.Share {
		g.front = "amqp"
	}
	at := c.rng.Float64()
	for _, class := range c.Classes {
		if g.class = class; at < class.Share {
			break
		}
		at -= class.Share
	}
	// Zipf's law, near enough: the nth group has a share like 1/n.
	group := int(math.Exp(c.rng.Float64()*math.Log(float64(max(1, c.Groups)+1)))) - 1
	g.group = fmt.Sprintf("%016x", uint64(group+1)*0x9e3779b97f4a7c15)
	c.here[g] = struct{}{}
	return g
}

// Drop has a part of the clients that are there drop their connections and come again.
func (c *ClientPool) Drop(part float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for g := range c.here {
		if c.rng.Float64() < part {
			close(g.drop)
			g.drop = make(chan struct{})
		}
	}
}

// usualAim is what clients want a note back within.
const usualAim = 100 * time.Millisecond

// SetRate changes how many new clients come a second.
func (c *ClientPool) SetRate(rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Rate = rate
}

const (
	retriesMost = 2 // of a client that is turned away
	// grace is how much longer than its give-up time a client listens, so that what comes
	// too late is seen to be late.
	grace = 700 * time.Millisecond
)

// stay sees one client through all its visits.
func (c *ClientPool) stay(ctx context.Context, g *guest) {
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.here, g)
	}()
	again, retry := false, 0
	for ctx.Err() == nil {
		c.mu.Lock()
		c.names++
		name := fmt.Sprintf("%08x%08x", uint32(c.Seed), c.names)
		drop := g.drop
		c.mu.Unlock()
		v := c.Log.visit(Session{Frontend: g.front, Name: name, Flow: g.flow, Class: g.class.Name, Group: g.group, TimeLimit: g.class.TimeLimit, Returning: again, Retry: retry, At: time.Now()})
		visit := c.visitLine
		if g.front == "amqp" {
			visit = c.visitAMQP
		}
		end := visit(ctx, g, v, drop)
		wait := 57*time.Millisecond + time.Duration(g.rng.Float64()*float64(463*time.Millisecond))
		switch end {
		case "left", "bye":
			return
		case "moved", "broken", "dropped":
			again, retry = true, 0
		default:
			if retry++; retry > retriesMost {
				return
			}
			c.Log.change(func() { wait = max(wait, v.RetryAfter) })
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// life is how long a client means to stay from now on.
func (g *guest) life() time.Duration {
	if g.stays > 0 {
		return g.stays
	}
	return time.Duration(g.rng.ExpFloat64() * float64(g.class.MeanLifetime))
}

func (c *ClientPool) answered(v *Session, what string, back time.Duration) {
	c.Log.change(func() { v.Answer, v.SetupTime, v.RetryAfter = what, time.Since(v.At), back })
}

func (c *ClientPool) ended(v *Session, how string) string {
	c.Log.change(func() { v.End, v.Established = how, time.Since(v.At)-v.SetupTime })
	return how
}

// visitLine is one transaction over the platform's protocol.
func (c *ClientPool) visitLine(ctx context.Context, g *guest, v *Session, drop <-chan struct{}) string {
	d := net.Dialer{Timeout: g.class.TimeLimit}
	if c.SourceAddress != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(c.SourceAddress)}
	}
	conn, err := d.Dial("tcp", c.LineAddress)
	if err != nil {
		c.Log.change(func() { v.Refused = true })
		c.answered(v, "none", 0)
		return "none"
	}
	defer conn.Close()
	back := ""
	if v.Returning {
		back = ",again=1"
	}
	c.Log.change(func() { v.At = time.Now() })
	conn.SetDeadline(v.At.Add(g.class.TimeLimit + grace))
	fmt.Fprintf(conn, "OPEN %s %s c=%s,d=%d,g=%s%s\r\n", v.Name, g.flow, g.class.Name, g.class.TimeLimit.Milliseconds(), g.group, back)
	r := bufio.NewReader(conn)
	text, err := r.ReadString('\n')
	word := strings.Fields(text)
	switch {
	case err != nil:
		c.answered(v, "none", 0)
		return "none"
	case word[0] == "BUSY":
		var wait int
		if len(word) > 1 {
			wait, _ = strconv.Atoi(word[1])
		}
		c.answered(v, "unavailable", time.Duration(wait)*time.Millisecond)
		c.nothingMore(v, conn, r)
		return "unavailable"
	case word[0] != "UP":
		c.answered(v, "failed", 0)
		c.nothingMore(v, conn, r)
		return "failed"
	}
	c.answered(v, "up", 0)
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
	return c.talk(ctx, g, v, drop, lines, func(seq int) error {
		_, err := io.WriteString(conn, note(seq, v.Name)+"\r\n")
		return err
	}, func() { conn.(*net.TCPConn).CloseWrite() })
}

// nothingMore counts what follows an answer that is final.
func (c *ClientPool) nothingMore(v *Session, conn net.Conn, r io.Reader) {
	conn.SetDeadline(time.Now().Add(time.Second))
	if n, _ := io.Copy(io.Discard, r); n > 0 {
		c.Log.change(func() { v.More++ })
	}
}

// talk says something every so often until an end. What comes back are echoes, and
// the words that end a transaction.
func (c *ClientPool) talk(ctx context.Context, g *guest, v *Session, drop <-chan struct{}, lines <-chan string, say func(seq int) error, leave func()) string {
	life := time.NewTimer(g.life())
	defer life.Stop()
	beat := time.NewTicker(max(c.MessageInterval, 10*time.Millisecond))
	defer beat.Stop()
	over := ctx.Done()
	leaving := false
	var last <-chan time.Time
	said, heard := 0, 0
	defer func() { c.Log.change(func() { v.Missed = said - heard }) }()
	for {
		select {
		case text, ok := <-lines:
			switch {
			case !ok && leaving:
				return c.ended(v, "left")
			case !ok:
				return c.ended(v, "bye")
			case text == "broken":
				return c.ended(v, "broken")
			case text == "MOVE\r\n":
				return c.ended(v, "moved")
			case text == "BYE\r\n":
			case strings.HasPrefix(text, "LOAD "):
			default:
				heard++
				c.echo(v, strings.TrimRight(text, "\r\n"), heard, g.class.LatencyObjective)
			}
		case <-beat.C:
			if !leaving && say(said+1) == nil {
				said++
			}
		case <-drop:
			return c.ended(v, "dropped")
		case <-life.C:
			leaving, over = true, nil
			leave()
			last = time.After(2 * time.Second)
		case <-over:
			leaving, over = true, nil
			leave()
			last = time.After(2 * time.Second)
		case <-last:
			return c.ended(v, "left")
		}
	}
}

// visitAMQP is one transaction over AMQP 1.0, by a client library that knows nothing
// of the relay.
func (c *ClientPool) visitAMQP(ctx context.Context, g *guest, v *Session, drop <-chan struct{}) string {
	open, cancel := context.WithTimeout(context.Background(), g.class.TimeLimit+grace)
	defer cancel()
	conn, err := amqp10.Dial(open, "amqp://"+c.AMQPAddress, &amqp10.ConnOptions{SASLType: amqp10.SASLTypeAnonymous(), ContainerID: "client"})
	if err != nil {
		c.answered(v, "none", 0)
		return "none"
	}
	defer func() { _ = conn.Close() }()
	session, err := conn.NewSession(open, nil)
	if err != nil {
		c.answered(v, "none", 0)
		return "none"
	}
	// It waits from its attach on; what came before is not the transaction's.
	open, cancel = context.WithTimeout(context.Background(), g.class.TimeLimit+grace)
	defer cancel()
	c.Log.change(func() { v.At = time.Now() })
	props := map[string]any{"class": g.class.Name, "give-up-ms": uint32(g.class.TimeLimit.Milliseconds()), "group": g.group, "item": g.flow, "again": v.Returning}
	sender, err := session.NewSender(open, "score", &amqp10.SenderOptions{Name: v.Name, Properties: props})
	var refused *amqp10.Error
	switch {
	case err != nil && errors.As(err, &refused) && refused.Condition == "amqp:resource-limit-exceeded":
		wait, _ := refused.Info["come-back-ms"].(uint32)
		c.answered(v, "unavailable", time.Duration(wait)*time.Millisecond)
		return "unavailable"
	case err != nil && errors.As(err, &refused):
		c.answered(v, "failed", 0)
		return "failed"
	case err != nil:
		c.answered(v, "none", 0)
		return "none"
	}
	c.answered(v, "up", 0)
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
			switch what := endOf(err); {
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
	return c.talk(ctx, g, v, drop, lines, func(seq int) error {
		select {
		case words <- note(seq, v.Name):
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

// echo holds what came back against what it should be.
func (c *ClientPool) echo(v *Session, text string, seq int, aim time.Duration) {
	var micros int64
	_, err := fmt.Sscanf(text, "M %d ", &micros)
	held := time.Since(time.UnixMicro(micros))
	_, rest, _ := strings.Cut(strings.TrimPrefix(text, "M "), " ")
	back, ok := readNote(rest, seq, v.Name)
	c.Log.change(func() {
		if v.Echoes++; err != nil || !ok {
			v.Garbled++
		} else {
			v.MaxHeld = max(v.MaxHeld, held)
		}
		if back > cmp.Or(aim, usualAim) {
			v.Late++
		}
	})
}

// RunSession has one client come for one transaction and returns what it saw of it. It stays
// for a time, or until ctx ends.
func (c *ClientPool) RunSession(ctx context.Context, front string, class Class, group string, stay time.Duration) Session {
	c.mu.Lock()
	c.names++
	n := c.names
	c.mu.Unlock()
	name := fmt.Sprintf("%08x%08x", uint32(c.Seed), n)
	g := &guest{front: front, flow: name, group: group, class: class, rng: rand.New(rand.NewPCG(c.Seed, n)), stays: stay}
	v := c.Log.visit(Session{Frontend: front, Name: name, Flow: name, Class: class.Name, Group: group, TimeLimit: class.TimeLimit, At: time.Now()})
	if front == "amqp" {
		c.visitAMQP(ctx, g, v, nil)
	} else {
		c.visitLine(ctx, g, v, nil)
	}
	c.Log.mu.Lock()
	defer c.Log.mu.Unlock()
	return *v
}

// endOf is the word of the platform's protocol for how a link ended.
func endOf(err error) string {
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
