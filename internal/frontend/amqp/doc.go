// Package amqp is the AMQP 1.0 frontend of the relay. It accepts client connections, turns each link that a client
// attaches into a proxy request, and forwards the frames of an established link between the client and an endpoint.
//
// Two subpackages do no I/O: codec defines the AMQP types and their encoding; framing defines frames, performatives and
// error conditions. In this package:
//
//   - Frontend serves a listener; a clientConnection reads one client, and a clientSession handles one of its sessions.
//   - A link carries one request and implements proxy.Downstream (Attempt, Pipe, Migrate, Reject, Fail, BadRequest).
//   - An upstream is the endpoint's side of a link, on a dedicated connection or on a session of a connection that
//     several requests share (sharedConnections, multiplexer, sharedSession).
//   - A linkEnd sends the relay's frames of a link in one session, to the client or to the endpoint, and nothing after
//     the detach. A deliveryMap translates delivery-ids between the two sessions.
//   - An outbox and a creditLimiter keep an endpoint that stops reading from stalling the client's other links. The
//     creditLimiter also bounds the unsettled deliveries, in both directions.
//   - A memoryBudget bounds the memory of all clients' frames that wait for endpoints. While it is used up, connections
//     that hold much are not read. A throttle.Meter of each connection delays those that send without a pause.
//   - When a client leaves, what it has sent on an established link goes to the endpoint first (clientSession.leave,
//     link.handleDisconnect, upstream.linger).
//   - PeerConn and PeerSession implement the endpoint's end of such a connection, for fake endpoints in tests and demos.
//
// One goroutine reads each connection; any goroutine may write. Section numbers in comments refer to the OASIS AMQP 1.0
// standard.
package amqp
