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

// Site is a farm of stand-ins with its discovery, and the clients that come to it.
type Site struct {
	Log       *EventLog
	Servers   []*Server
	Discovery *Discovery
	Agents    []*Discovery // of the relays beyond the first, where servers have a door for each
	Clients   *ClientPool
	AMQPPort  int // of all servers

	pending sync.WaitGroup
}

// NewSite starts n servers, named s-1 and so on, and discovery that lists them. Each
// server has a loopback address of its own, as all speak AMQP on one port. What else they are is
// set by prepare, which may be nil.
func NewSite(n int, setUp time.Duration, most int, prepare func(*Server)) (*Site, error) {
	s := &Site{Log: &EventLog{}}
	s.Discovery = &Discovery{Log: s.Log}
	if err := s.Discovery.Start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	for i := range n {
		s.Servers = append(s.Servers, &Server{Name: fmt.Sprintf("s-%d", i+1), Log: s.Log, SetupTime: setUp, MaxConns: most, Load: 5 * time.Millisecond})
		if prepare != nil {
			prepare(s.Servers[i])
		}
	}
	for range s.Servers[0].ExtraListeners {
		agent := &Discovery{Log: &EventLog{}} // of what the first tells, too
		if err := agent.Start("127.0.0.1:0"); err != nil {
			return nil, err
		}
		s.Agents = append(s.Agents, agent)
	}
	var err error
	for range 20 { // a port that is free at the first address may be taken at another
		if err = s.start(); err == nil {
			return s, nil
		}
		s.Log.reset() // of servers that were never really there
	}
	s.Discovery.Stop()
	return nil, err
}

func (s *Site) start() error {
	port := "0"
	for i, server := range s.Servers {
		host := fmt.Sprintf("127.0.1.%d", i+1)
		for door := range server.ExtraListeners {
			server.ExtraListeners[door] = net.JoinHostPort(host, "0")
		}
		if err := server.Start(net.JoinHostPort(host, "0"), net.JoinHostPort(host, port)); err != nil {
			for _, up := range s.Servers[:i] {
				up.Stop()
				up.stop = nil // it has not started yet
			}
			return err
		}
		_, port, _ = net.SplitHostPort(server.AMQP())
		m := discovery.Member{ID: server.Name, HostPort: server.Address(), Locality: "hall", Flavor: "stand-in", Phase: "ready", Size: 1}
		s.Discovery.Set(m)
		for i, agent := range s.Agents {
			m.HostPort = server.ExtraListeners[i]
			agent.Set(m)
		}
	}
	var err error
	s.AMQPPort, err = strconv.Atoi(port)
	return err
}

// Agent is the discovery of a relay, by its number.
func (s *Site) Agent(relay int) *Discovery {
	if relay > 0 && relay <= len(s.Agents) {
		return s.Agents[relay-1]
	}
	return s.Discovery
}

// SetState has all of discovery tell a server's phase; with born it has just started.
func (s *Site) SetState(id, phase string, born bool) {
	s.Discovery.SetState(id, phase, born)
	for _, agent := range s.Agents {
		agent.SetState(id, phase, born)
	}
}

// Server returns the server of a name.
func (s *Site) Server(name string) *Server {
	for _, one := range s.Servers {
		if one.Name == name {
			return one
		}
	}
	return nil
}

// Names are the names of the servers.
func (s *Site) Names() []string {
	names := make([]string, len(s.Servers))
	for i, one := range s.Servers {
		names[i] = one.Name
	}
	return names
}

// Stop ends all of it; the crowd's Run has to have returned.
func (s *Site) Stop() {
	s.pending.Wait()
	for _, server := range s.Servers {
		server.Stop()
	}
	s.Discovery.Stop()
	for _, agent := range s.Agents {
		agent.Stop()
	}
}

// Config is a platform's configuration for a relay of the site, by its number, with its line front
// on a free port.
func (s *Site) Config(classes []Class, seed uint64, relay int) ([]byte, error) {
	type object = map[string]any
	var list []object
	var aims []int64
	for _, c := range classes {
		list = append(list, object{"Name": c.Name, "AimUs": (c.TimeLimit / 4).Microseconds(), "DeadlineUs": c.TimeLimit.Microseconds(),
			"KeyScope": "all", "Semantics": "idempotent"})
		aims = append(aims, cmp.Or(c.LatencyObjective, defaultObjective).Microseconds())
	}
	agent := s.Agent(relay)
	return json.Marshal(object{
		"name": "demo", "listen": "127.0.0.1:0", "discovery": agent.Address(), "seed": fmt.Sprintf("%x", seed),
		"known": agent.List(),
		"settings": object{
			"Classes": list, "Discovery": "push", "Localities": []string{"hall"}, "NInstances": 1, "QuantumUs": 2000, "Zone": 0,
			"Guarantees": object{"ColdUs": 5_000_000, "FallUs": 1_000_000, "StartCapacity": 0.2, "TipMultiple": 3.0},
			"Limits":     object{"ConnectTimeoutUs": 300_000, "MaxRetryAfterUs": 2_000_000, "RetryAfter": true, "TryLimit": 5},
			"Specifics":  object{"MessageAimUs": aims, "TellsDelay": s.Servers[0].Capacity.Work > 0, "TellsLoad": s.Servers[0].Capacity.Work == 0},
		},
	})
}
