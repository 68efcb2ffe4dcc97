package server

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"lockroad/internal/auth"
)

const (
	expiryWarningPeriod = 30 * 24 * time.Hour // before a certificate's expiry, in which warnings are logged
	expiryCheckInterval = 12 * time.Hour
)

// credentials holds the AMQP frontend's credentials, which are loaded from files. Both fields are nil if that
// frontend is off; their methods accept a nil receiver.
type credentials struct {
	authenticator *auth.Authenticator // authenticates clients
	endpointTLS   *auth.EndpointTLS
}

// reload rereads all credential files and logs an error if some can't be loaded. Established connections keep
// their credentials.
func (c *credentials) reload(log *slog.Logger) {
	if err := errors.Join(c.authenticator.Reload(), c.endpointTLS.Reload()); err != nil {
		log.Error("credentials reload rejected", "error", err)
		return
	}
	c.reportExpiry(log, time.Now())
}

// reportExpiry logs a warning if the AMQP certificate expires soon, or an error if it has expired.
func (c *credentials) reportExpiry(log *slog.Logger, now time.Time) {
	expires, ok := c.authenticator.CertificateExpiry()
	left := expires.Sub(now)
	switch {
	case !ok || left > expiryWarningPeriod:
	case left <= 0:
		log.Error("AMQP certificate expired", "at", expires.UTC().Format(time.RFC3339))
	default:
		log.Warn("AMQP certificate expires soon", "at", expires.UTC().Format(time.RFC3339), "days", int(left/(24*time.Hour)))
	}
}

// watchExpiry calls reportExpiry at the start and every expiryCheckInterval until ctx is cancelled.
func (c *credentials) watchExpiry(ctx context.Context, log *slog.Logger) error {
	if _, ok := c.authenticator.CertificateExpiry(); !ok {
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
