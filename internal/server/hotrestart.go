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

// In a hot restart a new process of the relay, the successor, takes over from the running process, the
// predecessor. Package hotrestart implements the protocol between them; this file has the state that is handed
// over. A process is the successor while it starts and the predecessor afterwards.

const (
	// predecessorExitTimeout is how long a successor waits for the predecessor to release its console socket and its
	// store before it reports that.
	predecessorExitTimeout = 5 * time.Second
	// consoleRetryInterval is the time between two attempts to open the console's socket.
	consoleRetryInterval = 100 * time.Millisecond
	// resolveTimeout limits how long the name in a listen address may take to resolve.
	resolveTimeout = time.Second
	// inheritedReloadTimeout limits the reload of a configuration that the predecessor has reloaded.
	inheritedReloadTimeout = 500 * time.Millisecond
)

// handoffState is the state that a predecessor sends to its successor. The two may be of different versions, so
// the JSON keys must not change.
type handoffState struct {
	Agent           string                                    `json:"Agent"` // discovery agent that sent List
	List            discovery.List                            `json:"List"`
	Names           map[balancer.EndpointID]string            `json:"Names"` // names of the endpoints in Snapshot
	Snapshot        balancer.Snapshot                         `json:"Memory"`
	ReportTimings   map[balancer.EndpointID]line.ReportTiming `json:"Beats"`  // for endpoints that report delays
	OpenRequests    []registry.RequestName                    `json:"Open"`   // requests in progress in the predecessor
	SlotsInUse      []int                                     `json:"Seats"`  // in the order of relay.limiters
	DrainDirectives []persistence.DrainDirective              `json:"Orders"` // directives in force
}

// connectPredecessor connects to a running process of the same relay over a Unix socket in $TMPDIR. Hot restart
// is available only to a relay with an admin address, which reports its readiness.
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
			r.log.Info("failed to connect to predecessor, starting without takeover", "error", err)
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

// restore restores the endpoint list and the balancer's snapshot from the predecessor or else from the saved
// snapshot. If neither is usable, it applies the endpoint list of the configuration. It also restores drain
// directives, which have to be in force before the first request is routed.
func (r *relay) restore(saved savedSnapshot) {
	r.inherited = &handoffState{}
	defer func() { r.persistence.restoreDirectives(r.inherited.DrainDirectives) }()
	if r.prober != nil {
		r.prober.PublishInitialList()
	}
	if r.asSuccessor != nil {
		err := r.restoreInherited()
		if err == nil {
			return
		}
		r.log.Warn("state from predecessor rejected", "error", err)
		*r.inherited = handoffState{}
	}
	if saved.usable {
		defer r.restoreSaved(saved) // runs after the endpoint list has been applied
		if r.resumeSavedList(saved) {
			return
		}
	}
	if r.prober != nil {
		return
	}
	if err := r.watcher.Seed(r.config.InitialList); err != nil {
		r.log.Warn("endpoint list of the configuration rejected", "error", err)
	}
}

// restoreInherited restores the state offered by the predecessor. After an error the caller discards that state.
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
	r.proxy.SetSlowStartShare(0) // the predecessor still uses the slow-start budget
	r.proxy.Requests.Reserve(r.inherited.OpenRequests)
	return nil
}

// resumeSavedList applies the saved endpoint list and reports whether it did. It doesn't if the configuration's
// list is newer or the saved list is from another discovery agent: revisions of different agents can't be
// compared.
func (r *relay) resumeSavedList(saved savedSnapshot) bool {
	if r.prober != nil || saved.Agent != r.config.DiscoveryAddr || saved.List.Revision < r.config.InitialList.Revision {
		return false
	}
	if err := r.watcher.Resume(saved.List, saved.Agent); err != nil {
		r.log.Warn("stored endpoint list rejected", "error", err)
		return false
	}
	return true
}

// restoreSaved restores the balancer's snapshot that was saved before a restart.
func (r *relay) restoreSaved(saved savedSnapshot) {
	r.inherited.Names = saved.Names
	saved.Balancer.Renumber(r.localEndpoint)
	r.proxy.Restore(saved.Balancer)
	r.log.Info("snapshot restored", "age", saved.age.Round(time.Millisecond), "servers", len(saved.Balancer.Endpoints), "routes", len(saved.Balancer.Routes))
}

// localEndpoint maps the endpoint ID old of the inherited snapshot to this process's ID of the same endpoint.
func (r *relay) localEndpoint(old balancer.EndpointID) (balancer.EndpointID, bool) {
	return r.proxy.Endpoints.Lookup(r.inherited.Names[old])
}

// inheritedListener returns the predecessor's listener for a frontend, or nil if the predecessor offers none at
// this address. The listener is paused until the predecessor has stopped admitting clients.
func (r *relay) inheritedListener(name, address string) *listener.Listener {
	if r.asSuccessor == nil {
		return nil
	}
	i := slices.Index(r.asSuccessor.Offer.ListenerNames, name)
	if i < 0 {
		return nil
	}
	socket, ok := r.asSuccessor.Listeners[i].(*net.TCPListener)
	if !ok || !r.isListeningAt(address, socket) {
		return nil
	}
	r.asSuccessor.Listeners[i] = nil
	l := listener.New(socket)
	l.Pause()
	return l
}

// isListeningAt reports whether a socket of the predecessor listens at a configured address.
func (r *relay) isListeningAt(address string, socket *net.TCPListener) bool {
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()
	return listener.SameAddress(ctx, address, socket.Addr())
}

// closeUnclaimedListeners closes the predecessor's listeners that no frontend of this process uses. Left open,
// they would accept connections that are never served.
func (r *relay) closeUnclaimedListeners() {
	if r.asSuccessor == nil {
		return
	}
	for i, unclaimed := range r.asSuccessor.Listeners {
		if unclaimed != nil {
			unclaimed.Close()
			r.asSuccessor.Listeners[i] = nil
		}
	}
}

// takeOver takes over from the predecessor, if there is one, and adopts its connections in a goroutine that ends
// when ctx is cancelled or the predecessor has exited. After an error this process continues without the
// predecessor.
func (r *relay) takeOver(ctx context.Context) error {
	if r.asSuccessor == nil {
		return nil
	}
	for old, timing := range r.inherited.ReportTimings {
		if id, ok := r.localEndpoint(old); ok {
			r.lineFrontend.RestoreReportTiming(id, timing)
		}
	}
	for i, slots := range r.inherited.SlotsInUse[:min(len(r.inherited.SlotsInUse), len(r.limiters))] {
		r.limiters[i].ReserveSlots(slots)
	}
	err := r.asSuccessor.TakeOver()
	r.applyPredecessorState(ctx, err == nil)
	if err != nil {
		r.persistence.openBeforeServing(ctx, r.operator.Store)
	}
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
		r.adoptFrom(ctx, r.asSuccessor)
	}()
	return nil
}

// adoptRequest prepares to continue an established request of the predecessor. The returned function continues it.
func (r *relay) adoptRequest(ctx context.Context, payload json.RawMessage, sockets []net.Conn) (resume func(), err error) {
	var request proxy.EstablishedRequest
	if err := json.Unmarshal(payload, &request); err != nil {
		return nil, err
	}
	return r.lineFrontend.Adopt(ctx, &request, sockets)
}

// releasePredecessor gives this process all admission slots, reserved request names and memory that it shared
// with the predecessor, and closes predecessorGone.
func (r *relay) releasePredecessor() {
	for _, limiter := range r.limiters {
		limiter.ReserveSlots(0)
	}
	r.proxy.Requests.ReleaseReservations()
	r.limitMemory(wholeProcess)
	close(r.predecessorGone)
}

// listenConsoleAfterPredecessor opens the console's socket once the predecessor has exited. It keeps trying as long
// as that fails: an older process of this relay may still hold the socket. It returns nil if ctx is cancelled before
// it succeeds.
func (r *relay) listenConsoleAfterPredecessor(ctx context.Context, path string) net.Listener {
	for _, condition := range []<-chan struct{}{
		r.predecessorGone,
		r.persistence.storeSettled, // the console accepts drain directives only once they can be saved
	} {
		select {
		case <-ctx.Done():
			return nil
		case <-condition:
		}
	}
	begun, reported := time.Now(), false
	for ctx.Err() == nil {
		consoleListener, err := console.Listen(path)
		if err == nil {
			return consoleListener
		}
		if !reported && time.Since(begun) > predecessorExitTimeout {
			reported = true
			r.log.Error("failed to open console socket, retrying", "error", err)
		}
		sleep(ctx, consoleRetryInterval)
	}
	return nil
}

// Offer returns the state for a successor and the sockets of this process's listeners. It is called by
// asPredecessor's goroutine.
func (r *relay) Offer(ctx context.Context) (*hotrestart.Offer, []syscall.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	state, err := r.handoffState(ctx)
	if err != nil {
		return nil, nil, err
	}
	encoded, err := json.Marshal(state)
	if err != nil {
		return nil, nil, err
	}
	offer := &hotrestart.Offer{State: encoded, ClockStart: r.proxy.Clock.Start()}
	var sockets []syscall.Conn
	for _, f := range r.frontends {
		offer.ListenerNames = append(offer.ListenerNames, f.Name)
		sockets = append(sockets, f.Listener)
	}
	offer.Clock = r.proxy.Clock.Now() // read last, so that it is as recent as possible
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
	r.offeredNames.Store(&state.OpenRequests)
	for _, limiter := range r.limiters {
		state.SlotsInUse = append(state.SlotsInUse, limiter.SlotsInUse())
	}
	return state, nil
}

// SetPaused stops this process from admitting clients and from using the slow-start budget while a successor
// serves (true), or resumes both (false). It is called by asPredecessor's goroutine.
func (r *relay) SetPaused(paused bool) {
	slowStartShare, memoryShare := 1.0, wholeProcess
	for _, bound := range r.frontends {
		if paused {
			bound.Pause()
		} else {
			bound.Resume()
		}
	}
	if paused {
		slowStartShare, memoryShare = 0, halfProcess
	}
	r.ready.Store(!paused && !r.shuttingDown.Load())
	if paused || !r.shuttingDown.Load() {
		r.handedOver.Store(paused)
	}
	if paused {
		select {
		case r.handoverBegun <- struct{}{}:
		default:
		}
	}
	r.proxy.SetSlowStartShare(slowStartShare)
	r.limitMemory(memoryShare)
}
