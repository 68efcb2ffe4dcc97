package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	amqp10 "github.com/Azure/go-amqp"

	"lockroad/internal/fake"
	"lockroad/internal/hotrestart"
	"lockroad/internal/testutil"
)

// These tests give orders at the console while several processes of one relay run. A confirmed order must hold for the
// process that serves, whichever that is and however the others end.

// drainGrace is the time after a confirmed order to drain from which the endpoint may get no new attempt: DrainGraceUs of
// the settings and the 50 ms by which every limit is longer on sockets.
const drainGrace = 550 * time.Millisecond

// orderCluster is a cluster whose relay has a console, and a store if withStore.
type orderCluster struct {
	*testCluster
	socket, env string
}

func newOrderCluster(t *testing.T, withStore bool) *orderCluster {
	t.Helper()
	cluster, socket, env := newClusterWithStore(t)
	cluster.classes = latencyTolerantClasses
	cluster.writeConfig(cluster.classes)
	if !withStore {
		if err := os.WriteFile(filepath.Join(cluster.dir, "operator.toml"), fmt.Appendf(nil, "[console]\nsocket = %q\n", socket), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return &orderCluster{testCluster: cluster, socket: socket, env: env}
}

// start starts a process of the relay and waits until it is ready.
func (cluster *orderCluster) start() *process {
	cluster.t.Helper()
	p := cluster.startProcess(cluster.env, "LOCKROAD_SUPERVISED=1")
	p.awaitReady()
	return p
}

func (cluster *orderCluster) order(command string, want ...string) {
	cluster.t.Helper()
	runConsole(cluster.t, cluster.socket, command, want...)
}

// requireDrained lets clients run and fails the test if an endpoint gets attempts later than drainGrace after a time.
func (cluster *orderCluster) requireDrained(endpoint string, since time.Time) {
	cluster.t.Helper()
	time.Sleep(time.Until(since.Add(drainGrace)))
	before := len(cluster.site.Log.Attempts())
	testutil.Until(cluster.t, "no attempts reach the other endpoints", func() bool { return len(cluster.site.Log.Attempts()) > before+20 })
	if n := cluster.attemptsAt(endpoint, since.Add(drainGrace)); n > 0 {
		cluster.t.Errorf("%d attempts went to %s, which drains by a confirmed order", n, endpoint)
	}
}

// requireServed waits until an endpoint gets attempts again.
func (cluster *orderCluster) requireServed(endpoint string) {
	cluster.t.Helper()
	since := time.Now()
	testutil.Until(cluster.t, "no attempt goes to "+endpoint, func() bool { return cluster.attemptsAt(endpoint, since) > 0 })
}

// eachStore runs a test with a store and without one.
func eachStore(t *testing.T, test func(cluster *orderCluster)) {
	t.Parallel()
	for name, withStore := range map[string]bool{"store": true, "no store": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(newOrderCluster(t, withStore))
		})
	}
}

// The order was confirmed by the predecessor alone, and the successor, which serves, never heard of it.
func TestDrainOrderDuringUpgradeHoldsForSuccessor(t *testing.T) {
	for _, end := range []string{"stopped", "killed"} {
		t.Run(end, func(t *testing.T) {
			eachStore(t, func(cluster *orderCluster) {
				old := cluster.start()
				next := cluster.start()
				cluster.startClients(60)
				cluster.order("drain s-9", `server "s-9" is not in the endpoint list`)
				cluster.order("drain s-1 for 1h", "gets no new transactions")
				ordered := time.Now()
				cluster.requireDrained("s-1", ordered)
				if end == "killed" {
					old.kill()
				} else {
					old.shutDown()
				}
				cluster.order("orders", "s-1")
				cluster.requireDrained("s-1", ordered)
				cluster.order("undrain s-1", "follows the endpoint list again")
				cluster.requireServed("s-1")
				next.requireRunning()
			})
		})
	}
}

// A successor that is lost leaves the predecessor serving, by the last orders: the one for s-1 was withdrawn and the one
// for s-2 was given while the successor served.
func TestOrdersDuringUpgradeHoldForPredecessor(t *testing.T) {
	eachStore(t, func(cluster *orderCluster) {
		old := cluster.start()
		cluster.order("drain s-1", "gets no new transactions")
		next := cluster.start()
		cluster.startClients(60)
		cluster.order("undrain s-1", "follows the endpoint list again")
		cluster.requireServed("s-1")
		cluster.order("drain s-2", "gets no new transactions")
		ordered := time.Now()
		cluster.requireDrained("s-2", ordered)
		next.kill()
		cluster.requireDrained("s-2", ordered)
		cluster.requireServed("s-1")
		old.requireRunning()
	})
}

// The older copy of a replaced order won over the newer one after an upgrade, expired, and took the newer one out of the
// store.
func TestReplacedOrderOutlastsUpgrade(t *testing.T) {
	eachStore(t, func(cluster *orderCluster) {
		old := cluster.start()
		cluster.order("drain s-1 for 3s because short", "gets no new transactions")
		ordered := time.Now()
		next := cluster.start()
		cluster.startClients(60)
		cluster.order("drain s-1 for 1h because long", "this replaces the order")
		old.shutDown()
		time.Sleep(time.Until(ordered.Add(4500 * time.Millisecond))) // the first order has expired
		cluster.order("orders", "s-1", `"long"`)
		cluster.requireDrained("s-1", ordered)
		next.requireRunning()
	})
}

// Three versions in a row: an order at the oldest process must reach the newest, and hold there after the one between
// them was lost, as well as the orders given after that.
func TestOrdersReachTheNewestOfThreeProcesses(t *testing.T) {
	eachStore(t, func(cluster *orderCluster) {
		oldest, middle, newest := cluster.start(), cluster.start(), cluster.start()
		cluster.startClients(60)
		cluster.order("drain s-1", "gets no new transactions")
		first := time.Now()
		cluster.requireDrained("s-1", first)
		middle.kill()
		testutil.Until(t, "the oldest process did not yield to the newest", func() bool {
			return strings.Contains(runConsole(t, cluster.socket, "log 500"), "a newer process serves the clients")
		})
		cluster.order("drain s-2", "gets no new transactions")
		second := time.Now()
		cluster.requireDrained("s-2", second)
		cluster.requireDrained("s-1", first)
		oldest.shutDown()
		cluster.order("orders", "s-1", "s-2")
		cluster.requireDrained("s-2", second)
		cluster.order("undrain s-1", "follows the endpoint list again")
		cluster.requireServed("s-1")
		newest.requireRunning()
	})
}

// A reload at the console was applied by the predecessor alone.
func TestReloadDuringUpgradeHoldsForSuccessor(t *testing.T) {
	eachStore(t, func(cluster *orderCluster) {
		old, next := cluster.start(), cluster.start()
		cluster.writeConfig(append([]fake.Class{{Name: "extra", TimeLimit: time.Second, LatencyObjective: 10 * time.Second}}, cluster.classes...))
		cluster.order("reload --dry-run", "extra")
		cluster.order("reload", "extra")
		for _, p := range []*process{old, next} {
			if n := p.metrics()["config_applied_total"]; n != 1 {
				t.Errorf("a process has applied %d configurations, want 1", n)
			}
		}
		if err := os.WriteFile(cluster.configPath, []byte("{"), 0o600); err != nil {
			t.Fatal(err)
		}
		cluster.order("reload", "unexpected end")
		old.requireRunning()
		next.requireRunning()
	})
}

// An order to stop or restart the relay ended the predecessor alone, while the successor served on.
func TestStopDuringUpgradeIsRefused(t *testing.T) {
	eachStore(t, func(cluster *orderCluster) {
		old, next := cluster.start(), cluster.start()
		for _, command := range []string{"drain", "restart"} {
			cluster.order(command, "another process of this relay takes over or has taken over", fmt.Sprint(next.Process.Pid))
		}
		old.requireRunning()
		next.requireRunning()
	})
}

// reloadingPredecessor is a predecessor that reloads a changed configuration after its offer.
type reloadingPredecessor struct {
	hotrestart.Handler // only the methods below are called
	cluster            *orderCluster
}

func (p *reloadingPredecessor) Offer(context.Context) (*hotrestart.Offer, []syscall.Conn, error) {
	p.cluster.writeConfig(append([]fake.Class{{Name: "extra", TimeLimit: time.Second, LatencyObjective: 10 * time.Second}}, p.cluster.classes...))
	return &hotrestart.Offer{State: json.RawMessage("{}")}, nil, nil
}

func (p *reloadingPredecessor) CurrentState() any { return map[string]any{"ReloadedAt": time.Now()} }
func (p *reloadingPredecessor) SetPaused(bool)    {}

// A reload of the predecessor while the successor started, with the configuration already read, was lost.
func TestReloadWhileSuccessorStartsHoldsForSuccessor(t *testing.T) {
	t.Parallel()
	cluster := newOrderCluster(t, false)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	path := hotrestart.SocketPath(cluster.dir, "n0", cluster.lineAddress)
	predecessor := hotrestart.NewPredecessor(path, &reloadingPredecessor{cluster: cluster}, slog.New(slog.DiscardHandler))
	done := make(chan error, 1)
	go func() { done <- predecessor.Serve(ctx) }()
	testutil.Until(t, "the predecessor does not listen", func() bool { _, err := os.Stat(path); return err == nil })
	next := cluster.start()
	if n := next.metrics()["config_applied_total"]; n != 0 {
		t.Errorf("the successor counts %d configurations, but it was told to apply none", n)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
	cluster.order("reload --dry-run", "no changes")
}

// An order that the successor does not confirm must be refused and hold nowhere, not even once the successor runs again.
func TestUnconfirmedOrderIsRefused(t *testing.T) {
	t.Parallel()
	cluster := newOrderCluster(t, true)
	old, next := cluster.start(), cluster.start()
	_ = next.Process.Signal(syscall.SIGSTOP)
	cluster.order("drain s-1", "did not confirm this")
	cluster.order("orders", "no order is in force")
	_ = next.Process.Signal(syscall.SIGCONT)
	cluster.startClients(60)
	time.Sleep(1500 * time.Millisecond) // the predecessor repeats each second what the successor has not confirmed
	cluster.requireServed("s-1")
	old.shutDown()
	cluster.order("orders", "no order is in force")
	cluster.requireServed("s-1")
}

// attachLink attaches a link of a name on a new AMQP connection of the container editor.
func attachLink(t *testing.T, address, name string) (*amqp10.Conn, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	conn, err := amqp10.Dial(ctx, "amqp://"+address, &amqp10.ConnOptions{SASLType: amqp10.SASLTypeAnonymous(), ContainerID: "editor"})
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { _ = conn.Close() })
	session, err := conn.NewSession(ctx, nil)
	if err != nil {
		return nil, err
	}
	_, err = session.NewSender(ctx, "there", &amqp10.SenderOptions{Name: name, Properties: map[string]any{"class": "page", "give-up-ms": uint32(900), "group": "1"}})
	return conn, err
}

// An AMQP client whose link had ended at the predecessor was told by the successor, until the predecessor had ended, that
// a transaction of this name is open. A link that is open there must be refused.
func TestNameOfEndedLinkIsFreeDuringUpgrade(t *testing.T) {
	t.Parallel()
	cluster := newLatencyTolerantCluster(t)
	address, operator := freeAddress(t), filepath.Join(cluster.dir, "operator.toml")
	if err := os.WriteFile(operator, fmt.Appendf(nil, "[amqp]\nlisten = %q\nserver_port = %d\n", address, cluster.site.AMQPPort), 0o600); err != nil {
		t.Fatal(err)
	}
	old := cluster.startProcess("LOCKROAD_OPERATOR=" + operator)
	old.awaitReady()
	first, err := attachLink(t, address, "ended")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := attachLink(t, address, "open"); err != nil {
		t.Fatal(err)
	}
	next := cluster.startProcess("LOCKROAD_OPERATOR=" + operator)
	next.awaitReady()
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(57 * time.Millisecond) // clients return after 57 ms at the earliest
	if _, err := attachLink(t, address, "ended"); err != nil {
		t.Errorf("the name of an ended link: %v", err)
	}
	if _, err := attachLink(t, address, "open"); err == nil || !strings.Contains(err.Error(), "a transaction of this name is open") {
		t.Errorf("the name of an open link: got %v, want a refusal", err)
	}
}
