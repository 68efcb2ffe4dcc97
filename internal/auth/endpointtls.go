package auth

import (
	"crypto/tls"
	"errors"
	"sync/atomic"
)

// EndpointTLSSettings configures TLS for connections to endpoints. The zero value means no TLS.
type EndpointTLSSettings struct {
	CA        string // PEM file of the CAs that sign endpoints' certificates
	Cert, Key string // PEM files of the relay's client certificate and its key; empty: none
	Name      string // server name that endpoints' certificates must be valid for; empty: the endpoint's host
}

// EndpointTLS is the TLS configuration for connections to endpoints. A nil EndpointTLS means no
// TLS. It is safe for concurrent use.
type EndpointTLS struct {
	settings EndpointTLSSettings
	config   atomic.Pointer[tls.Config]
}

// NewEndpointTLS validates the settings and reads all files. It returns nil for the zero value of
// settings. Its errors are of type SettingError.
func NewEndpointTLS(settings EndpointTLSSettings) (*EndpointTLS, error) {
	switch {
	case settings == EndpointTLSSettings{}:
		return nil, nil
	case settings.CA == "":
		return nil, SettingError{Key: "servers_tls.ca", Err: errors.New("is missing: server certificates could not be verified")}
	case (settings.Cert == "") != (settings.Key == ""):
		return nil, SettingError{Key: "servers_tls.cert", Err: errIncompletePair}
	}
	e := &EndpointTLS{settings: settings}
	return e, e.Reload()
}

// Reload reads all files again. If it returns an error, which is a SettingError, the configuration
// that was loaded before remains in use.
func (e *EndpointTLS) Reload() error {
	if e == nil {
		return nil
	}
	pool, err := readCertPool(e.settings.CA)
	if err != nil {
		return newSettingError("servers_tls.ca", err)
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	if e.settings.Cert != "" {
		pair, _, err := readKeyPair(e.settings.Cert, e.settings.Key)
		if err != nil {
			return newSettingError("servers_tls.cert", err)
		}
		config.Certificates = []tls.Certificate{*pair}
	}
	e.config.Store(config)
	return nil
}

// ConfigFor returns the TLS configuration for connections to an endpoint at host, or nil if they use
// no TLS. The caller may change it.
func (e *EndpointTLS) ConfigFor(host string) *tls.Config {
	if e == nil {
		return nil
	}
	config := e.config.Load().Clone()
	if config.ServerName = e.settings.Name; config.ServerName == "" {
		config.ServerName = host
	}
	return config
}
