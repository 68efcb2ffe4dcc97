package lifecycle

import (
	"fmt"
	"net"
	"net/url"
	"strconv"

	"github.com/BurntSushi/toml"
)

// Operator is what a site's operator sets beside the platform's configuration.
// What it leaves out is off.
type Operator struct {
	AMQP    AMQP
	OTLP    OTLP
	Console Console
}

// AMQP sets up the front for clients that speak AMQP 1.0.
type AMQP struct {
	Listen     string // host:port; empty: the front is off
	ServerPort int    `toml:"server_port"` // where application servers speak AMQP; 0: as discovery says
	Links      int    // at a time; 0: as many as the limits leave
}

// OTLP sets up where telemetry goes.
type OTLP struct {
	Endpoint string // URL of the collector; empty: telemetry is off
}

// Console sets up the terminal console.
type Console struct {
	Socket string // path of a Unix socket; empty: the console is off
}

// ReadOperator reads an operator's file. An empty path stands for none.
func ReadOperator(path string) (*Operator, error) {
	o := &Operator{}
	if path == "" {
		return o, nil
	}
	meta, err := toml.DecodeFile(path, o)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	if odd := meta.Undecoded(); len(odd) > 0 {
		return nil, fmt.Errorf("operator's file: unknown key %q", odd[0].String())
	}
	return o, o.check()
}

func (o *Operator) check() error {
	if o.AMQP.Listen != "" {
		if _, port, err := net.SplitHostPort(o.AMQP.Listen); err != nil {
			return fmt.Errorf("operator's file: amqp.listen: %w", err)
		} else if _, err := strconv.ParseUint(port, 10, 16); err != nil {
			return fmt.Errorf("operator's file: amqp.listen: port %q is no number", port)
		}
	}
	if o.AMQP.ServerPort < 0 || o.AMQP.ServerPort > 65535 || o.AMQP.Links < 0 {
		return fmt.Errorf("operator's file: amqp.server_port %d or amqp.links %d is out of range", o.AMQP.ServerPort, o.AMQP.Links)
	}
	if o.OTLP.Endpoint != "" {
		u, err := url.Parse(o.OTLP.Endpoint)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			return fmt.Errorf("operator's file: otlp.endpoint %q is no http or https URL", o.OTLP.Endpoint)
		}
	}
	return nil
}
