package faultproxy

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"lockroad/internal/sexp"
)

// ParseRules parses a script: any number of (rule NAME FORM ...) with distinct names. Its
// errors are of type *sexp.Error, with line and column.
func ParseRules(source string) ([]*Rule, error) {
	nodes, err := sexp.Parse(source)
	if err != nil {
		return nil, err
	}
	var rules []*Rule
	for _, node := range nodes {
		rule, err := parseRule(node)
		if err != nil {
			return nil, err
		}
		if slices.ContainsFunc(rules, func(other *Rule) bool { return other.Name == rule.Name }) {
			return nil, node.Errorf("duplicate rule name %q", rule.Name)
		}
		rules = append(rules, rule)
	}
	return rules, nil
}

func parseRule(node *sexp.Node) (*Rule, error) {
	head, args, err := node.Head()
	if err != nil {
		return nil, err
	}
	if head != "rule" || len(args) < 2 {
		return nil, node.Errorf("expected (rule NAME FORM ...)")
	}
	rule := &Rule{Direction: Both, Fraction: 1, Trigger: Trigger{Kind: FromStart}}
	if rule.Name, err = args[0].Value(); err != nil {
		return nil, err
	}
	parser := ruleParser{rule: rule}
	for _, argument := range args[1:] {
		if err := parser.parseForm(argument); err != nil {
			return nil, err
		}
	}
	if err := rule.check(node); err != nil {
		return nil, err
	}
	return rule, nil
}

// check returns an error if the rule's forms don't go together.
func (r *Rule) check(node *sexp.Node) error {
	if len(r.Faults) == 0 {
		return node.Errorf("rule %q has no fault; expected one such as (cut rst)", r.Name)
	}
	for _, fault := range r.Faults {
		if trigger := r.Trigger.Kind; fault.Kind.ofListener() && trigger != FromStart && trigger != AtTime && trigger != OnCommand {
			return node.Errorf("%s is a listener fault; its trigger must be at, on-command or none", fault.Kind)
		}
		if r.For == 0 && (fault.Kind == Vanish || fault.Kind == Pause) {
			return node.Errorf("%s requires (for TIME)", fault.Kind)
		}
	}
	return nil
}

// ruleParser parses the forms of one rule.
type ruleParser struct {
	rule      *Rule
	triggered bool // a trigger has been set
}

// faultForms lists the arguments of each fault: the values of Mode, then counts (N) and
// durations (D).
var faultForms = map[FaultKind]struct {
	modes []string
	args  string
}{
	Swallow: {}, Stall: {}, Pause: {}, Merge: {}, HalfClose: {}, Refuse: {}, Mute: {}, QueueFull: {}, Vanish: {},
	Garble: {[]string{"flip", "insert", "drop", "duplicate"}, "N"}, Split: {nil, "N"}, Bandwidth: {nil, "N"},
	Latency: {nil, "D"}, Drip: {nil, "N D"}, Cut: {[]string{"rst", "fin"}, ""},
}

// RulesHelp returns the help text of the forms of a rule, by their purpose.
func RulesHelp() string {
	return `(rule NAME FORM ...) where a FORM is one of
match:    (route NAME ...) (direction up|down|both) (conn N ...) (every N) (first "BYTES") (fraction PERCENT)
trigger:  (at TIME) (after-bytes N) (at-line N) (at-frame N) (at-performative NAME [N]) (on-command) (chance PERCENT)
duration: (for TIME)
bytes:    (swallow) (garble flip|insert|drop|duplicate N) (stall) (pause) (merge) (split N)
          (latency TIME [JITTER [uniform|normal|exponential]]) (bandwidth BYTES-PER-SECOND) (drip N TIME)
close:    (half-close) (cut rst|fin)
listener: (refuse) (mute) (queue-full) (vanish)
Without a trigger, a rule applies from the start. Without a duration, it applies until the connection
ends or, for a listener fault, until the rule is cleared.
`
}

// form parses one form of a rule; args are the form's arguments, without its head.
type form func(p *ruleParser, node *sexp.Node, args []*sexp.Node) error

// conditionForms and triggerForms hold the parsers of a rule's forms by head; all other heads
// are faults.
var (
	conditionForms = map[string]form{
		"route":     (*ruleParser).parseRoute,
		"direction": (*ruleParser).parseDirection,
		"conn":      (*ruleParser).parseConn,
		"every":     (*ruleParser).parseEvery,
		"first":     (*ruleParser).parseFirst,
		"fraction":  (*ruleParser).parseFraction,
		"for":       (*ruleParser).parseFor,
	}
	triggerForms = map[string]form{
		"at":              (*ruleParser).parseAt,
		"after-bytes":     (*ruleParser).parseCount,
		"at-line":         (*ruleParser).parseCount,
		"at-frame":        (*ruleParser).parseCount,
		"at-performative": (*ruleParser).parsePerformative,
		"on-command":      (*ruleParser).parseOnCommand,
		"chance":          (*ruleParser).parseChance,
	}
)

func (p *ruleParser) parseForm(node *sexp.Node) error {
	head, args, err := node.Head()
	if err != nil {
		return err
	}
	if parse, ok := conditionForms[head]; ok {
		return parse(p, node, args)
	}
	if parse, ok := triggerForms[head]; ok {
		return parse(p, node, args)
	}
	return p.parseFault(node, FaultKind(head), args)
}

func (p *ruleParser) parseRoute(node *sexp.Node, _ []*sexp.Node) (err error) {
	p.rule.Routes, err = node.Values()
	return err
}

func (p *ruleParser) parseDirection(node *sexp.Node, args []*sexp.Node) error {
	value, err := oneValue(node, args)
	if err != nil {
		return err
	}
	i := slices.Index(Directions[:], value)
	if i < 0 {
		return args[0].Errorf("invalid direction %q; expected up, down or both", value)
	}
	p.rule.Direction = Direction(i)
	return nil
}

func (p *ruleParser) parseConn(node *sexp.Node, args []*sexp.Node) error {
	if len(args) == 0 {
		return node.Errorf("conn requires at least one connection number")
	}
	for _, argument := range args {
		number, err := positiveNumber(argument)
		if err != nil {
			return err
		}
		p.rule.Conns = append(p.rule.Conns, number)
	}
	return nil
}

func (p *ruleParser) parseEvery(node *sexp.Node, args []*sexp.Node) (err error) {
	p.rule.Every, err = oneNumber(node, args)
	return err
}

func (p *ruleParser) parseFirst(node *sexp.Node, args []*sexp.Node) (err error) {
	p.rule.First, err = oneValue(node, args)
	return err
}

func (p *ruleParser) parseFraction(node *sexp.Node, args []*sexp.Node) (err error) {
	p.rule.Fraction, err = onePercentage(node, args)
	return err
}

func (p *ruleParser) parseFor(node *sexp.Node, args []*sexp.Node) (err error) {
	p.rule.For, err = oneDuration(node, args)
	return err
}

// setTrigger sets the rule's trigger; a rule has at most one.
func (p *ruleParser) setTrigger(node *sexp.Node, trigger Trigger) error {
	if p.triggered {
		return node.Errorf("rule %q already has a trigger", p.rule.Name)
	}
	p.triggered = true
	p.rule.Trigger = trigger
	return nil
}

func (p *ruleParser) parseAt(node *sexp.Node, args []*sexp.Node) error {
	at, err := oneDuration(node, args)
	if err != nil {
		return err
	}
	return p.setTrigger(node, Trigger{Kind: AtTime, At: at})
}

// parseCount parses the triggers after-bytes, at-line and at-frame.
func (p *ruleParser) parseCount(node *sexp.Node, args []*sexp.Node) error {
	count, err := oneNumber(node, args)
	if err != nil {
		return err
	}
	head, _, err := node.Head()
	if err != nil {
		return err
	}
	return p.setTrigger(node, Trigger{Kind: TriggerKind(head), Count: count})
}

func (p *ruleParser) parsePerformative(node *sexp.Node, args []*sexp.Node) error {
	if len(args) < 1 || len(args) > 2 {
		return node.Errorf("at-performative takes a name and an optional number")
	}
	name, err := args[0].Value()
	if err != nil {
		return err
	}
	code, ok := performatives[name]
	if !ok {
		return args[0].Errorf("unknown AMQP performative %q", name)
	}
	trigger := Trigger{Kind: AtPerformative, Code: code, Count: 1}
	if len(args) == 2 {
		if trigger.Count, err = positiveNumber(args[1]); err != nil {
			return err
		}
	}
	return p.setTrigger(node, trigger)
}

func (p *ruleParser) parseOnCommand(node *sexp.Node, args []*sexp.Node) error {
	if len(args) != 0 {
		return args[0].Errorf("on-command takes no arguments")
	}
	return p.setTrigger(node, Trigger{Kind: OnCommand})
}

func (p *ruleParser) parseChance(node *sexp.Node, args []*sexp.Node) error {
	probability, err := onePercentage(node, args)
	if err != nil {
		return err
	}
	return p.setTrigger(node, Trigger{Kind: Chance, Probability: probability})
}

// jitterModes are the distributions of the latency fault's jitter.
var jitterModes = []string{"uniform", "normal", "exponential"}

func (p *ruleParser) parseFault(node *sexp.Node, kind FaultKind, args []*sexp.Node) (err error) {
	form, ok := faultForms[kind]
	if !ok {
		return node.List.Items[0].Errorf("unknown form %q; run faultproxy forms for a list", kind)
	}
	fault := Fault{Kind: kind}
	if form.modes != nil {
		if args, err = fault.parseMode(node, args, form.modes); err != nil {
			return err
		}
	}
	if kind == Latency && len(args) > 1 { // followed by jitter and, optionally, its distribution
		if args, err = fault.parseJitter(args); err != nil {
			return err
		}
	}
	if want := strings.Fields(form.args); len(args) != len(want) {
		return node.Errorf("%s expects %d numbers or times, got %d", kind, len(want), len(args))
	}
	for i, argument := range strings.Fields(form.args) {
		if argument == "N" {
			fault.Count, err = positiveNumber(args[i])
		} else {
			fault.Delay, err = args[i].Duration()
		}
		if err != nil {
			return err
		}
	}
	p.rule.Faults = append(p.rule.Faults, fault)
	return nil
}

// parseMode parses the fault's mode and returns the arguments after it.
func (f *Fault) parseMode(node *sexp.Node, args []*sexp.Node, modes []string) (rest []*sexp.Node, err error) {
	if len(args) == 0 {
		return nil, node.Errorf("%s requires one of %s", f.Kind, strings.Join(modes, ", "))
	}
	if f.Mode, err = args[0].Value(); err != nil {
		return nil, err
	}
	if !slices.Contains(modes, f.Mode) {
		return nil, args[0].Errorf("%s has no mode %q; expected one of %s", f.Kind, f.Mode, strings.Join(modes, ", "))
	}
	return args[1:], nil
}

// parseJitter parses a latency's jitter and distribution and returns the arguments before them.
func (f *Fault) parseJitter(args []*sexp.Node) (rest []*sexp.Node, err error) {
	if f.Jitter, err = args[1].Duration(); err != nil {
		return nil, err
	}
	f.Mode = "uniform"
	if len(args) == 3 {
		if f.Mode, err = args[2].Value(); err != nil {
			return nil, err
		}
		if !slices.Contains(jitterModes, f.Mode) {
			return nil, args[2].Errorf("unknown distribution %q; expected uniform, normal or exponential", f.Mode)
		}
	}
	return args[:1], nil
}

func oneValue(node *sexp.Node, args []*sexp.Node) (string, error) {
	if len(args) != 1 {
		return "", node.Errorf("%s expects one value, got %d", node.List.Items[0], len(args))
	}
	return args[0].Value()
}

func positiveNumber(node *sexp.Node) (uint64, error) {
	value, err := node.Uint()
	if err == nil && value == 0 {
		err = node.Errorf("expected a number of 1 or more, got 0")
	}
	return value, err
}

func oneNumber(node *sexp.Node, args []*sexp.Node) (uint64, error) {
	if _, err := oneValue(node, args); err != nil {
		return 0, err
	}
	return positiveNumber(args[0])
}

func oneDuration(node *sexp.Node, args []*sexp.Node) (time.Duration, error) {
	if _, err := oneValue(node, args); err != nil {
		return 0, err
	}
	return args[0].Duration()
}

func onePercentage(node *sexp.Node, args []*sexp.Node) (float64, error) {
	word, err := oneValue(node, args)
	if err != nil {
		return 0, err
	}
	value, err := strconv.ParseFloat(word, 64)
	if err != nil || !(value >= 0 && value <= 100) {
		return 0, args[0].Errorf("%q is not a percentage from 0 to 100", word)
	}
	return value / 100, nil
}
