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

// Operator is what a site's operator sets beside the platform's configuration.
// What it leaves out is off.
type Operator struct {
	AMQP    AMQP    `toml:"amqp"`
	OTLP    OTLP    `toml:"otlp"`
	Console Console `toml:"console"`
	Why     Why     `toml:"why"`
	Log     Log     `toml:"log"`
	Store   Store   `toml:"store"`
}

// AMQP sets up the front for clients that speak AMQP 1.0.
type AMQP struct {
	Listen       string `toml:"listen"`      // host:port; empty: the front is off
	EndpointPort int    `toml:"server_port"` // where application servers speak AMQP; 0: as discovery says
	MaxLinks     int    `toml:"links"`       // at a time; 0: as many as the limits leave

	// Shared is how many transactions go over one connection to a server at the most; 0: each has one of its own. More save
	// descriptors and set-ups; the end of a connection is that of all on it.
	Shared     int      `toml:"shared"`
	SharedIdle duration `toml:"shared_idle"` // such a connection without any is kept for so long; empty: 10 s

	TLS struct {
		Cert     string `toml:"cert"`      // PEM files of the front's certificate and its key; empty: no TLS
		Key      string `toml:"key"`       // both are read anew at SIGHUP, as all files named here
		ClientCA string `toml:"client_ca"` // PEM file of who signs the certificates that clients may show
	} `toml:"tls"`
	SASL struct {
		Users           string `toml:"users"`             // file of users and passwords (lockroad passwd); empty: no PLAIN
		Anonymous       *bool  `toml:"anonymous"`         // clients may come without saying who they are; not set: yes
		PlainWithoutTLS bool   `toml:"plain_without_tls"` // passwords may come in the clear
	} `toml:"sasl"`
	Grants      []auth.Grant `toml:"grant"` // which classes users may open; none: all may open all
	EndpointTLS struct {
		CA   string `toml:"ca"`   // PEM file of who signs servers' certificates; empty: no TLS to servers
		Cert string `toml:"cert"` // PEM files that the relay shows them; empty: none
		Key  string `toml:"key"`
		Name string `toml:"name"` // that their certificates have to be for; empty: their host
	} `toml:"servers_tls"`
	Placements []struct { // what links want whose attach does not say it; the first that fits holds
		Address   string   `toml:"address"`   // * stands for any text; empty: any
		Container string   `toml:"container"` // the same
		Class     string   `toml:"class"`
		GiveUp    duration `toml:"give_up"` // empty: as long as the class waits
		Group     string   `toml:"group"`   // address, container, link or property:NAME; empty: none
	} `toml:"place"`
}

const (
	maxSharedSessions = 4096
	defaultSharedIdle = duration(10 * time.Second)
)

// PoolSettings returns how transactions share connections to servers.
func (a *AMQP) PoolSettings() connpool.Settings {
	return connpool.Settings{MaxSessions: a.Shared, IdleTimeout: time.Duration(cmp.Or(a.SharedIdle, defaultSharedIdle))}
}

// AuthSettings returns how clients of the front are let in.
func (a *AMQP) AuthSettings() auth.Settings {
	return auth.Settings{Cert: a.TLS.Cert, Key: a.TLS.Key, ClientCA: a.TLS.ClientCA, Users: a.SASL.Users,
		NoAnonymous: a.SASL.Anonymous != nil && !*a.SASL.Anonymous, ClearPlain: a.SASL.PlainWithoutTLS, Grants: a.Grants}
}

// UpstreamSettings returns how servers are spoken to.
func (a *AMQP) UpstreamSettings() auth.Upstream {
	return auth.Upstream{CA: a.EndpointTLS.CA, Cert: a.EndpointTLS.Cert, Key: a.EndpointTLS.Key, Name: a.EndpointTLS.Name}
}

// CompiledPlacements returns the rules, ready for use. Errors name the rule and its key.
func (a *AMQP) CompiledPlacements() (all []amqp.Placement, err error) {
	for i, one := range a.Placements {
		p := amqp.Placement{Address: one.Address, Container: one.Container, Class: one.Class, Timeout: time.Duration(one.GiveUp), Group: one.Group}
		if bad := p.Compile(); bad != nil {
			err = errors.Join(err, fmt.Errorf("amqp.place[%d].%w", i, bad))
		}
		all = append(all, p)
	}
	return all, err
}

// OTLP sets up where telemetry goes.
type OTLP struct {
	Endpoint string `toml:"endpoint"` // URL of the collector; empty: telemetry is off
}

// Console sets up the terminal console.
type Console struct {
	Socket string `toml:"socket"` // path of a Unix socket; empty: the console is off
}

// Why sets up the record of decisions.
type Why struct {
	// Bytes of memory, all set aside at the start. 2 MB reach back over some 4,000
	// transactions. 0: none are kept. Not set: the usual where a console or telemetry can
	// ask, else none.
	Bytes *int `toml:"bytes"`
}

// Log sets up the log.
type Log struct {
	Level  string `toml:"level"` // debug, info, warn or error; empty: info
	Format string `toml:"form"`  // text, logfmt or json; empty: logfmt
}

// Store sets up what outlasts a restart.
type Store struct {
	Dir string `toml:"dir"` // a folder of the relay's own; empty: nothing is kept
	MB  int    `toml:"mb"`  // of its files, about; 0: 64
}

// DecisionLogBytes returns how many bytes of memory the record of decisions has.
func (o *Operator) DecisionLogBytes() int {
	switch {
	case o.Why.Bytes != nil:
		return *o.Why.Bytes
	case o.Console.Socket != "" || o.OTLP.Endpoint != "":
		return decisionlog.DefaultBytes
	}
	return 0
}

// ReadOperator reads an operator's file. An empty path stands for none. An error is
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
	f := &validator{file: path, lines: tomlLines(text)}
	if !f.decodeTOML(text, o) {
		return nil, f.problems.errOrNil()
	}
	o.check(f)
	if err := f.problems.errOrNil(); err != nil {
		return nil, err
	}
	return o, nil
}

func (o *Operator) check(f *validator) {
	if o.AMQP.Listen != "" {
		port, ok := f.checkAddress("amqp.listen", o.AMQP.Listen)
		if _, err := strconv.ParseUint(port, 10, 16); ok && err != nil {
			f.add("amqp.listen", "port %q is no number up to 65535", port)
		}
	}
	if n := o.AMQP.EndpointPort; n < 0 || n > 65535 {
		f.add("amqp.server_port", "%d is no port", n)
	}
	if n := o.AMQP.MaxLinks; n < 0 {
		f.add("amqp.links", "%d is negative", n)
	}
	if n := o.AMQP.Shared; n < 0 || n > maxSharedSessions {
		f.add("amqp.shared", "%d is not within 0 and %d", n, maxSharedSessions)
	}
	// Files are looked at as well: a check that leaves out what a start would trip over is none.
	_, err1 := auth.New(o.AMQP.AuthSettings())
	_, err2 := auth.NewEndpointTLS(o.AMQP.UpstreamSettings())
	for _, err := range []error{err1, err2} {
		if wrong := (auth.KeyError{}); errors.As(err, &wrong) {
			f.add("amqp."+wrong.Key, "%v", wrong)
		}
	}
	if _, err := o.AMQP.CompiledPlacements(); err != nil {
		for line := range strings.Lines(err.Error()) {
			key, what, _ := strings.Cut(strings.TrimSpace(line), ": ")
			f.add(key, "%s", what)
		}
	}
	if o.OTLP.Endpoint != "" {
		u, err := url.Parse(o.OTLP.Endpoint)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			f.add("otlp.endpoint", "%q is no http or https URL", o.OTLP.Endpoint)
		}
	}
	if n := o.Why.Bytes; n != nil && *n != 0 && (*n < decisionlog.MinBytes || *n > decisionlog.MaxBytes) {
		f.add("why.bytes", "%d is neither 0, for none, nor within %d and %d", *n, decisionlog.MinBytes, decisionlog.MaxBytes)
	}
	o.Store.check(f)
	if err := logging.CheckLevel(o.Log.Level); err != nil {
		f.add("log.level", "%v", err)
	}
	if err := logging.CheckFormat(o.Log.Format); err != nil {
		f.add("log.form", "%v", err)
	}
}

// check tells what is wrong with the operator's words on the store.
func (s *Store) check(f *validator) {
	if s.MB < 0 || s.MB > 1<<20 {
		f.add("store.mb", "%d is not within 0, for the usual, and %d", s.MB, 1<<20)
	}
	if s.Dir == "" {
		if s.MB != 0 {
			f.add("store.dir", "it is missing: without a folder nothing is kept")
		}
		return
	}
	if info, err := os.Stat(s.Dir); err != nil {
		f.add("store.dir", "%v", err)
	} else if !info.IsDir() {
		f.add("store.dir", "%s is no folder", s.Dir)
	}
}
