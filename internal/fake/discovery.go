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

// Discovery is a stand-in of discovery's agent: the list whole, and a watch of its
// changes over HTTP/1.1.
type Discovery struct {
	Log *EventLog

	mu        sync.Mutex
	members   map[string]discovery.Member
	revisions map[string]uint64 // revision of each member's last change
	revision  uint64
	changed   chan struct{} // closed and renewed with each change
	server    *http.Server
	address   string
}

// Start opens the agent at an address.
func (d *Discovery) Start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("stand-in discovery: %w", err)
	}
	d.mu.Lock()
	d.members, d.revisions, d.changed, d.revision = make(map[string]discovery.Member), make(map[string]uint64), make(chan struct{}), 1
	d.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", d.serveHosts)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	d.server = server
	d.mu.Unlock()
	go func() { _ = server.Serve(l) }() // until Stop
	return nil
}

// Stop ends the agent and its watches.
func (d *Discovery) Stop() { _ = d.server.Close() }

// Address is where the agent is.
func (d *Discovery) Address() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.address
}

// Set puts a member on the list, or changes it.
func (d *Discovery) Set(m discovery.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.members[m.ID], d.revisions[m.ID] = m, d.revision
	close(d.changed)
	d.changed = make(chan struct{})
	d.Log.addChange(EndpointChange{At: time.Now(), Endpoint: m.ID, State: m.Phase})
}

// SetState changes the phase of a member; with born it has just started.
func (d *Discovery) SetState(id, phase string, born bool) {
	d.mu.Lock()
	m := d.members[id]
	d.mu.Unlock()
	if m.Phase = phase; born {
		m.UpSince = time.Now().UnixMilli()
	}
	d.Set(m)
}

// Rewind has revisions begin again from a lower one, as after a loss of discovery's own
// state.
func (d *Discovery) Rewind() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision = 1
	for id := range d.revisions {
		d.revisions[id] = 1
	}
}

// List is the list as it stands.
func (d *Discovery) List() discovery.List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since(0)
}

// since is what changed after a revision; the whole list after none.
func (d *Discovery) since(revision uint64) discovery.List {
	l := discovery.List{Revision: d.revision, Complete: revision == 0}
	for id, m := range d.members {
		if d.revisions[id] > revision && !(l.Complete && m.Phase == "gone") {
			l.Members = append(l.Members, m)
		}
	}
	slices.SortFunc(l.Members, func(x, y discovery.Member) int { return strings.Compare(x.ID, y.ID) })
	return l
}

// serveHosts answers a GET: the list, or with watch=1 its changes until the watch ends, and
// an empty line every 2 s.
func (d *Discovery) serveHosts(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil && r.URL.Query().Has("from") {
		http.Error(w, "from is no revision", http.StatusBadRequest)
		return
	}
	d.mu.Lock()
	if from > d.revision { // of another agent
		from = 0
	}
	l, changed := d.since(from), d.changed
	d.mu.Unlock()
	e := json.NewEncoder(w)
	w.Header().Set("Content-Type", "application/json")
	_ = e.Encode(l) // a caller that has gone is seen below
	if r.URL.Query().Get("watch") != "1" {
		return
	}
	beat := time.NewTicker(2 * time.Second)
	defer beat.Stop()
	for flush := http.NewResponseController(w); ; {
		if flush.Flush() != nil {
			return
		}
		from = l.Revision
		select {
		case <-r.Context().Done():
			return
		case <-beat.C:
			fmt.Fprint(w, "\n")
			continue
		case <-changed:
		}
		d.mu.Lock()
		l, changed = d.since(from), d.changed
		l.Complete = false
		d.mu.Unlock()
		if e.Encode(l) != nil {
			return
		}
	}
}
