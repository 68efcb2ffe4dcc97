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

// serviceClasses are the default classes of the clients.
var serviceClasses = []fake.Class{
	{Name: "page", Share: 0.5, TimeLimit: 1500 * time.Millisecond, MeanLifetime: 2 * time.Second},
	{Name: "live", Share: 0.5, TimeLimit: time.Second, MeanLifetime: 4 * time.Second},
}

// testCluster is a site of fake endpoints, discovery and clients, whose relays are processes of the program.
type testCluster struct {
	classes         []fake.Class // of the clients and the relays' configuration
	t               *testing.T
	site            *fake.Site
	dir, configPath string
	lineAddress     string        // of the line frontend
	amqpAddress     string        // of the AMQP frontend, used by half of the clients; "": all use the line frontend
	killAfter       time.Duration // time from SIGTERM to SIGKILL: the longest deadline plus 0.7 s
	program         string        // path of the build to run; "": the build under test
	withStore       bool          // each relay has a store of its own; see relayEnv
	stopClients     func()        // disconnects the clients and waits for them
}

// process is a relay process.
type process struct {
	*exec.Cmd
	cluster *testCluster
	admin   string // address that serves readiness and metrics
	log     strings.Builder
	exited  chan error // holds the process's exit error; each receiver sends it again
}

// freeAddress returns an address without a listener. Its host is a loopback address derived from the process ID, so
// that no other test process takes the port before the relay listens there. No address is returned twice: two relays
// would share it, as the processes of one relay do.
func freeAddress(t *testing.T) string {
	t.Helper()
	for {
		address := unusedAddress(t)
		if _, reserved := reservedAddresses.LoadOrStore(address, true); !reserved {
			return address
		}
	}
}

var reservedAddresses sync.Map // addresses that freeAddress has returned

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

// newLatencyTolerantCluster returns a cluster whose classes have a long latency objective, for tests in which no client
// may be migrated. On a busy machine messages exceed the 100 ms objective of serviceClasses, and the balancer migrates
// clients.
func newLatencyTolerantCluster(t *testing.T) *testCluster {
	t.Helper()
	cluster := newCluster(t)
	cluster.classes = latencyTolerantClasses
	cluster.writeConfig(cluster.classes)
	return cluster
}

// newClusterOf returns a cluster with a number of endpoints. prepare, which may be nil, configures each.
func newClusterOf(t *testing.T, servers int, prepare func(*fake.Server)) *testCluster {
	t.Helper()
	site, err := fake.NewSite(servers, 5*time.Millisecond, 400, prepare)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Stop)
	cluster := &testCluster{t: t, site: site, dir: t.TempDir(), lineAddress: freeAddress(t), stopClients: func() {}, killAfter: 2200 * time.Millisecond, classes: serviceClasses}
	cluster.configPath = filepath.Join(cluster.dir, "config.json")
	cluster.writeConfig(cluster.classes)
	return cluster
}

// writeConfig replaces the configuration of a cluster's only relay.
func (cluster *testCluster) writeConfig(classes []fake.Class) { cluster.writeConfigFor(classes, 1, 0) }

// writeConfigFor replaces the configuration with that of one of several relays, by its number from 0 on.
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
	fields["listen"] = cluster.lineAddress
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

// startProcess starts a relay. Its environment is that of the test, the settings of the cluster, and env. Its log is
// printed if the test fails.
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
				cluster.t.Logf("the relay process exited: %v", err)
			}
			cluster.t.Logf("log of process %d:\n%s", p.Process.Pid, p.log.String())
		}
	})
	return p
}

// awaitReady waits until a process is ready, at most as long as the platform waits.
func (p *process) awaitReady() {
	p.cluster.t.Helper()
	for deadline := time.Now().Add(6 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if p.isReady() {
			return
		}
	}
	p.cluster.t.Fatal("the relay process is not ready after 6 s")
}

func (p *process) isReady() bool {
	response, err := http.Get("http://" + p.admin + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// shutDown sends SIGTERM and waits for the process to exit, at most until the platform would send SIGKILL.
func (p *process) shutDown() {
	p.cluster.t.Helper()
	_ = p.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.exited:
		p.exited <- err
		if err != nil {
			p.cluster.t.Errorf("after SIGTERM the relay process exited with %v", err)
		}
	case <-time.After(p.cluster.killAfter):
		p.cluster.t.Error("the relay process did not exit before the platform would send SIGKILL")
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
		p.cluster.t.Errorf("the relay process exited with %v", err)
	default:
	}
}

// metrics returns the metrics of a process at its admin address, by name without the prefix.
func (p *process) metrics() map[string]int {
	p.cluster.t.Helper()
	response, err := http.Get("http://" + p.admin + "/-/metrics")
	if err != nil {
		p.cluster.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	values := make(map[string]int)
	for line := range strings.Lines(string(text)) {
		var name string
		var n int
		if _, err := fmt.Sscanf(line, "edge_proxy_%s %d\n", &name, &n); err != nil {
			p.cluster.t.Errorf("malformed line in the metrics: %q", line)
		}
		values[name] = n
	}
	return values
}

// startClients starts clients of the cluster's classes, at a rate in clients per second.
func (cluster *testCluster) startClients(rate float64) {
	cluster.startClientsOf(rate, cluster.classes, 11)
}

func (cluster *testCluster) startClientsOf(rate float64, classes []fake.Class, seed uint64) {
	cluster.runClients(&fake.ClientPool{Classes: classes, Rate: rate, Groups: 20, MessageInterval: 40 * time.Millisecond, MaxClients: 150, Seed: seed})
}

// runClients starts a client pool, which stopClients stops.
func (cluster *testCluster) runClients(pool *fake.ClientPool) {
	pool.Log, pool.LineAddress = cluster.site.Log, cluster.lineAddress
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

// letClientsRun waits while clients connect and disconnect.
func letClientsRun() { time.Sleep(500 * time.Millisecond) }

// newLoadedCluster returns a cluster with one relay that has clients.
func newLoadedCluster(t *testing.T, env ...string) (*testCluster, *process) {
	t.Helper()
	cluster := newLatencyTolerantCluster(t)
	p := cluster.startProcess(env...)
	p.awaitReady()
	cluster.startClients(60)
	letClientsRun()
	return cluster, p
}

// checkClients stops the clients and checks the observations of clients and endpoints against the invariants. At most
// maxMigrated sessions may have been migrated, at most maxRefused refused at the listener or left without an answer,
// and no established session may have been broken.
func (cluster *testCluster) checkClients(maxMigrated, maxRefused int) {
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
		cluster.t.Errorf("%d clients were refused at the listener or got no answer, want at most %d", refused, maxRefused)
	}
	if ends["up moved"] > maxMigrated || ends["up broken"] > 0 || len(sessions) < 10 {
		cluster.t.Errorf("%d sessions by answer and end: %v", len(sessions), ends)
	}
}
