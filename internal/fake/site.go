package fake

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"lockroad/internal/discovery"
)

// Site is a set of servers, the discovery agents that list them, and the clients that use them.
type Site struct {
	Log         *EventLog
	Servers     []*Server
	Discovery   *Discovery
	ExtraAgents []*Discovery // of the relays beyond the first, one for each extra listener of a server
	Clients     *ClientPool
	AMQPPort    int // of all servers

	pending sync.WaitGroup // goroutines of scripted actions; Stop waits for them
}

// maxStarts bounds the attempts to find an AMQP port that is free on all servers' addresses.
const maxStarts = 20

// NewSite starts count servers, named s-1 and so on, and a discovery agent that lists them. Each server has
// its own loopback address, as all use the same AMQP port. They have the given SetupTime and
// MaxConns; prepare, which may be nil, sets their other fields before they start.
func NewSite(count int, setupTime time.Duration, maxConns int, prepare func(*Server)) (*Site, error) {
	site := &Site{Log: &EventLog{}}
	site.Discovery = &Discovery{Log: site.Log}
	if err := site.Discovery.Start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	for i := range count {
		site.Servers = append(site.Servers, &Server{Name: fmt.Sprintf("s-%d", i+1), Log: site.Log, SetupTime: setupTime, MaxConns: maxConns, Load: 5 * time.Millisecond})
		if prepare != nil {
			prepare(site.Servers[i])
		}
	}
	for range site.Servers[0].ExtraListeners {
		agent := &Discovery{Log: &EventLog{}} // a log of its own, as the agent repeats the changes that the first agent records
		if err := agent.Start("127.0.0.1:0"); err != nil {
			return nil, err
		}
		site.ExtraAgents = append(site.ExtraAgents, agent)
	}
	var err error
	for range maxStarts { // a port that is free on the first address may be in use on another
		if err = site.start(); err == nil {
			return site, nil
		}
		site.Log.reset() // drop the records of the failed start
	}
	site.Discovery.Stop()
	return nil, err
}

func (s *Site) start() error {
	port := "0"
	for i, server := range s.Servers {
		host := fmt.Sprintf("127.0.1.%d", i+1)
		for number := range server.ExtraListeners {
			server.ExtraListeners[number] = net.JoinHostPort(host, "0")
		}
		if err := server.Start(net.JoinHostPort(host, "0"), net.JoinHostPort(host, port)); err != nil {
			for _, started := range s.Servers[:i] {
				started.Stop()
				started.stop = nil // so that its next start is not a restart
			}
			return err
		}
		_, port, _ = net.SplitHostPort(server.AMQPAddress())
		member := discovery.Member{ID: server.Name, HostPort: server.LineAddress(), Locality: "hall", Flavor: "stand-in", Phase: "ready", Size: 1}
		s.Discovery.SetMember(member)
		for i, agent := range s.ExtraAgents {
			member.HostPort = server.ExtraListeners[i]
			agent.SetMember(member)
		}
	}
	var err error
	s.AMQPPort, err = strconv.Atoi(port)
	return err
}

// Agent returns the discovery agent of a relay; relays are numbered from 0.
func (s *Site) Agent(relay int) *Discovery {
	if relay > 0 && relay <= len(s.ExtraAgents) {
		return s.ExtraAgents[relay-1]
	}
	return s.Discovery
}

// SetState changes a server's phase at all discovery agents; justStarted also sets its start time to
// now.
func (s *Site) SetState(id, phase string, justStarted bool) {
	s.Discovery.SetState(id, phase, justStarted)
	for _, agent := range s.ExtraAgents {
		agent.SetState(id, phase, justStarted)
	}
}

// Server returns the server of that name, or nil.
func (s *Site) Server(name string) *Server {
	for _, server := range s.Servers {
		if server.Name == name {
			return server
		}
	}
	return nil
}

// Names returns the names of the servers, in order.
func (s *Site) Names() []string {
	names := make([]string, len(s.Servers))
	for i, server := range s.Servers {
		names[i] = server.Name
	}
	return names
}

// Stop waits for the scripted actions and stops servers and discovery. The client pool's Run
// must have returned.
func (s *Site) Stop() {
	s.pending.Wait()
	for _, server := range s.Servers {
		server.Stop()
	}
	s.Discovery.Stop()
	for _, agent := range s.ExtraAgents {
		agent.Stop()
	}
}

// Config returns the platform's JSON configuration for a relay of the site, with its line frontend on
// a free port. Relays are numbered from 0.
func (s *Site) Config(classes []Class, seed uint64, relay int) ([]byte, error) {
	type object = map[string]any
	var classObjects []object
	var messageObjectives []int64 // in microseconds
	for _, class := range classes {
		classObjects = append(classObjects, object{"Name": class.Name, "AimUs": (class.TimeLimit / 4).Microseconds(), "DeadlineUs": class.TimeLimit.Microseconds(),
			"KeyScope": "all", "Semantics": "idempotent"})
		messageObjectives = append(messageObjectives, cmp.Or(class.LatencyObjective, defaultObjective).Microseconds())
	}
	agent := s.Agent(relay)
	return json.Marshal(object{
		"name": "demo", "listen": "127.0.0.1:0", "discovery": agent.Address(), "seed": fmt.Sprintf("%x", seed),
		"known": agent.List(),
		"settings": object{
			"Classes": classObjects, "Discovery": "push", "Localities": []string{"hall"}, "NInstances": 1, "QuantumUs": 2000, "Zone": 0,
			"Guarantees": object{"ColdUs": 5_000_000, "FallUs": 1_000_000, "StartCapacity": 0.2, "TipMultiple": 3.0},
			"Limits":     object{"ConnectTimeoutUs": 300_000, "MaxRetryAfterUs": 2_000_000, "RetryAfter": true, "TryLimit": 5},
			"Specifics":  object{"MessageAimUs": messageObjectives, "TellsDelay": s.Servers[0].Capacity.WorkRate > 0, "TellsLoad": s.Servers[0].Capacity.WorkRate == 0},
		},
	})
}
