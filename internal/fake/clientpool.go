package fake

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Class describes what the clients of a class do.
type Class struct {
	Name             string
	Share            float64       // of new connections
	TimeLimit        time.Duration // a client waits this long for an answer
	MeanLifetime     time.Duration // a connection lasts this long on average
	LatencyObjective time.Duration // a message is wanted back within this time; 0: 100 ms
}

// defaultObjective is the latency objective of classes that have none.
const defaultObjective = 100 * time.Millisecond

// ClientPool plays clients, which arrive at random at a rate, send messages and expect
// them back, leave after a while, and return when they are migrated, rejected or
// cut off. Prepare is called before all else; then its methods may be called from
// any goroutine.
type ClientPool struct {
	Log             *EventLog
	LineAddress     string // of the relay's line frontend
	AMQPAddress     string // of its AMQP frontend; empty: all clients use the line frontend
	AMQPShare       float64
	Classes         []Class
	Rate            float64 // new clients a second
	Groups          int     // that clients belong to, the first by far the most often
	MessageInterval time.Duration
	MaxClients      int // at a time
	Seed            uint64
	SourceAddress   string // of line connections; "": any

	mu       sync.Mutex // guards the fields below, and Rate once Run is called
	rng      *rand.Rand
	sessions uint64 // started so far; numbers their names
	clients  map[*client]struct{}
	running  sync.WaitGroup // of the clients' goroutines; Run waits for them
}

// client is one client, which opens one session after another.
type client struct {
	frontend string // line or amqp
	flow     string // the same in all its sessions
	group    string
	class    Class
	rng      *rand.Rand    // used by the client's own goroutine alone
	drop     chan struct{} // closed when it is to drop its connection
	lifetime time.Duration // of its sessions; 0: drawn by the class's mean
}

// Prepare makes the pool ready for clients to arrive.
func (c *ClientPool) Prepare() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rng = rand.New(rand.NewPCG(c.Seed, 7))
	c.clients = make(map[*client]struct{})
}

// Run makes clients arrive until ctx ends, and then waits until all of them have left.
// It is called after Prepare, once.
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

// newClient draws a new client, unless there are as many as may be.
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
	at := c.rng.Float64()
	for _, class := range c.Classes {
		if drawn = class; at < class.Share {
			break
		}
		at -= class.Share
	}
	return drawn
}

// drawGroup draws by Zipf's law, approximately: the nth group has a share like 1/n.
func (c *ClientPool) drawGroup() string {
	group := int(math.Exp(c.rng.Float64()*math.Log(float64(max(1, c.Groups)+1)))) - 1
	return fmt.Sprintf("%016x", uint64(group+1)*0x9e3779b97f4a7c15)
}

// Drop makes a share of the present clients drop their connections and return.
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

// SetRate changes how many new clients arrive a second.
func (c *ClientPool) SetRate(rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Rate = rate
}

const (
	maxRetries      = 2 // of a client that is rejected
	minRetryWait    = 57 * time.Millisecond
	retryWaitSpread = 463 * time.Millisecond
	// lateAnswerGrace is how much longer than its time limit a client listens, so that an
	// answer that comes too late is recorded as late.
	lateAnswerGrace = 700 * time.Millisecond
)

// runClient runs all sessions of a client.
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

// RunSession runs one session of one client and returns what the client saw of it. It lasts
// for a time, or until ctx ends.
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

// drawLifetime is how long a client means to stay from now on.
func (client *client) drawLifetime() time.Duration {
	if client.lifetime > 0 {
		return client.lifetime
	}
	return time.Duration(client.rng.ExpFloat64() * float64(client.class.MeanLifetime))
}
