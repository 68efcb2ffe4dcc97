package proxy

import (
	"context"
	"time"

	"lockroad/balancer"
)

// UpstreamConn is the connection to the endpoint of an established request.
type UpstreamConn interface {
	// Close closes the connection at once, and interrupts reads and writes in progress.
	Close()
}

// Downstream is a frontend's side of one request. Its contract is in the package comment.
type Downstream interface {
	// Attempt sends the request to an endpoint and waits for its answer until ctx ends.
	// The connection is nil unless the status is balancer.StatusOK.
	Attempt(ctx context.Context, attempt Attempt) (UpstreamConn, balancer.AttemptStatus)
	// Pipe notifies the client that its request is established, calls
	// heartbeat.Established, and copies data in both directions until either side closes
	// the connection or ctx ends. It returns how the connection ended.
	Pipe(ctx context.Context, conn UpstreamConn, heartbeat *Heartbeat) balancer.AttemptStatus
	// BadRequest answers that the request is invalid, for a reason.
	BadRequest(reason string)
	// Reject answers that the request is not served now. retryAfter is how long the
	// client should wait before it retries; 0 if that is not known.
	Reject(retryAfter time.Duration)
	// Fail answers that the request has failed.
	Fail()
	// Migrate tells the client of an established request to reconnect to another relay.
	// It reports whether the client was notified, which is not the case if the endpoint
	// has closed the connection first.
	Migrate() bool
}
