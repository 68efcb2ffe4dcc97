// Package balancer implements the load balancing of a relay for long-lived connections: it selects the
// endpoint of each request, retries and rejects requests, and migrates established connections.
//
// A Balancer is a deterministic state machine without I/O: it opens no socket, starts no goroutine and
// reads no clock. The embedding code passes events to it and executes the actions that it returns. A Loop
// wraps a Balancer for code that does network I/O, with blocking calls for concurrent use.
//
// # Overview
//
// A request goes to the endpoint cached for its group. Any failure invalidates that route. A retry backs
// off, skips the cache and draws at random by weight among the endpoints that the request has not tried.
// A controller lowers an endpoint's weight on failures and raises it on established connections.
// Further mechanisms each handle one specific problem, which their comments describe.
//
// # Contract for embedding a Balancer
//
//  1. The methods of a Balancer must not be called concurrently. It has no lock.
//  2. The settings passed to New, SettingsChanged and Request must pass Settings.Validate and must not be
//     modified afterwards.
//  3. The clock passed to Handle, Restore and RetryAfter starts above zero and never goes back. The
//     Balancer uses zero for "never". Events are passed in the order in which they happened; several may
//     have the same time.
//  4. The actions that Handle returns are executed in order. The slice is valid until the next call of
//     Handle; to keep it longer, copy it.
//  5. Each SetTimer is answered by one Timer with its token, not before After has passed. Timers are not
//     cancelled: the Balancer ignores one that is no longer needed.
//  6. Each SendAttempt is answered by one Established or one Outcome. An attempt that takes longer than
//     its Timeout ends with StatusTimeout; one that was not sent by NotAfter ends with StatusNotSent.
//     After Established, one Outcome with Final set ends the connection.
//  7. Reject, Fail and Migrate are final: the embedder cancels an attempt in flight and closes an
//     established connection. Events of a request that has ended are ignored, so events that cross a
//     final action do no harm.
//  8. A RequestID is never reused. A restarted endpoint keeps its EndpointID and has a later StartedAt.
//  9. WatchEndpoints, which occurs only with Settings.PollList, is answered by an EndpointList; its Kind
//     is ListFailed if the poll failed. Without PollList the embedder passes lists unprompted.
//  10. Restore applies to listed endpoints only, so an EndpointList must come before it.
//  11. The function passed to Observe is called during Handle. It must not block, call the Balancer or
//     retain the Decision, which is reused.
//
// # Determinism
//
// Equal settings, seeds, times and events produce equal actions. The order of random draws and of
// floating-point operations is part of the behaviour: changing it may change decisions. The sequences in
// testdata/replay test both.
//
// # Contract for a Loop
//
//  1. One goroutine owns the loop: it calls Tick at the time that the last Tick returned and whenever
//     Pending receives a value. Only Tick accesses the Balancer.
//  2. Observe and PublishCounts are called before the first Tick.
//  3. Each request has a RequestHandle and one goroutine, which calls NextAction with it until an action
//     is final, and executes the actions.
//  4. Any goroutine may call Report. The next Tick processes the events in the order of the calls. Report
//     blocks while the mailbox is full, so the goroutine that calls Tick must not depend on it.
//  5. RetryAfter, Snapshot and EndpointViews wait for a Tick: the goroutine that calls Tick must not
//     call them. EndpointCounts does not wait.
//  6. After the last Tick, Close unblocks callers that report events or wait for answers.
//
// # Files
//
// Interface: settings.go, events.go, actions.go, decision.go (reports to observers), snapshot.go (state for
// the relay's next process), endpointview.go (state for operators).
//
// Decisions: balancer.go (event dispatch), admission.go (arrival, queueing, final answers), selection.go and
// draw.go (endpoint selection), attempt.go (timeout and end of attempts), retry.go, weights.go (weight
// controller), slowstart.go (endpoints that are warming up), outlier.go (slow endpoints), draining.go,
// concurrency.go (limit of setups in flight), endpointlist.go (list updates), explain.go (reasons of
// decisions).
//
// State: request.go, endpoint.go, endpoints.go (endpoint table and totals), routecache.go, drawfilter.go
// (skips endpoints in draws from a large table), setuptime.go (setup time estimate), decay.go, hash.go.
//
// Loop: loop.go, handle.go, loopevents.go, loopqueries.go, timerheap.go.
package balancer
