package faultproxy

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"lockroad/internal/sexp"
)

// Message is a fault that was done, or an answer, as a line of JSON.
type Message struct {
	At        int64    `json:"at_us"` // microseconds on the script's clock
	Fault     Kind     `json:"fault,omitempty"`
	Rule      string   `json:"rule,omitempty"`
	Route     string   `json:"route,omitempty"`
	Conn      uint64   `json:"conn,omitempty"`
	Direction string   `json:"direction,omitempty"`
	Offset    uint64   `json:"offset,omitempty"`
	Listen    string   `json:"listen,omitempty"`
	Target    string   `json:"target,omitempty"`
	Conns     uint64   `json:"conns,omitempty"`
	Open      int      `json:"open,omitempty"`
	Up        uint64   `json:"up_bytes,omitempty"`
	Down      uint64   `json:"down_bytes,omitempty"`
	Rules     []string `json:"rules,omitempty"`
	Done      string   `json:"done,omitempty"`
	Error     string   `json:"error,omitempty"`
}

// Message is what is told of a fault.
func (d Injection) Message() Message {
	return Message{At: d.At.Microseconds(), Fault: d.Kind, Rule: d.Rule, Route: d.Route, Conn: d.Conn, Direction: d.Direction.String(), Offset: d.Offset}
}

// Commands lists what Do takes.
const Commands = `(trigger NAME)      sets a rule off that waits for a command
(add RULE ...)      adds rules; one of a name that is taken takes the other's place
(clear [NAME])      ends a rule, or all
(cut ROUTE)         breaks all connections of a route
(status)            tells of routes and rules
`

// Do carries a command out and returns what it answers. An error says what is wrong
// with the command, with its column where it can't be read.
func (p *Proxy) Do(command string) ([]Message, error) {
	n, err := sexp.ParseOne(command)
	if err != nil {
		return nil, err
	}
	head, args, err := n.Head()
	if err != nil {
		return nil, err
	}
	done := func() ([]Message, error) {
		return []Message{{At: p.now().Microseconds(), Done: n.String()}}, nil
	}
	switch head {
	case "trigger":
		name, err := oneValue(n, args)
		if err != nil {
			return nil, err
		}
		if err := p.Command(name); err != nil {
			return nil, args[0].Errorf("%v", err)
		}
		return done()
	case "add":
		var all []*Rule
		for _, a := range args {
			r, err := parseRule(a)
			if err != nil {
				return nil, err
			}
			all = append(all, r)
		}
		p.Add(all...)
		return done()
	case "clear":
		name := ""
		if len(args) > 0 {
			if name, err = oneValue(n, args); err != nil {
				return nil, err
			}
		}
		p.Clear(name)
		return done()
	case "cut":
		name, err := oneValue(n, args)
		if err != nil {
			return nil, err
		}
		p.Cut(name)
		return done()
	case "status":
		routes, rules := p.Status()
		var all []Message
		for _, r := range routes {
			all = append(all, Message{At: p.now().Microseconds(), Route: r.Name, Listen: r.Listen, Target: r.Target, Conns: r.Conns, Open: r.Open, Up: r.Up, Down: r.Down})
		}
		return append(all, Message{At: p.now().Microseconds(), Rules: rules, Done: "(status)"}), nil
	}
	return nil, n.List.Items[0].Errorf("there is no command %q; expected trigger, add, clear, cut or status", head)
}

// ServeCommands carries out commands that come in, one a line, and writes what they answer,
// until the input ends.
func (p *Proxy) ServeCommands(in io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, sexp.TextMost)
	e := json.NewEncoder(out)
	for lines.Scan() {
		command := strings.TrimSpace(lines.Text())
		if command == "" || command[0] == ';' {
			continue
		}
		answer, err := p.Do(command)
		if err != nil {
			answer = []Message{{At: p.now().Microseconds(), Error: err.Error()}}
		}
		for _, l := range answer {
			if err := e.Encode(l); err != nil {
				return err
			}
		}
	}
	return lines.Err()
}

// Serve carries out the commands that come in at a socket, until ctx ends.
func (p *Proxy) Serve(ctx context.Context, l net.Listener) error {
	defer context.AfterFunc(ctx, func() { l.Close() })()
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		go func() {
			defer c.Close()
			defer context.AfterFunc(ctx, func() { c.Close() })()
			_ = p.ServeCommands(c, c)
		}()
	}
}

// SendCommand has a proxy that serves at a socket carry a command out, and returns its answer.
// An answer with an error is an error.
func SendCommand(socket, command string) ([]Message, error) {
	c, err := net.DialTimeout("unix", socket, 5*time.Second)
	if err != nil {
		return nil, fmt.Errorf("no faultproxy answers at %s: %w", socket, err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintln(c, strings.ReplaceAll(command, "\n", " ")); err != nil {
		return nil, err
	}
	c.(*net.UnixConn).CloseWrite()
	var all []Message
	d := json.NewDecoder(c)
	for {
		var l Message
		switch err := d.Decode(&l); {
		case errors.Is(err, io.EOF) && len(all) > 0:
			return all, nil
		case err != nil:
			return nil, fmt.Errorf("the answer breaks off: %w", err)
		case l.Error != "":
			return nil, errors.New(l.Error)
		}
		all = append(all, l)
	}
}
