// Package experiment runs simulation experiments: a world, scenarios, policies, a matrix of
// parameters, seeds, and claims about the results. Runs are parallel and can be resumed after an
// interruption. The results file includes the experiment's source.
package experiment

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"lockroad/internal/sexp"
	"lockroad/internal/simulation"
)

// Experiment is a parsed experiment file.
type Experiment struct {
	Name      string
	World     simulation.World
	Policies  []simulation.Policy
	Scenarios []Scenario
	Axes      []Axis
	Seeds     []uint64
	Claims    []Claim
	Source    string // the file's text
}

// Scenario is a named script of actions.
type Scenario struct {
	Name    string
	Actions []simulation.ScriptedAction
}

// Axis is a world parameter with its values in the matrix.
type Axis struct {
	Name   string
	Values []*sexp.Node
}

// Claim is an expected bound of a metric's mean for a policy. It is checked in each cell of the
// matrix, or in those of one scenario.
type Claim struct {
	Metric      string
	Policy      string
	OtherPolicy string  // policy whose mean is the bound; "" if Value is
	Operator    string  // >= or <=
	Value       float64 // the bound, or what is added to the other policy's mean
	Scenario    string  // "" means all
	text        string
}

// String returns the claim as it was written.
func (c Claim) String() string { return c.text }

const (
	maxRuns      = 100_000
	maxSeeds     = 10_000
	defaultSeeds = 10
)

// Parse parses an experiment file:
//
//	(experiment NAME
//	  (world (PARAMETER VALUE) ...)
//	  (policies NAME ...)
//	  (scene NAME (at TIME (ACTION ...)) ...) ...
//	  (matrix (PARAMETER VALUE ...) ...)
//	  (seeds N)
//	  (claim METRIC POLICY >=|<= VALUE|(POLICY [VALUE]) [SCENE]) ...)
//
// The defaults are the reference world, the policy module, a scenario without actions, and ten
// seeds. Errors name line and column.
func Parse(source string) (*Experiment, error) {
	node, err := sexp.ParseOne(source)
	if err != nil {
		return nil, err
	}
	head, args, err := node.Head()
	if err != nil {
		return nil, err
	}
	if head != "experiment" || len(args) < 1 {
		return nil, node.Errorf("expected (experiment NAME ...)")
	}
	experiment := &Experiment{World: simulation.ReferenceWorld(), Source: source}
	if experiment.Name, err = args[0].Value(); err != nil {
		return nil, err
	}
	for _, form := range args[1:] {
		if err := experiment.parseForm(form); err != nil {
			return nil, err
		}
	}
	experiment.setDefaults()
	if err := experiment.check(node); err != nil {
		return nil, err
	}
	return experiment, nil
}

// setDefaults sets the default policy, scenario and seeds if the file has none.
func (e *Experiment) setDefaults() {
	if len(e.Policies) == 0 {
		e.Policies = simulation.Policies[:1]
	}
	if len(e.Scenarios) == 0 {
		e.Scenarios = []Scenario{{Name: "calm"}}
	}
	if len(e.Seeds) == 0 {
		e.setSeeds(defaultSeeds)
	}
}

// check validates the claims' scenarios and policies, the number of runs and the worlds of all cells.
func (e *Experiment) check(node *sexp.Node) error {
	for _, claim := range e.Claims {
		if claim.Scenario != "" && !slices.ContainsFunc(e.Scenarios, func(scenario Scenario) bool { return scenario.Name == claim.Scenario }) {
			return node.Errorf("%s names a scene that is not in the experiment", claim)
		}
		for _, name := range []string{claim.Policy, claim.OtherPolicy} {
			if name != "" && !slices.ContainsFunc(e.Policies, func(policy simulation.Policy) bool { return policy.Name == name }) {
				return node.Errorf("%s names policy %s, which is not in the experiment", claim, name)
			}
		}
	}
	if runs := e.Runs(); len(runs) > maxRuns {
		return node.Errorf("the experiment has %d runs, more than %d", len(runs), maxRuns)
	}
	for _, cell := range e.Cells() {
		if err := cell.World.Validate(); err != nil {
			return node.Errorf("cell %s: %s", cell.Name(), strings.ReplaceAll(err.Error(), "\n", "; "))
		}
	}
	return nil
}

// setSeeds sets the seeds to 1 to count.
func (e *Experiment) setSeeds(count int) {
	e.Seeds = nil
	for i := range count {
		e.Seeds = append(e.Seeds, uint64(i+1))
	}
}

// formParsers has the parsers of an experiment's forms, by their heads.
var formParsers = map[string]func(e *Experiment, node *sexp.Node, args []*sexp.Node) error{
	"world":    (*Experiment).parseWorld,
	"policies": (*Experiment).parsePolicies,
	"scene":    (*Experiment).parseScene,
	"matrix":   (*Experiment).parseMatrix,
	"seeds":    (*Experiment).parseSeeds,
	"claim":    (*Experiment).parseClaim,
}

func (e *Experiment) parseForm(node *sexp.Node) error {
	head, args, err := node.Head()
	if err != nil {
		return err
	}
	parse, ok := formParsers[head]
	if !ok {
		return node.List.Items[0].Errorf("unknown form %q; expected world, policies, scene, matrix, seeds or claim", head)
	}
	return parse(e, node, args)
}

func (e *Experiment) parseWorld(_ *sexp.Node, args []*sexp.Node) error {
	for _, parameter := range args {
		name, values, err := parameter.Head()
		if err != nil {
			return err
		}
		if len(values) != 1 {
			return parameter.Errorf("%s takes one value", name)
		}
		if err := e.World.SetParameter(name, values[0]); err != nil {
			return err
		}
	}
	return nil
}

func (e *Experiment) parsePolicies(_ *sexp.Node, args []*sexp.Node) error {
	for _, argument := range args {
		name, err := argument.Value()
		if err != nil {
			return err
		}
		policy, ok := simulation.FindPolicy(name)
		if !ok {
			var known []string
			for _, policy := range simulation.Policies {
				known = append(known, policy.Name)
			}
			return argument.Errorf("unknown policy %q; expected one of %s", name, strings.Join(known, ", "))
		}
		e.Policies = append(e.Policies, policy)
	}
	return nil
}

func (e *Experiment) parseScene(node *sexp.Node, args []*sexp.Node) (err error) {
	if len(args) == 0 {
		return node.Errorf("scene has no name")
	}
	scenario := Scenario{}
	if scenario.Name, err = args[0].Value(); err != nil {
		return err
	}
	for _, argument := range args[1:] {
		action, err := simulation.ParseScriptedAction(argument)
		if err != nil {
			return err
		}
		scenario.Actions = append(scenario.Actions, action)
	}
	e.Scenarios = append(e.Scenarios, scenario)
	return nil
}

func (e *Experiment) parseMatrix(_ *sexp.Node, args []*sexp.Node) error {
	for _, axis := range args {
		name, values, err := axis.Head()
		if err != nil {
			return err
		}
		if len(values) == 0 {
			return axis.Errorf("%s has no values", name)
		}
		for _, value := range values {
			world := e.World
			if err := world.SetParameter(name, value); err != nil {
				return err
			}
		}
		e.Axes = append(e.Axes, Axis{Name: name, Values: values})
	}
	return nil
}

func (e *Experiment) parseSeeds(node *sexp.Node, args []*sexp.Node) error {
	if len(args) != 1 {
		return node.Errorf("seeds takes one value, their number")
	}
	count, err := args[0].Uint()
	if err != nil {
		return err
	}
	if count < 1 || count > maxSeeds {
		return args[0].Errorf("number of seeds %d is not between 1 and 10000", count)
	}
	e.setSeeds(int(count))
	return nil
}

func (e *Experiment) parseClaim(node *sexp.Node, args []*sexp.Node) (err error) {
	if len(args) < 4 || len(args) > 5 {
		return node.Errorf("expected (claim METRIC POLICY >=|<= VALUE|(POLICY [VALUE]) [SCENE])")
	}
	claim := Claim{text: node.String()}
	for i, field := range []*string{&claim.Metric, &claim.Policy, &claim.Operator} {
		if *field, err = args[i].Value(); err != nil {
			return err
		}
	}
	if !slices.Contains(Metrics, claim.Metric) {
		return args[0].Errorf("unknown metric %q; expected one of %s", claim.Metric, strings.Join(Metrics, ", "))
	}
	if claim.Operator != ">=" && claim.Operator != "<=" {
		return args[2].Errorf("unknown operator %q; expected >= or <=", claim.Operator)
	}
	if err := claim.parseBound(args[3]); err != nil {
		return err
	}
	if len(args) == 5 {
		if claim.Scenario, err = args[4].Value(); err != nil {
			return err
		}
	}
	e.Claims = append(e.Claims, claim)
	return nil
}

// parseBound parses the bound of a claim: a value, or a policy and what is added to its mean.
func (c *Claim) parseBound(node *sexp.Node) (err error) {
	value := node
	if node.List != nil {
		var args []*sexp.Node
		if c.OtherPolicy, args, err = node.Head(); err != nil {
			return err
		}
		if len(args) > 1 {
			return node.Errorf("expected (POLICY [VALUE])")
		}
		if len(args) == 0 {
			return nil
		}
		value = args[0]
	}
	word, err := value.Value()
	if err != nil {
		return err
	}
	if c.Value, err = strconv.ParseFloat(word, 64); err != nil {
		return value.Errorf("%q is not a number", word)
	}
	return nil
}

// Cell is a cell of the matrix: a scenario with one value of each axis.
type Cell struct {
	Scenario Scenario
	World    simulation.World
	Values   []string // in the order of the axes
	axes     []Axis
}

// Name returns the scenario's name, followed by the values of the axes.
func (c Cell) Name() string {
	parts := []string{c.Scenario.Name}
	for i, axis := range c.axes {
		parts = append(parts, axis.Name+"="+c.Values[i])
	}
	return strings.Join(parts, " ")
}

// Cells returns all cells of the matrix, scenario by scenario.
func (e *Experiment) Cells() []Cell {
	cells := []Cell{}
	for _, scenario := range e.Scenarios {
		cells = append(cells, Cell{Scenario: scenario, World: e.World, axes: e.Axes})
	}
	for _, axis := range e.Axes {
		var next []Cell
		for _, cell := range cells {
			for _, value := range axis.Values {
				extended := cell
				extended.Values = append(slices.Clone(cell.Values), value.String())
				_ = extended.World.SetParameter(axis.Name, value) // parseMatrix has checked the value
				next = append(next, extended)
			}
		}
		cells = next
	}
	return cells
}

// Run is one simulation of a cell with a policy and a seed.
type Run struct {
	Cell   Cell
	Policy simulation.Policy
	Seed   uint64
}

// Key returns a string that identifies the run among the rows of a results file.
func (r Run) Key() string { return fmt.Sprintf("%s|%s|%d", r.Cell.Name(), r.Policy.Name, r.Seed) }

// Runs returns all runs, in the order of cells, policies and seeds.
func (e *Experiment) Runs() []Run {
	var runs []Run
	for _, cell := range e.Cells() {
		for _, policy := range e.Policies {
			for _, seed := range e.Seeds {
				runs = append(runs, Run{Cell: cell, Policy: policy, Seed: seed})
			}
		}
	}
	return runs
}
