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
var worldParameters = map[string]func(w *World, node *sexp.Node) error{
	"servers":    wholeNumber(1, 5000, func(w *World, value int) { w.Servers = value }),
	"relays":     wholeNumber(1, RelaysMost, func(w *World, value int) { w.Relays = value }),
	"zones":      wholeNumber(1, 64, func(w *World, value int) { w.Zones = value }),
	"standing":   wholeNumber(0, 1_000_000, func(w *World, value int) { w.Standing = value }),
	"groups":     wholeNumber(1, 10_000_000, func(w *World, value int) { w.Groups = value }),
	"cores":      wholeNumber(1, 1024, func(w *World, value int) { w.Cores = value }),
	"attempts":   wholeNumber(1, 20, func(w *World, value int) { w.Attempts = value }),
	"retries":    wholeNumber(0, 20, func(w *World, value int) { w.Retries = value }),
	"queue":      wholeNumber(1, 100_000, func(w *World, value int) { w.Queue = value }),
	"rate":       realNumber(0, 1e5, func(w *World, value float64) { w.Rate = value }),
	"swing":      realNumber(0, 0.99, func(w *World, value float64) { w.Swing = value }),
	"skew":       realNumber(0, 1, func(w *World, value float64) { w.Skew = value }),
	"slow":       realNumber(0, 1, func(w *World, value float64) { w.Slow = value }),
	"per-core":   realNumber(0.1, 1e4, func(w *World, value float64) { w.PerCore = value }),
	"load-swing": realNumber(0, 1, func(w *World, value float64) { w.LoadSwing = value }),
	"group-cost": realNumber(0, 1e3, func(w *World, value float64) { w.GroupCost = value }),
	"group-skew": realNumber(0, 3, func(w *World, value float64) { w.GroupSkew = value }),
	"probed":     wholeNumber(0, 1, func(w *World, value int) { w.Probed = value == 1 }),
	"probe-loss": realNumber(0, 0.9, func(w *World, value float64) { w.ProbeLoss = value }),
	"warm":       wholeNumber(0, 1, func(w *World, value int) { w.Warm = value == 1 }),
	"honour":     realNumber(0, 1, func(w *World, value float64) { w.Honour = value }),
	"cold-share": realNumber(0.01, 1, func(w *World, value float64) { w.ColdShare = value }),
	"scale-load": realNumber(0.01, 100, func(w *World, value float64) {
		w.Rate *= value
		w.Standing = int(float64(w.Standing) * value)
	}),
	"scale":      realNumber(0.05, 400, func(w *World, value float64) { *w = w.Scaled(value, w.Relays) }),
	"for":        durationParameter(func(w *World, d time.Duration) { w.For = d }),
	"life":       durationParameter(func(w *World, d time.Duration) { w.Life = d }),
	"period":     durationParameter(func(w *World, d time.Duration) { w.Period = d }),
	"set-up":     durationParameter(func(w *World, d time.Duration) { w.SetUp = d }),
	"cold-for":   durationParameter(func(w *World, d time.Duration) { w.ColdFor = d }),
	"list-delay": durationParameter(func(w *World, d time.Duration) { w.Notice = [2]time.Duration{d / 2, d * 3 / 2} }),
	"cross":      durationParameter(func(w *World, d time.Duration) { w.Cross = [2]time.Duration{d * 4 / 5, d * 6 / 5} }),
	"silence":    durationParameter(func(w *World, d time.Duration) { w.Silence = d }),
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
	return func(w *World, node *sexp.Node) error {
		value, err := numberWithin(node, float64(least), float64(most))
		if err == nil && value != math.Trunc(value) {
			err = node.Errorf("%v is no whole number", value)
		}
		if err == nil {
			set(w, int(value))
		}
		return err
	}
}

func realNumber(least, most float64, set func(*World, float64)) func(*World, *sexp.Node) error {
	return func(w *World, node *sexp.Node) error {
		value, err := numberWithin(node, least, most)
		if err == nil {
			set(w, value)
		}
		return err
	}
}

func durationParameter(set func(*World, time.Duration)) func(*World, *sexp.Node) error {
	return func(w *World, node *sexp.Node) error {
		d, err := node.Duration()
		if err == nil {
			set(w, d)
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
