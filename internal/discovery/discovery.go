// Package discovery reads the farm from the agent on the relay's own machine:
// HTTP/1.1 with a watch whose answer stays open.
package discovery

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"lockroad/balancer"
	"lockroad/internal/proxy"
)

const (
	idleTimeout          = 2800 * time.Millisecond // a sound watch says something every 2 s
	maxResponseTimeout   = 6 * time.Second         // a call for a watch is answered by then, or never
	overloadedMinBackoff = time.Second             // between two watches where discovery says that it is overbooked, as againWait
	overloadedMaxBackoff = 8 * time.Second
	propagationDelay     = 6 * time.Second // what discovery has to tell has come to every agent by then
	maxListBytes         = 64 << 20        // bytes of one list: 100,000 servers, indented. Memory is taken as a list comes
)

// watchPolicy is how a watch is opened.
type watchPolicy struct {
	maxInFlight int           // that may wait for an answer at a time
	hedgeDelay  time.Duration // one that has waited so long gets another beside it, or where it is alone is given up
	minBackoff  time.Duration // between two watches, doubled with each that brings nothing,
	maxBackoff  time.Duration // up to this; each wait is drawn between half of it and all
}

var (
	// An agent on the relay's own machine answers at once and at no cost, and what it has counts as told whether
	// a watch is open or not: one that does not answer is asked again soon, and after a watch that ends at once.
	agentPolicy = watchPolicy{maxInFlight: 12, hedgeDelay: 500 * time.Millisecond, minBackoff: 25 * time.Millisecond, maxBackoff: 200 * time.Millisecond}
	// A service that all relays ask takes their calls one after another. What a silent watch misses counts as told
	// 6 s after it fell silent, so the next has to have come up by then.
	servicePolicy = watchPolicy{maxInFlight: 1, hedgeDelay: 2200 * time.Millisecond, minBackoff: 200 * time.Millisecond, maxBackoff: 1600 * time.Millisecond}
)

// policy is the one that the settings in force ask for.
func (w *Watcher) policy() watchPolicy {
	if w.Proxy.Settings().PollList {
		return servicePolicy
	}
	return agentPolicy
}

// List is a list of the farm, or of what has changed in it.
type List struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Member is an application server.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

var endpointStates = map[string]balancer.EndpointState{
	"ready": balancer.StateReady, "draining": balancer.StateDraining, "gone": balancer.StateGone,
}

// Watcher keeps a core's farm up to date.
type Watcher struct {
	Proxy      *proxy.Proxy
	Address    string // at the start; Follow names another
	Zones      []string
	RetainList bool // the list is kept as it came, for List
	revision   uint64
	failures   int // watches since one last brought anything

	newestRevision uint64                 // revision of the newest list, whichever agent told it
	lastPhases     map[string]phaseRecord // of each server that is listed, or was lately
	lastSweep      time.Time              // those that are long gone were left out of it then

	synced chan struct{} // closed once a watch has been answered; nil: nobody asked

	mu              sync.Mutex
	retained        List
	nextAddress     string             // where the watch is to be opened from now on; "" if where it is
	needsFullList   bool               // the next watch wants the list whole
	resyncScheduled bool               // it will, in a moment
	cancelWatch     context.CancelFunc // ends the watch that is open
}

// SetAddress has the list watched at another address from now on. It guards against
// an agent that is about to go: the watch there ends at once, and the farm stays
// as it is until the new agent has told its list.
func (w *Watcher) SetAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address == w.Address && w.nextAddress == "" {
		return // a watch that is sound there goes on
	}
	w.nextAddress = address
	if w.cancelWatch != nil {
		w.cancelWatch()
	}
}

// beginWatch returns the context of the next watch, and where it is opened. The list
// of an agent not watched before is wanted whole: its revisions need not go on
// from those of the last.
func (w *Watcher) beginWatch(ctx context.Context) (context.Context, context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.nextAddress != "" && w.nextAddress != w.Address {
		w.Address, w.needsFullList = w.nextAddress, true
	}
	if w.needsFullList {
		w.revision = 0
	}
	w.nextAddress, w.needsFullList = "", false
	ctx, w.cancelWatch = context.WithCancel(ctx)
	return ctx, w.cancelWatch
}

// List returns the farm in discovery's form, as it was last told, and the agent that the
// revision is of.
func (w *Watcher) List() (l List, agent string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l = w.retained
	l.Members = slices.Clone(l.Members)
	return l, w.Address
}

// Resume takes the list that another process of this relay had, and the agent that its
// revision is of.
func (w *Watcher) Resume(l List, agent string) error {
	if err := w.apply(l, balancer.ListCached); err != nil {
		return err
	}
	if agent != w.Address {
		w.revision = 0
	}
	return nil
}

// ZoneNumber is the number of a locality for as long as the relay runs, whatever the order of a later configuration. One that
// no configuration has named gets a number of its own: two of them must not pass for one zone, in which a repeat is dropped.
func (w *Watcher) ZoneNumber(locality string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if i := slices.Index(w.Zones, locality); i >= 0 {
		return i
	}
	w.Zones = append(slices.Clip(w.Zones), locality)
	return len(w.Zones) - 1
}

// retain takes news into the list that is kept.
func (w *Watcher) retain(l List, kind balancer.ListKind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if kind != balancer.ListDelta {
		w.retained = l
		w.retained.Members = slices.Clone(l.Members)
		return
	}
	w.retained.Revision, w.retained.Complete = l.Revision, true
	at := make(map[string]int, len(w.retained.Members)) // lists may have thousands
	for i, k := range w.retained.Members {
		at[k.ID] = i
	}
	for _, m := range l.Members {
		if i, there := at[m.ID]; there {
			w.retained.Members[i] = m
		} else {
			at[m.ID] = len(w.retained.Members)
			w.retained.Members = append(w.retained.Members, m)
		}
	}
	w.retained.Members = slices.DeleteFunc(w.retained.Members, func(m Member) bool { return m.Phase == "gone" })
}

// Seed takes the list that the relay had before its start.
func (w *Watcher) Seed(l List) error { return w.apply(l, balancer.ListCached) }

var errEmptyList = errors.New("discovery: a whole list names no server; the farm stays as it is")

func (w *Watcher) apply(l List, kind balancer.ListKind) error {
	if kind == balancer.ListFull && len(l.Members) == 0 && len(w.Proxy.Endpoints.List()) > 0 {
		return errEmptyList // an agent that has lost its list would have every client turned away
	}
	servers := make([]balancer.Endpoint, 0, len(l.Members))
	addresses := make([]string, 0, len(l.Members))
	held := w.holdBack(&l)
	for _, m := range l.Members {
		phase, ok := endpointStates[m.Phase]
		if !ok || m.ID == "" || !(m.Size >= 0 && m.Size < 1e12) {
			return fmt.Errorf("discovery: member %q in phase %q of size %v makes no sense", m.ID, m.Phase, m.Size)
		}
		servers = append(servers, balancer.Endpoint{
			ID: w.Proxy.Endpoints.ID(m.ID), State: phase, Zone: w.ZoneNumber(m.Locality),
			Cell: m.Cell, Weight: m.Size, StartedAt: w.Proxy.Clock.AtUnixMilli(m.UpSince),
		})
		addresses = append(addresses, m.HostPort)
	}
	if w.revision = l.Revision; w.RetainList {
		w.retain(l, kind)
	}
	w.failures = 0
	w.Proxy.SetRevision(l.Revision)
	w.Proxy.UpdateEndpoints(kind, servers, addresses)
	w.recordPhases(l, kind, held)
	return nil
}

// phaseRecord is what was last told of a server, and since when that is so.
type phaseRecord struct {
	phase string
	since time.Time
}

// holdBack leaves servers that were told to drain, or to be gone, as they are where an older list has them ready: the agent
// that tells it, as one that has just been moved to, has not heard of it yet. It tells whether there are any. One that
// has started since is another matter.
func (w *Watcher) holdBack(l *List) (held bool) {
	if l.Revision >= w.newestRevision {
		return false
	}
	for i, m := range l.Members {
		was, is := w.lastPhases[m.ID]
		if !is || was.phase == "ready" || m.Phase != "ready" || time.Since(was.since) >= propagationDelay || m.UpSince > was.since.UnixMilli() {
			continue
		}
		if !held {
			held, l.Members = true, slices.Clone(l.Members)
		}
		l.Members[i].Phase = was.phase
	}
	return held
}

// recordPhases notes what a list that was taken has told. Where servers were held against an older one, the list is asked for
// anew, whole, once every agent has the newer: what it says then is so.
func (w *Watcher) recordPhases(l List, kind balancer.ListKind, held bool) {
	now := time.Now()
	is := func(id, phase string) {
		if w.lastPhases[id].phase != phase {
			w.lastPhases[id] = phaseRecord{phase, now}
		}
	}
	if w.lastPhases == nil {
		w.lastPhases = make(map[string]phaseRecord)
	}
	if w.newestRevision = max(w.newestRevision, l.Revision); kind != balancer.ListDelta {
		if !held {
			w.newestRevision = l.Revision
		}
		named := make(map[string]bool, len(l.Members))
		for _, m := range l.Members {
			named[m.ID] = true
		}
		for id := range w.lastPhases {
			if !named[id] {
				is(id, "gone")
			}
		}
	}
	for _, m := range l.Members {
		is(m.ID, m.Phase)
	}
	if now.Sub(w.lastSweep) >= propagationDelay {
		w.lastSweep = now
		maps.DeleteFunc(w.lastPhases, func(_ string, t phaseRecord) bool { return t.phase == "gone" && now.Sub(t.since) >= propagationDelay })
	}
	if held {
		w.Proxy.Log.Warn("an older list has servers ready that were told to leave; they are held back", "revision", l.Revision, "newest", w.newestRevision)
		w.scheduleResync()
	}
}

// scheduleResync has the list asked for anew, whole, in a moment; once, however often it is called until then.
func (w *Watcher) scheduleResync() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.resyncScheduled {
		return
	}
	w.resyncScheduled = true
	time.AfterFunc(propagationDelay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.resyncScheduled, w.needsFullList = false, true
		if w.cancelWatch != nil {
			w.cancelWatch()
		}
	})
}

// markSynced notes that a watch has brought a list.
func (w *Watcher) markSynced() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.synced != nil {
		select {
		case <-w.synced:
		default:
			close(w.synced)
		}
	}
}

// Synced is closed once a watch has brought what discovery has. It guards against clients that are placed by the list
// from before the start: what the agent has counts as told from a process's first moment.
func (w *Watcher) Synced() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.synced == nil {
		w.synced = make(chan struct{})
	}
	return w.synced
}

// Run watches until ctx ends. A watch that ends is opened again from the last
// revision, after a moment, or at once where another address is to be followed.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		turn, done := w.beginWatch(ctx)
		w.failures++
		began := time.Now()
		err := w.watch(turn)
		if time.Since(began) > idleTimeout {
			w.failures = 0 // it has lived, be it without news
		}
		if turn.Err() == nil {
			w.Proxy.Log.Warn("the watch of the farm has ended", "error", cmp.Or(err, io.EOF), "revision", w.revision)
		}
		select {
		case <-turn.Done():
		case <-time.After(w.policy().backoff(w.failures, errors.Is(err, errOverloaded), w.Proxy.Settings().PollInterval)):
		}
		done()
	}
	return nil
}

// backoff is the wait before a watch is opened after some that brought nothing. It guards
// against many relays that come back to an agent that is down in step, and at once; and
// where discovery is overbooked, against calls that wait in its queue only to fail there,
// and take the time of those that would not. Who does not ask for too long (askEvery, where it is told) counts as told.
func (p watchPolicy) backoff(fails int, busy bool, askEvery time.Duration) time.Duration {
	least, most := p.minBackoff, p.maxBackoff
	if busy {
		least, most = overloadedMinBackoff, overloadedMaxBackoff
	}
	if most = min(most, least<<min(fails, 8)); askEvery > 0 {
		most = min(most, askEvery/2)
	}
	return most/2 + rand.N(max(1, most/2))
}

// watchResponse is a watch that has been asked for. Its answer has begun, or err says why it has not.
type watchResponse struct {
	conn *idleTimeoutConn
	body io.Reader
	err  error
}

// requestWatch asks for a watch.
func (w *Watcher) requestWatch(ctx context.Context, address string, revision uint64, most time.Duration) watchResponse {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return watchResponse{err: err}
	}
	cut := context.AfterFunc(ctx, func() { conn.Close() })
	c := watchResponse{conn: &idleTimeoutConn{conn, most}}
	_, c.err = fmt.Fprintf(conn, "GET /discovery/hosts?watch=1&from=%d HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", revision, address)
	if c.err == nil {
		c.body, c.err = readResponseHead(bufio.NewReader(c.conn))
	}
	if !cut() && c.err == nil {
		c.err = ctx.Err()
	}
	if c.err != nil {
		conn.Close()
	}
	c.conn.timeout = idleTimeout
	return c
}

// openWatch opens a watch. While an agent does not answer it is asked again beside the calls that wait, as it may never
// answer one that came while it was down, or answer it late: the first that is answered is the watch, the others are
// closed. A failure of the last that waits is the failure.
func (w *Watcher) openWatch(ctx context.Context) (watchResponse, error) {
	ctx, over := context.WithCancel(ctx)
	defer over()
	p := w.policy()
	most := min(maxResponseTimeout, time.Duration(p.maxInFlight)*p.hedgeDelay<<min(8, max(0, w.failures-1)))
	answers := make(chan watchResponse)
	out := 0
	for {
		if out < p.maxInFlight {
			out++
			address, revision := w.Address, w.revision // which are another turn's once one is answered
			go func() {
				c := w.requestWatch(ctx, address, revision, most)
				select {
				case answers <- c:
				case <-ctx.Done(): // another is the watch
					if c.err == nil {
						c.conn.Close()
					}
				}
			}()
		}
		again := time.NewTimer(p.hedgeDelay)
		for waits := true; waits; {
			select {
			case c := <-answers:
				if out--; c.err == nil || out == 0 {
					again.Stop()
					return c, c.err
				}
			case <-again.C:
				waits = false
			case <-ctx.Done():
				again.Stop()
				return watchResponse{}, ctx.Err()
			}
		}
	}
}

// watch opens one watch and takes what it brings until it ends.
func (w *Watcher) watch(ctx context.Context) error {
	c, err := w.openWatch(ctx)
	if err != nil {
		return err
	}
	defer c.conn.Close()
	defer context.AfterFunc(ctx, func() { c.conn.Close() })()
	// Lists may come indented, over many lines: what ends one is its last brace.
	whole := &boundedReader{Reader: c.body}
	for lists := json.NewDecoder(whole); ; {
		var l List
		whole.remaining = maxListBytes
		if err := lists.Decode(&l); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		kind := balancer.ListDelta
		if l.Complete {
			kind = balancer.ListFull
		} else if l.Revision < w.revision {
			continue // changes that newer ones have overtaken
		}
		if err := w.apply(l, kind); err != nil {
			return err
		}
		w.markSynced()
	}
}

// boundedReader ends a list that would take all memory.
type boundedReader struct {
	io.Reader
	remaining int
}

func (b *boundedReader) Read(to []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, fmt.Errorf("discovery: a list is longer than %d bytes; the farm stays as it is", maxListBytes)
	}
	n, err := b.Reader.Read(to[:min(len(to), b.remaining)])
	b.remaining -= n
	return n, err
}

// idleTimeoutConn ends a connection that says nothing for too long.
type idleTimeoutConn struct {
	net.Conn
	timeout time.Duration
}

func (q *idleTimeoutConn) Read(b []byte) (int, error) {
	q.SetReadDeadline(time.Now().Add(q.timeout))
	return q.Conn.Read(b)
}

var errOverloaded = errors.New("discovery: the service is overbooked (503)")

var errMalformed = errors.New("discovery: the answer's head makes no sense")

// readResponseHead reads the head of an answer and returns its body.
func readResponseHead(r *bufio.Reader) (io.Reader, error) {
	status, err := readLine(r)
	if err != nil {
		return nil, err
	}
	word := strings.SplitN(status, " ", 3)
	if len(word) > 1 && word[1] == "503" {
		return nil, errOverloaded
	}
	if len(word) < 2 || !strings.HasPrefix(word[0], "HTTP/1.") || word[1] != "200" {
		return nil, fmt.Errorf("discovery: the answer is %q", status)
	}
	var body io.Reader = r // until its end, if nothing else is said
	for range 100 {
		field, err := readLine(r)
		if err != nil {
			return nil, err
		}
		if field == "" {
			return body, nil
		}
		name, value, ok := strings.Cut(field, ":")
		if !ok {
			return nil, errMalformed
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "transfer-encoding":
			if !strings.EqualFold(value, "chunked") {
				return nil, errMalformed
			}
			body = &chunkedReader{reader: r}
		case "content-length":
			n, err := strconv.ParseInt(value, 10, 64)
			if err != nil || n < 0 {
				return nil, errMalformed
			}
			if _, is := body.(*chunkedReader); !is {
				body = io.LimitReader(r, n)
			}
		}
	}
	return nil, errMalformed
}

// readLine reads a line of the protocol's own, without its end.
func readLine(r *bufio.Reader) (string, error) {
	text, err := r.ReadSlice('\n')
	if err != nil {
		return "", err
	}
	return strings.TrimRight(string(text), "\r\n"), nil
}

// chunkedReader reads a body that comes in chunks.
type chunkedReader struct {
	reader     *bufio.Reader
	remaining  int64
	afterChunk bool // a chunk has come, and its end is still to be read
	err        error
}

func (c *chunkedReader) Read(b []byte) (int, error) {
	for c.remaining == 0 && c.err == nil {
		c.remaining, c.err = c.nextChunkSize()
	}
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.reader.Read(b[:min(int64(len(b)), c.remaining)])
	c.remaining -= int64(n)
	c.err = unexpectedEOF(err)
	return n, c.err
}

// nextChunkSize reads the head of a chunk.
func (c *chunkedReader) nextChunkSize() (int64, error) {
	if c.afterChunk {
		if text, err := readLine(c.reader); err != nil || text != "" {
			return 0, errMalformed
		}
	}
	text, err := readLine(c.reader)
	if err != nil {
		return 0, unexpectedEOF(err)
	}
	size, _, _ := strings.Cut(text, ";")
	n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
	if err != nil {
		return 0, errMalformed
	}
	if n == 0 {
		return 0, io.EOF
	}
	c.afterChunk = true
	return int64(n), nil
}

// unexpectedEOF guards against a connection that breaks within a body, which must not
// pass for the body's end.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
