// Package proxy carries a request from its arrival to its final answer and, once
// it is established, its connection to the connection's end. It knows no wire
// protocol: frontends hand it requests, and carry out attempts and answers.
//
// Whoever embeds a Proxy
//
//  1. makes it with New and sets Log, Quota and Instruments, Observe and
//     PublishCounts before anything else runs;
//  2. runs Run and MonitorHeartbeats, each in one goroutine that it waits for;
//     both return once their context ends;
//  3. hands in the endpoint list with UpdateEndpoints, from any goroutine;
//  4. calls Serve (or Adopt) once for each request, in a goroutine of that request,
//     and Reject for those that it doesn't serve;
//  5. at shutdown calls RejectPending for requests that aren't established, and
//     MigrateAll or HandOffAll for those that are.
//
// A frontend implements Downstream, and fulfils this contract:
//
//  1. Attempt, and after it Pipe, run in the goroutine of an attempt; all other
//     methods may run at the same time in another. No two attempts of a request
//     overlap.
//  2. Attempt asks Attempt.StillPermitted just before the first byte, and sends
//     nothing where that is false. It returns a connection exactly with
//     balancer.StatusOK, and has closed its own when it returns none.
//  3. Pipe notifies the client that it is established, calls Heartbeat.Established
//     once after that, and returns when either side has ended or its context has.
//  4. Exactly one of BadRequest, Reject and Fail is called for a request that is
//     never established, unless its client leaves first. Migrate is called only for
//     one whose client was notified, and may be called again: the first call counts.
package proxy
