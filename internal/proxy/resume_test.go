package proxy

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lockroad/balancer"
	"lockroad/internal/registry"
)

// A request that was open before the relay started is resumed only at its own endpoint, even if that is listed late or
// refuses the first attempt. It is rejected if its endpoint is never listed.
func TestResumedRequestUsesItsEndpointOnly(t *testing.T) {
	runProxy(t, 3, func(proxy *Proxy, setState func(int, balancer.EndpointState)) {
		setState(2, balancer.StateDraining)
		downstream := &fakeDownstream{t: t, proxy: proxy, nextAction: establish(3 * time.Second)}
		done := make(chan struct{})
		go func() {
			defer close(done)
			proxy.Serve(context.Background(), Request{EndpointName: "s-1", RequestOptions: balancer.RequestOptions{Established: true}}, downstream)
		}()
		synctest.Wait()
		if open := proxy.Requests.List(); len(open) != 1 || open[0].Endpoint != proxy.Endpoints.AssignID("s-1") || open[0].Stage != registry.StageEstablished {
			t.Errorf("open requests: %+v, want one established at s-1", open)
		}
		<-done
		time.AfterFunc(time.Second, func() { setState(4, balancer.StateReady) }) // the endpoint is listed late
		lateDownstream := &fakeDownstream{t: t, proxy: proxy}
		lateDownstream.nextAction = func() scriptedAction {
			lateDownstream.nextAction = establish(0)
			return scriptedAction{status: balancer.StatusConnectFailed}
		}
		proxy.Serve(context.Background(), Request{EndpointName: "s-4", RequestOptions: balancer.RequestOptions{Established: true}}, lateDownstream)
		unknownDownstream := &fakeDownstream{t: t, proxy: proxy}
		proxy.Serve(context.Background(), Request{EndpointName: "s-9", RequestOptions: balancer.RequestOptions{Established: true}}, unknownDownstream)
		if got := fmt.Sprint(downstream.answers, lateDownstream.answers, unknownDownstream.answers); got != "[established] [established] [rejected]" {
			t.Errorf("the clients were notified of %v, want [established] [established] [rejected]", got)
		}
	})
}

// A client that names an unlisted endpoint, or one that doesn't know the request, is rejected within
// 3 s, and the endpoint's name is not kept in the registry.
func TestResumingUnknownRequestIsRejectedWithinThreeSeconds(t *testing.T) {
	runProxy(t, 1, func(proxy *Proxy, _ func(int, balancer.EndpointState)) {
		before := len(proxy.Endpoints.List())
		for _, name := range []string{"s-0", "s-77", "an odd name"} {
			downstream := &fakeDownstream{t: t, proxy: proxy, nextAction: always(scriptedAction{status: balancer.StatusError})}
			started := proxy.Clock.Now()
			proxy.Serve(context.Background(), Request{EndpointName: name, RequestOptions: balancer.RequestOptions{Established: true}}, downstream)
			if took := proxy.Clock.Now() - started; took > 3*time.Second || fmt.Sprint(downstream.answers) != "[rejected]" {
				t.Errorf("endpoint %q: within %v the client was notified of %v, want a rejection within 3s", name, took, downstream.answers)
			}
		}
		if after := len(proxy.Endpoints.List()); after != before {
			t.Errorf("the registry has grown from %d to %d endpoints", before, after)
		}
	})
}
