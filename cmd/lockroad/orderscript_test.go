package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"lockroad/internal/testutil"
)

const (
	scriptSteps = 25
	// repairTime is how long a process that did not confirm an order may hold another state than the one that refused it.
	repairTime = 2500 * time.Millisecond
)

// drainPeriod is a time in which an endpoint may get no new attempt.
type drainPeriod struct {
	endpoint   string
	begin, end time.Time // end is zero while the order is in force
}

// orderScript plays random steps on up to three processes of one relay: starts, kills, orders to end, stops of a process
// for a while, and orders at the console.
type orderScript struct {
	*orderCluster
	random    *rand.Rand
	processes []*process // that run, the oldest first
	periods   []*drainPeriod
	inForce   map[string]*drainPeriod // by endpoint
	steps     []string                // for the report
}

func (script *orderScript) logf(format string, args ...any) {
	script.steps = append(script.steps, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// drained returns the endpoints that orders drain.
func (script *orderScript) drained() (endpoints []string) {
	for endpoint := range script.inForce {
		endpoints = append(endpoints, endpoint)
	}
	slices.Sort(endpoints)
	return endpoints
}

// remove takes a process out of the script, which then must be ended.
func (script *orderScript) remove() *process {
	i := script.random.IntN(len(script.processes))
	p := script.processes[i]
	script.processes = slices.Delete(script.processes, i, i+1)
	script.logf("process %d (%d of %d) ends", p.Process.Pid, i+1, len(script.processes)+1)
	return p
}

// awaitServing waits until a process serves: without one a new process would not find its predecessor.
func (script *orderScript) awaitServing() {
	testutil.Until(script.t, "no process is ready", func() bool {
		return slices.ContainsFunc(script.processes, (*process).isReady)
	})
}

// giveOrder gives an order at the console, while a process is killed or stopped beside it if interfere is set.
func (script *orderScript) giveOrder(interfere func()) {
	endpoint := fmt.Sprint("s-", 1+script.random.IntN(3))
	if drained := script.drained(); len(drained) == 2 { // one endpoint is left to serve
		endpoint = drained[script.random.IntN(2)]
	}
	period := script.inForce[endpoint]
	command := "drain " + endpoint + " for 1h"
	if period != nil && script.random.IntN(3) > 0 {
		command = "undrain " + endpoint
	}
	if interfere != nil {
		delay := time.Duration(script.random.IntN(3000)) * time.Microsecond
		done := make(chan struct{})
		go func() { defer close(done); time.Sleep(delay); interfere() }()
		defer func() { <-done }()
	}
	if period != nil { // may end during the order
		period.end = time.Now()
		delete(script.inForce, endpoint)
	}
	code, out, errs := runCommandLine(append([]string{"console", "--socket", script.socket}, strings.Fields(command)...)...)
	script.logf("%s: %d %s%s", command, code, out, errs)
	switch {
	case code == 0 && strings.HasPrefix(command, "drain"):
		script.begin(endpoint, time.Now())
	case code == 0:
	case code == 1 && period != nil: // refused: the order before it stays in force
		script.begin(endpoint, time.Now().Add(repairTime))
	case code != 1: // the console was lost: the answer is in the list of orders
		if strings.Contains(runConsole(script.t, script.socket, "orders"), endpoint) {
			script.begin(endpoint, time.Now().Add(repairTime))
		}
	}
}

func (script *orderScript) begin(endpoint string, at time.Time) {
	period := &drainPeriod{endpoint: endpoint, begin: at.Add(drainGrace)}
	script.periods = append(script.periods, period)
	script.inForce[endpoint] = period
}

// step plays one random step.
func (script *orderScript) step() {
	several := len(script.processes) > 1
	switch choice := script.random.IntN(10); {
	case choice < 3 && len(script.processes) < 3:
		script.awaitServing()
		p := script.start()
		script.processes = append(script.processes, p)
		script.logf("process %d is ready", p.Process.Pid)
	case choice == 3 && several:
		script.remove().kill()
	case choice == 4 && several:
		script.remove().shutDown()
	case choice == 5 && several:
		script.giveOrder(script.remove().kill)
	case choice == 6 && several:
		p := script.processes[script.random.IntN(len(script.processes))]
		script.giveOrder(func() {
			_ = p.Process.Signal(syscall.SIGSTOP)
			time.Sleep(400 * time.Millisecond)
			_ = p.Process.Signal(syscall.SIGCONT)
		})
	default:
		script.giveOrder(nil)
	}
	time.Sleep(time.Duration(script.random.IntN(300)) * time.Millisecond)
}

// checkOrders waits until the console lists the orders that are in force.
func (script *orderScript) checkOrders() {
	script.t.Helper()
	want := script.drained()
	var listed string
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		var code int
		var found []string
		code, listed, _ = runCommandLine("console", "--socket", script.socket, "orders")
		for _, endpoint := range []string{"s-1", "s-2", "s-3"} {
			if strings.Contains(listed, endpoint) {
				found = append(found, endpoint)
			}
		}
		if code == 0 && slices.Equal(found, want) {
			return
		}
	}
	script.t.Errorf("the orders in force are for %v, but the console lists\n%s", want, listed)
}

// checkAttempts fails the test for each attempt at an endpoint in a time in which it drained.
func (script *orderScript) checkAttempts() {
	for _, attempt := range script.site.Log.Attempts() {
		for _, period := range script.periods {
			if attempt.Endpoint == period.endpoint && attempt.At.After(period.begin) && (period.end.IsZero() || attempt.At.Before(period.end)) {
				script.t.Errorf("an attempt at %s at %s, which drained from %s on", attempt.Endpoint, attempt.At.Format("05.000"), period.begin.Format("05.000"))
			}
		}
	}
}

// Random orders at the console must hold for whichever process serves, through random upgrades, kills and stops of
// processes. LOCKROAD_ORDER_SEEDS sets the number of scripts for longer runs by hand.
func TestOrdersHoldThroughRandomUpgrades(t *testing.T) {
	t.Parallel()
	seeds, err := strconv.Atoi(os.Getenv("LOCKROAD_ORDER_SEEDS"))
	if err != nil {
		seeds = 4
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			script := &orderScript{orderCluster: newOrderCluster(t, seed%2 == 0), random: rand.New(rand.NewPCG(seed, 0)), inForce: make(map[string]*drainPeriod)}
			script.processes = []*process{script.start()}
			script.startClients(40)
			for range scriptSteps {
				script.step()
				script.checkOrders()
			}
			time.Sleep(drainGrace)
			script.stopClients()
			script.checkAttempts()
			if t.Failed() {
				t.Log("steps:\n" + strings.Join(script.steps, "\n"))
			}
		})
	}
}
