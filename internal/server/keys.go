package server

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"lockroad/internal/auth"
)

const (
	expiryWarningPeriod = 30 * 24 * time.Hour // a certificate that expires within this is told of,
	expiryCheckInterval = 12 * time.Hour      // so often
)

// credentials are the files that say who peers are. Neither is there without AMQP's front.
type credentials struct {
	authenticator *auth.Authenticator
	endpointTLS   *auth.EndpointTLS
}

// reload reads all files anew. Connections that stand go on with what they began under.
func (k *credentials) reload(log *slog.Logger) {
	if err := errors.Join(k.authenticator.Reload(), k.endpointTLS.Reload()); err != nil {
		log.Error("a file of keys or users stays as it was", "error", err)
		return
	}
	k.reportExpiry(log, time.Now())
}

// reportExpiry tells of a certificate that expires soon.
func (k *credentials) reportExpiry(log *slog.Logger, now time.Time) {
	at, ok := k.authenticator.Expires()
	left := at.Sub(now)
	switch {
	case !ok || left > expiryWarningPeriod:
	case left <= 0:
		log.Error("the certificate of AMQP's front has expired", "at", at.UTC().Format(time.RFC3339))
	default:
		log.Warn("the certificate of AMQP's front expires soon", "at", at.UTC().Format(time.RFC3339), "days", int(left/(24*time.Hour)))
	}
}

// watch tells of it every so often, until ctx ends.
func (k *credentials) watch(ctx context.Context, log *slog.Logger) error {
	if _, ok := k.authenticator.Expires(); !ok {
		return nil
	}
	for {
		k.reportExpiry(log, time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(expiryCheckInterval):
		}
	}
}
