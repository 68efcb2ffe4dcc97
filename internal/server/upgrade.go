package server

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"lockroad/balancer"
	"lockroad/internal/console"
	"lockroad/internal/discovery"
	"lockroad/internal/frontend/line"
	"lockroad/internal/hotrestart"
	"lockroad/internal/listener"
	"lockroad/internal/persistence"
	"lockroad/internal/proxy"
	"lockroad/internal/registry"
)

// This file has a relay of a new version take over from the process that runs, and be
// taken over from. What each may do meanwhile is handover's; here is what is handed over.

const (
	recollectWait = time.Second     // for the turn in which the module tells what it knows
	oldWait       = 5 * time.Second // for an old process to let go of its console and its store
)

// state is what a new process is given to begin with.
type state struct {
	Agent  string                                    `json:"Agent"` // that the list is of
	List   discovery.List                            `json:"List"`
	Names  map[balancer.EndpointID]string            `json:"Names"` // the numbers that Memory speaks of
	Memory balancer.Snapshot                         `json:"Memory"`
	Beats  map[balancer.EndpointID]line.ReportTiming `json:"Beats"`  // of servers that tell delays
	Open   []registry.RequestName                    `json:"Open"`   // transactions under way
	Seats  []int                                     `json:"Seats"`  // taken, by hall
	Orders []persistence.DrainDirective              `json:"Orders"` // that have servers drain
}

// memory keeps the process to a part of the relay's memory.
func (r *relay) memory(part float64) {
	if r.config.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(r.config.MemoryMB<<20) * memPart * part))
	}
}

// ask asks whether there is a process to take over from, where one can be: the two meet in
// $TMPDIR, which they have in common.
func (r *relay) ask() {
	path := ""
	if r.config.Admin != "" {
		path = hotrestart.SocketPath(os.Getenv("TMPDIR"), r.config.Name, r.config.Listen)
	}
	if path == "" {
		close(r.orphan)
		return
	}
	r.host = hotrestart.NewPredecessor(path, r, r.log)
	guest, err := hotrestart.Connect(path)
	if err != nil {
		if _, there := os.Stat(path); there == nil {
			r.log.Info("no process is there to take over from", "error", err)
		}
		close(r.orphan)
		return
	}
	r.guest = guest
	r.memory(0.5)
}

// begin takes the list and what was learnt from the old process, or what was kept a while ago, or else the
// list of the configuration. Orders are in force before the first client is placed.
func (r *relay) begin(known persistence.RelaySnapshot, age time.Duration, warm bool) {
	var s state
	r.told = &s
	defer func() { r.keeper.recall(s.Orders) }()
	if r.prober != nil {
		r.prober.Start()
	}
	if r.guest != nil {
		err := json.Unmarshal(r.guest.Offer.State, &s)
		if err == nil && r.prober == nil {
			err = r.watcher.Resume(s.List, s.Agent)
		}
		if err == nil {
			s.Memory.Renumber(r.here)
			r.core.Restore(s.Memory)
			r.core.SetSlowStartShare(0) // the old process still does
			r.core.Requests.Reserve(s.Open)
			return
		}
		r.log.Warn("what the old process knows is of no use", "error", err)
		s = state{}
	}
	if warm {
		defer func() { // once the servers are listed
			s.Names = known.Names
			known.Balancer.Renumber(r.here)
			r.core.Restore(known.Balancer)
			r.log.Info("what was learnt before is taken up", "age", age.Round(time.Millisecond), "servers", len(known.Balancer.Endpoints), "routes", len(known.Balancer.Routes))
		}()
		// Revisions of two agents can't be compared: the platform's list is the newer one then.
		if r.prober == nil && known.Agent == r.config.Discovery && known.List.Revision >= r.config.Known.Revision {
			err := r.watcher.Resume(known.List, known.Agent)
			if err == nil {
				return
			}
			r.log.Warn("the list that was kept is of no use", "error", err)
		}
	}
	if r.prober != nil {
		return
	}
	if err := r.watcher.Seed(r.config.Known); err != nil {
		r.log.Warn("the list from before the start is of no use", "error", err)
	}
}

// here is the number that a server of the old process's has in this one.
func (r *relay) here(old balancer.EndpointID) (balancer.EndpointID, bool) {
	return r.core.Endpoints.Lookup(r.told.Names[old])
}

// handedDoor is the door of a name that the old process offers, if it is at an address;
// it rests until the old process takes nobody in. nil: none is offered.
func (r *relay) handedDoor(name, address string) *listener.Listener {
	if r.guest == nil {
		return nil
	}
	i := slices.Index(r.guest.Offer.ListenerNames, name)
	if i < 0 {
		return nil
	}
	l, ok := r.guest.Listeners[i].(*net.TCPListener)
	if !ok || address != l.Addr().String() {
		return nil
	}
	r.guest.Listeners[i] = nil
	d := listener.New(l)
	d.Pause()
	return d
}

// unused closes the doors that were offered and that this process has no front for: kept,
// they would let clients in to where nobody sees them.
func (r *relay) unused() {
	if r.guest == nil {
		return
	}
	for i, l := range r.guest.Listeners {
		if l != nil {
			l.Close()
			r.guest.Listeners[i] = nil
		}
	}
}

// takeOver takes the old process's place, and adopts its connections until it is gone.
// After an error this process is alone.
func (r *relay) takeOver(ctx context.Context) error {
	if r.guest == nil {
		return nil
	}
	for old, beat := range r.told.Beats {
		if id, ok := r.here(old); ok {
			r.line.RestoreTiming(id, beat)
		}
	}
	for i, seats := range r.told.Seats[:min(len(r.told.Seats), len(r.halls))] {
		r.halls[i].LendSlots(seats)
	}
	err := r.guest.TakeOver()
	r.core.SetSlowStartShare(1)
	for _, d := range r.doors {
		d.Resume()
	}
	if err != nil {
		r.alone()
		return err
	}
	r.log.Info("this process has taken over", "transactions there", len(r.told.Open))
	go func() {
		defer r.alone()
		r.guest.Adopt(ctx, func(what json.RawMessage, sockets []net.Conn) (func(), error) {
			var s proxy.EstablishedRequest
			if err := json.Unmarshal(what, &s); err != nil {
				return nil, err
			}
			return r.line.Adopt(ctx, &s, sockets)
		})
	}()
	return nil
}

// alone gives this process all that the two had in common: the old one is gone.
func (r *relay) alone() {
	for _, h := range r.halls {
		h.LendSlots(0)
	}
	r.core.Requests.Release()
	r.memory(1)
	close(r.orphan)
}

// lateConsole opens the console's socket once the old process has ended. That one's talk
// ends a moment before its console does.
func (r *relay) lateConsole(ctx context.Context, path string) (l net.Listener, err error) {
	select {
	case <-ctx.Done():
		return nil, nil
	case <-r.orphan:
	}
	select {
	case <-ctx.Done():
		return nil, nil
	case <-r.keeper.settled: // orders are taken once they can be kept
	}
	letGo(ctx, func() bool {
		l, err = console.Listen(path)
		return err == nil
	})
	return l, err
}

// letGo tries something again and again that the old process, which is ending, has yet to let go of. It tries
// at least once.
func letGo(ctx context.Context, done func() bool) {
	for late := time.Now().Add(oldWait); !done() && ctx.Err() == nil && !time.Now().After(late); {
		pause(ctx, oldWait/50)
	}
}

// Offer returns what a new process begins with.
func (r *relay) Offer(ctx context.Context) (*hotrestart.Offer, []syscall.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, recollectWait)
	defer cancel()
	s := state{Names: make(map[balancer.EndpointID]string), Open: r.core.Requests.Names(), Orders: r.keeper.DrainDirectives()}
	var err error
	if s.Memory, err = r.core.Snapshot(ctx); err != nil {
		return nil, nil, err
	}
	s.List, s.Agent = r.watcher.List()
	s.Beats = r.line.ReportTimings()
	for _, known := range s.Memory.Endpoints {
		s.Names[known.ID] = r.core.Endpoints.Name(known.ID)
	}
	for _, h := range r.halls {
		s.Seats = append(s.Seats, h.SlotsInUse())
	}
	text, err := json.Marshal(s)
	if err != nil {
		return nil, nil, err
	}
	o := &hotrestart.Offer{State: text, ClockStart: r.core.Clock.Start()}
	var sockets []syscall.Conn
	for _, d := range r.doors {
		o.ListenerNames = append(o.ListenerNames, d.Name)
		sockets = append(sockets, d.Listener)
	}
	o.Clock = r.core.Clock.Now()
	return o, sockets, nil
}

// PeerServes has this process take nobody in and spend nothing, as another does; or again.
func (r *relay) PeerServes(given bool) {
	part, room := 1.0, 1.0
	for _, d := range r.doors {
		if given {
			d.Pause()
		} else {
			d.Resume()
		}
	}
	if given {
		part, room = 0, 0.5
	}
	r.takes.Store(!given && !r.leaves.Load())
	r.core.SetSlowStartShare(part)
	r.memory(room)
}
