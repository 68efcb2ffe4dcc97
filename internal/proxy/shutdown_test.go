package proxy

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lockroad/balancer"
)

// crossingDownstream is a frontend's side whose endpoint ends the connection just as its client is notified to migrate.
type crossingDownstream struct {
	fakeDownstream
	migrated chan struct{} // closed as the client is notified
}

func (d *crossingDownstream) Pipe(_ context.Context, _ UpstreamConn, heartbeat *Heartbeat) balancer.AttemptStatus {
	heartbeat.Established()
	<-d.migrated
	return balancer.StatusOK
}

func (d *crossingDownstream) Migrate() bool {
	close(d.migrated)
	time.Sleep(ms) // of the fake clock: the attempt has ended by then
	return d.fakeDownstream.Migrate()
}

// What counts is what the client was notified of: an endpoint's end that crosses with the turn to depart is no end by the endpoint.
func TestEndpointEndDuringMigrationCountsAsMigrated(t *testing.T) {
	runProxy(t, 1, func(proxy *Proxy, _ func(int, balancer.EndpointState)) {
		downstream := &crossingDownstream{fakeDownstream{t: t, proxy: proxy, nextAction: establish(0)}, make(chan struct{})}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			proxy.Serve(context.Background(), Request{Frontend: "fake", RequestOptions: balancer.RequestOptions{Deadline: proxy.Clock.Now() + time.Second}}, downstream)
		}()
		synctest.Wait()
		proxy.MigrateAll(ms)
		<-ended
		for _, end := range proxy.Counters.Ends() {
			if want := map[string]int64{"moved": 1}[end.Name]; end.Count != want {
				t.Errorf("%s: %d", end.Name, end.Count)
			}
		}
	})
}

// The balancer may migrate a client in the turn after its request is established: the client
// must not be notified of that first, which reads as a failure.
func TestMigrationFollowsEstablishedNotification(t *testing.T) {
	runProxy(t, 1, func(proxy *Proxy, _ func(int, balancer.EndpointState)) {
		proxy.MigrateAll(time.Millisecond)
		downstream := &fakeDownstream{t: t, proxy: proxy, nextAction: establish(time.Minute)}
		downstream.serve(context.Background(), time.Second)
		if fmt.Sprint(downstream.answers) != "[established migrated]" {
			t.Errorf("the client was notified of %v", downstream.answers)
		}
	})
}

// Clients that all migrate at once would swamp the relays that take them in.
func TestMigrationsAreSpreadOverWindow(t *testing.T) {
	runProxy(t, 1, func(proxy *Proxy, _ func(int, balancer.EndpointState)) {
		const clients, over = 40, 800 * ms
		var running sync.WaitGroup
		migratedAt := make(chan time.Duration, clients)
		for range clients {
			running.Go(func() {
				downstream := &fakeDownstream{t: t, proxy: proxy, nextAction: establish(time.Minute)}
				downstream.serve(context.Background(), time.Second)
				migratedAt <- downstream.answeredAt
			})
		}
		synctest.Wait()
		started := proxy.Clock.Now()
		proxy.MigrateAll(over)
		running.Wait()
		close(migratedAt)
		var quarters [4]int
		for at := range migratedAt {
			if after := at - started; after > over {
				t.Fatalf("a client migrates after %v", after)
			} else {
				quarters[min(3, 4*after/over)]++
			}
		}
		for i, got := range quarters {
			if got < clients/8 || got > clients/2 {
				t.Errorf("%d of %d migrate in quarter %d", got, clients, i+1)
			}
		}
	})
}

// SIGKILL can come before a client's deadline: pending requests are answered first.
func TestPendingRequestsAreRejectedAtShutdown(t *testing.T) {
	runProxy(t, 1, func(proxy *Proxy, _ func(int, balancer.EndpointState)) {
		downstream := &fakeDownstream{t: t, proxy: proxy, nextAction: always(scriptedAction{status: balancer.StatusOK, after: time.Minute})}
		started := proxy.Clock.Now()
		time.AfterFunc(200*ms, proxy.RejectPending)
		downstream.serve(context.Background(), time.Second)
		if took := proxy.Clock.Now() - started; took != 200*ms || fmt.Sprint(downstream.answers) != "[rejected]" {
			t.Errorf("after %v the client was notified of %v", took, downstream.answers)
		}
	})
}

// The same for a request that was open before the start and is not established again yet.
func TestResumingRequestsAreRejectedAtShutdown(t *testing.T) {
	runProxy(t, 1, func(proxy *Proxy, _ func(int, balancer.EndpointState)) {
		downstream := &fakeDownstream{t: t, proxy: proxy, nextAction: always(scriptedAction{status: balancer.StatusFull})}
		started := proxy.Clock.Now()
		time.AfterFunc(200*ms, proxy.RejectPending)
		proxy.Serve(context.Background(), Request{Frontend: "fake", EndpointName: "s-0", RequestOptions: balancer.RequestOptions{Deadline: started + time.Second, Established: true}}, downstream)
		if took := proxy.Clock.Now() - started; took != 200*ms || fmt.Sprint(downstream.answers) != "[rejected]" {
			t.Errorf("after %v the client was notified of %v", took, downstream.answers)
		}
	})
}
