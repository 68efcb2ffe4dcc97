package server

import (
	"context"
	"encoding/json"
	"net"
	"os"
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

// In a hot restart a relay of a new version, the successor, takes over from the process that runs, the predecessor. What each
// may do meanwhile is decided by package hotrestart; here is what is handed over. A process is the successor in its start, and
// the predecessor from then on.

// predecessorExitTimeout is how long a successor waits for the predecessor to let go of its console and its store.
const predecessorExitTimeout = 5 * time.Second

// handoffState is what a successor begins with. Two versions of the program exchange it: its JSON keys stay as they are.
type handoffState struct {
	Agent           string                                    `json:"Agent"` // that List is of
	List            discovery.List                            `json:"List"`
	Names           map[balancer.EndpointID]string            `json:"Names"` // of the endpoints in Snapshot
	Snapshot        balancer.Snapshot                         `json:"Memory"`
	ReportTimings   map[balancer.EndpointID]line.ReportTiming `json:"Beats"`  // of endpoints that report delays
	OpenRequests    []registry.RequestName                    `json:"Open"`   // under way in the predecessor
	SlotsInUse      []int                                     `json:"Seats"`  // of each limiter
	DrainDirectives []persistence.DrainDirective              `json:"Orders"` // in force
}

// connectPredecessor finds out whether there is a process to take over from, where one can be: the two meet at a socket in
// $TMPDIR, which they have in common. Only a relay with a second address, by which its readiness is known, can be replaced.
func (r *relay) connectPredecessor() {
	path := ""
	if r.config.AdminAddr != "" {
		path = hotrestart.SocketPath(os.Getenv("TMPDIR"), r.config.Name, r.config.Listen)
	}
	if path == "" {
		close(r.predecessorGone)
		return
	}
	r.asPredecessor = hotrestart.NewPredecessor(path, r, r.log)
	successor, err := hotrestart.Connect(path)
	if err != nil {
		if _, statErr := os.Stat(path); statErr == nil {
			r.log.Info("no predecessor to take over from", "error", err)
		}
		close(r.predecessorGone)
		return
	}
	r.asSuccessor = successor
	r.limitMemory(halfProcess)
}

func (r *relay) disconnectPredecessor() {
	if r.asSuccessor != nil {
		r.asSuccessor.Close()
	}
}

// restore restores the endpoint list and what the balancer has learnt: from the predecessor, or from the saved snapshot, or
// else the list of the configuration. Drain directives are in force before the first client is placed.
func (r *relay) restore(saved savedSnapshot) {
	r.inherited = &handoffState{}
	defer func() { r.persistence.restoreDirectives(r.inherited.DrainDirectives) }()
	if r.prober != nil {
		r.prober.Start()
	}
	if r.asSuccessor != nil {
		err := r.restoreInherited()
		if err == nil {
			return
		}
		r.log.Warn("predecessor state unusable", "error", err)
		*r.inherited = handoffState{}
	}
	if saved.usable {
		defer r.restoreSaved(saved) // once the endpoints are listed
		if r.resumeSavedList(saved) {
			return
		}
	}
	if r.prober != nil {
		return
	}
	if err := r.watcher.Seed(r.config.InitialList); err != nil {
		r.log.Warn("configured endpoint list unusable", "error", err)
	}
}

// restoreInherited restores what the predecessor has offered. After an error it is of no use, and the start goes on without.
func (r *relay) restoreInherited() error {
	if err := json.Unmarshal(r.asSuccessor.Offer.State, r.inherited); err != nil {
		return err
	}
	if r.prober == nil {
		if err := r.watcher.Resume(r.inherited.List, r.inherited.Agent); err != nil {
			return err
		}
	}
	r.inherited.Snapshot.Renumber(r.localEndpoint)
	r.proxy.Restore(r.inherited.Snapshot)
	r.proxy.SetSlowStartShare(0) // the predecessor still spends it
	r.proxy.Requests.Reserve(r.inherited.OpenRequests)
	return nil
}

// resumeSavedList goes on with the saved list, and reports whether it does. Revisions of two agents can't be compared: the
// platform's list is the newer one then.
func (r *relay) resumeSavedList(saved savedSnapshot) bool {
	if r.prober != nil || saved.Agent != r.config.DiscoveryAddr || saved.List.Revision < r.config.InitialList.Revision {
		return false
	}
	if err := r.watcher.Resume(saved.List, saved.Agent); err != nil {
		r.log.Warn("stored endpoint list unusable", "error", err)
		return false
	}
	return true
}

// restoreSaved restores what the balancer had learnt before a restart.
func (r *relay) restoreSaved(saved savedSnapshot) {
	r.inherited.Names = saved.Names
	saved.Balancer.Renumber(r.localEndpoint)
	r.proxy.Restore(saved.Balancer)
	r.log.Info("snapshot restored", "age", saved.age.Round(time.Millisecond), "servers", len(saved.Balancer.Endpoints), "routes", len(saved.Balancer.Routes))
}

// localEndpoint returns the number in this process of an endpoint that has the number old in the inherited snapshot.
func (r *relay) localEndpoint(old balancer.EndpointID) (balancer.EndpointID, bool) {
	return r.proxy.Endpoints.Lookup(r.inherited.Names[old])
}

// inheritedListener returns the listener of a frontend that the predecessor offers, if it is at the same address. It is paused
// until the predecessor admits nobody. nil: none is offered.
func (r *relay) inheritedListener(name, address string) *listener.Listener {
	if r.asSuccessor == nil {
		return nil
	}
	i := slices.Index(r.asSuccessor.Offer.ListenerNames, name)
	if i < 0 {
		return nil
	}
	socket, ok := r.asSuccessor.Listeners[i].(*net.TCPListener)
	if !ok || address != socket.Addr().String() {
		return nil
	}
	r.asSuccessor.Listeners[i] = nil
	l := listener.New(socket)
	l.Pause()
	return l
}

// closeUnclaimedListeners closes the listeners that were offered and that this process has no frontend for: while they are
// open, clients connect to them that nobody serves.
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

// takeOver takes the predecessor's place, where there is one, and adopts its connections in a goroutine that ends with ctx or
// once the predecessor is gone. After an error this process is alone.
func (r *relay) takeOver(ctx context.Context) error {
	if r.asSuccessor == nil {
		return nil
	}
	for old, timing := range r.inherited.ReportTimings {
		if id, ok := r.localEndpoint(old); ok {
			r.lineFrontend.RestoreTiming(id, timing)
		}
	}
	for i, slots := range r.inherited.SlotsInUse[:min(len(r.inherited.SlotsInUse), len(r.limiters))] {
		r.limiters[i].LendSlots(slots)
	}
	err := r.asSuccessor.TakeOver()
	r.proxy.SetSlowStartShare(1)
	for _, f := range r.frontends {
		f.Resume()
	}
	if err != nil {
		r.releasePredecessor()
		return err
	}
	r.log.Info("took over from predecessor", "transactions there", len(r.inherited.OpenRequests))
	go func() {
		defer r.releasePredecessor()
		r.asSuccessor.Adopt(ctx, func(what json.RawMessage, sockets []net.Conn) (func(), error) {
			return r.adoptRequest(ctx, what, sockets)
		})
	}()
	return nil
}

// adoptRequest prepares to carry on an established request of the predecessor. The function that it returns does.
func (r *relay) adoptRequest(ctx context.Context, what json.RawMessage, sockets []net.Conn) (carry func(), err error) {
	var request proxy.EstablishedRequest
	if err := json.Unmarshal(what, &request); err != nil {
		return nil, err
	}
	return r.lineFrontend.Adopt(ctx, &request, sockets)
}

// releasePredecessor gives this process all that the two had in common: the predecessor is gone.
func (r *relay) releasePredecessor() {
	for _, limiter := range r.limiters {
		limiter.LendSlots(0)
	}
	r.proxy.Requests.Release()
	r.limitMemory(wholeProcess)
	close(r.predecessorGone)
}

// listenConsoleAfterPredecessor opens the console's socket once the predecessor has ended, whose connection to this process
// ends a moment before its console does. It returns neither a listener nor an error if ctx ends before.
func (r *relay) listenConsoleAfterPredecessor(ctx context.Context, path string) (l net.Listener, err error) {
	select {
	case <-ctx.Done():
		return nil, nil
	case <-r.predecessorGone:
	}
	select {
	case <-ctx.Done():
		return nil, nil
	case <-r.persistence.storeSettled: // drain directives are accepted once they can be saved
	}
	retryUntilReleased(ctx, func() bool {
		l, err = console.Listen(path)
		return err == nil
	})
	return l, err
}

// retryUntilReleased retries what needs something that the predecessor, which is ending, has yet to let go of, until
// predecessorExitTimeout. It tries at least once.
func retryUntilReleased(ctx context.Context, done func() bool) {
	deadline := time.Now().Add(predecessorExitTimeout)
	for !done() && ctx.Err() == nil && !time.Now().After(deadline) {
		sleep(ctx, predecessorExitTimeout/50)
	}
}

// Offer returns what a successor begins with, and the sockets of its listeners. It is called by asPredecessor's goroutine.
func (r *relay) Offer(ctx context.Context) (*hotrestart.Offer, []syscall.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	state, err := r.handoffState(ctx)
	if err != nil {
		return nil, nil, err
	}
	text, err := json.Marshal(state)
	if err != nil {
		return nil, nil, err
	}
	offer := &hotrestart.Offer{State: text, ClockStart: r.proxy.Clock.Start()}
	var sockets []syscall.Conn
	for _, f := range r.frontends {
		offer.ListenerNames = append(offer.ListenerNames, f.Name)
		sockets = append(sockets, f.Listener)
	}
	offer.Clock = r.proxy.Clock.Now() // as late as may be
	return offer, sockets, nil
}

func (r *relay) handoffState(ctx context.Context) (handoffState, error) {
	state := handoffState{
		Names:           make(map[balancer.EndpointID]string),
		OpenRequests:    r.proxy.Requests.Names(),
		DrainDirectives: r.persistence.DrainDirectives(),
	}
	var err error
	if state.Snapshot, err = r.proxy.Snapshot(ctx); err != nil {
		return handoffState{}, err
	}
	state.List, state.Agent = r.watcher.List()
	state.ReportTimings = r.lineFrontend.ReportTimings()
	for _, endpoint := range state.Snapshot.Endpoints {
		state.Names[endpoint.ID] = r.proxy.Endpoints.Name(endpoint.ID)
	}
	for _, limiter := range r.limiters {
		state.SlotsInUse = append(state.SlotsInUse, limiter.SlotsInUse())
	}
	return state, nil
}

// PeerServes is called by asPredecessor's goroutine. With true a successor admits clients, and this process admits nobody and
// spends nothing of the slow-start budget; with false it is alone again.
func (r *relay) PeerServes(serves bool) {
	slowStartShare, memoryPart := 1.0, wholeProcess
	for _, f := range r.frontends {
		if serves {
			f.Pause()
		} else {
			f.Resume()
		}
	}
	if serves {
		slowStartShare, memoryPart = 0, halfProcess
	}
	r.ready.Store(!serves && !r.shuttingDown.Load())
	r.proxy.SetSlowStartShare(slowStartShare)
	r.limitMemory(memoryPart)
}
