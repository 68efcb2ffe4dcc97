package simulation

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"lockroad/internal/sexp"
)

// worldParameters are the parameters of a world that an experiment may set, by name.
var worldParameters = map[string]func(world *World, node *sexp.Node) error{
	"servers":    wholeNumber(1, 5000, func(world *World, value int) { world.Servers = value }),
	"relays":     wholeNumber(1, MaxRelays, func(world *World, value int) { world.Relays = value }),
	"zones":      wholeNumber(1, 64, func(world *World, value int) { world.Zones = value }),
	"standing":   wholeNumber(0, 1_000_000, func(world *World, value int) { world.Standing = value }),
	"groups":     wholeNumber(1, 10_000_000, func(world *World, value int) { world.Groups = value }),
	"cores":      wholeNumber(1, 1024, func(world *World, value int) { world.Cores = value }),
	"attempts":   wholeNumber(1, 20, func(world *World, value int) { world.Attempts = value }),
	"retries":    wholeNumber(0, 20, func(world *World, value int) { world.Retries = value }),
	"queue":      wholeNumber(1, 100_000, func(world *World, value int) { world.Queue = value }),
	"rate":       realNumber(0, 1e5, func(world *World, value float64) { world.Rate = value }),
	"swing":      realNumber(0, 0.99, func(world *World, value float64) { world.Swing = value }),
	"skew":       realNumber(0, 1, func(world *World, value float64) { world.Skew = value }),
	"slow":       realNumber(0, 1, func(world *World, value float64) { world.Slow = value }),
	"per-core":   realNumber(0.1, 1e4, func(world *World, value float64) { world.PerCore = value }),
	"load-swing": realNumber(0, 1, func(world *World, value float64) { world.LoadSwing = value }),
	"group-cost": realNumber(0, 1e3, func(world *World, value float64) { world.GroupCost = value }),
	"group-skew": realNumber(0, 3, func(world *World, value float64) { world.GroupSkew = value }),
	"probed":     wholeNumber(0, 1, func(world *World, value int) { world.Probed = value == 1 }),
	"probe-loss": realNumber(0, 0.9, func(world *World, value float64) { world.ProbeLoss = value }),
	"warm":       wholeNumber(0, 1, func(world *World, value int) { world.Warm = value == 1 }),
	"honour":     realNumber(0, 1, func(world *World, value float64) { world.Honour = value }),
	"cold-share": realNumber(0.01, 1, func(world *World, value float64) { world.ColdShare = value }),
	"scale-load": realNumber(0.01, 100, func(world *World, value float64) {
		world.Rate *= value
		world.Standing = int(float64(world.Standing) * value)
	}),
	"scale":    realNumber(0.05, 400, func(world *World, value float64) { *world = world.Scaled(value, world.Relays) }),
	"for":      durationParameter(func(world *World, duration time.Duration) { world.For = duration }),
	"life":     durationParameter(func(world *World, duration time.Duration) { world.Life = duration }),
	"period":   durationParameter(func(world *World, duration time.Duration) { world.Period = duration }),
	"set-up":   durationParameter(func(world *World, duration time.Duration) { world.SetUp = duration }),
	"cold-for": durationParameter(func(world *World, duration time.Duration) { world.ColdFor = duration }),
	"list-delay": durationParameter(func(world *World, duration time.Duration) {
		world.Notice = [2]time.Duration{duration / 2, duration * 3 / 2}
	}),
	"cross": durationParameter(func(world *World, duration time.Duration) {
		world.Cross = [2]time.Duration{duration * 4 / 5, duration * 6 / 5}
	}),
	"silence": durationParameter(func(world *World, duration time.Duration) { world.Silence = duration }),
}

// numberWithin reads a number within bounds.
func numberWithin(node *sexp.Node, least, most float64) (float64, error) {
	word, err := node.Value()
	if err != nil {
		return 0, err
	}
	value, err := strconv.ParseFloat(word, 64)
	if err != nil || !(value >= least && value <= most) {
		return 0, node.Errorf("%s is not within %v and %v", word, least, most)
	}
	return value, nil
}

func wholeNumber(least, most int, set func(*World, int)) func(*World, *sexp.Node) error {
	return func(world *World, node *sexp.Node) error {
		value, err := numberWithin(node, float64(least), float64(most))
		if err == nil && value != math.Trunc(value) {
			err = node.Errorf("%v is no whole number", value)
		}
		if err == nil {
			set(world, int(value))
		}
		return err
	}
}

func realNumber(least, most float64, set func(*World, float64)) func(*World, *sexp.Node) error {
	return func(world *World, node *sexp.Node) error {
		value, err := numberWithin(node, least, most)
		if err == nil {
			set(world, value)
		}
		return err
	}
}

func durationParameter(set func(*World, time.Duration)) func(*World, *sexp.Node) error {
	return func(world *World, node *sexp.Node) error {
		duration, err := node.Duration()
		if err == nil {
			set(world, duration)
		}
		return err
	}
}

// Parameters are the names of what Set sets, in order.
func Parameters() []string { return slices.Sorted(maps.Keys(worldParameters)) }

// Set sets a parameter of the world by its name. An error names the value's place.
func (w *World) Set(name string, value *sexp.Node) error {
	set, ok := worldParameters[name]
	if !ok {
		return value.Errorf("a world has no %q; expected one of %s", name, strings.Join(Parameters(), ", "))
	}
	return set(w, value)
}
