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

// Message reports an injected fault or answers a command, as one line of JSON.
type Message struct {
	At        int64     `json:"at_us"` // microseconds on the script's clock
	Fault     FaultKind `json:"fault,omitempty"`
	Rule      string    `json:"rule,omitempty"`
	Route     string    `json:"route,omitempty"`
	Conn      uint64    `json:"conn,omitempty"`
	Direction string    `json:"direction,omitempty"`
	Offset    uint64    `json:"offset,omitempty"`
	Listen    string    `json:"listen,omitempty"`
	Target    string    `json:"target,omitempty"`
	Conns     uint64    `json:"conns,omitempty"`
	Open      int       `json:"open,omitempty"`
	Up        uint64    `json:"up_bytes,omitempty"`
	Down      uint64    `json:"down_bytes,omitempty"`
	Rules     []string  `json:"rules,omitempty"`
	Done      string    `json:"done,omitempty"`
	Error     string    `json:"error,omitempty"`
}

// Message returns the message that reports the injection.
func (i Injection) Message() Message {
	return Message{
		At: i.At.Microseconds(), Fault: i.Kind, Rule: i.Rule, Route: i.Route, Conn: i.Conn,
		Direction: i.Direction.String(), Offset: i.Offset,
	}
}

// CommandsHelp is the help text of the commands that Execute accepts.
const CommandsHelp = `(trigger NAME)      triggers the on-command rule of that name
(add RULE ...)      adds rules; a rule replaces an existing one of the same name
(clear [NAME])      removes a rule, or all rules
(cut ROUTE)         resets all connections of a route
(status)            lists routes and rules
`

// Execute executes a command and returns its answer. Syntax errors name line and column.
func (p *Proxy) Execute(command string) ([]Message, error) {
	node, err := sexp.ParseOne(command)
	if err != nil {
		return nil, err
	}
	head, args, err := node.Head()
	if err != nil {
		return nil, err
	}
	switch head {
	case "trigger":
		err = p.doTrigger(node, args)
	case "add":
		err = p.doAdd(args)
	case "clear":
		err = p.doClear(node, args)
	case "cut":
		err = p.doCut(node, args)
	case "status":
		return p.doStatus(), nil
	default:
		return nil, node.List.Items[0].Errorf("there is no command %q; expected trigger, add, clear, cut or status", head)
	}
	if err != nil {
		return nil, err
	}
	return []Message{{At: p.now().Microseconds(), Done: node.String()}}, nil
}

func (p *Proxy) doTrigger(node *sexp.Node, args []*sexp.Node) error {
	name, err := oneValue(node, args)
	if err != nil {
		return err
	}
	if err := p.Trigger(name); err != nil {
		return args[0].Errorf("%v", err)
	}
	return nil
}

// doAdd adds all rules, or none if one is invalid.
func (p *Proxy) doAdd(args []*sexp.Node) error {
	var rules []*Rule
	for _, argument := range args {
		rule, err := parseRule(argument)
		if err != nil {
			return err
		}
		rules = append(rules, rule)
	}
	p.Add(rules...)
	return nil
}

func (p *Proxy) doClear(node *sexp.Node, args []*sexp.Node) error {
	name := ""
	if len(args) > 0 {
		var err error
		if name, err = oneValue(node, args); err != nil {
			return err
		}
	}
	p.Clear(name)
	return nil
}

func (p *Proxy) doCut(node *sexp.Node, args []*sexp.Node) error {
	name, err := oneValue(node, args)
	if err != nil {
		return err
	}
	p.ResetRoute(name)
	return nil
}

// doStatus returns a message for each route, followed by one with the rules.
func (p *Proxy) doStatus() []Message {
	routes, rules := p.Status()
	var answer []Message
	for _, route := range routes {
		answer = append(answer, Message{
			At: p.now().Microseconds(), Route: route.Name, Listen: route.Listen, Target: route.Target,
			Conns: route.Conns, Open: route.Open, Up: route.Up, Down: route.Down,
		})
	}
	return append(answer, Message{At: p.now().Microseconds(), Rules: rules, Done: "(status)"})
}

// ServeCommands executes commands read from in, one per line, and writes their answers to out
// as lines of JSON, until the input ends.
func (p *Proxy) ServeCommands(in io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, sexp.MaxTextBytes)
	encoder := json.NewEncoder(out)
	for lines.Scan() {
		command := strings.TrimSpace(lines.Text())
		if command == "" || command[0] == ';' {
			continue
		}
		answer, err := p.Execute(command)
		if err != nil {
			answer = []Message{{At: p.now().Microseconds(), Error: err.Error()}}
		}
		for _, message := range answer {
			if err := encoder.Encode(message); err != nil {
				return err
			}
		}
	}
	return lines.Err()
}

// ServeCommandListener executes the commands received on the connections of a listener, which it
// closes when ctx ends. The connections' goroutines end with ctx or with their connections.
func (p *Proxy) ServeCommandListener(ctx context.Context, listener net.Listener) error {
	defer context.AfterFunc(ctx, func() { listener.Close() })()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		go func() {
			defer conn.Close()
			defer context.AfterFunc(ctx, func() { conn.Close() })()
			_ = p.ServeCommands(conn, conn) // the peer may have closed the connection
		}()
	}
}

// commandTimeout bounds connecting to a proxy and, separately, receiving its answer.
const commandTimeout = 5 * time.Second

// SendCommand sends a command to the proxy that listens on a Unix socket and returns its
// answer. It returns an answer's Error field as an error.
func SendCommand(socket, command string) ([]Message, error) {
	conn, err := net.DialTimeout("unix", socket, commandTimeout)
	if err != nil {
		return nil, fmt.Errorf("connect to the faultproxy at %s: %w", socket, err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(commandTimeout))
	if _, err := fmt.Fprintln(conn, strings.ReplaceAll(command, "\n", " ")); err != nil {
		return nil, err
	}
	conn.(*net.UnixConn).CloseWrite()
	var answer []Message
	decoder := json.NewDecoder(conn)
	for {
		var message Message
		switch err := decoder.Decode(&message); {
		case errors.Is(err, io.EOF) && len(answer) > 0:
			return answer, nil
		case err != nil:
			return nil, fmt.Errorf("read the answer of the faultproxy at %s: %w", socket, err)
		case message.Error != "":
			return nil, errors.New(message.Error)
		}
		answer = append(answer, message)
	}
}
