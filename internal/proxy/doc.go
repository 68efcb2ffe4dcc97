// Package proxy serves requests: it forwards each request to endpoints that the balancer
// picks until it has a final answer and, once the request is established, pipes its
// connection until that ends. It is independent of wire protocols: frontends parse
// requests, execute attempts and send answers.
//
// The embedder of a Proxy
//
//  1. creates it with New, sets Log, Quota and Instruments, and calls Observe and
//     PublishCounts, before it starts any goroutine that uses it;
//  2. runs Run and MonitorHeartbeats in one goroutine each, and waits for both to
//     return after their context has ended;
//  3. passes updates of the endpoint list to UpdateEndpoints, from any goroutine;
//  4. calls Serve (or Adopt) once for each request, in a goroutine of that request,
//     and Reject for each request that it does not serve;
//  5. at shutdown calls RejectPending for requests that are not established, and
//     MigrateAll or HandOffAll for those that are.
//
// A frontend implements Downstream under this contract:
//
//  1. Attempt, and after it Pipe, run in the goroutine of an attempt; all other
//     methods may run concurrently in another. Attempts of a request do not overlap.
//  2. Attempt calls Attempt.StillPermitted just before it sends the first byte, and
//     sends nothing if that returns false. It returns a connection if and only if the
//     status is balancer.StatusOK, and otherwise closes any connection it has opened.
//  3. Pipe notifies the client that its request is established, then calls
//     Heartbeat.Established once, and returns when either side has closed the
//     connection or its context has ended.
//  4. Exactly one of BadRequest, Reject and Fail is called for a request that is
//     never established, unless its client leaves first. Migrate is called only after
//     the client was notified that its request is established, and may be called again;
//     only the first call has an effect.
package proxy
