// Package harness has what the cases of review/ share: a record, the relay as a separate process started as the
// deploy file says, its configuration, and stand-ins for discovery, engravers and clients of the line protocol.
package harness

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held     = 0 // the rule held
	Broken   = 1 // the rule was broken
	CannotGo = 2 // the case could not run
)

// Case is one run of a case.
type Case struct {
	Trouble bool   // false with TROUBLE=0
	Root    string // of the repository
	Temp    string // a temporary folder, removed by Finish

	ending sync.Mutex
	mu     sync.Mutex
	record *os.File
	start  time.Time
	relays []*Relay
	broken []string
}

// NewCase starts a run. recordPath is the file that gets what was sent, answered and run.
func NewCase(root, recordPath string) *Case {
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	var err error
	if c.Root, err = filepath.Abs(root); err == nil {
		c.Temp, err = os.MkdirTemp("", "lockroad-review-")
	}
	if err == nil {
		c.record, err = os.Create(recordPath)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CannotGo)
	}
	c.Logf("case", "trouble=%v", c.Trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case received := <-signals:
			c.Must("finish", fmt.Errorf("got signal %v", received))
		case <-time.After(longest):
			c.Must("finish", fmt.Errorf("the run takes over %v", longest))
		}
	}()
	return c
}

// longest is the time that a run may take.
const longest = 110 * time.Second

// Logf writes one line of the record: milliseconds since the start, who, and what.
func (c *Case) Logf(who, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%9.1f %-10s %s\n", float64(time.Since(c.start).Microseconds())/1000, who, fmt.Sprintf(format, args...))
}

// Break records that the rule was broken.
func (c *Case) Break(format string, args ...any) {
	c.mu.Lock()
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
	c.mu.Unlock()
	c.Logf("BROKEN", format, args...)
}

// Must ends the run with CannotGo if err is an error.
func (c *Case) Must(what string, err error) {
	if err != nil {
		c.Logf("case", "cannot run: %s: %v", what, err)
		fmt.Fprintf(os.Stderr, "cannot run: %s: %v\n", what, err)
		c.end(CannotGo)
	}
}

// Finish ends all processes of the run and exits.
func (c *Case) Finish() {
	code := Held
	if len(c.broken) > 0 {
		code = Broken
	}
	c.end(code)
}

func (c *Case) end(code int) {
	c.ending.Lock() // never unlocked: the first caller exits
	for _, relay := range c.relays {
		relay.Kill()
		c.Logf(relay.Name, "log of the process, last lines:\n%s", strings.ReplaceAll(relay.LogTail(), c.Root+"/", ""))
	}
	c.Logf("case", "exit code %d", code)
	for _, line := range c.broken {
		fmt.Println("broken:", line)
	}
	fmt.Printf("exit code %d (trouble=%v)\n", code, c.Trouble)
	os.RemoveAll(c.Temp)
	os.Exit(code)
}

// FreeAddress returns a loopback address with a port that was free just now.
func FreeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// Relay is one process of a relay.
type Relay struct {
	Name, Listen string
	ConfigPath   string

	c      *Case
	cmd    *exec.Cmd
	logs   bytes.Buffer
	Exited chan struct{} // closed once the process has ended
}

// RelayOptions say how a relay is started.
type RelayOptions struct {
	Name, Listen, Discovery string
	Settings                map[string]any
	Known                   List
	Operator                string // text of an operator file; "": none
	MemoryMB                int    // 0: 192
	Sockets                 int    // 0: 1,024
	AdminAddr               string
	TempDir                 string // $TMPDIR; "": a new folder
}

// Config returns the text of the relay's configuration file.
func (o RelayOptions) Config() []byte {
	if o.MemoryMB == 0 {
		o.MemoryMB = 192
	}
	if o.Sockets == 0 {
		o.Sockets = 1024
	}
	text, err := json.MarshalIndent(map[string]any{
		"name": o.Name, "listen": o.Listen, "discovery": o.Discovery, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": o.MemoryMB, "sockets": o.Sockets},
		"known":  o.Known, "settings": o.Settings,
	}, "", " ")
	if err != nil {
		panic(err)
	}
	return text
}

var runLine = regexp.MustCompile(`(?m)^run *= *"([^"]*)"`)

// StartRelay starts a relay with the command `run` of the deploy file.
func (c *Case) StartRelay(o RelayOptions) *Relay {
	deploy, err := os.ReadFile(filepath.Join(c.Root, "deploy", "balancer.toml"))
	c.Must("read the deploy file", err)
	run := runLine.FindSubmatch(deploy)
	if run == nil {
		c.Must("read the deploy file", errors.New("no line `run`"))
	}
	folder, err := os.MkdirTemp(c.Temp, o.Name+"-")
	c.Must("make a folder", err)
	temp := o.TempDir
	if temp == "" {
		temp = filepath.Join(folder, "tmp")
		c.Must("make a folder", os.Mkdir(temp, 0o700))
	}
	config := filepath.Join(folder, "config.json")
	c.Must("write the configuration", os.WriteFile(config, o.Config(), 0o600))
	relay := &Relay{Name: o.Name, Listen: o.Listen, ConfigPath: config, c: c, Exited: make(chan struct{})}
	relay.cmd = exec.Command("/bin/sh", "-c", string(run[1]))
	relay.cmd.Dir = c.Root
	relay.cmd.Env = append(os.Environ(), "PROXY_NAME="+o.Name, "PROXY_LISTEN="+o.Listen, "PROXY_DISCOVERY="+o.Discovery,
		"PROXY_CONFIG="+config, "TMPDIR="+temp)
	if o.AdminAddr != "" {
		relay.cmd.Env = append(relay.cmd.Env, "PROXY_ADMIN_ADDR="+o.AdminAddr)
	}
	if o.Operator != "" {
		operator := filepath.Join(folder, "operator.toml")
		c.Must("write the operator file", os.WriteFile(operator, []byte(o.Operator), 0o600))
		relay.cmd.Env = append(relay.cmd.Env, "LOCKROAD_OPERATOR="+operator)
	}
	relay.cmd.Stdout, relay.cmd.Stderr = &relay.logs, &relay.logs
	relay.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	c.Must("start the relay", relay.cmd.Start())
	c.relays = append(c.relays, relay)
	c.Logf(o.Name, "started as process %d", relay.cmd.Process.Pid)
	go func() {
		err := relay.cmd.Wait()
		c.Logf(o.Name, "process ended: %v", err)
		close(relay.Exited)
	}()
	return relay
}

// Signal sends the process a signal.
func (r *Relay) Signal(signal syscall.Signal) {
	r.c.Logf(r.Name, "gets signal %v", signal)
	_ = r.cmd.Process.Signal(signal)
}

// Pid returns the id of the process.
func (r *Relay) Pid() int { return r.cmd.Process.Pid }

// Kill kills the process and waits for its end.
func (r *Relay) Kill() {
	select {
	case <-r.Exited:
		return
	default:
	}
	_ = r.cmd.Process.Kill()
	<-r.Exited
}

// HasExited reports whether the process has ended.
func (r *Relay) HasExited() bool {
	select {
	case <-r.Exited:
		return true
	default:
		return false
	}
}

// LogTail returns the last lines that the process wrote. It is called after its end.
func (r *Relay) LogTail() string {
	lines := strings.Split(strings.TrimRight(r.logs.String(), "\n"), "\n")
	if len(lines) > 60 {
		lines = append(append(lines[:30:30], "..."), lines[len(lines)-30:]...)
	}
	return strings.Join(lines, "\n")
}

// AwaitPong waits until the relay answers PING with PONG, as the front does after a start.
func (c *Case) AwaitPong(listen string) {
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		conn, err := net.DialTimeout("tcp", listen, time.Second)
		if err == nil {
			conn.SetDeadline(time.Now().Add(2 * time.Second))
			fmt.Fprintf(conn, "PING\r\n")
			answer := make([]byte, 6)
			n, _ := conn.Read(answer)
			conn.Close()
			if string(answer[:n]) == "PONG\r\n" {
				c.Logf("front", "PONG from %s", listen)
				return
			}
		}
		if time.Now().After(deadline) {
			c.Must("start the relay", errors.New("no PONG within 30 s"))
		}
	}
}

// Class is a class of requests of the settings.
func Class(name, semantics, scope string, deadline time.Duration) map[string]any {
	return map[string]any{
		"Name": name, "AimUs": 800000, "DeadlineUs": deadline.Microseconds(), "KeyScope": scope, "LateWorth": 0.0,
		"MemorySpanUs": 5000000, "Semantics": semantics, "Stream": true, "Worth": 5.0,
	}
}

// Settings returns settings like those of the first deployment, which WIRE-lockroad.md shows, with other classes.
func Settings(relays int, classes ...map[string]any) map[string]any {
	aims := make([]float64, len(classes))
	for i := range aims {
		aims[i] = 100000
	}
	return map[string]any{
		"Callers": map[string]any{"MarksRetry": false}, "Classes": classes,
		"Costs":     map[string]any{"CrossZone": 0.03, "Handshake": 0.02, "LateFail": 0.1, "Moves": 0.045, "Probe": 0.0018, "Waste": 0.046},
		"Customers": []any{}, "Discovery": "push", "Family": "conn",
		"Goal": map[string]any{"Whole": 0.6, "WorstClass": 0.35, "WorstTenant": 0.0, "WorstWindow": 0.05},
		"Guarantees": map[string]any{
			"AnswerSlackUs": 8000, "AskEveryUs": 10000000, "ColdUs": 23000000, "DrainGraceUs": 500000, "FallUs": 3000000,
			"StartCapacity": 0.12, "TipMultiple": 3.0,
		},
		"Kinds": []string{"std-2", "slow-2"}, "Layers": []string{"engrave-fleet"},
		"Limits": map[string]any{
			"ConnIdleUs": 60000000, "ConnectTimeoutUs": 50000, "CpuUsPerRequest": 0.0, "CpuUsPerS": 15000, "MaxOpen": 1000000,
			"MaxRetryAfterUs": 2000000, "MayCancel": true, "PeerMessages": false, "Probes": true, "RetryAfter": false,
			"SecondCopies": false, "StreamsPerConn": 1048576, "TryLimit": 5,
		},
		"Localities": []string{"hall-a", "hall-b", "hall-c", "hall-d"}, "Me": 0, "NInstances": relays, "OverShareWorth": 0.1,
		"QuantumUs": 2000, "Report": map[string]any{"Fields": []string{}, "Source": "none"},
		"Specifics": map[string]any{
			"Groups": true, "Hint": "usual load", "MessageAimUs": aims, "Mode": "proxy", "Notes": "", "ParkUs": 0,
			"TellsDelay": true, "TellsLoad": true, "TenantQuotaConnections": []int{},
		},
		"Tier": 0, "Weights": "nominal", "WorthBy": "request", "Zone": 0,
	}
}

// Port returns the port of an address.
func Port(address string) string {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		panic(err)
	}
	return port
}
