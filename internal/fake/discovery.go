package fake

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"lockroad/internal/discovery"
)

// Discovery is a discovery agent. It serves the endpoint list and a watch of its changes over
// HTTP/1.1. After Start, its methods are safe for concurrent use.
type Discovery struct {
	Log *EventLog

	mu        sync.Mutex // guards the fields below
	members   map[string]discovery.Member
	revisions map[string]uint64 // revision of each member's last change
	revision  uint64
	changed   chan struct{} // closed and replaced on each change
	server    *http.Server
	address   string
}

// Start starts the agent on an address.
func (d *Discovery) Start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("start fake discovery: %w", err)
	}
	d.mu.Lock()
	d.members, d.revisions, d.changed, d.revision = make(map[string]discovery.Member), make(map[string]uint64), make(chan struct{}), 1
	d.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", d.serveHosts)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	d.server = server
	d.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // ends with Stop
	return nil
}

// Stop stops the agent and closes its watches.
func (d *Discovery) Stop() { _ = d.server.Close() }

// Address returns the address that the agent listens on.
func (d *Discovery) Address() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.address
}

// SetMember adds a member to the list or replaces it.
func (d *Discovery) SetMember(member discovery.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.members[member.ID], d.revisions[member.ID] = member, d.revision
	close(d.changed)
	d.changed = make(chan struct{})
	d.Log.addChange(EndpointChange{At: time.Now(), Endpoint: member.ID, State: member.Phase})
}

// SetState changes the phase of a member; justStarted also sets its start time to now.
func (d *Discovery) SetState(id, phase string, justStarted bool) {
	d.mu.Lock()
	member := d.members[id]
	d.mu.Unlock()
	member.Phase = phase
	if justStarted {
		member.UpSince = time.Now().UnixMilli()
	}
	d.SetMember(member)
}

// ResetRevisions sets all revisions back to 1, as if discovery had lost its state.
func (d *Discovery) ResetRevisions() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision = 1
	for id := range d.revisions {
		d.revisions[id] = 1
	}
}

// List returns the complete endpoint list.
func (d *Discovery) List() discovery.List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since(0)
}

// since returns the changes after a revision, or the complete list for 0. The caller holds mu.
func (d *Discovery) since(revision uint64) discovery.List {
	list := discovery.List{Revision: d.revision, Complete: revision == 0}
	for id, member := range d.members {
		if d.revisions[id] > revision && !(list.Complete && member.Phase == "gone") {
			list.Members = append(list.Members, member)
		}
	}
	slices.SortFunc(list.Members, func(a, b discovery.Member) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// keepAliveInterval is the interval of the empty lines on a watch.
const keepAliveInterval = 2 * time.Second

// serveHosts serves the list and, with watch=1, its changes until the client closes the connection.
func (d *Discovery) serveHosts(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil && r.URL.Query().Has("from") {
		http.Error(w, "invalid revision in parameter from", http.StatusBadRequest)
		return
	}
	d.mu.Lock()
	if from > d.revision { // a revision from before ResetRevisions or of another agent
		from = 0
	}
	list, changed := d.since(from), d.changed
	d.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list) // watch detects a closed connection
	if r.URL.Query().Get("watch") == "1" {
		d.watch(w, r, list.Revision, changed)
	}
}

// watch writes the changes after a revision, and empty lines as keep-alive, until the client
// closes the connection. changed is closed on the first change after the revision.
func (d *Discovery) watch(w http.ResponseWriter, request *http.Request, revision uint64, changed <-chan struct{}) {
	encoder := json.NewEncoder(w)
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	for response := http.NewResponseController(w); ; {
		if response.Flush() != nil {
			return
		}
		select {
		case <-request.Context().Done():
			return
		case <-keepAlive.C:
			fmt.Fprint(w, "\n")
			continue
		case <-changed:
		}
		d.mu.Lock()
		list := d.since(revision)
		changed = d.changed
		d.mu.Unlock()
		list.Complete = false
		revision = list.Revision
		if encoder.Encode(list) != nil {
			return
		}
	}
}
