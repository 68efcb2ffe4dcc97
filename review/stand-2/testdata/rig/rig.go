// Package rig has what the cases of the second review share: a record of the run, free loopback addresses, relay
// processes, and stand-ins for discovery, line servers and line clients. The stand-ins keep to the protocol pages.
package rig

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Case is one run of a case.
type Case struct {
	Trouble bool   // the disruption takes place
	Dir     string // temporary folder
	Root    string // of the repository

	mu      sync.Mutex
	record  *os.File
	start   time.Time
	cleanup []func()
	used    map[string]bool // addresses that FreeAddress has returned
}

// notRun ends a case that could not run; Main turns it into exit code 2.
type notRun string

// Main runs a case and exits with its code. The environment names the case's folder (CASE_DIR) and the root (ROOT).
func Main(run func(*Case) bool) {
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", Root: os.Getenv("ROOT"), start: time.Now(), used: make(map[string]bool)}
	code := NotRun
	var err error
	if c.record, err = os.Create(filepath.Join(os.Getenv("CASE_DIR"), "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	if c.Dir, err = os.MkdirTemp("", "lockroad-case-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-stop
		c.abort("told to stop")
	}()
	func() {
		defer func() {
			value := recover()
			for i := len(c.cleanup) - 1; i >= 0; i-- {
				c.cleanup[i]()
			}
			os.RemoveAll(c.Dir)
			if reason, ok := value.(notRun); ok {
				c.Log("could not run: %s", string(reason))
				code = NotRun
			} else if value != nil {
				panic(value)
			}
		}()
		time.AfterFunc(115*time.Second, func() { c.abort("over 115 s") })
		if run(c) {
			code = Held
		} else {
			code = Broken
		}
	}()
	c.Log("exit %d (0 held, 1 broken, 2 could not run), disruption %v", code, c.Trouble)
	c.record.Close()
	os.Exit(code)
}

// Log writes a line to the record, with the seconds since the start.
func (c *Case) Log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f "+format+"\n", append([]any{time.Since(c.start).Seconds()}, args...)...)
}

// Say writes a line to the record and to standard output.
func (c *Case) Say(format string, args ...any) {
	c.Log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Fail ends a case that can't run.
func (c *Case) Fail(format string, args ...any) { panic(notRun(fmt.Sprintf(format, args...))) }

// Need ends the case if err is set.
func (c *Case) Need(err error) {
	if err != nil {
		c.Fail("%v", err)
	}
}

// Defer adds a function that runs at the end, the last one first.
func (c *Case) Defer(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cleanup = append(c.cleanup, f)
}

// FreeAddress returns a loopback address on which nobody listens, each only once. Its port is under those that the system
// deals to connections.
func (c *Case) FreeAddress() string {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", 15000+rand.IntN(15000))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		if !c.used[address] {
			c.used[address] = true
			return address
		}
	}
	c.Fail("no free port")
	return ""
}

// WriteFile replaces a file of the temporary folder as a whole, and returns its path.
func (c *Case) WriteFile(name, text string) string {
	path := filepath.Join(c.Dir, name)
	c.Need(os.WriteFile(path+".new", []byte(text), 0o600))
	c.Need(os.Rename(path+".new", path))
	return path
}

// Process is a process of a relay.
type Process struct {
	Name   string
	Admin  string
	Cmd    *exec.Cmd
	Exited chan struct{}
	c      *Case
}

// StartRelay starts `run` of the deploy file, with more words and variables. log is the name of its log.
func (c *Case) StartRelay(name string, words string, env ...string) *Process {
	p := &Process{Name: name, Exited: make(chan struct{}), c: c}
	p.Cmd = exec.Command("/bin/sh", "-c", "exec bin/lockroad"+words)
	p.Cmd.Dir = c.Root
	p.Cmd.Env = append(os.Environ(), append([]string{"TMPDIR=" + c.Dir}, env...)...)
	log, err := os.Create(filepath.Join(c.Dir, name+".log"))
	c.Need(err)
	p.Cmd.Stdout, p.Cmd.Stderr = log, log
	c.Need(p.Cmd.Start())
	c.Log("relay %s: process started", name)
	go func() {
		err := p.Cmd.Wait()
		c.Log("relay %s: process ended (%v)", name, err)
		log.Close()
		close(p.Exited)
	}()
	c.Defer(func() {
		p.Cmd.Process.Signal(syscall.SIGCONT)
		p.Cmd.Process.Kill()
		<-p.Exited
		text, _ := os.ReadFile(filepath.Join(c.Dir, name+".log"))
		lines := strings.Split(strings.TrimSpace(string(text)), "\n")
		if len(lines) > 60 {
			lines = append([]string{"..."}, lines[len(lines)-60:]...)
		}
		for _, line := range lines {
			c.Log("log of %s: %s", name, line)
		}
	})
	return p
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.c.Log("relay %s: %v", p.Name, s)
	p.Cmd.Process.Signal(s)
}

// AwaitReady waits until the second address says yes.
func (p *Process) AwaitReady() {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if response, err := http.Get("http://" + p.Admin + "/-/ready"); err == nil {
			response.Body.Close()
			if response.StatusCode == 200 {
				p.c.Log("relay %s: ready", p.Name)
				return
			}
		}
	}
	p.c.Fail("relay %s is not ready", p.Name)
}

// AwaitPong waits until the relay answers PING, for a relay without a second address.
func (c *Case) AwaitPong(address string) {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			continue
		}
		conn.SetDeadline(time.Now().Add(time.Second))
		io.WriteString(conn, "PING\r\n")
		answer := make([]byte, 6)
		_, err = io.ReadFull(conn, answer)
		conn.Close()
		if err == nil && string(answer) == "PONG\r\n" {
			c.Log("%s answers PING", address)
			return
		}
	}
	c.Fail("%s does not answer PING", address)
}

// Console runs a command at a relay's console, and returns its output.
func (c *Case) Console(socket string, words ...string) string {
	cmd := exec.Command(filepath.Join(c.Root, "bin/lockroad"), append([]string{"console", "--socket", socket}, words...)...)
	out, err := cmd.CombinedOutput()
	c.Log("console %q: %v, %q", strings.Join(words, " "), err, strings.TrimSpace(string(out)))
	return string(out)
}

// Member is one entry of discovery's list.
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

// List is a list of discovery.
type List struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Agent is discovery's agent on the relay's machine.
type Agent struct {
	Address string
	Name    string
	c       *Case
	mu      sync.Mutex
	list    List
	changes []List
	changed chan struct{}
	conns   map[chan struct{}]bool
	server  *http.Server
	closed  bool
}

// NewAgent starts an agent with a list.
func (c *Case) NewAgent(name string, list List) *Agent {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Need(err)
	list.Complete = true
	a := &Agent{Address: l.Addr().String(), Name: name, c: c, list: list, changed: make(chan struct{})}
	a.server = &http.Server{Handler: http.HandlerFunc(a.serve)}
	go a.server.Serve(l)
	c.Defer(func() { a.server.Close() })
	return a
}

// Change tells a change of some members.
func (a *Agent) Change(revision int, members ...Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list.Revision = revision
	kept := append([]Member(nil), a.list.Members...)
	for _, m := range members {
		found := false
		for i := range kept {
			if kept[i].ID == m.ID {
				kept[i], found = m, true
			}
		}
		if !found {
			kept = append(kept, m)
		}
	}
	a.list.Members = nil
	for _, m := range kept {
		if m.Phase != "gone" {
			a.list.Members = append(a.list.Members, m)
		}
	}
	a.changes = append(a.changes, List{Revision: revision, Members: members})
	close(a.changed)
	a.changed = make(chan struct{})
	a.c.Log("%s: has revision %d: %s", a.Name, revision, describe(members))
}

func describe(members []Member) string {
	var words []string
	for _, m := range members {
		words = append(words, m.ID+" "+m.Phase)
	}
	return strings.Join(words, ", ")
}

// Current returns the agent's list.
func (a *Agent) Current() List {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.list
}

// serve answers /discovery/hosts, with or without a watch.
func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/discovery/hosts" {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	a.mu.Lock()
	list, told := a.list, len(a.changes)
	a.mu.Unlock()
	if r.URL.Query().Get("watch") == "" {
		json.NewEncoder(w).Encode(list)
		return
	}
	a.c.Log("%s: watch from %s, answered with revision %d", a.Name, r.URL.Query().Get("from"), list.Revision)
	flusher := w.(http.Flusher)
	encoder := json.NewEncoder(w)
	encoder.Encode(list)
	flusher.Flush()
	for {
		a.mu.Lock()
		changed, pending := a.changed, a.changes[told:]
		told = len(a.changes)
		a.mu.Unlock()
		for _, change := range pending {
			encoder.Encode(change)
			flusher.Flush()
			a.c.Log("%s: wrote revision %d to the relay: %s", a.Name, change.Revision, describe(change.Members))
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(2 * time.Second):
			io.WriteString(w, "\n")
			flusher.Flush()
		}
	}
}

// MakeDir makes a folder.
func (c *Case) MakeDir(path string) { c.Need(os.MkdirAll(path, 0o700)) }

// abort ends the case at once, with all that it started.
func (c *Case) abort(reason string) {
	c.Log("could not run: %s", reason)
	c.mu.Lock()
	cleanup := c.cleanup
	c.mu.Unlock()
	for i := len(cleanup) - 1; i >= 0; i-- {
		cleanup[i]()
	}
	os.RemoveAll(c.Dir)
	os.Exit(NotRun)
}
