package server

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"lockroad/internal/auth"
)

const (
	expiryWarningPeriod = 30 * 24 * time.Hour // a certificate that expires within this is warned of,
	expiryCheckInterval = 12 * time.Hour      // so often
)

// credentials are the files that say who peers are. Both are nil without the AMQP frontend; their methods allow that.
type credentials struct {
	authenticator *auth.Authenticator // of clients
	endpointTLS   *auth.EndpointTLS
}

// reload reads all files anew. Connections that are established go on with what they began under.
func (c *credentials) reload(log *slog.Logger) {
	if err := errors.Join(c.authenticator.Reload(), c.endpointTLS.Reload()); err != nil {
		log.Error("credentials reload rejected", "error", err)
		return
	}
	c.reportExpiry(log, time.Now())
}

// reportExpiry logs that a certificate expires soon, or has.
func (c *credentials) reportExpiry(log *slog.Logger, now time.Time) {
	expires, ok := c.authenticator.Expires()
	left := expires.Sub(now)
	switch {
	case !ok || left > expiryWarningPeriod:
	case left <= 0:
		log.Error("AMQP certificate expired", "at", expires.UTC().Format(time.RFC3339))
	default:
		log.Warn("AMQP certificate expires soon", "at", expires.UTC().Format(time.RFC3339), "days", int(left/(24*time.Hour)))
	}
}

// watchExpiry reports it at the start and every expiryCheckInterval, until ctx ends.
func (c *credentials) watchExpiry(ctx context.Context, log *slog.Logger) error {
	if _, ok := c.authenticator.Expires(); !ok {
		return nil
	}
	for {
		c.reportExpiry(log, time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(expiryCheckInterval):
		}
	}
}
