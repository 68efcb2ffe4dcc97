// Package amqp is the AMQP 1.0 frontend of the relay: it accepts clients' connections, turns each link that a client
// attaches into a request of the proxy, and passes the frames of an established link between the client and an endpoint.
//
// The layers below do no I/O: package codec holds the types of the standard and their encoding, package framing the
// frames, performatives and error conditions. In this package:
//
//   - Frontend serves a listener; a clientConnection reads one client, a clientSession one of its sessions;
//   - a link is one request: it implements the proxy's downstream (Attempt, Pipe, Migrate, Reject, Fail);
//   - an upstream is the endpoint's side of a link, on a connection of its own or on a session of a connection that
//     several requests share (sharedConnections, multiplexer, sharedSession);
//   - an outbox and a creditLimiter keep an endpoint that stops reading from stalling the client's other links;
//   - PeerConn and Peer are the endpoint's end of such a connection, for fake servers in tests and demonstrations.
//
// One goroutine reads each connection; any goroutine may write. Sections in comments are those of the OASIS standard,
// part and section.
package amqp
