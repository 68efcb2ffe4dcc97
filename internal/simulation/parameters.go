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

// worldParameters has the setters of the parameters that an experiment may set, by name.
var worldParameters = map[string]func(world *World, node *sexp.Node) error{
	"servers":    intParameter(1, 5000, func(world *World, value int) { world.Servers = value }),
	"relays":     intParameter(1, MaxRelays, func(world *World, value int) { world.Relays = value }),
	"zones":      intParameter(1, 64, func(world *World, value int) { world.Zones = value }),
	"standing":   intParameter(0, 1_000_000, func(world *World, value int) { world.InitialConnections = value }),
	"groups":     intParameter(1, 10_000_000, func(world *World, value int) { world.Groups = value }),
	"cores":      intParameter(1, 1024, func(world *World, value int) { world.CoresPerServer = value }),
	"attempts":   intParameter(1, 20, func(world *World, value int) { world.MaxAttempts = value }),
	"retries":    intParameter(0, 20, func(world *World, value int) { world.MaxRetries = value }),
	"queue":      intParameter(1, 100_000, func(world *World, value int) { world.SetupQueueLimit = value }),
	"rate":       floatParameter(0, 1e5, func(world *World, value float64) { world.ArrivalRate = value }),
	"swing":      floatParameter(0, 0.99, func(world *World, value float64) { world.RateAmplitude = value }),
	"skew":       floatParameter(0, 1, func(world *World, value float64) { world.ZoneSkew = value }),
	"slow":       floatParameter(0, 1, func(world *World, value float64) { world.SlowShare = value }),
	"per-core":   floatParameter(0.1, 1e4, func(world *World, value float64) { world.ConnectionsPerCore = value }),
	"load-swing": floatParameter(0, 1, func(world *World, value float64) { world.LoadAmplitude = value }),
	"group-cost": floatParameter(0, 1e3, func(world *World, value float64) { world.GroupCost = value }),
	"group-skew": floatParameter(0, 3, func(world *World, value float64) { world.GroupSkew = value }),
	"probed":     intParameter(0, 1, func(world *World, value int) { world.UseHealthChecks = value == 1 }),
	"probe-loss": floatParameter(0, 0.9, func(world *World, value float64) { world.ProbeLoss = value }),
	"warm":       intParameter(0, 1, func(world *World, value int) { world.RestoreSnapshots = value == 1 }),
	"honour":     floatParameter(0, 1, func(world *World, value float64) { world.RetryAfterCompliance = value }),
	"cold-share": floatParameter(0.01, 1, func(world *World, value float64) { world.InitialCapacity = value }),
	"scale-load": floatParameter(0.01, 100, func(world *World, value float64) {
		world.ArrivalRate *= value
		world.InitialConnections = int(float64(world.InitialConnections) * value)
	}),
	"scale":    floatParameter(0.05, 400, func(world *World, value float64) { *world = world.Scaled(value, world.Relays) }),
	"for":      durationParameter(func(world *World, duration time.Duration) { world.Duration = duration }),
	"life":     durationParameter(func(world *World, duration time.Duration) { world.MeanLifetime = duration }),
	"period":   durationParameter(func(world *World, duration time.Duration) { world.RatePeriod = duration }),
	"set-up":   durationParameter(func(world *World, duration time.Duration) { world.SetupWork = duration }),
	"cold-for": durationParameter(func(world *World, duration time.Duration) { world.SlowStartDuration = duration }),
	"list-delay": durationParameter(func(world *World, duration time.Duration) {
		world.ListDelay = [2]time.Duration{duration / 2, duration * 3 / 2}
	}),
	"cross": durationParameter(func(world *World, duration time.Duration) {
		world.CrossZoneDelay = [2]time.Duration{duration * 4 / 5, duration * 6 / 5}
	}),
	"silence": durationParameter(func(world *World, duration time.Duration) { world.HeartbeatTimeout = duration }),
}

// parseNumber parses a number within bounds.
func parseNumber(node *sexp.Node, minimum, maximum float64) (float64, error) {
	word, err := node.Value()
	if err != nil {
		return 0, err
	}
	value, err := strconv.ParseFloat(word, 64)
	if err != nil || !(value >= minimum && value <= maximum) {
		return 0, node.Errorf("%s is not a number between %v and %v", word, minimum, maximum)
	}
	return value, nil
}

func intParameter(minimum, maximum int, set func(*World, int)) func(*World, *sexp.Node) error {
	return func(world *World, node *sexp.Node) error {
		value, err := parseNumber(node, float64(minimum), float64(maximum))
		if err == nil && value != math.Trunc(value) {
			err = node.Errorf("%v is not an integer", value)
		}
		if err == nil {
			set(world, int(value))
		}
		return err
	}
}

func floatParameter(minimum, maximum float64, set func(*World, float64)) func(*World, *sexp.Node) error {
	return func(world *World, node *sexp.Node) error {
		value, err := parseNumber(node, minimum, maximum)
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

// ParameterNames returns the names that SetParameter accepts, sorted.
func ParameterNames() []string { return slices.Sorted(maps.Keys(worldParameters)) }

// SetParameter sets a parameter of the world by its name. Errors name line and column of the value.
func (w *World) SetParameter(name string, value *sexp.Node) error {
	set, ok := worldParameters[name]
	if !ok {
		return value.Errorf("unknown world parameter %q; expected one of %s", name, strings.Join(ParameterNames(), ", "))
	}
	return set(w, value)
}
