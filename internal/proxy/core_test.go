package proxy

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lockroad/balancer"
	"lockroad/internal/assert"
	"lockroad/internal/registry"
	"lockroad/internal/testutil"
)

const ms = time.Millisecond

func settings() balancer.Settings {
	return balancer.Settings{
		Classes: []balancer.Class{{LatencyObjective: 200 * ms, Deadline: time.Second, MessageLatencyObjective: 60 * ms}},
		Relays:  1, MaxAttempts: 3, MinTick: 2 * ms, ConnectTimeout: 50 * ms, MaxRetryAfter: 2 * time.Second,
		InitialCapacity: 0.2, SlowStartDuration: 20 * time.Second, OverloadMultiple: 3, OverloadWindow: 3 * time.Second,
	}
}

// bench runs a core with a farm of n servers on a fake clock.
func bench(t *testing.T, n int, do func(k *Proxy, list func(server int, phase balancer.EndpointState))) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		k := New(settings(), 1, NewClock())
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = k.Run(ctx) }()
		go func() { _ = k.MonitorHeartbeats(ctx) }()
		line := func(i int, phase balancer.EndpointState) balancer.Endpoint {
			return balancer.Endpoint{ID: k.Endpoints.ID(fmt.Sprintf("s-%d", i)), State: phase, Weight: 1}
		}
		for i := range n {
			k.UpdateEndpoints(balancer.ListDelta, []balancer.Endpoint{line(i, balancer.StateReady)}, []string{"address"})
		}
		do(k, func(server int, phase balancer.EndpointState) {
			k.UpdateEndpoints(balancer.ListDelta, []balancer.Endpoint{line(server, phase)}, []string{"address"})
		})
		synctest.Wait()
		if n := k.Requests.Len(); n != 0 {
			t.Errorf("%d transactions are still under way", n)
		}
		if n := assert.Broken(); n != 0 {
			t.Errorf("%d invariants are broken", n)
		}
		cancel()
		synctest.Wait()
	})
}

// act is what a server does with a pass.
type act struct {
	how   balancer.AttemptStatus
	after time.Duration
	lives time.Duration // of one that is up
	mute  bool          // it says nothing once it is up
}

// fake is a front's side of a transaction, and the model that it is checked by.
type fake struct {
	t    *testing.T
	k    *Proxy
	acts func() act

	mu      sync.Mutex
	out     int // passes that are out
	answers []string
	at      time.Duration // of the last answer
}

type fakeLink struct{ act }

func (fakeLink) Close() {}

func (x *fake) Attempt(ctx context.Context, out Attempt) (UpstreamConn, balancer.AttemptStatus) {
	x.mu.Lock()
	if x.out++; x.out > 1 {
		x.t.Error("two passes are out at once")
	}
	if len(x.answers) > 0 {
		x.t.Errorf("a pass goes out after the answer %v", x.answers)
	}
	x.mu.Unlock()
	defer func() {
		x.mu.Lock()
		x.out--
		x.mu.Unlock()
	}()
	if out.Timeout <= 0 {
		x.t.Errorf("a pass has %v", out.Timeout)
	}
	if !out.StillPermitted(ctx) {
		return nil, balancer.StatusNotSent
	}
	a := x.acts()
	select {
	case <-time.After(a.after):
		if a.how == balancer.StatusOK {
			return fakeLink{a}, a.how
		}
		return nil, a.how
	case <-ctx.Done():
		if ctx.Err() == context.DeadlineExceeded {
			return nil, balancer.StatusTimeout
		}
		return nil, balancer.StatusCancelled
	}
}

func (x *fake) Pipe(ctx context.Context, link UpstreamConn, pulse *Heartbeat) balancer.AttemptStatus {
	x.answer("up")
	pulse.Established()
	a := link.(fakeLink)
	end := time.After(a.lives)
	tick := time.NewTicker(2 * time.Second)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			pulse.ClientSent()
			if !a.mute {
				pulse.EndpointSent()
			}
		case <-end:
			return balancer.StatusOK
		case <-ctx.Done():
			return balancer.StatusCancelled
		}
	}
}

func (x *fake) answer(what string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.answers = append(x.answers, what)
	x.at = x.k.Clock.Now()
}

func (x *fake) BadRequest(string)    { x.answer("bad") }
func (x *fake) Reject(time.Duration) { x.answer("unavailable") }
func (x *fake) Fail()                { x.answer("failed") }
func (x *fake) Migrate() bool        { x.answer("move"); return true }

// crossing is a front's side whose server says the last word just as its client is told to move.
type crossing struct {
	fake
	bye chan struct{} // closed as the client is told
}

func (x *crossing) Pipe(_ context.Context, _ UpstreamConn, pulse *Heartbeat) balancer.AttemptStatus {
	pulse.Established()
	<-x.bye
	return balancer.StatusOK
}

func (x *crossing) Migrate() bool {
	close(x.bye)
	time.Sleep(ms) // of the fake clock: the pass has ended by then
	return x.fake.Migrate()
}

// What counts is what the client was told: a server's end that crosses with its turn to move does not make it one that its server
// has ended.
func TestAnEndThatCrossesWithTheMoveIsAMove(t *testing.T) {
	bench(t, 1, func(k *Proxy, _ func(int, balancer.EndpointState)) {
		x := &crossing{fake{t: t, k: k, acts: always(act{how: balancer.StatusOK})}, make(chan struct{})}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			k.Serve(context.Background(), Request{Front: "fake", RequestOptions: balancer.RequestOptions{Deadline: k.Clock.Now() + time.Second}}, x)
		}()
		synctest.Wait()
		k.MigrateAll(ms)
		<-ended
		for _, e := range k.Counters.Ends() {
			if want := map[string]int64{"moved": 1}[e.Name]; e.Count != want {
				t.Errorf("%s: %d", e.Name, e.Count)
			}
		}
	})
}

// ask runs a transaction and returns once it is over.
func (x *fake) ask(ctx context.Context, wait time.Duration) {
	x.k.Serve(ctx, Request{Front: "fake", RequestOptions: balancer.RequestOptions{Group: 7, Deadline: x.k.Clock.Now() + wait}}, x)
}

func always(a act) func() act { return func() act { return a } }

func TestSilentServerIsLeftWithinSevenSeconds(t *testing.T) {
	bench(t, 1, func(k *Proxy, _ func(int, balancer.EndpointState)) {
		x := &fake{t: t, k: k, acts: always(act{how: balancer.StatusOK, lives: time.Minute, mute: true})}
		began := k.Clock.Now()
		x.ask(context.Background(), time.Second)
		if took := k.Clock.Now() - began; took > 7*time.Second || len(x.answers) != 2 || x.answers[1] != "move" {
			t.Errorf("after %v the client has been told %v", took, x.answers)
		}
	})
}

func TestPassAboutToGoOutSparesALeavingServer(t *testing.T) {
	bench(t, 1, func(k *Proxy, _ func(int, balancer.EndpointState)) {
		x := &fake{t: t, k: k, acts: func() act {
			t.Error("a draining server was sent a pass")
			return act{}
		}}
		// The farm knows at once, the module with its next turn.
		k.Endpoints.Update(k.Endpoints.ID("s-0"), "", balancer.StateDraining)
		x.ask(context.Background(), time.Second)
		if len(x.answers) != 1 || x.answers[0] != "unavailable" {
			t.Errorf("the client has been told %v", x.answers)
		}
	})
}

func TestResumedConnectionGoesToItsServerOnly(t *testing.T) {
	bench(t, 3, func(k *Proxy, list func(int, balancer.EndpointState)) {
		list(2, balancer.StateDraining)
		x := &fake{t: t, k: k, acts: always(act{how: balancer.StatusOK, lives: 3 * time.Second})}
		done := make(chan struct{})
		go func() {
			defer close(done)
			k.Serve(context.Background(), Request{EndpointName: "s-1", RequestOptions: balancer.RequestOptions{Established: true}}, x)
		}()
		synctest.Wait()
		if all := k.Requests.List(); len(all) != 1 || all[0].Endpoint != k.Endpoints.ID("s-1") || all[0].Stage != registry.StageEstablished {
			t.Errorf("under way: %+v", all)
		}
		<-done
		time.AfterFunc(time.Second, func() { list(4, balancer.StateReady) }) // the list comes late
		late := &fake{t: t, k: k}
		late.acts = func() act {
			late.acts = always(act{how: balancer.StatusOK})
			return act{how: balancer.StatusConnectFailed}
		}
		k.Serve(context.Background(), Request{EndpointName: "s-4", RequestOptions: balancer.RequestOptions{Established: true}}, late)
		none := &fake{t: t, k: k}
		k.Serve(context.Background(), Request{EndpointName: "s-9", RequestOptions: balancer.RequestOptions{Established: true}}, none)
		if got := fmt.Sprint(x.answers, late.answers, none.answers); got != "[up] [up] [unavailable]" {
			t.Errorf("the clients have been told %v", got)
		}
	})
}

// A client that names a server which no list knows, or one that doesn't know it, is
// told so within 3 s, and leaves nothing behind in the farm.
func TestResumingWhatIsNotOpenEndsSoon(t *testing.T) {
	bench(t, 1, func(k *Proxy, _ func(int, balancer.EndpointState)) {
		known := len(k.Endpoints.List())
		for _, at := range []string{"s-0", "s-77", "an odd name"} {
			x := &fake{t: t, k: k, acts: always(act{how: balancer.StatusError})}
			began := k.Clock.Now()
			k.Serve(context.Background(), Request{EndpointName: at, RequestOptions: balancer.RequestOptions{Established: true}}, x)
			if took := k.Clock.Now() - began; took > 3*time.Second || fmt.Sprint(x.answers) != "[unavailable]" {
				t.Errorf("at %s: after %v the client has been told %v", at, took, x.answers)
			}
		}
		if n := len(k.Endpoints.List()); n != known {
			t.Errorf("the farm has grown from %d to %d", known, n)
		}
	})
}

// A module may move a client in the turn after it stands: the move must not
// overtake the word that it is up, which reads as a failure.
func TestMoveFollowsTheWordThatItIsUp(t *testing.T) {
	bench(t, 1, func(k *Proxy, _ func(int, balancer.EndpointState)) {
		k.MigrateAll(time.Millisecond)
		x := &fake{t: t, k: k, acts: always(act{how: balancer.StatusOK, lives: time.Minute})}
		x.ask(context.Background(), time.Second)
		if fmt.Sprint(x.answers) != "[up move]" {
			t.Errorf("the client has been told %v", x.answers)
		}
	})
}

// A crowd that moves all at once swamps those who take it in.
func TestEveryoneMovesOneAfterAnother(t *testing.T) {
	bench(t, 1, func(k *Proxy, _ func(int, balancer.EndpointState)) {
		const n, over = 40, 800 * ms
		var all sync.WaitGroup
		moved := make(chan time.Duration, n)
		for range n {
			all.Go(func() {
				x := &fake{t: t, k: k, acts: always(act{how: balancer.StatusOK, lives: time.Minute})}
				x.ask(context.Background(), time.Second)
				moved <- x.at
			})
		}
		synctest.Wait()
		began := k.Clock.Now()
		k.MigrateAll(over)
		all.Wait()
		close(moved)
		var quarters [4]int
		for at := range moved {
			if after := at - began; after > over {
				t.Fatalf("a client moves after %v", after)
			} else {
				quarters[min(3, 4*after/over)]++
			}
		}
		for i, got := range quarters {
			if got < n/8 || got > n/2 {
				t.Errorf("%d of %d move in quarter %d", got, n, i+1)
			}
		}
	})
}

// SIGKILL can come before a client's patience has passed: who waits is answered.
func TestWaitingClientsAreAnsweredBeforeTheEnd(t *testing.T) {
	bench(t, 1, func(k *Proxy, _ func(int, balancer.EndpointState)) {
		x := &fake{t: t, k: k, acts: always(act{how: balancer.StatusOK, after: time.Minute})}
		began := k.Clock.Now()
		time.AfterFunc(200*ms, k.RejectPending)
		x.ask(context.Background(), time.Second)
		if took := k.Clock.Now() - began; took != 200*ms || fmt.Sprint(x.answers) != "[unavailable]" {
			t.Errorf("after %v the client has been told %v", took, x.answers)
		}
	})
}

// The same for one that was open before the start and is not up again yet.
func TestAResumedConnectionIsAnsweredBeforeTheEnd(t *testing.T) {
	bench(t, 1, func(k *Proxy, _ func(int, balancer.EndpointState)) {
		x := &fake{t: t, k: k, acts: always(act{how: balancer.StatusFull})}
		began := k.Clock.Now()
		time.AfterFunc(200*ms, k.RejectPending)
		k.Serve(context.Background(), Request{Front: "fake", EndpointName: "s-0", RequestOptions: balancer.RequestOptions{Deadline: began + time.Second, Established: true}}, x)
		if took := k.Clock.Now() - began; took != 200*ms || fmt.Sprint(x.answers) != "[unavailable]" {
			t.Errorf("after %v the client has been told %v", took, x.answers)
		}
	})
}

// Whatever servers, clients and the list do, each transaction gets one final
// answer while its client waits, and one pass at a time.
func FuzzTransactions(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0, 0, 1, 0, 2})
	f.Add([]byte{0, 4, 2, 9, 5, 7, 0, 2, 200, 3, 1, 1, 250, 0, 0, 6, 4, 2})
	f.Add([]byte("the steps of a day with much trouble in it, and a long one at that"))
	f.Add([]byte{0, 0, 0, 1, 4, 0, 1, 5, 9, 1, 1, 1, 1, 0, 9, 9, 3, 0, 2, 1, 3, 5, 1, 4, 1, 9})
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > 200 {
			return
		}
		s := testutil.New(data)
		var mu sync.Mutex
		acts := func() act {
			mu.Lock()
			defer mu.Unlock()
			return act{
				how:   []balancer.AttemptStatus{balancer.StatusOK, balancer.StatusError, balancer.StatusFull, balancer.StatusConnectFailed, balancer.StatusReset}[s.Pick(5)],
				after: time.Duration(s.Pick(8)) * 90 * ms, lives: time.Duration(s.Pick(9)) * time.Second, mute: s.Pick(4) == 1,
			}
		}
		pick := func(n int) int {
			mu.Lock()
			defer mu.Unlock()
			return s.Pick(n)
		}
		more := func() bool {
			mu.Lock()
			defer mu.Unlock()
			return s.More()
		}
		bench(t, 3, func(k *Proxy, list func(int, balancer.EndpointState)) {
			var all sync.WaitGroup
			for more() {
				switch pick(4) {
				case 0, 1:
					x := &fake{t: t, k: k, acts: acts}
					wait := time.Duration(1+pick(10)) * 100 * ms
					ctx, leave := context.WithCancel(context.Background())
					left := pick(4) == 1
					if left {
						time.AfterFunc(time.Duration(pick(10))*70*ms, leave)
					}
					giveUp := k.Clock.Now() + wait
					all.Go(func() {
						defer leave()
						x.ask(ctx, wait)
						x.check(giveUp, left)
					})
				case 2:
					list(pick(3), []balancer.EndpointState{balancer.StateReady, balancer.StateDraining, balancer.StateGone}[pick(3)])
				case 3:
					time.Sleep(time.Duration(pick(100)) * 10 * ms) // of the fake clock
				}
			}
			all.Wait()
		})
	})
}

// check holds what the client was told against the model: an answer in time, and
// after an acceptance nothing but a move.
func (x *fake) check(giveUp time.Duration, left bool) {
	switch n := len(x.answers); {
	case n == 0 && left:
	case n == 0:
		x.t.Error("no answer")
	case n == 1 && x.at > giveUp:
		x.t.Errorf("answered %v after the client gave up", x.at-giveUp)
	case n == 2 && x.answers[0] == "up" && x.answers[1] == "move":
	case n > 1:
		x.t.Errorf("the client has been told %v", x.answers)
	}
}
