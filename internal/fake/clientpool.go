package fake

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Class holds the parameters of a class of clients.
type Class struct {
	Name             string
	Share            float64       // of the new clients, from 0 to 1
	TimeLimit        time.Duration // time that a client waits for an answer
	MeanLifetime     time.Duration // mean duration of a session
	LatencyObjective time.Duration // an echo after more than this is late; 0: 100 ms
}

// defaultObjective is the latency objective of classes without one.
const defaultObjective = 100 * time.Millisecond

// ClientPool runs clients, which arrive in a Poisson process, send messages and expect echoes,
// leave after a random time, and return when they are migrated, rejected or cut off. After
// Prepare, its methods are safe for concurrent use.
type ClientPool struct {
	Log             *EventLog
	LineAddress     string // of the relay's line frontend
	AMQPAddress     string // of the relay's AMQP frontend; empty: all clients use the line frontend
	AMQPShare       float64
	Classes         []Class
	Rate            float64 // new clients per second
	Groups          int     // number of groups; the nth is drawn about 1/n as often as the first
	MessageInterval time.Duration
	MaxClients      int // maximum number of clients at the same time
	Seed            uint64
	SourceAddress   string // local address of line connections; "": any

	mu       sync.Mutex // guards the fields below, and Rate once Run is called
	rng      *rand.Rand
	sessions uint64 // number of sessions started so far, used in their names
	clients  map[*client]struct{}
	running  sync.WaitGroup // the clients' goroutines; Run waits for them
}

// client opens one session after another.
type client struct {
	frontend string // line or amqp
	flow     string // the same in all of its sessions
	group    string
	class    Class
	rng      *rand.Rand    // used by the client's goroutine only
	drop     chan struct{} // closed when the client is to drop its connection
	lifetime time.Duration // of its sessions; 0: drawn from an exponential distribution
}

// Prepare initializes the pool. It is called before any other method.
func (c *ClientPool) Prepare() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rng = rand.New(rand.NewPCG(c.Seed, 7))
	c.clients = make(map[*client]struct{})
}

// Run starts clients until ctx ends, and then waits until all of them have left. It is called
// once.
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

// newClient draws a new client, or returns nil if there are MaxClients.
func (c *ClientPool) newClient() *client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.clients) >= c.MaxClients {
		return nil
	}
	client := &client{frontend: "line", flow: fmt.Sprintf("%016x", c.rng.Uint64()|1), rng: rand.New(rand.NewPCG(c.rng.Uint64(), 0)), drop: make(chan struct{})}
	if c.AMQPAddress != "" && c.rng.Float64() < c.AMQPShare {
		client.frontend = "amqp"
	}
	client.class = c.drawClass()
	client.group = c.drawGroup()
	c.clients[client] = struct{}{}
	return client
}

func (c *ClientPool) drawClass() Class {
	var drawn Class
	remaining := c.rng.Float64()
	for _, class := range c.Classes {
		if drawn = class; remaining < class.Share {
			break
		}
		remaining -= class.Share
	}
	return drawn
}

// drawGroup draws a group by an approximation of Zipf's law: the share of the nth is about
// proportional to 1/n.
func (c *ClientPool) drawGroup() string {
	group := int(math.Exp(c.rng.Float64()*math.Log(float64(max(1, c.Groups)+1)))) - 1
	return fmt.Sprintf("%016x", uint64(group+1)*0x9e3779b97f4a7c15)
}

// Drop makes a random share of the clients drop their connections and return.
func (c *ClientPool) Drop(share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for client := range c.clients {
		if c.rng.Float64() < share {
			close(client.drop)
			client.drop = make(chan struct{})
		}
	}
}

// SetRate changes the number of new clients per second.
func (c *ClientPool) SetRate(rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Rate = rate
}

const (
	maxRetries      = 2 // sessions that a client starts after a rejection
	minRetryWait    = 57 * time.Millisecond
	retryWaitSpread = 463 * time.Millisecond
	// lateAnswerGrace is added to a client's time limit, so that a late answer is recorded as
	// such and not as none.
	lateAnswerGrace = 700 * time.Millisecond
)

// runClient runs a client's sessions, one after another.
func (c *ClientPool) runClient(ctx context.Context, client *client) {
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.clients, client)
	}()
	returning, retry := false, 0
	for ctx.Err() == nil {
		session := c.newSession(client, returning, retry)
		end := session.run(ctx)
		wait := minRetryWait + time.Duration(client.rng.Float64()*float64(retryWaitSpread))
		switch end {
		case endLeft, endBye:
			return
		case endMoved, endBroken, endDropped:
			returning, retry = true, 0
		default:
			if retry++; retry > maxRetries {
				return
			}
			c.Log.update(func() { wait = max(wait, session.record.RetryAfter) })
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (c *ClientPool) newSession(client *client, returning bool, retry int) *clientSession {
	c.mu.Lock()
	c.sessions++
	name := fmt.Sprintf("%08x%08x", uint32(c.Seed), c.sessions)
	drop := client.drop
	c.mu.Unlock()
	record := c.Log.addSession(Session{
		Frontend: client.frontend, Name: name, Flow: client.flow, Class: client.class.Name, Group: client.group,
		TimeLimit: client.class.TimeLimit, Returning: returning, Retry: retry, At: time.Now(),
	})
	return &clientSession{pool: c, client: client, record: record, drop: drop}
}

// RunSession runs one session of a new client and returns its record. The session lasts for
// lifetime, or until ctx ends.
func (c *ClientPool) RunSession(ctx context.Context, frontend string, class Class, group string, lifetime time.Duration) Session {
	c.mu.Lock()
	c.sessions++
	number := c.sessions
	c.mu.Unlock()
	name := fmt.Sprintf("%08x%08x", uint32(c.Seed), number)
	client := &client{frontend: frontend, flow: name, group: group, class: class, rng: rand.New(rand.NewPCG(c.Seed, number)), lifetime: lifetime}
	record := c.Log.addSession(Session{
		Frontend: frontend, Name: name, Flow: name, Class: class.Name, Group: group, TimeLimit: class.TimeLimit, At: time.Now(),
	})
	session := &clientSession{pool: c, client: client, record: record}
	session.run(ctx)
	c.Log.mu.Lock()
	defer c.Log.mu.Unlock()
	return *record
}

// drawLifetime returns the time after which the client ends an established session.
func (client *client) drawLifetime() time.Duration {
	if client.lifetime > 0 {
		return client.lifetime
	}
	return time.Duration(client.rng.ExpFloat64() * float64(client.class.MeanLifetime))
}
