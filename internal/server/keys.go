package server

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"lockroad/internal/auth"
)

const (
	soonExpires = 30 * 24 * time.Hour // a certificate that expires within this is told of,
	expiryEvery = 12 * time.Hour      // so often
)

// keys are the files that say who peers are. Neither is there without AMQP's front.
type keys struct {
	gate    *auth.Authenticator
	servers *auth.EndpointTLS
}

// reload reads all files anew. Connections that stand go on with what they began under.
func (k *keys) reload(log *slog.Logger) {
	if err := errors.Join(k.gate.Reload(), k.servers.Reload()); err != nil {
		log.Error("a file of keys or users stays as it was", "error", err)
		return
	}
	k.tell(log, time.Now())
}

// tell tells of a certificate that expires soon.
func (k *keys) tell(log *slog.Logger, now time.Time) {
	at, ok := k.gate.Expires()
	left := at.Sub(now)
	switch {
	case !ok || left > soonExpires:
	case left <= 0:
		log.Error("the certificate of AMQP's front has expired", "at", at.UTC().Format(time.RFC3339))
	default:
		log.Warn("the certificate of AMQP's front expires soon", "at", at.UTC().Format(time.RFC3339), "days", int(left/(24*time.Hour)))
	}
}

// watch tells of it every so often, until ctx ends.
func (k *keys) watch(ctx context.Context, log *slog.Logger) error {
	if _, ok := k.gate.Expires(); !ok {
		return nil
	}
	for {
		k.tell(log, time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(expiryEvery):
		}
	}
}
