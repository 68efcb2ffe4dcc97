// Package experiment runs experiments on the model: a world, scenes, policies, a matrix of
// parameters, seeds, and claims to check. Runs go in parallel, go on after a cut, and
// leave a file of results that has their exact inputs.
package experiment

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"lockroad/internal/sexp"
	"lockroad/internal/simulation"
)

// Experiment is what an experiment file says.
type Experiment struct {
	Name     string
	World    simulation.World
	Policies []simulation.Policy
	Scenes   []Scenario
	Axes     []Axis
	Seeds    []uint64
	Claims   []Claim
	Source   string // as it was read
}

// Scenario is what happens in a run.
type Scenario struct {
	Name string
	Acts []simulation.ScriptedAction
}

// Axis is a parameter with the values that are tried.
type Axis struct {
	Name   string
	Values []*sexp.Node
}

// Claim is something that the results are to bear out, in each cell of the matrix and
// scene, or in one scene.
type Claim struct {
	Metric  string
	Policy  string
	Against string  // another policy; "" a value
	Op      string  // >= or <=
	Value   float64 // or what is added to the other policy's mean
	Scene   string  // "" all
	text    string
}

// String is the claim as it was written.
func (c Claim) String() string { return c.text }

const runsMost = 100_000

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
// What is left out: the world is Galway, the policy the module, the scene a calm day,
// and there are ten seeds. Errors name line and column.
func Parse(source string) (*Experiment, error) {
	n, err := sexp.ParseOne(source)
	if err != nil {
		return nil, err
	}
	head, args, err := n.Head()
	if err != nil {
		return nil, err
	}
	if head != "experiment" || len(args) < 1 {
		return nil, n.Errorf("expected (experiment NAME ...)")
	}
	e := &Experiment{World: simulation.ReferenceWorld(), Source: source}
	if e.Name, err = args[0].Value(); err != nil {
		return nil, err
	}
	for _, a := range args[1:] {
		if err := e.form(a); err != nil {
			return nil, err
		}
	}
	if len(e.Policies) == 0 {
		e.Policies = simulation.Policies[:1]
	}
	if len(e.Scenes) == 0 {
		e.Scenes = []Scenario{{Name: "calm"}}
	}
	if len(e.Seeds) == 0 {
		e.seeds(10)
	}
	for _, c := range e.Claims {
		if c.Scene != "" && !slices.ContainsFunc(e.Scenes, func(s Scenario) bool { return s.Name == c.Scene }) {
			return nil, n.Errorf("the claim %s is of a scene that is not there", c)
		}
		for _, p := range []string{c.Policy, c.Against} {
			if p != "" && !slices.ContainsFunc(e.Policies, func(x simulation.Policy) bool { return x.Name == p }) {
				return nil, n.Errorf("the claim %s is of policy %s, which is not tried", c, p)
			}
		}
	}
	if r := e.Runs(); len(r) > runsMost {
		return nil, n.Errorf("%d runs are more than %d", len(r), runsMost)
	}
	for _, c := range e.Cells() {
		if err := c.World.Validate(); err != nil {
			return nil, n.Errorf("with %s: %s", c.Where(), strings.ReplaceAll(err.Error(), "\n", "; "))
		}
	}
	return e, nil
}

func (e *Experiment) seeds(n int) {
	for i := range n {
		e.Seeds = append(e.Seeds, uint64(i+1))
	}
}

func (e *Experiment) form(n *sexp.Node) error {
	head, args, err := n.Head()
	if err != nil {
		return err
	}
	switch head {
	case "world":
		for _, a := range args {
			name, values, err := a.Head()
			if err != nil {
				return err
			}
			if len(values) != 1 {
				return a.Errorf("%s wants one value", name)
			}
			if err := e.World.Set(name, values[0]); err != nil {
				return err
			}
		}
	case "policies":
		for _, a := range args {
			name, err := a.Value()
			if err != nil {
				return err
			}
			p, ok := simulation.FindPolicy(name)
			if !ok {
				var known []string
				for _, p := range simulation.Policies {
					known = append(known, p.Name)
				}
				return a.Errorf("there is no policy %q; expected one of %s", name, strings.Join(known, ", "))
			}
			e.Policies = append(e.Policies, p)
		}
	case "scene":
		if len(args) == 0 {
			return n.Errorf("a scene wants a name")
		}
		s := Scenario{}
		if s.Name, err = args[0].Value(); err != nil {
			return err
		}
		for _, a := range args[1:] {
			act, err := simulation.ParseScriptedAction(a)
			if err != nil {
				return err
			}
			s.Acts = append(s.Acts, act)
		}
		e.Scenes = append(e.Scenes, s)
	case "matrix":
		for _, a := range args {
			name, values, err := a.Head()
			if err != nil {
				return err
			}
			if len(values) == 0 {
				return a.Errorf("%s wants values to try", name)
			}
			for _, v := range values {
				w := e.World
				if err := w.Set(name, v); err != nil {
					return err
				}
			}
			e.Axes = append(e.Axes, Axis{name, values})
		}
	case "seeds":
		if len(args) != 1 {
			return n.Errorf("seeds wants their number")
		}
		v, err := args[0].Whole()
		if err != nil {
			return err
		}
		if v < 1 || v > 10_000 {
			return args[0].Errorf("%d seeds are not within 1 and 10000", v)
		}
		e.Seeds = nil
		e.seeds(int(v))
	case "claim":
		return e.claim(n, args)
	default:
		return n.List.Items[0].Errorf("an experiment has no %q; expected world, policies, scene, matrix, seeds or claim", head)
	}
	return nil
}

func (e *Experiment) claim(n *sexp.Node, args []*sexp.Node) (err error) {
	if len(args) < 4 || len(args) > 5 {
		return n.Errorf("expected (claim METRIC POLICY >=|<= VALUE|(POLICY [VALUE]) [SCENE])")
	}
	c := Claim{text: n.String()}
	for i, to := range []*string{&c.Metric, &c.Policy, &c.Op} {
		if *to, err = args[i].Value(); err != nil {
			return err
		}
	}
	if !slices.Contains(Metrics, c.Metric) {
		return args[0].Errorf("there is no metric %q; expected one of %s", c.Metric, strings.Join(Metrics, ", "))
	}
	if c.Op != ">=" && c.Op != "<=" {
		return args[2].Errorf("%q compares nothing here; expected >= or <=", c.Op)
	}
	value := args[3]
	if value.List != nil {
		var more []*sexp.Node
		if c.Against, more, err = value.Head(); err != nil {
			return err
		}
		if len(more) > 1 {
			return value.Errorf("expected (POLICY [VALUE])")
		}
		if value = nil; len(more) == 1 {
			value = more[0]
		}
	}
	if value != nil {
		word, err := value.Value()
		if err != nil {
			return err
		}
		if c.Value, err = strconv.ParseFloat(word, 64); err != nil {
			return value.Errorf("%q is no number", word)
		}
	}
	if len(args) == 5 {
		if c.Scene, err = args[4].Value(); err != nil {
			return err
		}
	}
	e.Claims = append(e.Claims, c)
	return nil
}

// Cell is a scene with a choice of the matrix.
type Cell struct {
	Scene  Scenario
	World  simulation.World
	Values []string // of the axes, in their order
	axes   []Axis
}

// Where names the cell.
func (c Cell) Where() string {
	parts := []string{c.Scene.Name}
	for i, a := range c.axes {
		parts = append(parts, a.Name+"="+c.Values[i])
	}
	return strings.Join(parts, " ")
}

// Cells are all of the matrix, scene by scene.
func (e *Experiment) Cells() []Cell {
	cells := []Cell{}
	for _, s := range e.Scenes {
		cells = append(cells, Cell{Scene: s, World: e.World, axes: e.Axes})
	}
	for _, a := range e.Axes {
		var next []Cell
		for _, c := range cells {
			for _, v := range a.Values {
				grown := c
				grown.Values = append(slices.Clone(c.Values), v.String())
				_ = grown.World.Set(a.Name, v) // it was tried when it was read
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

// Key names the run in a file of results.
func (r Run) Key() string { return fmt.Sprintf("%s|%s|%d", r.Cell.Where(), r.Policy.Name, r.Seed) }

// Runs are all runs, in order.
func (e *Experiment) Runs() []Run {
	var all []Run
	for _, c := range e.Cells() {
		for _, p := range e.Policies {
			for _, seed := range e.Seeds {
				all = append(all, Run{c, p, seed})
			}
		}
	}
	return all
}
