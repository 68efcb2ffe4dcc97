package main

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"lockroad/internal/fake"
	"lockroad/internal/testutil"
)

// olderBuildVariable is the environment variable with the path of an older build. Without it the tests upgrade from the
// build under test to itself.
const olderBuildVariable = "LOCKROAD_UPGRADE_FROM"

// testBetweenBuilds runs a test for an upgrade from the older build and for a downgrade to it.
func testBetweenBuilds(t *testing.T, test func(t *testing.T, from, to string)) {
	t.Parallel()
	older := os.Getenv(olderBuildVariable)
	if older == "" {
		t.Logf("%s is not set: both processes run the build under test", olderBuildVariable)
	}
	for name, programs := range map[string][2]string{"upgrade": {older, ""}, "downgrade": {"", older}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(t, programs[0], programs[1])
		})
	}
}

// upgrade starts a process of a build as the successor of relay, and shuts relay down. The successor's list of drain
// directives must contain each of the strings in directives.
func (cluster *testCluster) upgrade(relay *process, program, operator, socket string, directives ...string) (next *process) {
	cluster.t.Helper()
	cluster.program = program
	next = cluster.startProcess(operator)
	next.awaitReady()
	if relay.isReady() {
		cluster.t.Error("the predecessor reports that it is ready after the successor became ready")
	}
	relay.shutDown()
	runConsole(cluster.t, socket, "orders", directives...)
	next.requireRunning()
	return next
}

// latencyTolerantClasses have a latency objective so long that the balancer migrates no client because of a busy
// machine.
var latencyTolerantClasses = []fake.Class{
	{Name: "page", Share: 0.5, TimeLimit: 1500 * time.Millisecond, MeanLifetime: 2 * time.Second, LatencyObjective: 10 * time.Second},
	{Name: "live", Share: 0.5, TimeLimit: time.Second, MeanLifetime: 4 * time.Second, LatencyObjective: 10 * time.Second},
}

// newClusterWithConsole returns a cluster whose relay has both frontends and a console, but no store: a successor has
// only the state that its predecessor hands over.
func newClusterWithConsole(t *testing.T) (cluster *testCluster, operator, socket string) {
	t.Helper()
	cluster = newLatencyTolerantCluster(t)
	cluster.amqpAddress, socket = freeAddress(t), filepath.Join(cluster.dir, "console")
	operator = filepath.Join(cluster.dir, "operator.toml")
	text := fmt.Sprintf("[amqp]\nlisten = %q\nserver_port = %d\n[console]\nsocket = %q\n", cluster.amqpAddress, cluster.site.AMQPPort, socket)
	if err := os.WriteFile(operator, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return cluster, "LOCKROAD_OPERATOR=" + operator, socket
}

// An upgrade between builds must hand over established connections and drain directives: no client of the line frontend
// is migrated, no client is cut off or refused, and no attempt goes to an endpoint with a drain directive.
func TestBuildUpgradeKeepsConnectionsAndDrains(t *testing.T) {
	testBetweenBuilds(t, func(t *testing.T, from, to string) {
		cluster, operator, socket := newClusterWithConsole(t)
		cluster.program = from
		relay := cluster.startProcess(operator)
		relay.awaitReady()
		runConsole(t, socket, "drain s-1 for 1h because new strings", "s-1 drains")
		drainedAt := time.Now()
		cluster.startClientsOf(60, latencyTolerantClasses, 11)
		letClientsRun()
		active := relay.metrics()["active"]
		next := cluster.upgrade(relay, to, operator, socket, "s-1", `"new strings"`)
		if handedOver := next.metrics()["active"]; active == 0 || handedOver < active/4 { // half of them use AMQP and are migrated
			t.Errorf("the successor has %d of %d transactions, want at least a quarter", handedOver, active)
		}
		letClientsRun()
		next.requireRunning()
		cluster.checkClients(1000, 0)
		lineSessions := 0
		for _, session := range cluster.site.Log.Sessions() {
			if session.Frontend != "line" {
				continue
			}
			lineSessions++
			if session.End == "moved" {
				t.Errorf("session %s of the line frontend was migrated instead of handed over", session.Name)
			}
		}
		if n := cluster.attemptsAt("s-1", drainedAt.Add(50*time.Millisecond)); n > 0 || lineSessions < 10 {
			t.Errorf("%d attempts went to s-1 after its drain directive, want 0; %d sessions used the line frontend, want at least 10", n, lineSessions)
		}
		next.shutDown()
	})
}

// An upgrade between builds must hand over the balancer's snapshot: groups stay at their endpoints.
func TestBuildUpgradeKeepsRoutes(t *testing.T) {
	short := []fake.Class{{Name: "page", Share: 1, TimeLimit: time.Second, MeanLifetime: 50 * time.Millisecond}}
	testBetweenBuilds(t, func(t *testing.T, from, to string) {
		cluster, operator, socket := newClusterWithConsole(t)
		cluster.amqpAddress, cluster.program = "", from
		relay := cluster.startProcess(operator)
		relay.awaitReady()
		cluster.startClientsOf(60, short, 3)
		testutil.Until(t, "too few sessions before the upgrade", func() bool { return len(cluster.site.Log.Sessions()) > 60 })
		cluster.stopClients()
		before := cluster.routes(time.Time{})
		next := cluster.upgrade(relay, to, operator, socket, "no order")
		upgradedAt := time.Now()
		cluster.startClientsOf(60, short, 4)
		testutil.Until(t, "too few sessions after the upgrade", func() bool { return len(cluster.site.Log.Sessions()) > 120 })
		cluster.stopClients()
		same, other := 0, 0
		for group, endpoint := range cluster.routes(upgradedAt) {
			switch before[group] {
			case "":
			case endpoint:
				same++
			default:
				other++
			}
		}
		if same == 0 || other > same/10 {
			t.Errorf("after the upgrade %d groups are at the same endpoint and %d at another, want at most a tenth at another", same, other)
		}
		next.shutDown()
	})
}

// routes returns the endpoint of each group's last accepted attempt since a time.
func (cluster *testCluster) routes(since time.Time) map[string]string {
	groups, endpoints := make(map[string]string), make(map[string]string)
	for _, session := range cluster.site.Log.Sessions() {
		groups[session.Name] = session.Group
	}
	for _, attempt := range cluster.site.Log.Attempts() {
		if attempt.Answer == "up" && attempt.At.After(since) {
			endpoints[groups[attempt.Name]] = attempt.Endpoint
		}
	}
	return endpoints
}
