package simulation

import (
	"fmt"
	"slices"
	"time"

	"lockroad/balancer"
	"lockroad/internal/sexp"
)

// maxServers bounds the number of servers or relays of an action.
const maxServers = 5000

// ScriptedAction is an action of a script, such as a failure of servers at a time.
type ScriptedAction struct {
	At       time.Duration
	Kind     string  // hang, slow, drain, restart, drop, list-behind, relay-restart, surge or add
	Count    int     // number of servers or relays, which are drawn at random
	Share    float64 // of drop: share of the established clients, from 0 to 1
	Duration time.Duration
	Factor   float64 // of slow and surge: factor of the speed or arrival rate; of list-behind: the delay
}

// String writes the action as ParseScriptedAction reads it.
func (a ScriptedAction) String() string {
	switch a.Kind {
	case "hang":
		return fmt.Sprintf("(at %v (hang %d %v))", a.At, a.Count, a.Duration)
	case "slow":
		return fmt.Sprintf("(at %v (slow %d %v %v))", a.At, a.Count, a.Factor, a.Duration)
	case "drain", "add":
		return fmt.Sprintf("(at %v (%s %d))", a.At, a.Kind, a.Count)
	case "restart", "relay-restart":
		return fmt.Sprintf("(at %v (%s %d %v))", a.At, a.Kind, a.Count, a.Duration)
	case "drop":
		return fmt.Sprintf("(at %v (drop %v))", a.At, 100*a.Share)
	case "list-behind":
		return fmt.Sprintf("(at %v (list-behind %v %v))", a.At, time.Duration(a.Factor), a.Duration)
	case "surge":
		return fmt.Sprintf("(at %v (surge %v %v))", a.At, a.Factor, a.Duration)
	}
	return a.Kind
}

// actionForms has the arguments of each kind of action: a number of servers or relays (N), a
// factor (X), a percentage (P), a delay (D, stored as the factor) and a duration (T).
var actionForms = map[string]string{
	"hang": "N T", "slow": "N X T", "drain": "N", "restart": "N T", "drop": "P", "list-behind": "D T", "relay-restart": "N T", "surge": "X T", "add": "N",
}

// ParseScriptedAction parses (at TIME (ACTION ...)), where ACTION is one of
//
//	hang N TIME, slow N FACTOR TIME, drain N, restart N TIME, add N   (servers)
//	relay-restart N TIME                                             (relays)
//	drop PERCENT, surge FACTOR TIME                                  (clients)
//	list-behind DELAY TIME                                           (endpoint list)
//
// Errors name line and column.
func ParseScriptedAction(node *sexp.Node) (action ScriptedAction, err error) {
	head, args, err := node.Head()
	if err != nil {
		return action, err
	}
	if head != "at" || len(args) != 2 {
		return action, node.Errorf("expected (at TIME (ACTION ...))")
	}
	if action.At, err = args[0].Duration(); err != nil {
		return action, err
	}
	node = args[1]
	if action.Kind, args, err = node.Head(); err != nil {
		return action, err
	}
	form, ok := actionForms[action.Kind]
	if !ok {
		return action, node.Errorf("unknown action %q; expected hang, slow, drain, restart, add, relay-restart, drop, surge or list-behind", action.Kind)
	}
	kinds := slices.DeleteFunc([]byte(form), func(c byte) bool { return c == ' ' })
	if len(args) != len(kinds) {
		return action, node.Errorf("%s takes %d arguments (%s), got %d", action.Kind, len(kinds), form, len(args))
	}
	for i, kind := range kinds {
		if err := action.setArgument(kind, args[i]); err != nil {
			return action, err
		}
	}
	return action, nil
}

// setArgument parses an argument of a kind in actionForms and sets the field.
func (a *ScriptedAction) setArgument(kind byte, node *sexp.Node) (err error) {
	switch kind {
	case 'N':
		var count uint64
		if count, err = node.Uint(); err == nil && (count == 0 || count > maxServers) {
			err = node.Errorf("%d is not between 1 and 5000", count)
		}
		a.Count = int(count)
	case 'T':
		a.Duration, err = node.Duration()
	case 'D':
		var delay time.Duration
		delay, err = node.Duration()
		a.Factor = float64(delay)
	case 'X':
		a.Factor, err = parseNumber(node, 0.01, 100)
	case 'P':
		a.Share, err = parseNumber(node, 0, 100)
		a.Share /= 100
	}
	return err
}

// actionStarters has the function that starts each kind of action. list-again and surge-over,
// which no script can contain, end list-behind and surge.
var actionStarters = map[string]func(*Sim, ScriptedAction){
	"hang":          (*Sim).hangServers,
	"slow":          (*Sim).slowServers,
	"drain":         (*Sim).drainServers,
	"restart":       (*Sim).restartServers,
	"add":           (*Sim).addServers,
	"drop":          (*Sim).dropClients,
	"list-behind":   (*Sim).delayList,
	"list-again":    func(s *Sim, action ScriptedAction) { s.extraListDelay -= time.Duration(action.Factor) },
	"surge":         (*Sim).surge,
	"surge-over":    func(s *Sim, action ScriptedAction) { s.ArrivalRate /= action.Factor },
	"relay-restart": (*Sim).restartRelays,
}

// startAction starts an action and records it as an annotation.
func (s *Sim) startAction(action ScriptedAction) {
	s.statistics.annotations = append(s.statistics.annotations, Annotation{At: s.now - startTime, Text: action.String()})
	if start, ok := actionStarters[action.Kind]; ok {
		start(s, action)
	}
}

// scheduleRecovery schedules the recovery of a server.
func (s *Sim) scheduleRecovery(serverIndex int, after time.Duration) {
	s.schedule(after, scheduledEvent{kind: eventServerRecovers, value: uint32(serverIndex)})
}

// scheduleAction schedules an action that is not in the script, such as the end of another.
func (s *Sim) scheduleAction(after time.Duration, action ScriptedAction) {
	s.actions = append(s.actions, action)
	s.schedule(after, scheduledEvent{kind: eventScriptedAction, value: uint32(len(s.actions) - 1)})
}

func (s *Sim) hangServers(action ScriptedAction) {
	for _, i := range s.drawServers(action.Count) {
		server := s.servers[i]
		server.hung, server.hungAt = true, s.now
		s.markUnavailable(server)
		for _, client := range server.conns {
			s.scheduleHeartbeatTimeout(client)
		}
		s.scheduleRecovery(i, action.Duration)
	}
}

func (s *Sim) slowServers(action ScriptedAction) {
	for _, i := range s.drawServers(action.Count) {
		s.servers[i].speedFactor = action.Factor
		s.scheduleRecovery(i, action.Duration)
	}
}

func (s *Sim) drainServers(action ScriptedAction) {
	for _, i := range s.drawServers(action.Count) {
		server := s.servers[i]
		server.state, server.draining = balancer.StateDraining, true
		s.publishServer(i)
		s.schedule(time.Second, scheduledEvent{kind: eventMigrateClients, value: uint32(i)})
		s.schedule(s.DrainDuration, scheduledEvent{kind: eventServerStops, value: uint32(i)})
	}
}

func (s *Sim) restartServers(action ScriptedAction) {
	for _, i := range s.drawServers(action.Count) {
		s.stopServer(i, true)
		s.scheduleRecovery(i, action.Duration)
	}
}

func (s *Sim) addServers(action ScriptedAction) {
	for range action.Count {
		s.addServer()
	}
}

// dropReturnDelay has the bounds of the time after which dropped clients connect again.
var dropReturnDelay = [2]time.Duration{970 * time.Millisecond, 2700 * time.Millisecond}

func (s *Sim) dropClients(action ScriptedAction) {
	for id := range s.clients {
		if client := &s.clients[id]; client.state == stateEstablished && s.rng.Float64() < action.Share {
			s.breakConnection(uint32(id), balancer.StatusCancelled, s.uniformDuration(dropReturnDelay))
		}
	}
}

func (s *Sim) delayList(action ScriptedAction) {
	s.extraListDelay += time.Duration(action.Factor)
	s.scheduleAction(action.Duration, ScriptedAction{Kind: "list-again", Factor: action.Factor})
}

func (s *Sim) surge(action ScriptedAction) {
	s.ArrivalRate *= action.Factor
	s.scheduleAction(action.Duration, ScriptedAction{Kind: "surge-over", Factor: action.Factor})
}

func (s *Sim) restartRelays(action ScriptedAction) {
	left := action.Count
	for _, i := range s.rng.Perm(len(s.relays)) {
		if left > 0 && s.relays[i].up {
			left--
			s.stopRelay(uint32(i))
			s.schedule(action.Duration, scheduledEvent{kind: eventRelayStarts, subject: uint32(i)})
		}
	}
}
