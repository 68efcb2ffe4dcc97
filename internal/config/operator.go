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

// Operator has the settings that are the operator's, beside the platform's configuration. The zero value turns everything off.
type Operator struct {
	AMQP        AMQP        `toml:"amqp"`
	OTLP        OTLP        `toml:"otlp"`
	Console     Console     `toml:"console"`
	DecisionLog DecisionLog `toml:"why"`
	Log         Log         `toml:"log"`
	Store       Store       `toml:"store"`
}

// AMQP has the settings of the frontend for clients that speak AMQP 1.0.
type AMQP struct {
	Listen       string `toml:"listen"`      // host:port; empty: the frontend is off
	EndpointPort int    `toml:"server_port"` // where endpoints speak AMQP; 0: as discovery says
	MaxLinks     int    `toml:"links"`       // at a time; 0: as many as the limits leave

	// MaxSessionsPerConn is how many requests share one connection to an endpoint at the most; 0: each has one of its own. A higher number
	// saves descriptors and set-ups; the end of a connection is that of all requests on it.
	MaxSessionsPerConn int      `toml:"shared"`
	SharedIdleTimeout  duration `toml:"shared_idle"` // such a connection without a request is closed after this; empty: 10 s

	TLS struct {
		Cert     string `toml:"cert"`      // PEM files of the frontend's certificate and its key; empty: no TLS
		Key      string `toml:"key"`       // both are reloaded at SIGHUP, as all files named here
		ClientCA string `toml:"client_ca"` // PEM file of who signs the certificates that clients may show
	} `toml:"tls"`
	SASL struct {
		Users           string `toml:"users"`             // file of users and passwords (lockroad passwd); empty: no PLAIN
		Anonymous       *bool  `toml:"anonymous"`         // clients may come without saying who they are; not set: yes
		PlainWithoutTLS bool   `toml:"plain_without_tls"` // passwords may come in the clear
	} `toml:"sasl"`
	Grants      []auth.Grant `toml:"grant"` // which classes users may open; none: all may open all
	EndpointTLS struct {
		CA   string `toml:"ca"`   // PEM file of who signs endpoints' certificates; empty: no TLS to endpoints
		Cert string `toml:"cert"` // PEM files that the relay shows them; empty: none
		Key  string `toml:"key"`
		Name string `toml:"name"` // that their certificates have to be for; empty: their host
	} `toml:"servers_tls"`
	Placements []struct { // of links whose attach has no class; the first that matches is taken
		Address   string   `toml:"address"`   // * stands for any text; empty: any
		Container string   `toml:"container"` // the same
		Class     string   `toml:"class"`
		GiveUp    duration `toml:"give_up"` // empty: the deadline of the class
		Group     string   `toml:"group"`   // address, container, link or property:NAME; empty: none
	} `toml:"place"`
}

const (
	maxSharedSessions = 4096
	defaultSharedIdle = duration(10 * time.Second)
)

// PoolSettings returns how requests share connections to endpoints.
func (a *AMQP) PoolSettings() connpool.Settings {
	return connpool.Settings{MaxSessions: a.MaxSessionsPerConn, IdleTimeout: time.Duration(cmp.Or(a.SharedIdleTimeout, defaultSharedIdle))}
}

// AuthSettings returns how clients of the frontend are authenticated and authorized.
func (a *AMQP) AuthSettings() auth.Settings {
	return auth.Settings{Cert: a.TLS.Cert, Key: a.TLS.Key, ClientCA: a.TLS.ClientCA, Users: a.SASL.Users,
		NoAnonymous: a.SASL.Anonymous != nil && !*a.SASL.Anonymous, PlainWithoutTLS: a.SASL.PlainWithoutTLS, Grants: a.Grants}
}

// EndpointTLSSettings returns how connections to endpoints are secured.
func (a *AMQP) EndpointTLSSettings() auth.Upstream {
	return auth.Upstream{CA: a.EndpointTLS.CA, Cert: a.EndpointTLS.Cert, Key: a.EndpointTLS.Key, Name: a.EndpointTLS.Name}
}

// CompiledPlacements returns the placement rules, ready for use. The error joins one for each rule that is malformed, which
// names the rule and its key.
func (a *AMQP) CompiledPlacements() (all []amqp.Placement, err error) {
	for i, one := range a.Placements {
		placement := amqp.Placement{Address: one.Address, Container: one.Container, Class: one.Class, Timeout: time.Duration(one.GiveUp), Group: one.Group}
		if compileErr := placement.Compile(); compileErr != nil {
			err = errors.Join(err, fmt.Errorf("amqp.place[%d].%w", i, compileErr))
		}
		all = append(all, placement)
	}
	return all, err
}

// OTLP has the settings of the export of telemetry.
type OTLP struct {
	Endpoint string `toml:"endpoint"` // URL of the collector; empty: telemetry is off
}

// Console has the settings of the console.
type Console struct {
	Socket string `toml:"socket"` // path of a Unix socket; empty: the console is off
}

// DecisionLog has the settings of the decision log.
type DecisionLog struct {
	// Bytes is the memory of the decision log, all of it allocated at the start: 2 MB have some 4,000 requests. 0: no decisions are
	// recorded. nil: decisionlog.DefaultBytes where a console or telemetry can read them, else 0.
	Bytes *int `toml:"bytes"`
}

// Log has the settings of the log.
type Log struct {
	Level  string `toml:"level"` // debug, info, warn or error; empty: info
	Format string `toml:"form"`  // text, logfmt or json; empty: logfmt
}

// Store has the settings of what outlasts a restart.
type Store struct {
	Dir string `toml:"dir"` // a folder of the relay's own; empty: nothing is stored
	MB  int    `toml:"mb"`  // that its files take, about; 0: 64
}

// DecisionLogBytes returns the memory of the decision log in bytes; 0: there is none.
func (o *Operator) DecisionLogBytes() int {
	switch {
	case o.DecisionLog.Bytes != nil:
		return *o.DecisionLog.Bytes
	case o.Console.Socket != "" || o.OTLP.Endpoint != "":
		return decisionlog.DefaultBytes
	}
	return 0
}

// ReadOperator reads and validates an operator's file. An empty path stands for none, and the zero Operator. The error is
// Problems, or that of reading the file.
func ReadOperator(path string) (*Operator, error) {
	if path == "" {
		return &Operator{}, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	return parseOperator(path, text)
}

func parseOperator(path string, text []byte) (*Operator, error) {
	o := &Operator{}
	v := &validator{file: path, lines: tomlLines(text)}
	if !v.decodeTOML(text, o) {
		return nil, v.problems.errOrNil()
	}
	o.check(v)
	if err := v.problems.errOrNil(); err != nil {
		return nil, err
	}
	return o, nil
}

// check adds all that is wrong with the operator's settings. Files that they name are looked at as well: a check that leaves out
// what a start would fail at is none.
func (o *Operator) check(v *validator) {
	o.AMQP.check(v)
	if o.OTLP.Endpoint != "" {
		u, err := url.Parse(o.OTLP.Endpoint)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			v.add("otlp.endpoint", "%q is no http or https URL", o.OTLP.Endpoint)
		}
	}
	if n := o.DecisionLog.Bytes; n != nil && *n != 0 && (*n < decisionlog.MinBytes || *n > decisionlog.MaxBytes) {
		v.add("why.bytes", "%d is neither 0, for none, nor within %d and %d", *n, decisionlog.MinBytes, decisionlog.MaxBytes)
	}
	o.Store.check(v)
	if err := logging.CheckLevel(o.Log.Level); err != nil {
		v.add("log.level", "%v", err)
	}
	if err := logging.CheckFormat(o.Log.Format); err != nil {
		v.add("log.form", "%v", err)
	}
}

func (a *AMQP) check(v *validator) {
	if a.Listen != "" {
		port, ok := v.checkAddress("amqp.listen", a.Listen)
		if _, err := strconv.ParseUint(port, 10, 16); ok && err != nil {
			v.add("amqp.listen", "port %q is no number up to 65535", port)
		}
	}
	if n := a.EndpointPort; n < 0 || n > 65535 {
		v.add("amqp.server_port", "%d is no port", n)
	}
	if n := a.MaxLinks; n < 0 {
		v.add("amqp.links", "%d is negative", n)
	}
	if n := a.MaxSessionsPerConn; n < 0 || n > maxSharedSessions {
		v.add("amqp.shared", "%d is not within 0 and %d", n, maxSharedSessions)
	}
	_, authErr := auth.New(a.AuthSettings())
	_, tlsErr := auth.NewEndpointTLS(a.EndpointTLSSettings())
	for _, err := range []error{authErr, tlsErr} {
		if keyError := (auth.KeyError{}); errors.As(err, &keyError) {
			v.add("amqp."+keyError.Key, "%v", keyError)
		}
	}
	if _, err := a.CompiledPlacements(); err != nil {
		for line := range strings.Lines(err.Error()) {
			key, what, _ := strings.Cut(strings.TrimSpace(line), ": ")
			v.add(key, "%s", what)
		}
	}
}

func (s *Store) check(v *validator) {
	if s.MB < 0 || s.MB > 1<<20 {
		v.add("store.mb", "%d is not within 0, for the usual, and %d", s.MB, 1<<20)
	}
	if s.Dir == "" {
		if s.MB != 0 {
			v.add("store.dir", "it is missing: without a folder nothing is kept")
		}
		return
	}
	if info, err := os.Stat(s.Dir); err != nil {
		v.add("store.dir", "%v", err)
	} else if !info.IsDir() {
		v.add("store.dir", "%s is no folder", s.Dir)
	}
}
