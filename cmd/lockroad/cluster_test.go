package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lockroad/internal/fake"
	"lockroad/internal/invariants"
)

// serviceClasses are the classes of clients, unless a test has its own.
var serviceClasses = []fake.Class{
	{Name: "page", Share: 0.5, TimeLimit: 1500 * time.Millisecond, MeanLifetime: 2 * time.Second},
	{Name: "live", Share: 0.5, TimeLimit: time.Second, MeanLifetime: 4 * time.Second},
}

// testCluster is a site of fake endpoints, discovery and clients, with processes of the program as its relay, or its relays.
type testCluster struct {
	classes         []fake.Class // of its clients and its configuration
	t               *testing.T
	site            *fake.Site
	dir, configPath string
	listen          string        // of the line frontend
	amqpAddress     string        // of the AMQP frontend, which half of the clients use; "": all use the line frontend
	killAfter       time.Duration // from SIGTERM to SIGKILL: the longest deadline and 0.7 s
	program         string        // path of another build than the test's own; "": that
	withStore       bool          // relays have a store
	stopClients     func()        // makes the clients leave, and waits until they have
}

// process is one process of the program.
type process struct {
	*exec.Cmd
	cluster *testCluster
	admin   string // the second address
	log     strings.Builder
	exited  chan error // has what the process ended with; whoever receives it sends it again
}

// freeAddress returns an address that nobody listens at. Its host is this test process's own: at one that is shared the port is
// soon another's, which would answer in the relay's place. It is returned only once: two relays of this process would share it as
// one relay's processes do.
func freeAddress(t *testing.T) string {
	t.Helper()
	for {
		address := unusedAddress(t)
		if _, given := reservedAddresses.LoadOrStore(address, true); !given {
			return address
		}
	}
}

var reservedAddresses sync.Map // that freeAddress has returned

func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()>>16&63, os.Getpid()>>8&255, 1+os.Getpid()&127))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func newCluster(t *testing.T) *testCluster { return newClusterOf(t, 3, nil) }

// newPatientCluster is a cluster whose clients' messages may take long. Tests that check that no client is migrated use it: beside other
// work on the machine messages take longer than the 100 ms of serviceClasses, and the balancer then migrates clients, as it should.
func newPatientCluster(t *testing.T) *testCluster {
	t.Helper()
	cluster := newCluster(t)
	cluster.classes = patientClasses
	cluster.writeConfig(cluster.classes)
	return cluster
}

func newClusterOf(t *testing.T, servers int, prepare func(*fake.Server)) *testCluster {
	t.Helper()
	site, err := fake.NewSite(servers, 5*time.Millisecond, 400, prepare)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Stop)
	cluster := &testCluster{t: t, site: site, dir: t.TempDir(), listen: freeAddress(t), stopClients: func() {}, killAfter: 2200 * time.Millisecond, classes: serviceClasses}
	cluster.configPath = filepath.Join(cluster.dir, "config.json")
	cluster.writeConfig(cluster.classes)
	return cluster
}

// writeConfig replaces the configuration of the one relay.
func (cluster *testCluster) writeConfig(classes []fake.Class) { cluster.writeConfigFor(classes, 1, 0) }

// writeConfigFor replaces the configuration by that of one of several relays.
func (cluster *testCluster) writeConfigFor(classes []fake.Class, relays, number int) {
	cluster.t.Helper()
	text, err := cluster.site.Config(classes, 7, number)
	if err != nil {
		cluster.t.Fatal(err)
	}
	var fields map[string]any
	if err := json.Unmarshal(text, &fields); err != nil {
		cluster.t.Fatal(err)
	}
	fields["listen"] = cluster.listen
	fields["name"] = fmt.Sprintf("n%d", number)
	fields["settings"].(map[string]any)["NInstances"] = relays
	text, _ = json.Marshal(fields)
	if err := os.WriteFile(cluster.configPath+".new", text, 0o600); err != nil {
		cluster.t.Fatal(err)
	}
	if err := os.Rename(cluster.configPath+".new", cluster.configPath); err != nil {
		cluster.t.Fatal(err)
	}
}

// startProcess starts a relay. Its environment is the test's, with what the cluster needs, and then env. What it logs is shown if
// the test fails.
func (cluster *testCluster) startProcess(env ...string) *process {
	cluster.t.Helper()
	p := &process{Cmd: exec.Command(cmp.Or(cluster.program, os.Args[0]), "run", "--log-level", "debug"), cluster: cluster, admin: freeAddress(cluster.t), exited: make(chan error, 1)}
	p.Env = append(os.Environ(), append([]string{"LOCKROAD_TEST_PROGRAM=1", "GORACE=atexit_sleep_ms=0", "LOCKROAD_OPERATOR=", "TMPDIR=" + cluster.dir,
		"PROXY_CONFIG=" + cluster.configPath, "PROXY_ADMIN_ADDR=" + p.admin}, env...)...)
	p.Stderr = &p.log
	if err := p.Start(); err != nil {
		cluster.t.Fatal(err)
	}
	go func() { p.exited <- p.Wait() }()
	cluster.t.Cleanup(func() {
		_ = p.Process.Kill()
		if cluster.t.Failed() {
			if err := <-p.exited; err != nil {
				cluster.t.Logf("the process ended: %v", err)
			}
			cluster.t.Logf("process %d:\n%s", p.Process.Pid, p.log.String())
		}
	})
	return p
}

// awaitReady waits until a process is ready, for no longer than the platform does.
func (p *process) awaitReady() {
	p.cluster.t.Helper()
	for late := time.Now().Add(6 * time.Second); time.Now().Before(late); time.Sleep(5 * time.Millisecond) {
		if p.isReady() {
			return
		}
	}
	p.cluster.t.Fatal("a process is not ready after 6 s")
}

func (p *process) isReady() bool {
	answer, err := http.Get("http://" + p.admin + "/-/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// shutDown sends SIGTERM and waits for the process's end, no longer than until SIGKILL would come.
func (p *process) shutDown() {
	p.cluster.t.Helper()
	_ = p.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.exited:
		p.exited <- err
		if err != nil {
			p.cluster.t.Errorf("it ended with %v", err)
		}
	case <-time.After(p.cluster.killAfter):
		p.cluster.t.Error("it is still there when SIGKILL comes")
	}
}

func (p *process) kill() {
	_ = p.Process.Kill()
	p.exited <- <-p.exited
}

// requireRunning fails the test if a process has ended.
func (p *process) requireRunning() {
	p.cluster.t.Helper()
	select {
	case err := <-p.exited:
		p.exited <- err
		p.cluster.t.Errorf("a process has ended with %v", err)
	default:
	}
}

// metrics returns the metrics at a process's second address, by name without the prefix.
func (p *process) metrics() map[string]int {
	p.cluster.t.Helper()
	answer, err := http.Get("http://" + p.admin + "/-/metrics")
	if err != nil {
		p.cluster.t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	text, _ := io.ReadAll(answer.Body)
	all := make(map[string]int)
	for line := range strings.Lines(string(text)) {
		var name string
		var n int
		if _, err := fmt.Sscanf(line, "edge_proxy_%s %d\n", &name, &n); err != nil {
			p.cluster.t.Errorf("a line of the metrics: %q", line)
		}
		all[name] = n
	}
	return all
}

// startClients starts clients of the service's classes, at a rate in clients a second.
func (cluster *testCluster) startClients(rate float64) {
	cluster.startClientsOf(rate, cluster.classes, 11)
}

func (cluster *testCluster) startClientsOf(rate float64, classes []fake.Class, seed uint64) {
	cluster.runClients(&fake.ClientPool{Classes: classes, Rate: rate, Groups: 20, MessageInterval: 40 * time.Millisecond, MaxClients: 150, Seed: seed})
}

// runClients starts a client pool. stopClients ends it.
func (cluster *testCluster) runClients(pool *fake.ClientPool) {
	pool.Log, pool.LineAddress = cluster.site.Log, cluster.listen
	if cluster.amqpAddress != "" {
		pool.AMQPAddress, pool.AMQPShare = cluster.amqpAddress, 0.5
	}
	cluster.site.Clients = pool
	pool.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); pool.Run(ctx) }()
	cluster.stopClients = func() { cancel(); <-done }
	cluster.t.Cleanup(cluster.stopClients)
}

// letClientsRun waits while clients come and go.
func letClientsRun() { time.Sleep(500 * time.Millisecond) }

// newLoadedCluster returns a cluster with one relay that clients come to.
func newLoadedCluster(t *testing.T, env ...string) (*testCluster, *process) {
	t.Helper()
	cluster := newPatientCluster(t)
	p := cluster.startProcess(env...)
	p.awaitReady()
	cluster.startClients(60)
	letClientsRun()
	return cluster, p
}

// checkClients stops the clients and checks what the fakes saw against the invariants. At most maxMoved sessions may have been
// migrated, at most maxRefused may have found nobody at the listener, and none may have been cut off.
func (cluster *testCluster) checkClients(maxMoved, maxRefused int) {
	cluster.t.Helper()
	cluster.stopClients()
	sessions := cluster.site.Log.Sessions()
	for _, violation := range invariants.Check(invariants.History{Sessions: sessions, Attempts: cluster.site.Log.Attempts(), EndpointChanges: cluster.site.Log.EndpointChanges(), Limits: invariants.DefaultLimits()}) {
		if violation.Rule != invariants.Answered || maxRefused == 0 {
			cluster.t.Error(violation)
		}
	}
	refused := 0
	ends := make(map[string]int)
	for _, session := range sessions {
		if session.Refused || session.Answer == "none" {
			refused++
		}
		ends[session.Answer+" "+session.End]++
	}
	if refused > maxRefused {
		cluster.t.Errorf("%d clients were refused at the listener", refused)
	}
	if ends["up moved"] > maxMoved || ends["up broken"] > 0 || len(sessions) < 10 {
		cluster.t.Errorf("of %d sessions: %v", len(sessions), ends)
	}
}
