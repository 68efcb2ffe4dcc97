package proxy

import (
	"context"
	"time"

	"lockroad/balancer"
)

// UpstreamConn is the connection to the endpoint of an established request.
type UpstreamConn interface {
	// Close closes the connection at once, whatever is in progress.
	Close()
}

// Downstream is a frontend's side of one request. The package comment has its contract.
type Downstream interface {
	// Attempt sends the request to an endpoint and waits for the answer, until ctx
	// ends. It returns a connection exactly with balancer.StatusOK.
	Attempt(ctx context.Context, attempt Attempt) (UpstreamConn, balancer.AttemptStatus)
	// Pipe notifies the client that its request is established, calls
	// heartbeat.Established, and copies what both sides send until either ends or ctx
	// does. It returns how that end came about.
	Pipe(ctx context.Context, conn UpstreamConn, heartbeat *Heartbeat) balancer.AttemptStatus
	// BadRequest answers that the request makes no sense.
	BadRequest(why string)
	// Reject answers that the request isn't served now. retryAfter is how long the
	// client should wait before it retries.
	Reject(retryAfter time.Duration)
	// Fail answers that the request has failed.
	Fail()
	// Migrate tells the client of an established request to come again elsewhere. It
	// reports whether the client was notified: its endpoint may just have ended the
	// connection itself.
	Migrate() bool
}
