// Package experiment runs experiments on the simulation: a world, scenarios, policies, a
// matrix of parameters, seeds, and claims to check. Runs are parallel, can be resumed after
// an interruption, and leave a file of results that holds their exact inputs.
package experiment

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"lockroad/internal/sexp"
	"lockroad/internal/simulation"
)

// Experiment is an experiment file, parsed.
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

// Scenario is a script of a run.
type Scenario struct {
	Name    string
	Actions []simulation.ScriptedAction
}

// Axis is a parameter with the values that are tried.
type Axis struct {
	Name   string
	Values []*sexp.Node
}

// Claim is a statement that the results are checked against, in each cell of the matrix, of
// all scenes or of one.
type Claim struct {
	Metric      string
	Policy      string
	OtherPolicy string  // another policy; "" a value
	Operator    string  // >= or <=
	Value       float64 // or what is added to the other policy's mean
	Scenario    string  // "" all
	text        string
}

// String returns the claim as it was written.
func (c Claim) String() string { return c.text }

const (
	maxRuns      = 100_000
	maxSeeds     = 10_000
	defaultSeeds = 10
)

// Parse reads an experiment file:
//
//	(experiment NAME
//	  (world (PARAMETER VALUE) ...)
//	  (policies NAME ...)
//	  (scene NAME (at TIME (ACT ...)) ...) ...
//	  (matrix (PARAMETER VALUE ...) ...)
//	  (seeds N)
//	  (claim METRIC POLICY >=|<= VALUE|(POLICY [VALUE]) [SCENE]) ...)
//
// The defaults are the reference world, the module as policy, a scene without actions, and
// ten seeds. Errors name line and column.
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
	e := &Experiment{World: simulation.ReferenceWorld(), Source: source}
	if e.Name, err = args[0].Value(); err != nil {
		return nil, err
	}
	for _, form := range args[1:] {
		if err := e.parseForm(form); err != nil {
			return nil, err
		}
	}
	e.setDefaults()
	if err := e.check(node); err != nil {
		return nil, err
	}
	return e, nil
}

// setDefaults sets what was left out.
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

// check reports what is wrong with an experiment as a whole.
func (e *Experiment) check(node *sexp.Node) error {
	for _, claim := range e.Claims {
		if claim.Scenario != "" && !slices.ContainsFunc(e.Scenarios, func(scenario Scenario) bool { return scenario.Name == claim.Scenario }) {
			return node.Errorf("the claim %s is of a scene that is not there", claim)
		}
		for _, name := range []string{claim.Policy, claim.OtherPolicy} {
			if name != "" && !slices.ContainsFunc(e.Policies, func(policy simulation.Policy) bool { return policy.Name == name }) {
				return node.Errorf("the claim %s is of policy %s, which is not tried", claim, name)
			}
		}
	}
	if runs := e.Runs(); len(runs) > maxRuns {
		return node.Errorf("%d runs are more than %d", len(runs), maxRuns)
	}
	for _, cell := range e.Cells() {
		if err := cell.World.Validate(); err != nil {
			return node.Errorf("with %s: %s", cell.Name(), strings.ReplaceAll(err.Error(), "\n", "; "))
		}
	}
	return nil
}

// setSeeds sets the seeds from 1 on.
func (e *Experiment) setSeeds(count int) {
	e.Seeds = nil
	for i := range count {
		e.Seeds = append(e.Seeds, uint64(i+1))
	}
}

// formParsers parse the formParsers of an experiment, by their heads.
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
		return node.List.Items[0].Errorf("an experiment has no %q; expected world, policies, scene, matrix, seeds or claim", head)
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
			return parameter.Errorf("%s wants one value", name)
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
			return argument.Errorf("there is no policy %q; expected one of %s", name, strings.Join(known, ", "))
		}
		e.Policies = append(e.Policies, policy)
	}
	return nil
}

func (e *Experiment) parseScene(node *sexp.Node, args []*sexp.Node) (err error) {
	if len(args) == 0 {
		return node.Errorf("a scene wants a name")
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
			return axis.Errorf("%s wants values to try", name)
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
		return node.Errorf("seeds wants their number")
	}
	count, err := args[0].Whole()
	if err != nil {
		return err
	}
	if count < 1 || count > maxSeeds {
		return args[0].Errorf("%d seeds are not within 1 and 10000", count)
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
		return args[0].Errorf("there is no metric %q; expected one of %s", claim.Metric, strings.Join(Metrics, ", "))
	}
	if claim.Operator != ">=" && claim.Operator != "<=" {
		return args[2].Errorf("%q compares nothing here; expected >= or <=", claim.Operator)
	}
	if err := claim.parseLimit(args[3]); err != nil {
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

// parseLimit reads what the metric is compared with: a value, or a policy and what is added
// to its mean.
func (c *Claim) parseLimit(node *sexp.Node) (err error) {
	value := node
	if node.List != nil {
		var added []*sexp.Node
		if c.OtherPolicy, added, err = node.Head(); err != nil {
			return err
		}
		if len(added) > 1 {
			return node.Errorf("expected (POLICY [VALUE])")
		}
		if len(added) == 0 {
			return nil
		}
		value = added[0]
	}
	word, err := value.Value()
	if err != nil {
		return err
	}
	if c.Value, err = strconv.ParseFloat(word, 64); err != nil {
		return value.Errorf("%q is no number", word)
	}
	return nil
}

// Cell is a scene with one value of each axis.
type Cell struct {
	Scenario Scenario
	World    simulation.World
	Values   []string // of the axes, in their order
	axes     []Axis
}

// Name returns the cell's name.
func (c Cell) Name() string {
	parts := []string{c.Scenario.Name}
	for i, a := range c.axes {
		parts = append(parts, a.Name+"="+c.Values[i])
	}
	return strings.Join(parts, " ")
}

// Cells returns all cells of the matrix, scene by scene.
func (e *Experiment) Cells() []Cell {
	cells := []Cell{}
	for _, scenario := range e.Scenarios {
		cells = append(cells, Cell{Scenario: scenario, World: e.World, axes: e.Axes})
	}
	for _, axis := range e.Axes {
		var next []Cell
		for _, cell := range cells {
			for _, value := range axis.Values {
				grown := cell
				grown.Values = append(slices.Clone(cell.Values), value.String())
				_ = grown.World.SetParameter(axis.Name, value) // it was tried when it was parsed
				next = append(next, grown)
			}
		}
		cells = next
	}
	return cells
}

// Run is one run: a cell, a policy and a seed.
type Run struct {
	Cell   Cell
	Policy simulation.Policy
	Seed   uint64
}

// Key returns the run's name in a file of results.
func (r Run) Key() string { return fmt.Sprintf("%s|%s|%d", r.Cell.Name(), r.Policy.Name, r.Seed) }

// Runs returns all runs, in order.
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
