package console

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lockroad/balancer"
	"lockroad/internal/decisionlog"
	"lockroad/internal/explain"
	"lockroad/internal/golden"
	"lockroad/internal/healthcheck"
	"lockroad/internal/persistence"
	"lockroad/internal/proxy"
	"lockroad/internal/registry"
	"lockroad/internal/store"
)

// fakePersistence has two drain directives in force, and a store with all statistics set.
type fakePersistence struct {
	since     time.Time
	lastError error
}

func (p *fakePersistence) directive() persistence.DrainDirective {
	return persistence.DrainDirective{Endpoint: "s-1", By: "ada", Reason: "disk swap", Since: p.since, Until: p.since.Add(2 * time.Hour)}
}

func (p *fakePersistence) Drain(context.Context, persistence.DrainDirective) (previous *persistence.DrainDirective, storeErr, err error) {
	replaced := p.directive()
	return &replaced, nil, nil
}

func (p *fakePersistence) Undrain(context.Context, string, string) (withdrawn persistence.DrainDirective, storeErr, err error) {
	return p.directive(), errors.New("no room"), nil
}

func (p *fakePersistence) DrainDirectives() []persistence.DrainDirective {
	return []persistence.DrainDirective{p.directive(), {Endpoint: "s-2", By: "bob", Since: p.since}}
}

func (p *fakePersistence) Stats() (store.Stats, error) {
	return store.Stats{
		Records: map[string]int{"farm": 3, "order": 2}, Dropped: map[string]uint64{"farm": 1, "order": 4},
		Commits: 11, Syncs: 12, Merges: 13, Files: 14, Bytes: 1500, LiveBytes: 1600, QueuedCommits: 17, LastError: p.lastError, OldestAge: 18 * time.Minute,
	}, nil
}

func (*fakePersistence) ArchivePinned(uint64) {}

// TestMain sets the local time zone of all tests to UTC. It must not change between tests, as sessions of the previous
// test may still be running.
func TestMain(m *testing.M) {
	time.Local = time.UTC
	os.Exit(m.Run())
}

// withFixedServer calls test with the server of a relay whose clock is fake, and that has a value for every field of
// every answer.
func withFixedServer(t *testing.T, test func(server *Server)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		relay := proxy.New(balancer.Settings{
			Classes: []balancer.Class{{Name: "page", Deadline: time.Second}}, RelayCount: 1, MaxAttempts: 1, InitialCapacity: 1, OverloadMultiple: 1, OverloadWindow: 1,
		}, 1, proxy.NewClock())
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { _ = relay.Run(ctx) })
		defer func() { cancel(); running.Wait() }()
		var servers []balancer.Endpoint
		var addresses []string
		for i, state := range []balancer.EndpointState{balancer.StateReady, balancer.StateReady, balancer.StateDraining} {
			servers = append(servers, balancer.Endpoint{ID: relay.Endpoints.AssignID(fmt.Sprintf("s-%d", i+1)), State: state, Size: 1})
			addresses = append(addresses, fmt.Sprintf("10.1.0.%d:3000", i+1))
		}
		relay.UpdateEndpoints(balancer.ListFull, servers, addresses)
		relay.SetDrain("s-2", true)
		for i, stage := range []registry.Stage{registry.StageWaiting, registry.StageAttempting, registry.StageEstablished} {
			number, _ := relay.Requests.Add(registry.Request{Frontend: "line", Name: fmt.Sprintf("name-%d", i+1), Class: "page", Since: relay.Clock.Now()})
			if stage != registry.StageWaiting {
				relay.Requests.SetStage(number, stage, servers[i].ID)
			}
		}
		relay.Counters.Requests.Add(41)
		relay.Counters.ProtocolErrors.Add(42)
		for end := range registry.EndNames {
			for range end + 1 {
				relay.Counters.CountEnd(registry.End(end))
			}
		}
		for status := range registry.StatusNames {
			for range status + 1 {
				relay.Counters.CountAttempt(balancer.AttemptStatus(status))
			}
		}
		log, err := decisionlog.New(decisionlog.MinBytes, relay.Clock)
		if err != nil {
			t.Fatal(err)
		}
		observer := log.RequestStarted(1, proxy.Request{Frontend: "line", Class: "page", Name: "name-1", RequestOptions: balancer.RequestOptions{Deadline: relay.Clock.Now() + time.Second}})
		observer.AttemptStarted(servers[0].ID)(balancer.StatusFull)
		observer.Ended(proxy.Result{End: registry.EndRejected, RetryAfter: time.Second})
		time.Sleep(1234 * time.Millisecond)
		synctest.Wait()
		test(&Server{
			Name: "n3", Proxy: relay, Frontends: []Frontend{{"line", "10.0.0.4:3000"}, {"amqp", "10.0.0.4:5671"}},
			Explainer: &explain.Explainer{Log: log, Names: relay.Endpoints}, Shutdown: func() error { return nil }, Persistence: &fakePersistence{since: time.Now()},
			Reload: func(_ context.Context, _ bool) ([]string, error) {
				return []string{"limits.cores: 2 becomes 4"}, nil
			},
			Health: func() ([]healthcheck.EndpointHealth, bool) {
				return []healthcheck.EndpointHealth{
					{Name: "s-1", State: healthcheck.StateUp}, {Name: "s-2", State: healthcheck.StateDown, DownFor: 90 * time.Second, ConsecutiveFailures: 4, Reason: "refused"},
				}, true
			},
			LogTail: func(int) []string { return []string{"first\n", "second\n"} },
			Restart: func() error { return nil },
		})
	})
}

// transcript runs command lines, and returns each with the status and text of its answer.
func transcript(server *Server, lines ...string) string {
	var text strings.Builder
	for _, line := range lines {
		status, answer := server.execute(context.Background(), line, "ada")
		fmt.Fprintf(&text, "> %s\n%s\n%s\n", line, status, answer)
	}
	return text.String()
}

// Programs parse the answers to commands with --json.
func TestCommandsJSONIsStable(t *testing.T) {
	withFixedServer(t, func(server *Server) {
		for _, command := range commands {
			if command.supportsJSON {
				golden.Compare(t, command.name+".jsonl", transcript(server, command.name+" --json"))
			}
		}
		golden.Compare(t, "why.jsonl", transcript(server, "why --json 1", `why --json --where (answer "unavailable")`, "why --json --by class,answer,reason"))
	})
}

// The text answers of all commands, including those that change the relay.
func TestCommandsTextIsStable(t *testing.T) {
	withFixedServer(t, func(server *Server) {
		for _, command := range commands {
			if command.supportsJSON {
				golden.Compare(t, command.name+".txt", transcript(server, command.name))
			}
		}
		golden.Compare(t, "help.txt", transcript(server, "help", "help why"))
		golden.Compare(t, "actions.txt", transcript(server, "why 1", "why --by class,answer", "pin 1", "unpin 1", "drain", "drain s-1 for 90m because it is hot",
			"drain s-1 until", "undrain s-1", "undrain", "restart", "reload", "reload --dry-run", "reload now", "status farm", "explode"))
	})
}

// The answers of a relay without endpoints, requests, store, decision log or configuration file.
func TestEmptyAnswersAreStable(t *testing.T) {
	server := &Server{Name: "n3", Proxy: proxy.New(balancer.Settings{RelayCount: 1}, 1, proxy.NewClock()), Persistence: &fakePersistence{lastError: errors.New("disk full")}}
	failing := transcript(server, "store", "store --json")
	server.Persistence = nil
	golden.Compare(t, "empty.txt", failing+transcript(server, "farm", "farm --json", "transactions --json", "fronts --json", "orders --json", "store --json", "health --json",
		"record", "why 1", "pin 1", "drain s-1", "undrain s-1", "restart", "reload", "log"))
}

// Scripts read the exit codes of lockroad console.
func TestExitCodesAreStable(t *testing.T) {
	golden.Compare(t, "exit-codes.txt", fmt.Sprintf("ok %d\nrefused %d\nusage %d\nunreachable %d\n", ExitOK, ExitRejected, ExitUsage, ExitUnreachable))
}
