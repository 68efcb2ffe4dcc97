package simulation

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"lockroad/balancer"
	"lockroad/internal/sexp"
)

// ScriptedAction is something that happens to a world.
type ScriptedAction struct {
	At     time.Duration
	Kind   string // hang, slow, drain, restart, drop, list-behind, relay-restart, surge or add
	Count  int    // of servers, or relays, that it happens to; they are drawn
	Part   float64
	For    time.Duration
	Factor float64
}

// String writes the act as it is read.
func (a ScriptedAction) String() string {
	switch a.Kind {
	case "hang":
		return fmt.Sprintf("(at %v (hang %d %v))", a.At, a.Count, a.For)
	case "slow":
		return fmt.Sprintf("(at %v (slow %d %v %v))", a.At, a.Count, a.Factor, a.For)
	case "drain", "add":
		return fmt.Sprintf("(at %v (%s %d))", a.At, a.Kind, a.Count)
	case "restart", "relay-restart":
		return fmt.Sprintf("(at %v (%s %d %v))", a.At, a.Kind, a.Count, a.For)
	case "drop":
		return fmt.Sprintf("(at %v (drop %v))", a.At, 100*a.Part)
	case "list-behind":
		return fmt.Sprintf("(at %v (list-behind %v %v))", a.At, time.Duration(a.Factor), a.For)
	case "surge":
		return fmt.Sprintf("(at %v (surge %v %v))", a.At, a.Factor, a.For)
	}
	return a.Kind
}

// actionForms are the arguments of acts: how many servers or relays (N), a factor (X), a
// part of 100 (P), a time as the factor (D), and how long it lasts (T).
var actionForms = map[string]string{
	"hang": "N T", "slow": "N X T", "drain": "N", "restart": "N T", "drop": "P", "list-behind": "D T", "relay-restart": "N T", "surge": "X T", "add": "N",
}

// ParseScriptedAction reads (at TIME (ACT ...)): of the servers that are drawn, hang N TIME, slow N
// FACTOR TIME, drain N, restart N TIME, add N; relay-restart N TIME; of the clients, drop
// PERCENT, surge FACTOR TIME; and list-behind BY TIME. Errors name line and column.
func ParseScriptedAction(n *sexp.Node) (a ScriptedAction, err error) {
	head, args, err := n.Head()
	if err != nil {
		return a, err
	}
	if head != "at" || len(args) != 2 {
		return a, n.Errorf("expected (at TIME (ACT ...))")
	}
	if a.At, err = args[0].Duration(); err != nil {
		return a, err
	}
	n = args[1]
	if a.Kind, args, err = n.Head(); err != nil {
		return a, err
	}
	form, ok := actionForms[a.Kind]
	if !ok {
		return a, n.Errorf("there is no act %q; expected hang, slow, drain, restart, add, relay-restart, drop, surge or list-behind", a.Kind)
	}
	kinds := slices.DeleteFunc([]byte(form), func(c byte) bool { return c == ' ' })
	if len(args) != len(kinds) {
		return a, n.Errorf("%s wants %d values (%s), and has %d", a.Kind, len(kinds), form, len(args))
	}
	for i, k := range kinds {
		switch k {
		case 'N':
			var v uint64
			if v, err = args[i].Whole(); err == nil && (v == 0 || v > 5000) {
				err = args[i].Errorf("%d is not within 1 and 5000", v)
			}
			a.Count = int(v)
		case 'T':
			a.For, err = args[i].Duration()
		case 'D':
			var d time.Duration
			d, err = args[i].Duration()
			a.Factor = float64(d)
		case 'X':
			a.Factor, err = numberWithin(args[i], 0.01, 100)
		case 'P':
			a.Part, err = numberWithin(args[i], 0, 100)
			a.Part /= 100
		}
		if err != nil {
			return a, err
		}
	}
	return a, nil
}

// drawServers draws n of the servers that are ready.
func (s *Sim) drawServers(n int) []int {
	var all []int
	for i, v := range s.servers {
		if v.state == balancer.StateReady && !v.down && !v.hung {
			all = append(all, i)
		}
	}
	s.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// perform begins an act.
func (s *Sim) perform(a ScriptedAction) {
	s.statistics.marks = append(s.statistics.marks, Annotation{s.now - startTime, a.String()})
	later := func(x int, kind eventKind) { s.schedule(a.For, event{kind: kind, value: uint32(x)}) }
	switch a.Kind {
	case "hang":
		for _, i := range s.drawServers(a.Count) {
			v := s.servers[i]
			v.hung, v.hungAt = true, s.now
			s.markUnavailable(v)
			for _, c := range v.conns {
				s.scheduleHeartbeatTimeout(c)
			}
			later(i, eventServerRecovers)
		}
	case "slow":
		for _, i := range s.drawServers(a.Count) {
			s.servers[i].speedFactor = a.Factor
			later(i, eventServerRecovers)
		}
	case "drain":
		for _, i := range s.drawServers(a.Count) {
			v := s.servers[i]
			v.state, v.draining = balancer.StateDraining, true
			s.publish(i)
			s.schedule(time.Second, event{kind: eventMigrateClients, value: uint32(i)})
			s.schedule(s.DrainFor, event{kind: eventServerStops, value: uint32(i)})
		}
	case "restart":
		for _, i := range s.drawServers(a.Count) {
			s.stopServer(i, true)
			later(i, eventServerRecovers)
		}
	case "add":
		for range a.Count {
			s.addServer()
		}
	case "drop":
		for id := range s.clients {
			if c := &s.clients[id]; c.state == stateEstablished && s.rng.Float64() < a.Part {
				s.breakConnection(uint32(id), balancer.StatusCancelled, s.uniformDuration([2]time.Duration{970 * time.Millisecond, 2700 * time.Millisecond}))
			}
		}
	case "list-behind":
		s.listDelay += time.Duration(a.Factor)
		s.actions = append(s.actions, ScriptedAction{Kind: "list-again", Factor: a.Factor})
		s.schedule(a.For, event{kind: eventScriptedAction, value: uint32(len(s.actions) - 1)})
	case "list-again":
		s.listDelay -= time.Duration(a.Factor)
	case "surge":
		s.Rate *= a.Factor
		s.actions = append(s.actions, ScriptedAction{Kind: "surge-over", Factor: a.Factor})
		s.schedule(a.For, event{kind: eventScriptedAction, value: uint32(len(s.actions) - 1)})
	case "surge-over":
		s.Rate /= a.Factor
	case "relay-restart":
		left := a.Count
		for _, i := range s.rng.Perm(len(s.relays)) {
			if left > 0 && s.relays[i].up {
				left--
				s.stopRelay(uint32(i))
				s.schedule(a.For, event{kind: eventRelayStarts, subject: uint32(i)})
			}
		}
	}
}

// stopRelay ends a relay: its clients come again through the front.
func (s *Sim) stopRelay(id uint32) {
	r := s.relays[id]
	r.up = false
	for i := range s.clients {
		c := &s.clients[i]
		if c.relay != id {
			continue
		}
		switch c.state {
		case stateEstablished:
			s.detach(uint32(i))
			s.statistics.migrations++ // it says so before it ends
			s.returnAfter(uint32(i), s.uniformDuration(s.Return))
		case stateWaiting:
			s.cancelAttempt(c)
			s.retry(uint32(i), 0)
		}
	}
}

// addServer switches another server on, cold.
func (s *Sim) addServer() {
	s.newServer(s.uniform(s.Speed), s.now)
	s.publish(len(s.servers) - 1)
	for id, r := range s.relays {
		if r.health != nil && r.up { // their files name it
			r.health.Replace(s.memberNames(), s.now)
			s.applyHealthChanges(uint32(id))
		}
	}
}

// migrateClients has a server that drains send a part of its clients away.
func (s *Sim) migrateClients(i int) {
	v := s.servers[i]
	if !v.draining || v.down || len(v.conns) == 0 {
		return
	}
	for range int(math.Ceil(float64(len(v.conns)) / 10)) {
		id := v.conns[s.rng.IntN(len(v.conns))]
		s.statistics.migrations++
		s.breakConnection(id, balancer.StatusRedirected, s.uniformDuration(s.Return))
	}
	s.schedule(500*time.Millisecond, event{kind: eventMigrateClients, value: uint32(i)})
}

// stopServer ends a server: its connections break. One that was killed is said to be gone.
func (s *Sim) stopServer(i int, killed bool) {
	v := s.servers[i]
	if v.down {
		return
	}
	v.down, v.hung, v.speedFactor, v.backlog, v.setupsDoneAt = true, false, 1, 0, 0
	s.markUnavailable(v)
	v.state = balancer.StateGone
	for len(v.conns) > 0 {
		id := v.conns[len(v.conns)-1]
		s.statistics.broken++
		s.breakConnection(id, balancer.StatusReset, s.uniformDuration(s.Return))
	}
	if killed {
		s.publish(i)
	}
}

// recoverServer has a server that hangs, is slow, or is down be well again; one that was down
// has just started.
func (s *Sim) recoverServer(i int) {
	v := s.servers[i]
	if v.down {
		v.down, v.draining, v.state, v.startedAt, v.recentSetups = false, false, balancer.StateReady, s.now, nil
		s.publish(i)
	}
	v.hung, v.speedFactor = false, 1
	for _, id := range v.conns {
		s.clients[id].serverSilent = false
	}
}

// tick moves the servers' loads on, tells relays of delays as their pulses do, and
// counts service.
func (s *Sim) tick() {
	dt := tickInterval
	floor := time.Duration(math.MaxInt64)
	for _, c := range s.Classes {
		if c.MessageAim > 0 {
			floor = min(floor, c.MessageAim/3)
		}
	}
	second := (s.now-startTime)%time.Second < dt
	for i, v := range s.servers {
		if v.down {
			continue
		}
		capacity := v.capacity * v.speedFactor * s.slowStartShare(v)
		rho := v.load / capacity
		// What is asked beyond what can be done piles up, and is worked off after.
		v.backlog = max(0, v.backlog+time.Duration((rho-1)*float64(dt)))
		switch {
		case v.hung:
			v.delay = s.now - v.hungAt
		default:
			v.delay = s.messageDelay(v, rho) + v.backlog
		}
		if second && len(v.conns) > 0 {
			s.changeLoads(i, v)
			s.reportDelays(i, v, floor)
		}
		if s.now > startTime {
			s.statistics.countService(s, v, rho, dt)
		}
	}
	if s.now > startTime {
		s.statistics.tick(s, dt)
	}
	s.schedule(dt, event{kind: eventTick})
}

// messageDelay is how long a message takes at a server of a load: a server shares itself
// among all that it does, as in M/G/1-PS, up to where a backlog takes over.
func (s *Sim) messageDelay(v *server, rho float64) time.Duration {
	return time.Duration(float64(s.Message) / (v.speed * v.speedFactor) / max(0.05, 1-rho))
}

// changedLoadShare is the part of a server's connections whose load changes in a second.
const changedLoadShare = 0.2

// changeLoads changes the loads of some of a server's connections, and has their relays told.
func (s *Sim) changeLoads(i int, v *server) {
	if s.LoadSwing == 0 {
		return
	}
	for slot := 0; slot < len(v.conns); slot++ {
		if s.rng.Float64() >= changedLoadShare {
			continue
		}
		c := &s.clients[v.conns[slot]]
		load := c.meanLoad * float32(1+s.LoadSwing*(2*s.rng.Float64()-1))
		v.load += float64(load) - float64(c.load)
		c.load = load
		s.handle(c.relay, balancer.ConnectionLoad{Request: c.request, Endpoint: s.serverID(int32(i)), Load: float64(load) / s.PerCore})
	}
}

// reportDelays tells the relays that have connections on a server how long messages take
// there, while it is over the floor and once more when it is back under.
func (s *Sim) reportDelays(i int, v *server, floor time.Duration) {
	over := v.delay > floor
	has := make([]bool, len(s.relays))
	for _, id := range v.conns {
		has[s.clients[id].relay] = true
	}
	for r, some := range has {
		if some && (over || v.delayReported[r]) {
			v.delayReported[r] = over
			s.handle(uint32(r), balancer.EndpointDelay{Endpoint: s.serverID(int32(i)), Delay: v.delay})
		}
	}
}

// numberWithin reads a number within bounds.
func numberWithin(n *sexp.Node, least, most float64) (float64, error) {
	word, err := n.Value()
	if err != nil {
		return 0, err
	}
	v, err := strconv.ParseFloat(word, 64)
	if err != nil || !(v >= least && v <= most) {
		return 0, n.Errorf("%s is not within %v and %v", word, least, most)
	}
	return v, nil
}

// worldParameters are the parameters of a world that an experiment may set, by name.
var worldParameters = map[string]func(w *World, n *sexp.Node) error{
	"servers":    wholeNumber(1, 5000, func(w *World, v int) { w.Servers = v }),
	"relays":     wholeNumber(1, RelaysMost, func(w *World, v int) { w.Relays = v }),
	"zones":      wholeNumber(1, 64, func(w *World, v int) { w.Zones = v }),
	"standing":   wholeNumber(0, 1_000_000, func(w *World, v int) { w.Standing = v }),
	"groups":     wholeNumber(1, 10_000_000, func(w *World, v int) { w.Groups = v }),
	"cores":      wholeNumber(1, 1024, func(w *World, v int) { w.Cores = v }),
	"attempts":   wholeNumber(1, 20, func(w *World, v int) { w.Attempts = v }),
	"retries":    wholeNumber(0, 20, func(w *World, v int) { w.Retries = v }),
	"queue":      wholeNumber(1, 100_000, func(w *World, v int) { w.Queue = v }),
	"rate":       realNumber(0, 1e5, func(w *World, v float64) { w.Rate = v }),
	"swing":      realNumber(0, 0.99, func(w *World, v float64) { w.Swing = v }),
	"skew":       realNumber(0, 1, func(w *World, v float64) { w.Skew = v }),
	"slow":       realNumber(0, 1, func(w *World, v float64) { w.Slow = v }),
	"per-core":   realNumber(0.1, 1e4, func(w *World, v float64) { w.PerCore = v }),
	"load-swing": realNumber(0, 1, func(w *World, v float64) { w.LoadSwing = v }),
	"group-cost": realNumber(0, 1e3, func(w *World, v float64) { w.GroupCost = v }),
	"group-skew": realNumber(0, 3, func(w *World, v float64) { w.GroupSkew = v }),
	"probed":     wholeNumber(0, 1, func(w *World, v int) { w.Probed = v == 1 }),
	"probe-loss": realNumber(0, 0.9, func(w *World, v float64) { w.ProbeLoss = v }),
	"warm":       wholeNumber(0, 1, func(w *World, v int) { w.Warm = v == 1 }),
	"honour":     realNumber(0, 1, func(w *World, v float64) { w.Honour = v }),
	"cold-share": realNumber(0.01, 1, func(w *World, v float64) { w.ColdShare = v }),
	"scale-load": realNumber(0.01, 100, func(w *World, v float64) {
		w.Rate *= v
		w.Standing = int(float64(w.Standing) * v)
	}),
	"scale":      realNumber(0.05, 400, func(w *World, v float64) { *w = w.Scaled(v, w.Relays) }),
	"for":        durationParameter(func(w *World, d time.Duration) { w.For = d }),
	"life":       durationParameter(func(w *World, d time.Duration) { w.Life = d }),
	"period":     durationParameter(func(w *World, d time.Duration) { w.Period = d }),
	"set-up":     durationParameter(func(w *World, d time.Duration) { w.SetUp = d }),
	"cold-for":   durationParameter(func(w *World, d time.Duration) { w.ColdFor = d }),
	"list-delay": durationParameter(func(w *World, d time.Duration) { w.Notice = [2]time.Duration{d / 2, d * 3 / 2} }),
	"cross":      durationParameter(func(w *World, d time.Duration) { w.Cross = [2]time.Duration{d * 4 / 5, d * 6 / 5} }),
	"silence":    durationParameter(func(w *World, d time.Duration) { w.Silence = d }),
}

func wholeNumber(least, most int, set func(*World, int)) func(*World, *sexp.Node) error {
	return func(w *World, n *sexp.Node) error {
		v, err := numberWithin(n, float64(least), float64(most))
		if err == nil && v != math.Trunc(v) {
			err = n.Errorf("%v is no whole number", v)
		}
		if err == nil {
			set(w, int(v))
		}
		return err
	}
}

func realNumber(least, most float64, set func(*World, float64)) func(*World, *sexp.Node) error {
	return func(w *World, n *sexp.Node) error {
		v, err := numberWithin(n, least, most)
		if err == nil {
			set(w, v)
		}
		return err
	}
}

func durationParameter(set func(*World, time.Duration)) func(*World, *sexp.Node) error {
	return func(w *World, n *sexp.Node) error {
		d, err := n.Duration()
		if err == nil {
			set(w, d)
		}
		return err
	}
}

// Parameters are the names of what Set sets, in order.
func Parameters() []string { return slices.Sorted(maps.Keys(worldParameters)) }

// Set sets a parameter of the world by its name. An error names the value's place.
func (w *World) Set(name string, value *sexp.Node) error {
	set, ok := worldParameters[name]
	if !ok {
		return value.Errorf("a world has no %q; expected one of %s", name, strings.Join(Parameters(), ", "))
	}
	return set(w, value)
}
