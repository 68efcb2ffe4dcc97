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

// racingDownstream is a Downstream whose endpoint closes the connection while the client is notified to migrate.
type racingDownstream struct {
	fakeDownstream
	migrated chan struct{} // closed when the client is notified
}

func (d *racingDownstream) Pipe(_ context.Context, _ UpstreamConn, heartbeat *Heartbeat) balancer.AttemptStatus {
	heartbeat.Established()
	<-d.migrated
	return balancer.StatusOK
}

func (d *racingDownstream) Migrate() bool {
	close(d.migrated)
	time.Sleep(ms) // of the fake clock; the attempt ends meanwhile
	return d.fakeDownstream.Migrate()
}

// A request whose client was notified to migrate counts as migrated, even if its endpoint closes the connection
// meanwhile.
func TestEndpointCloseDuringMigrationCountsAsMigrated(t *testing.T) {
	runProxy(t, 1, func(proxy *Proxy, _ func(int, balancer.EndpointState)) {
		downstream := &racingDownstream{fakeDownstream{t: t, proxy: proxy, nextAction: establish(0)}, make(chan struct{})}
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
				t.Errorf("%d requests counted as %s, want %d", end.Count, end.Name, want)
			}
		}
	})
}

// Guards against a migration that is sent before the client knows that its request is
// established: clients treat that as a failure.
func TestMigrationFollowsEstablishedNotification(t *testing.T) {
	runProxy(t, 1, func(proxy *Proxy, _ func(int, balancer.EndpointState)) {
		proxy.MigrateAll(time.Millisecond)
		downstream := &fakeDownstream{t: t, proxy: proxy, nextAction: establish(time.Minute)}
		downstream.serve(context.Background(), time.Second)
		if fmt.Sprint(downstream.answers) != "[established migrated]" {
			t.Errorf("the client was notified of %v, want [established migrated]", downstream.answers)
		}
	})
}

// Clients that all migrate at once would overload the relays to which they reconnect.
func TestMigrationsAreSpreadOverWindow(t *testing.T) {
	runProxy(t, 1, func(proxy *Proxy, _ func(int, balancer.EndpointState)) {
		const clients, window = 40, 800 * ms
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
		proxy.MigrateAll(window)
		running.Wait()
		close(migratedAt)
		var quarters [4]int
		for at := range migratedAt {
			if after := at - started; after > window {
				t.Fatalf("a client was migrated after %v, want at most %v", after, window)
			} else {
				quarters[min(3, 4*after/window)]++
			}
		}
		for i, got := range quarters {
			if got < clients/8 || got > clients/2 {
				t.Errorf("%d of %d clients were migrated in quarter %d of the window", got, clients, i+1)
			}
		}
	})
}

// Pending requests must be answered before the process is killed, which may be before their deadline.
func TestPendingRequestsAreRejectedAtShutdown(t *testing.T) {
	runProxy(t, 1, func(proxy *Proxy, _ func(int, balancer.EndpointState)) {
		downstream := &fakeDownstream{t: t, proxy: proxy, nextAction: always(scriptedAction{status: balancer.StatusOK, after: time.Minute})}
		started := proxy.Clock.Now()
		time.AfterFunc(200*ms, proxy.RejectPending)
		downstream.serve(context.Background(), time.Second)
		if took := proxy.Clock.Now() - started; took != 200*ms || fmt.Sprint(downstream.answers) != "[rejected]" {
			t.Errorf("after %v the client was notified of %v, want [rejected] after 200ms", took, downstream.answers)
		}
	})
}

// Requests that are being resumed must also be answered before the process is killed.
func TestResumingRequestsAreRejectedAtShutdown(t *testing.T) {
	runProxy(t, 1, func(proxy *Proxy, _ func(int, balancer.EndpointState)) {
		downstream := &fakeDownstream{t: t, proxy: proxy, nextAction: always(scriptedAction{status: balancer.StatusFull})}
		started := proxy.Clock.Now()
		time.AfterFunc(200*ms, proxy.RejectPending)
		proxy.Serve(context.Background(), Request{Frontend: "fake", EndpointName: "s-0", RequestOptions: balancer.RequestOptions{Deadline: started + time.Second, Established: true}}, downstream)
		if took := proxy.Clock.Now() - started; took != 200*ms || fmt.Sprint(downstream.answers) != "[rejected]" {
			t.Errorf("after %v the client was notified of %v, want [rejected] after 200ms", took, downstream.answers)
		}
	})
}
