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
	snapshotTimeout        = time.Second     // for the turn in which the module tells what it knows
	predecessorExitTimeout = 5 * time.Second // for an old process to let go of its console and its store
)

// handoffState is what a new process is given to begin with.
type handoffState struct {
	Agent           string                                    `json:"Agent"` // that the list is of
	List            discovery.List                            `json:"List"`
	Names           map[balancer.EndpointID]string            `json:"Names"` // the numbers that Memory speaks of
	Snapshot        balancer.Snapshot                         `json:"Memory"`
	ReportTimings   map[balancer.EndpointID]line.ReportTiming `json:"Beats"`  // of servers that tell delays
	OpenRequests    []registry.RequestName                    `json:"Open"`   // transactions under way
	SlotsInUse      []int                                     `json:"Seats"`  // taken, by hall
	DrainDirectives []persistence.DrainDirective              `json:"Orders"` // that have servers drain
}

// limitMemory keeps the process to a part of the relay's memory.
func (r *relay) limitMemory(part float64) {
	if r.config.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(r.config.MemoryMB<<20) * memoryShare * part))
	}
}

// connectPredecessor asks whether there is a process to take over from, where one can be: the two meet in
// $TMPDIR, which they have in common.
func (r *relay) connectPredecessor() {
	path := ""
	if r.config.Admin != "" {
		path = hotrestart.SocketPath(os.Getenv("TMPDIR"), r.config.Name, r.config.Listen)
	}
	if path == "" {
		close(r.predecessorGone)
		return
	}
	r.asPredecessor = hotrestart.NewPredecessor(path, r, r.log)
	guest, err := hotrestart.Connect(path)
	if err != nil {
		if _, there := os.Stat(path); there == nil {
			r.log.Info("no process is there to take over from", "error", err)
		}
		close(r.predecessorGone)
		return
	}
	r.asSuccessor = guest
	r.limitMemory(0.5)
}

// restore takes the list and what was learnt from the old process, or what was kept a while ago, or else the
// list of the configuration. Orders are in force before the first client is placed.
func (r *relay) restore(known persistence.RelaySnapshot, age time.Duration, warm bool) {
	var s handoffState
	r.inherited = &s
	defer func() { r.persistence.restoreDirectives(s.DrainDirectives) }()
	if r.prober != nil {
		r.prober.Start()
	}
	if r.asSuccessor != nil {
		err := json.Unmarshal(r.asSuccessor.Offer.State, &s)
		if err == nil && r.prober == nil {
			err = r.watcher.Resume(s.List, s.Agent)
		}
		if err == nil {
			s.Snapshot.Renumber(r.localEndpoint)
			r.proxy.Restore(s.Snapshot)
			r.proxy.SetSlowStartShare(0) // the old process still does
			r.proxy.Requests.Reserve(s.OpenRequests)
			return
		}
		r.log.Warn("what the old process knows is of no use", "error", err)
		s = handoffState{}
	}
	if warm {
		defer func() { // once the servers are listed
			s.Names = known.Names
			known.Balancer.Renumber(r.localEndpoint)
			r.proxy.Restore(known.Balancer)
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

// localEndpoint is the number that a server of the old process's has in this one.
func (r *relay) localEndpoint(old balancer.EndpointID) (balancer.EndpointID, bool) {
	return r.proxy.Endpoints.Lookup(r.inherited.Names[old])
}

// inheritedListener is the door of a name that the old process offers, if it is at an address;
// it rests until the old process takes nobody in. nil: none is offered.
func (r *relay) inheritedListener(name, address string) *listener.Listener {
	if r.asSuccessor == nil {
		return nil
	}
	i := slices.Index(r.asSuccessor.Offer.ListenerNames, name)
	if i < 0 {
		return nil
	}
	l, ok := r.asSuccessor.Listeners[i].(*net.TCPListener)
	if !ok || address != l.Addr().String() {
		return nil
	}
	r.asSuccessor.Listeners[i] = nil
	d := listener.New(l)
	d.Pause()
	return d
}

// closeUnclaimedListeners closes the doors that were offered and that this process has no front for: kept,
// they would let clients in to where nobody sees them.
func (r *relay) closeUnclaimedListeners() {
	if r.asSuccessor == nil {
		return
	}
	for i, l := range r.asSuccessor.Listeners {
		if l != nil {
			l.Close()
			r.asSuccessor.Listeners[i] = nil
		}
	}
}

// takeOver takes the old process's place, and adopts its connections until it is gone.
// After an error this process is alone.
func (r *relay) takeOver(ctx context.Context) error {
	if r.asSuccessor == nil {
		return nil
	}
	for old, beat := range r.inherited.ReportTimings {
		if id, ok := r.localEndpoint(old); ok {
			r.lineFrontend.RestoreTiming(id, beat)
		}
	}
	for i, seats := range r.inherited.SlotsInUse[:min(len(r.inherited.SlotsInUse), len(r.limiters))] {
		r.limiters[i].LendSlots(seats)
	}
	err := r.asSuccessor.TakeOver()
	r.proxy.SetSlowStartShare(1)
	for _, d := range r.frontends {
		d.Resume()
	}
	if err != nil {
		r.releasePredecessor()
		return err
	}
	r.log.Info("this process has taken over", "transactions there", len(r.inherited.OpenRequests))
	go func() {
		defer r.releasePredecessor()
		r.asSuccessor.Adopt(ctx, func(what json.RawMessage, sockets []net.Conn) (func(), error) {
			var s proxy.EstablishedRequest
			if err := json.Unmarshal(what, &s); err != nil {
				return nil, err
			}
			return r.lineFrontend.Adopt(ctx, &s, sockets)
		})
	}()
	return nil
}

// releasePredecessor gives this process all that the two had in common: the old one is gone.
func (r *relay) releasePredecessor() {
	for _, h := range r.limiters {
		h.LendSlots(0)
	}
	r.proxy.Requests.Release()
	r.limitMemory(1)
	close(r.predecessorGone)
}

// listenConsoleAfterPredecessor opens the console's socket once the old process has ended. That one's talk
// ends a moment before its console does.
func (r *relay) listenConsoleAfterPredecessor(ctx context.Context, path string) (l net.Listener, err error) {
	select {
	case <-ctx.Done():
		return nil, nil
	case <-r.predecessorGone:
	}
	select {
	case <-ctx.Done():
		return nil, nil
	case <-r.persistence.storeSettled: // orders are taken once they can be kept
	}
	retryUntilReleased(ctx, func() bool {
		l, err = console.Listen(path)
		return err == nil
	})
	return l, err
}

// retryUntilReleased tries something again and again that the old process, which is ending, has yet to let go of. It tries
// at least once.
func retryUntilReleased(ctx context.Context, done func() bool) {
	for late := time.Now().Add(predecessorExitTimeout); !done() && ctx.Err() == nil && !time.Now().After(late); {
		sleep(ctx, predecessorExitTimeout/50)
	}
}

// Offer returns what a new process begins with.
func (r *relay) Offer(ctx context.Context) (*hotrestart.Offer, []syscall.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	s := handoffState{Names: make(map[balancer.EndpointID]string), OpenRequests: r.proxy.Requests.Names(), DrainDirectives: r.persistence.DrainDirectives()}
	var err error
	if s.Snapshot, err = r.proxy.Snapshot(ctx); err != nil {
		return nil, nil, err
	}
	s.List, s.Agent = r.watcher.List()
	s.ReportTimings = r.lineFrontend.ReportTimings()
	for _, known := range s.Snapshot.Endpoints {
		s.Names[known.ID] = r.proxy.Endpoints.Name(known.ID)
	}
	for _, h := range r.limiters {
		s.SlotsInUse = append(s.SlotsInUse, h.SlotsInUse())
	}
	text, err := json.Marshal(s)
	if err != nil {
		return nil, nil, err
	}
	o := &hotrestart.Offer{State: text, ClockStart: r.proxy.Clock.Start()}
	var sockets []syscall.Conn
	for _, d := range r.frontends {
		o.ListenerNames = append(o.ListenerNames, d.Name)
		sockets = append(sockets, d.Listener)
	}
	o.Clock = r.proxy.Clock.Now()
	return o, sockets, nil
}

// PeerServes has this process take nobody in and spend nothing, as another does; or again.
func (r *relay) PeerServes(given bool) {
	part, room := 1.0, 1.0
	for _, d := range r.frontends {
		if given {
			d.Pause()
		} else {
			d.Resume()
		}
	}
	if given {
		part, room = 0, 0.5
	}
	r.ready.Store(!given && !r.shuttingDown.Load())
	r.proxy.SetSlowStartShare(part)
	r.limitMemory(room)
}
