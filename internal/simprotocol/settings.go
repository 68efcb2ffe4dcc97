package simprotocol

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"lockroad/balancer"
)

// object is a JSON object whose keys are looked up one by one, so that a
// missing one can be named and an unknown one passed over.
type object map[string]json.RawMessage

// KeyError is something wrong with one of the settings.
type KeyError struct {
	Key  string // such as Limits.TryLimit
	What string
}

// Error says so.
func (e *KeyError) Error() string { return e.Key + " " + e.What }

// KeyErrors are all that is wrong with the settings.
type KeyErrors []*KeyError

// Error names all of them in one line.
func (all KeyErrors) Error() string {
	texts := make([]string, len(all))
	for i, e := range all {
		texts[i] = e.Error()
	}
	return "settings: " + strings.Join(texts, "; ")
}

// settingsReader keeps what is found wrong, the first thing of each key.
type settingsReader struct{ errs KeyErrors }

func (r *settingsReader) failf(key, format string, args ...any) {
	if !slices.ContainsFunc(r.errs, func(e *KeyError) bool { return e.Key == key }) {
		r.errs = append(r.errs, &KeyError{key, fmt.Sprintf(format, args...)})
	}
}

// need reads the value of a key that has to be there.
func need[T any](r *settingsReader, o object, path, key string) T {
	var v T
	raw, ok := o[key]
	if o == nil {
		return v // it is missing as a whole, and said to be
	}
	if !ok || string(raw) == "null" {
		r.failf(path+key, "is missing")
	} else if err := json.Unmarshal(raw, &v); err != nil {
		r.failf(path+key, "can't be read: %v", err)
	}
	return v
}

// maybe reads the value of a key that may be absent.
func maybe[T any](r *settingsReader, o object, path, key string) T {
	var v T
	if raw, ok := o[key]; ok && string(raw) != "null" {
		return need[T](r, object{key: raw}, path, key)
	}
	return v
}

// Span is a time that the settings tell in microseconds.
func Span(us float64) (time.Duration, error) {
	if !(us >= 0 && us <= 1e15) {
		return 0, fmt.Errorf("is a time of %v microseconds, which is out of range", us)
	}
	return time.Duration(us) * time.Microsecond, nil
}

// span is a Span that is told under a key.
func (r *settingsReader) span(key string, us float64) time.Duration {
	t, err := Span(us)
	if err != nil {
		r.failf(key, "%v", err)
	}
	return t
}

func span(r *settingsReader, o object, path, key string) time.Duration {
	return r.span(path+key, need[float64](r, o, path, key))
}

// over reads a time that has to be over 0.
func over(r *settingsReader, o object, path, key string) time.Duration {
	t := span(r, o, path, key)
	if t <= 0 {
		r.failf(path+key, "is not over 0")
	}
	return t
}

var effects = map[string]balancer.Effect{
	"idempotent":   balancer.Idempotent,
	"deduplicated": balancer.Deduplicated,
	"at_most_once": balancer.AtMostOnce,
}

var scopes = map[string]balancer.Scope{
	"all":  balancer.ScopeAll,
	"zone": balancer.ScopeZone,
	"cell": balancer.ScopeCell,
}

func pick[T any](r *settingsReader, from map[string]T, path, word string) T {
	v, ok := from[word]
	if !ok {
		r.failf(path, "has the unknown word %q", word)
	}
	return v
}

// ParseSettings reads the settings that an instance is given at its start.
func ParseSettings(info []byte) (balancer.Settings, error) {
	var o object
	if err := json.Unmarshal(info, &o); err != nil {
		return balancer.Settings{}, fmt.Errorf("settings are no JSON object: %w", err)
	}
	r := &settingsReader{}
	limits := need[object](r, o, "", "Limits")
	rules := need[object](r, o, "", "Guarantees")
	costs := maybe[object](r, o, "", "Costs")
	facts := maybe[object](r, o, "", "Specifics")
	s := balancer.Settings{
		Relays:  need[int](r, o, "", "NInstances"),
		Zone:    need[int](r, o, "", "Zone"),
		MinTick: span(r, o, "", "QuantumUs"),
		PollList: pick(r, map[string]bool{"push": false, "ask": true}, "Discovery",
			need[string](r, o, "", "Discovery")),
		MaxAttempts:       need[int](r, limits, "Limits.", "TryLimit"),
		ConnectTimeout:    span(r, limits, "Limits.", "ConnectTimeoutUs"),
		InitialCapacity:   need[float64](r, rules, "Guarantees.", "StartCapacity"),
		SlowStartDuration: span(r, rules, "Guarantees.", "ColdUs"),
		OverloadMultiple:  need[float64](r, rules, "Guarantees.", "TipMultiple"),
		OverloadWindow:    over(r, rules, "Guarantees.", "FallUs"),
		CrossZoneCost:     maybe[float64](r, costs, "Costs.", "CrossZone"),
	}
	if maybe[bool](r, limits, "Limits.", "RetryAfter") {
		s.MaxRetryAfter = span(r, limits, "Limits.", "MaxRetryAfterUs")
	}
	if s.PollList {
		s.PollInterval = over(r, rules, "Guarantees.", "AskEveryUs")
	}
	s.ReportsLoad, s.ReportsDelay = tells(r, facts, "TellsLoad"), tells(r, facts, "TellsDelay")
	if s.CrossZoneCost < 0 {
		r.failf("Costs.CrossZone", "is %v, which is no price", s.CrossZoneCost)
	}
	if s.MaxAttempts < 1 {
		r.failf("Limits.TryLimit", "is not over 0")
	}
	if s.Relays < 1 {
		r.failf("NInstances", "is not over 0")
	}
	if !(s.InitialCapacity > 0 && s.InitialCapacity <= 1) {
		r.failf("Guarantees.StartCapacity", "is %v, which is not over 0 and up to 1", s.InitialCapacity)
	}
	if !(s.OverloadMultiple > 0) {
		r.failf("Guarantees.TipMultiple", "is not over 0")
	}
	s.Tenants = tenants(r, o)
	s.Classes = classes(r, o, maybe[[]float64](r, facts, "Specifics.", "MessageAimUs"))
	if len(r.errs) > 0 {
		return balancer.Settings{}, r.errs
	}
	return s, s.Validate()
}

// tenants reads the names of those whose requests are told apart.
func tenants(r *settingsReader, o object) (names []string) {
	for i, c := range maybe[[]object](r, o, "", "Customers") {
		path := fmt.Sprintf("Customers[%d].", i)
		name := need[string](r, c, path, "Name")
		switch share := maybe[float64](r, c, path, "Share"); {
		case share < 0 || share > 1:
			r.failf(path+"Share", "is %v, which is no part of the whole", share)
		case name == "":
			r.failf(path+"Name", "is empty")
		case slices.Contains(names, name):
			r.failf(path+"Name", "%q is the name of another tenant too", name)
		}
		names = append(names, name)
	}
	return names
}

// tells reads whether servers tell something. Where nothing is said of it, they may.
func tells(r *settingsReader, facts object, key string) bool {
	if raw, ok := facts[key]; !ok || string(raw) == "null" {
		return true
	}
	return need[bool](r, facts, "Specifics.", key)
}

func classes(r *settingsReader, o object, messageAims []float64) []balancer.Class {
	var list []balancer.Class
	given := need[[]object](r, o, "", "Classes")
	if len(given) == 0 {
		r.failf("Classes", "names none")
	}
	for i, c := range given {
		path := fmt.Sprintf("Classes[%d].", i)
		class := balancer.Class{
			Name:             maybe[string](r, c, path, "Name"),
			LatencyObjective: span(r, c, path, "AimUs"),
			Deadline:         over(r, c, path, "DeadlineUs"),
			Effect:           pick(r, effects, path+"Semantics", need[string](r, c, path, "Semantics")),
		}
		if class.Effect == balancer.Deduplicated {
			class.Scope = pick(r, scopes, path+"KeyScope", need[string](r, c, path, "KeyScope"))
			class.DeduplicationWindow = over(r, c, path, "MemorySpanUs")
		}
		if i < len(messageAims) {
			class.MessageLatencyObjective = r.span(fmt.Sprintf("Specifics.MessageAimUs[%d]", i), messageAims[i])
		}
		list = append(list, class)
	}
	return list
}
