package config

import (
	"cmp"
	"errors"
	"fmt"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"lockroad/internal/auth"
	"lockroad/internal/connpool"
	"lockroad/internal/decisionlog"
	"lockroad/internal/frontend/amqp"
	"lockroad/internal/logging"
)

// Operator has the settings of the operator file, which supplement the platform configuration. The zero value
// disables all optional features.
type Operator struct {
	AMQP        AMQP        `toml:"amqp"`
	OTLP        OTLP        `toml:"otlp"`
	Console     Console     `toml:"console"`
	DecisionLog DecisionLog `toml:"why"`
	Log         Log         `toml:"log"`
	Store       Store       `toml:"store"`
}

// AMQP has the settings of the frontend for AMQP 1.0 clients.
type AMQP struct {
	Listen       string `toml:"listen"`      // host:port; empty: the frontend is off
	EndpointPort int    `toml:"server_port"` // AMQP port of the endpoints; 0: the port that discovery lists
	MaxLinks     int    `toml:"links"`       // concurrent links; 0: as many as the descriptor limit allows

	// MaxSessionsPerConn is the maximum number of requests that share a connection to an endpoint; 0: no sharing.
	// A higher value saves descriptors and connection set-ups, but a lost connection ends all requests on it.
	MaxSessionsPerConn int      `toml:"shared"`
	SharedIdleTimeout  duration `toml:"shared_idle"` // idle time before a shared connection is closed; empty: 10 s

	TLS struct {
		Cert     string `toml:"cert"`      // PEM file of the frontend's certificate; empty: no TLS
		Key      string `toml:"key"`       // PEM file of its key; all files are reloaded at SIGHUP
		ClientCA string `toml:"client_ca"` // PEM file of the CA for client certificates; empty: they are not used
	} `toml:"tls"`
	SASL struct {
		Users           string `toml:"users"`             // file written by lockroad passwd; empty: no PLAIN
		Anonymous       *bool  `toml:"anonymous"`         // allow unauthenticated clients; not set: yes
		PlainWithoutTLS bool   `toml:"plain_without_tls"` // allow PLAIN without TLS
	} `toml:"sasl"`
	Grants      []auth.Grant `toml:"grant"` // classes that each user may open; empty: all users, all classes
	EndpointTLS struct {
		CA   string `toml:"ca"`   // PEM file of the CA for endpoint certificates; empty: no TLS to endpoints
		Cert string `toml:"cert"` // PEM file of the relay's client certificate; empty: none
		Key  string `toml:"key"`  // PEM file of its key
		Name string `toml:"name"` // server name expected in endpoint certificates; empty: the endpoint's host
	} `toml:"servers_tls"`
	Placements []struct { // rules for links whose attach names no class; the first matching rule applies
		Address   string   `toml:"address"`   // pattern in which * matches any text; empty: matches all
		Container string   `toml:"container"` // pattern, as for Address
		Class     string   `toml:"class"`
		Timeout   duration `toml:"give_up"` // empty: the deadline of the class
		Group     string   `toml:"group"`   // address, container, link or property:NAME; empty: none
	} `toml:"place"`
}

const (
	maxSessionsPerConn       = 4096
	defaultSharedIdleTimeout = duration(10 * time.Second)
)

// PoolSettings returns the settings of the pool of shared endpoint connections.
func (a *AMQP) PoolSettings() connpool.Settings {
	return connpool.Settings{MaxSessions: a.MaxSessionsPerConn, IdleTimeout: time.Duration(cmp.Or(a.SharedIdleTimeout, defaultSharedIdleTimeout))}
}

// AuthSettings returns the settings for authenticating and authorizing clients.
func (a *AMQP) AuthSettings() auth.Settings {
	return auth.Settings{Cert: a.TLS.Cert, Key: a.TLS.Key, ClientCA: a.TLS.ClientCA, Users: a.SASL.Users,
		RequireAuthentication: a.SASL.Anonymous != nil && !*a.SASL.Anonymous, PlainWithoutTLS: a.SASL.PlainWithoutTLS, Grants: a.Grants}
}

// EndpointTLSSettings returns the TLS settings of connections to endpoints.
func (a *AMQP) EndpointTLSSettings() auth.EndpointTLSSettings {
	return auth.EndpointTLSSettings{CA: a.EndpointTLS.CA, Cert: a.EndpointTLS.Cert, Key: a.EndpointTLS.Key, Name: a.EndpointTLS.Name}
}

// CompiledPlacements compiles the placement rules. The error joins one error per malformed rule, each prefixed
// with the rule's index and key.
func (a *AMQP) CompiledPlacements() (all []amqp.Placement, err error) {
	for i, rule := range a.Placements {
		placement := amqp.Placement{Address: rule.Address, Container: rule.Container, Class: rule.Class, Timeout: time.Duration(rule.Timeout), Group: rule.Group}
		if compileErr := placement.Compile(); compileErr != nil {
			err = errors.Join(err, fmt.Errorf("amqp.place[%d].%w", i, compileErr))
		}
		all = append(all, placement)
	}
	return all, err
}

// OTLP has the settings of the telemetry export.
type OTLP struct {
	Endpoint string `toml:"endpoint"` // URL of the collector; empty: telemetry is off
}

// Console has the settings of the console.
type Console struct {
	Socket string `toml:"socket"` // path of a Unix socket; empty: the console is off
}

// DecisionLog has the settings of the decision log.
type DecisionLog struct {
	// Bytes is the size of the decision log, which is allocated at startup; 2 MB hold some 4,000 requests. 0:
	// decisions are not recorded. nil: decisionlog.DefaultBytes if the console or telemetry is enabled, else 0.
	Bytes *int `toml:"bytes"`
}

// Log has the settings of the log.
type Log struct {
	Level  string `toml:"level"` // debug, info, warn or error; empty: info
	Format string `toml:"form"`  // text, logfmt or json; empty: logfmt
}

// Store has the settings of the store, which holds the state that survives a restart.
type Store struct {
	Dir string `toml:"dir"` // directory used by this relay only; empty: no store
	MB  int    `toml:"mb"`  // approximate size limit of its files; 0: 64
}

// DecisionLogBytes returns the size of the decision log; 0: decisions are not recorded.
func (o *Operator) DecisionLogBytes() int {
	switch {
	case o.DecisionLog.Bytes != nil:
		return *o.DecisionLog.Bytes
	case o.Console.Socket != "" || o.OTLP.Endpoint != "":
		return decisionlog.DefaultBytes
	}
	return 0
}

// ReadOperator reads and validates the operator file at path. It returns the zero Operator if path is empty. The
// error is of type Problems if the file is invalid.
func ReadOperator(path string) (*Operator, error) {
	if path == "" {
		return &Operator{}, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read operator file: %w", err)
	}
	return parseOperator(path, text)
}

func parseOperator(path string, text []byte) (*Operator, error) {
	operator := &Operator{}
	validation := &validator{file: path, lines: tomlLines(text)}
	if !validation.decodeTOML(text, operator) {
		return nil, validation.problems.errOrNil()
	}
	operator.check(validation)
	if err := validation.problems.errOrNil(); err != nil {
		return nil, err
	}
	return operator, nil
}

// check adds the problems of the operator's settings to validation. It also reads the files that they name, to
// report anything that would make a start fail.
func (o *Operator) check(validation *validator) {
	o.AMQP.check(validation)
	if o.OTLP.Endpoint != "" {
		u, err := url.Parse(o.OTLP.Endpoint)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			validation.add("otlp.endpoint", "%q is not an http or https URL", o.OTLP.Endpoint)
		}
	}
	if n := o.DecisionLog.Bytes; n != nil && *n != 0 && (*n < decisionlog.MinBytes || *n > decisionlog.MaxBytes) {
		validation.add("why.bytes", "%d is out of range: expected 0 (disabled) or %d to %d", *n, decisionlog.MinBytes, decisionlog.MaxBytes)
	}
	o.Store.check(validation)
	if err := logging.CheckLevel(o.Log.Level); err != nil {
		validation.add("log.level", "%v", err)
	}
	if err := logging.CheckFormat(o.Log.Format); err != nil {
		validation.add("log.form", "%v", err)
	}
}

func (a *AMQP) check(validation *validator) {
	if a.Listen != "" {
		port, ok := validation.checkAddress("amqp.listen", a.Listen)
		if _, err := strconv.ParseUint(port, 10, 16); ok && err != nil {
			validation.add("amqp.listen", "port %q is not a number from 0 to 65535", port)
		}
	}
	if n := a.EndpointPort; n < 0 || n > 65535 {
		validation.add("amqp.server_port", "%d is not a port number", n)
	}
	if n := a.MaxLinks; n < 0 {
		validation.add("amqp.links", "%d is negative", n)
	}
	if n := a.MaxSessionsPerConn; n < 0 || n > maxSessionsPerConn {
		validation.add("amqp.shared", "%d is out of range: expected 0 to %d", n, maxSessionsPerConn)
	}
	_, authErr := auth.New(a.AuthSettings())
	_, tlsErr := auth.NewEndpointTLS(a.EndpointTLSSettings())
	for _, err := range []error{authErr, tlsErr} {
		if settingError := (auth.SettingError{}); errors.As(err, &settingError) {
			validation.add("amqp."+settingError.Key, "%v", settingError)
		}
	}
	if _, err := a.CompiledPlacements(); err != nil {
		for line := range strings.Lines(err.Error()) {
			key, message, _ := strings.Cut(strings.TrimSpace(line), ": ")
			validation.add(key, "%s", message)
		}
	}
}

func (s *Store) check(validation *validator) {
	if s.MB < 0 || s.MB > 1<<20 {
		validation.add("store.mb", "%d is out of range: expected 0 (default) to %d", s.MB, 1<<20)
	}
	if s.Dir == "" {
		if s.MB != 0 {
			validation.add("store.dir", "is missing: mb has no effect without it")
		}
		return
	}
	if info, err := os.Stat(s.Dir); err != nil {
		validation.add("store.dir", "%v", err)
	} else if !info.IsDir() {
		validation.add("store.dir", "%s is not a directory", s.Dir)
	}
}
