package auth

import (
	"crypto/tls"
	"errors"
	"sync/atomic"
)

// EndpointTLSSettings says how connections to endpoints are secured. The zero value means no TLS.
type EndpointTLSSettings struct {
	CA        string // PEM file of the authorities, one of which has to have signed an endpoint's certificate
	Cert, Key string // PEM files of the relay's client certificate and its key; empty: none
	Name      string // server name that certificates have to be for; empty: the endpoint's host
}

// EndpointTLS is the TLS configuration for connections to endpoints. A nil EndpointTLS means no
// TLS. Any goroutine may call its methods.
type EndpointTLS struct {
	settings EndpointTLSSettings
	config   atomic.Pointer[tls.Config]
}

// NewEndpointTLS reads all files. It returns nil for the zero value of settings, and its errors
// are of type SettingError.
func NewEndpointTLS(settings EndpointTLSSettings) (*EndpointTLS, error) {
	switch {
	case settings == EndpointTLSSettings{}:
		return nil, nil
	case settings.CA == "":
		return nil, SettingError{Key: "servers_tls.ca", Err: errors.New("is missing: a server's certificate could be anyone's")}
	case (settings.Cert == "") != (settings.Key == ""):
		return nil, SettingError{Key: "servers_tls.cert", Err: errIncompletePair}
	}
	e := &EndpointTLS{settings: settings}
	return e, e.Reload()
}

// Reload reads all files again. After an error what was read before stays in force.
func (e *EndpointTLS) Reload() error {
	if e == nil {
		return nil
	}
	pool, err := readCertPool(e.settings.CA)
	if err != nil {
		return withKey("servers_tls.ca", err)
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	if e.settings.Cert != "" {
		pair, _, err := readKeyPair(e.settings.Cert, e.settings.Key)
		if err != nil {
			return withKey("servers_tls.cert", err)
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
