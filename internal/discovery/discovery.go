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
	quietMost  = 2800 * time.Millisecond // a sound watch says something every 2 s
	answerMost = 6 * time.Second         // a call for a watch is answered by then, or never
	busyWait   = time.Second             // between two watches where discovery says that it is overbooked, as againWait
	busyMost   = 8 * time.Second
	staleFor   = 6 * time.Second // what discovery has to tell has come to every agent by then
	listMost   = 64 << 20        // bytes of one list: 100,000 servers, indented. Memory is taken as a list comes
)

// pace is how a watch is opened.
type pace struct {
	calls     int           // that may wait for an answer at a time
	head      time.Duration // one that has waited so long gets another beside it, or where it is alone is given up
	againWait time.Duration // between two watches, doubled with each that brings nothing,
	againMost time.Duration // up to this; each wait is drawn between half of it and all
}

var (
	// An agent on the relay's own machine answers at once and at no cost, and what it has counts as told whether
	// a watch is open or not: one that does not answer is asked again soon, and after a watch that ends at once.
	ofAgent = pace{calls: 12, head: 500 * time.Millisecond, againWait: 25 * time.Millisecond, againMost: 200 * time.Millisecond}
	// A service that all relays ask takes their calls one after another. What a silent watch misses counts as told
	// 6 s after it fell silent, so the next has to have come up by then.
	ofService = pace{calls: 1, head: 2200 * time.Millisecond, againWait: 200 * time.Millisecond, againMost: 1600 * time.Millisecond}
)

// pace is the one that the settings in force ask for.
func (w *Watcher) pace() pace {
	if w.Proxy.Settings().PollList {
		return ofService
	}
	return ofAgent
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

var phases = map[string]balancer.EndpointState{
	"ready": balancer.StateReady, "draining": balancer.StateDraining, "gone": balancer.StateGone,
}

// Watcher keeps a core's farm up to date.
type Watcher struct {
	Proxy      *proxy.Proxy
	Address    string // at the start; Follow names another
	Zones      []string
	RetainList bool // the list is kept as it came, for List
	revision   uint64
	fails      int // watches since one last brought anything

	newest uint64          // revision of the newest list, whichever agent told it
	told   map[string]told // of each server that is listed, or was lately
	swept  time.Time       // those that are long gone were left out of it then

	first chan struct{} // closed once a watch has been answered; nil: nobody asked

	mu     sync.Mutex
	kept   List
	next   string             // where the watch is to be opened from now on; "" if where it is
	whole  bool               // the next watch wants the list whole
	due    bool               // it will, in a moment
	cancel context.CancelFunc // ends the watch that is open
}

// SetAddress has the list watched at another address from now on. It guards against
// an agent that is about to go: the watch there ends at once, and the farm stays
// as it is until the new agent has told its list.
func (w *Watcher) SetAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address == w.Address && w.next == "" {
		return // a watch that is sound there goes on
	}
	w.next = address
	if w.cancel != nil {
		w.cancel()
	}
}

// turn returns the context of the next watch, and where it is opened. The list
// of an agent not watched before is wanted whole: its revisions need not go on
// from those of the last.
func (w *Watcher) turn(ctx context.Context) (context.Context, context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.next != "" && w.next != w.Address {
		w.Address, w.whole = w.next, true
	}
	if w.whole {
		w.revision = 0
	}
	w.next, w.whole = "", false
	ctx, w.cancel = context.WithCancel(ctx)
	return ctx, w.cancel
}

// List returns the farm in discovery's form, as it was last told, and the agent that the
// revision is of.
func (w *Watcher) List() (l List, agent string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l = w.kept
	l.Members = slices.Clone(l.Members)
	return l, w.Address
}

// Resume takes the list that another process of this relay had, and the agent that its
// revision is of.
func (w *Watcher) Resume(l List, agent string) error {
	if err := w.take(l, balancer.ListCached); err != nil {
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

// keep takes news into the list that is kept.
func (w *Watcher) keep(l List, kind balancer.ListKind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if kind != balancer.ListDelta {
		w.kept = l
		w.kept.Members = slices.Clone(l.Members)
		return
	}
	w.kept.Revision, w.kept.Complete = l.Revision, true
	at := make(map[string]int, len(w.kept.Members)) // lists may have thousands
	for i, k := range w.kept.Members {
		at[k.ID] = i
	}
	for _, m := range l.Members {
		if i, there := at[m.ID]; there {
			w.kept.Members[i] = m
		} else {
			at[m.ID] = len(w.kept.Members)
			w.kept.Members = append(w.kept.Members, m)
		}
	}
	w.kept.Members = slices.DeleteFunc(w.kept.Members, func(m Member) bool { return m.Phase == "gone" })
}

// Seed takes the list that the relay had before its start.
func (w *Watcher) Seed(l List) error { return w.take(l, balancer.ListCached) }

var errEmpty = errors.New("discovery: a whole list names no server; the farm stays as it is")

func (w *Watcher) take(l List, kind balancer.ListKind) error {
	if kind == balancer.ListFull && len(l.Members) == 0 && len(w.Proxy.Endpoints.List()) > 0 {
		return errEmpty // an agent that has lost its list would have every client turned away
	}
	servers := make([]balancer.Endpoint, 0, len(l.Members))
	addresses := make([]string, 0, len(l.Members))
	held := w.hold(&l)
	for _, m := range l.Members {
		phase, ok := phases[m.Phase]
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
		w.keep(l, kind)
	}
	w.fails = 0
	w.Proxy.SetRevision(l.Revision)
	w.Proxy.UpdateEndpoints(kind, servers, addresses)
	w.note(l, kind, held)
	return nil
}

// told is what was last told of a server, and since when that is so.
type told struct {
	phase string
	since time.Time
}

// hold leaves servers that were told to drain, or to be gone, as they are where an older list has them ready: the agent
// that tells it, as one that has just been moved to, has not heard of it yet. It tells whether there are any. One that
// has started since is another matter.
func (w *Watcher) hold(l *List) (held bool) {
	if l.Revision >= w.newest {
		return false
	}
	for i, m := range l.Members {
		was, is := w.told[m.ID]
		if !is || was.phase == "ready" || m.Phase != "ready" || time.Since(was.since) >= staleFor || m.UpSince > was.since.UnixMilli() {
			continue
		}
		if !held {
			held, l.Members = true, slices.Clone(l.Members)
		}
		l.Members[i].Phase = was.phase
	}
	return held
}

// note notes what a list that was taken has told. Where servers were held against an older one, the list is asked for
// anew, whole, once every agent has the newer: what it says then is so.
func (w *Watcher) note(l List, kind balancer.ListKind, held bool) {
	now := time.Now()
	is := func(id, phase string) {
		if w.told[id].phase != phase {
			w.told[id] = told{phase, now}
		}
	}
	if w.told == nil {
		w.told = make(map[string]told)
	}
	if w.newest = max(w.newest, l.Revision); kind != balancer.ListDelta {
		if !held {
			w.newest = l.Revision
		}
		named := make(map[string]bool, len(l.Members))
		for _, m := range l.Members {
			named[m.ID] = true
		}
		for id := range w.told {
			if !named[id] {
				is(id, "gone")
			}
		}
	}
	for _, m := range l.Members {
		is(m.ID, m.Phase)
	}
	if now.Sub(w.swept) >= staleFor {
		w.swept = now
		maps.DeleteFunc(w.told, func(_ string, t told) bool { return t.phase == "gone" && now.Sub(t.since) >= staleFor })
	}
	if held {
		w.Proxy.Log.Warn("an older list has servers ready that were told to leave; they are held back", "revision", l.Revision, "newest", w.newest)
		w.askAnew()
	}
}

// askAnew has the list asked for anew, whole, in a moment; once, however often it is called until then.
func (w *Watcher) askAnew() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.due {
		return
	}
	w.due = true
	time.AfterFunc(staleFor, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.due, w.whole = false, true
		if w.cancel != nil {
			w.cancel()
		}
	})
}

// answered notes that a watch has brought a list.
func (w *Watcher) answered() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.first != nil {
		select {
		case <-w.first:
		default:
			close(w.first)
		}
	}
}

// Synced is closed once a watch has brought what discovery has. It guards against clients that are placed by the list
// from before the start: what the agent has counts as told from a process's first moment.
func (w *Watcher) Synced() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.first == nil {
		w.first = make(chan struct{})
	}
	return w.first
}

// Run watches until ctx ends. A watch that ends is opened again from the last
// revision, after a moment, or at once where another address is to be followed.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		turn, done := w.turn(ctx)
		w.fails++
		began := time.Now()
		err := w.watch(turn)
		if time.Since(began) > quietMost {
			w.fails = 0 // it has lived, be it without news
		}
		if turn.Err() == nil {
			w.Proxy.Log.Warn("the watch of the farm has ended", "error", cmp.Or(err, io.EOF), "revision", w.revision)
		}
		select {
		case <-turn.Done():
		case <-time.After(w.pace().again(w.fails, errors.Is(err, errBusy), w.Proxy.Settings().PollInterval)):
		}
		done()
	}
	return nil
}

// again is the wait before a watch is opened after some that brought nothing. It guards
// against many relays that come back to an agent that is down in step, and at once; and
// where discovery is overbooked, against calls that wait in its queue only to fail there,
// and take the time of those that would not. Who does not ask for too long (askEvery, where it is told) counts as told.
func (p pace) again(fails int, busy bool, askEvery time.Duration) time.Duration {
	least, most := p.againWait, p.againMost
	if busy {
		least, most = busyWait, busyMost
	}
	if most = min(most, least<<min(fails, 8)); askEvery > 0 {
		most = min(most, askEvery/2)
	}
	return most/2 + rand.N(max(1, most/2))
}

// call is a watch that has been asked for. Its answer has begun, or err says why it has not.
type call struct {
	conn *quiet
	body io.Reader
	err  error
}

// call asks for a watch.
func (w *Watcher) call(ctx context.Context, address string, revision uint64, most time.Duration) call {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return call{err: err}
	}
	cut := context.AfterFunc(ctx, func() { conn.Close() })
	c := call{conn: &quiet{conn, most}}
	_, c.err = fmt.Fprintf(conn, "GET /discovery/hosts?watch=1&from=%d HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", revision, address)
	if c.err == nil {
		c.body, c.err = readHead(bufio.NewReader(c.conn))
	}
	if !cut() && c.err == nil {
		c.err = ctx.Err()
	}
	if c.err != nil {
		conn.Close()
	}
	c.conn.most = quietMost
	return c
}

// open opens a watch. While an agent does not answer it is asked again beside the calls that wait, as it may never
// answer one that came while it was down, or answer it late: the first that is answered is the watch, the others are
// closed. A failure of the last that waits is the failure.
func (w *Watcher) open(ctx context.Context) (call, error) {
	ctx, over := context.WithCancel(ctx)
	defer over()
	p := w.pace()
	most := min(answerMost, time.Duration(p.calls)*p.head<<min(8, max(0, w.fails-1)))
	answers := make(chan call)
	out := 0
	for {
		if out < p.calls {
			out++
			address, revision := w.Address, w.revision // which are another turn's once one is answered
			go func() {
				c := w.call(ctx, address, revision, most)
				select {
				case answers <- c:
				case <-ctx.Done(): // another is the watch
					if c.err == nil {
						c.conn.Close()
					}
				}
			}()
		}
		again := time.NewTimer(p.head)
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
				return call{}, ctx.Err()
			}
		}
	}
}

// watch opens one watch and takes what it brings until it ends.
func (w *Watcher) watch(ctx context.Context) error {
	c, err := w.open(ctx)
	if err != nil {
		return err
	}
	defer c.conn.Close()
	defer context.AfterFunc(ctx, func() { c.conn.Close() })()
	// Lists may come indented, over many lines: what ends one is its last brace.
	whole := &bounded{Reader: c.body}
	for lists := json.NewDecoder(whole); ; {
		var l List
		whole.left = listMost
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
		if err := w.take(l, kind); err != nil {
			return err
		}
		w.answered()
	}
}

// bounded ends a list that would take all memory.
type bounded struct {
	io.Reader
	left int
}

func (b *bounded) Read(to []byte) (int, error) {
	if b.left <= 0 {
		return 0, fmt.Errorf("discovery: a list is longer than %d bytes; the farm stays as it is", listMost)
	}
	n, err := b.Reader.Read(to[:min(len(to), b.left)])
	b.left -= n
	return n, err
}

// quiet ends a connection that says nothing for too long.
type quiet struct {
	net.Conn
	most time.Duration
}

func (q *quiet) Read(b []byte) (int, error) {
	q.SetReadDeadline(time.Now().Add(q.most))
	return q.Conn.Read(b)
}

var errBusy = errors.New("discovery: the service is overbooked (503)")

var errHead = errors.New("discovery: the answer's head makes no sense")

// readHead reads the head of an answer and returns its body.
func readHead(r *bufio.Reader) (io.Reader, error) {
	status, err := readLine(r)
	if err != nil {
		return nil, err
	}
	word := strings.SplitN(status, " ", 3)
	if len(word) > 1 && word[1] == "503" {
		return nil, errBusy
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
			return nil, errHead
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "transfer-encoding":
			if !strings.EqualFold(value, "chunked") {
				return nil, errHead
			}
			body = &chunked{r: r}
		case "content-length":
			n, err := strconv.ParseInt(value, 10, 64)
			if err != nil || n < 0 {
				return nil, errHead
			}
			if _, is := body.(*chunked); !is {
				body = io.LimitReader(r, n)
			}
		}
	}
	return nil, errHead
}

// readLine reads a line of the protocol's own, without its end.
func readLine(r *bufio.Reader) (string, error) {
	text, err := r.ReadSlice('\n')
	if err != nil {
		return "", err
	}
	return strings.TrimRight(string(text), "\r\n"), nil
}

// chunked reads a body that comes in chunks.
type chunked struct {
	r    *bufio.Reader
	left int64
	some bool // a chunk has come, and its end is still to be read
	err  error
}

func (c *chunked) Read(b []byte) (int, error) {
	for c.left == 0 && c.err == nil {
		c.left, c.err = c.next()
	}
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.r.Read(b[:min(int64(len(b)), c.left)])
	c.left -= int64(n)
	c.err = cutShort(err)
	return n, c.err
}

// next reads the head of a chunk.
func (c *chunked) next() (int64, error) {
	if c.some {
		if text, err := readLine(c.r); err != nil || text != "" {
			return 0, errHead
		}
	}
	text, err := readLine(c.r)
	if err != nil {
		return 0, cutShort(err)
	}
	size, _, _ := strings.Cut(text, ";")
	n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
	if err != nil {
		return 0, errHead
	}
	if n == 0 {
		return 0, io.EOF
	}
	c.some = true
	return int64(n), nil
}

// cutShort guards against a connection that breaks within a body, which must not
// pass for the body's end.
func cutShort(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
