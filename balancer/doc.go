// Package balancer decides to which endpoint a relay sends each long-lived connection, when it retries,
// and when it rejects a request or migrates a connection that is already established.
//
// A Balancer is a deterministic state machine without I/O: it opens no socket, starts no goroutine and
// reads no clock. Whoever embeds it hands in events and carries out the actions that come back. A Loop
// wraps a Balancer for code that talks to a network, with blocking calls that any goroutine may use.
//
// # The ordinary path
//
// A request goes to the endpoint cached for its group. Any failure invalidates that route. A retry backs
// off, skips the cache and draws at random by weight among the endpoints that the request has not tried.
// A controller lowers an endpoint's weight on failures and raises it on established connections.
// Everything beyond that guards against one particular problem, which its comment names.
//
// # Contract for embedding a Balancer
//
//  1. One goroutine at a time calls the methods of a Balancer. It has no lock.
//  2. The settings given to New, SettingsChanged and Request pass Settings.Validate, and nobody changes
//     a Settings value after it was handed in.
//  3. The clock given to Handle, Restore and RetryAfter starts above zero and never goes back. Zero
//     stands for "never" in what the Balancer keeps. Events are handed in in the order in which they
//     happened; several may carry the same time.
//  4. The actions that Handle returns are carried out in their order. The slice is valid until the next
//     call of Handle; to keep it longer, copy it.
//  5. Each SetTimer is answered by one Timer with its token, not before After has passed. Timers are not
//     cancelled: one that is no longer needed is ignored.
//  6. Each SendAttempt is answered by one Established or one Outcome. An attempt that takes longer than
//     its Timeout ends with StatusTimeout; one that was not sent by NotAfter ends with StatusNotSent.
//     After Established, one Outcome with Final set ends the connection.
//  7. Reject, Fail and Migrate are final: the embedder cancels an attempt in flight and closes an
//     established connection. Events of a request that has ended are ignored, so those which cross
//     with a final action may be handed in.
//  8. A RequestID is never used twice. A restarted endpoint keeps its EndpointID and has a later
//     StartedAt.
//  9. WatchEndpoints, which occurs only with Settings.PollList, is answered by an EndpointList; its Kind
//     is ListFailed if the call failed. Without PollList the embedder hands in lists on its own.
//  10. Restore takes effect for listed endpoints alone, so an EndpointList comes before it.
//  11. The function given to Observe is called within Handle. It must not block, call the Balancer, or
//     keep the Decision, which is used again.
//
// # Determinism
//
// Equal settings, seeds, times and events give equal actions. The order of random draws and the order of
// floating-point operations are part of the behaviour: a change to either may change decisions. The
// sequences in testdata/replay hold both.
//
// # Contract for a Loop
//
//  1. One goroutine owns the loop: it calls Tick at the time that the last Tick returned and whenever
//     Pending yields. Only Tick touches the Balancer.
//  2. Observe and PublishCounts are called before the first Tick.
//  3. Each request has a RequestHandle, and one goroutine that calls Pick with it until an action is
//     final. That goroutine carries out the actions.
//  4. Any goroutine may call Report. It takes effect in the next Tick, in the order of the calls. It
//     blocks while the mailbox is full, so the goroutine that calls Tick must not rely on it.
//  5. RetryAfter, Snapshot and EndpointViews wait for a Tick: the goroutine that calls Tick must not
//     call them. EndpointCounts does not wait.
//  6. After the last Tick, Close releases those who report or wait for an answer.
//
// # Files
//
// The boundary: settings.go, events.go, actions.go, decision.go (what an observer is told), snapshot.go
// (what the next process takes over), endpointview.go (what operators are shown).
//
// The decisions: balancer.go (the events' dispatch), admission.go (arrival, queue, final answers),
// selection.go and draw.go (the choice of an endpoint), attempt.go (an attempt's timeout and its end),
// retry.go, weights.go (the controller), slowstart.go (endpoints that have just started), outlier.go (slow
// endpoints), draining.go, concurrency.go (limit of set-ups in flight), endpointlist.go (updates of the
// list). explain.go works out the reason of each decision.
//
// The records: request.go, endpoint.go, endpoints.go (the table of endpoints and its totals),
// routecache.go, drawfilter.go (spares a draw most of a large table), setuptime.go (how long set-ups take),
// decay.go, hash.go.
//
// The loop: loop.go, handle.go, loopevents.go, loopqueries.go, timerheap.go.
package balancer
