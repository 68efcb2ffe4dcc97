package simprotocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"lockroad/balancer"
)

// object is a JSON object whose keys are read one by one, so that errors name the missing ones and
// unknown ones are ignored.
type object map[string]json.RawMessage

// KeyError is an error in the value of one key of the settings.
type KeyError struct {
	Key     string // such as Limits.TryLimit
	Problem string
}

// Error returns the key and the problem, which reads as the end of a sentence.
func (e *KeyError) Error() string { return e.Key + " " + e.Problem }

// KeyErrors are all errors of the settings, at most one for each key.
type KeyErrors []*KeyError

// Error lists the errors in one line.
func (errs KeyErrors) Error() string {
	texts := make([]string, len(errs))
	for i, err := range errs {
		texts[i] = err.Error()
	}
	return "settings: " + strings.Join(texts, "; ")
}

// settingsReader collects the first error of each key.
type settingsReader struct{ keyErrors KeyErrors }

// failf adds an error for a key, unless it has one.
func (r *settingsReader) failf(key, format string, args ...any) {
	if !slices.ContainsFunc(r.keyErrors, func(e *KeyError) bool { return e.Key == key }) {
		r.keyErrors = append(r.keyErrors, &KeyError{Key: key, Problem: fmt.Sprintf(format, args...)})
	}
}

// required decodes the value of a mandatory key; path is that of the object, such as "Limits.".
func required[T any](reader *settingsReader, values object, path, key string) T {
	var value T
	if values == nil {
		return value // the missing object is reported under its own key
	}
	raw, ok := values[key]
	if !ok || string(raw) == "null" {
		reader.failf(path+key, "is missing")
	} else if err := json.Unmarshal(raw, &value); err != nil {
		reader.failf(path+key, "has the wrong type: %v", DescribeJSONError(err))
	}
	return value
}

// optional decodes the value of a key that may be absent.
func optional[T any](reader *settingsReader, values object, path, key string) T {
	if raw, ok := values[key]; ok && string(raw) != "null" {
		return required[T](reader, object{key: raw}, path, key)
	}
	var zero T
	return zero
}

// DescribeJSONError names the expected and the found JSON type instead of Go types if err is a type
// mismatch. It returns any other error unchanged.
func DescribeJSONError(err error) error {
	var mismatch *json.UnmarshalTypeError
	if !errors.As(err, &mismatch) {
		return err
	}
	found, isLiteral := strings.CutPrefix(mismatch.Value, "number ")
	if isLiteral {
		found = "the number " + found
	} else {
		found = jsonTypes[found]
	}
	return fmt.Errorf("expected %s, found %s", jsonTypeOf(mismatch.Type), found)
}

// jsonTypes has the type names of json.UnmarshalTypeError.
var jsonTypes = map[string]string{"array": "an array", "bool": "a boolean", "number": "a number", "object": "an object", "string": "a string"}

// jsonTypeOf returns the JSON type that is decoded into a Go type.
func jsonTypeOf(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "a boolean"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a non-negative integer"
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return "an integer"
	case reflect.Slice, reflect.Array:
		return "an array"
	}
	return "an object"
}

// maxMicroseconds bounds the times of the settings, at about 31 years.
const maxMicroseconds = 1e15

// MicrosecondsToDuration converts a time of the settings. Its error reads as the end of a sentence
// that begins with the key.
func MicrosecondsToDuration(count float64) (time.Duration, error) {
	if !(count >= 0 && count <= maxMicroseconds) {
		return 0, fmt.Errorf("is %v microseconds, but must be between 0 and 1e15", count)
	}
	return time.Duration(count) * time.Microsecond, nil
}

// duration is MicrosecondsToDuration with the error added for a key.
func (r *settingsReader) duration(key string, count float64) time.Duration {
	duration, err := MicrosecondsToDuration(count)
	if err != nil {
		r.failf(key, "%v", err)
	}
	return duration
}

// requiredDuration decodes the time of a mandatory key.
func requiredDuration(reader *settingsReader, values object, path, key string) time.Duration {
	return reader.duration(path+key, required[float64](reader, values, path, key))
}

// positiveDuration decodes a time that must be positive.
func positiveDuration(reader *settingsReader, values object, path, key string) time.Duration {
	duration := requiredDuration(reader, values, path, key)
	if duration <= 0 {
		reader.failf(path+key, "must be greater than 0")
	}
	return duration
}

// semanticsWords has the values of Classes[].Semantics.
var semanticsWords = map[string]balancer.DeliverySemantics{
	"idempotent":   balancer.Idempotent,
	"deduplicated": balancer.Deduplicated,
	"at_most_once": balancer.AtMostOnce,
}

// scopeWords has the values of Classes[].KeyScope.
var scopeWords = map[string]balancer.DeduplicationScope{
	"all":  balancer.ScopeAll,
	"zone": balancer.ScopeZone,
	"cell": balancer.ScopeCell,
}

// lookUp returns the value of a word, and adds an error for the key at path if it is unknown.
func lookUp[T any](reader *settingsReader, words map[string]T, path, word string) T {
	value, ok := words[word]
	if !ok {
		reader.failf(path, "has the unknown value %q", word)
	}
	return value
}

// ParseSettings parses the JSON settings of an instance. It returns KeyErrors if keys are missing or
// have invalid values.
func ParseSettings(text []byte) (balancer.Settings, error) {
	var values object
	if err := json.Unmarshal(text, &values); err != nil {
		return balancer.Settings{}, fmt.Errorf("settings are not a JSON object: %w", DescribeJSONError(err))
	}
	reader := &settingsReader{}
	settings, specifics := readSettings(reader, values)
	checkSettings(reader, settings)
	settings.Tenants = readTenants(reader, values)
	settings.Classes = readClasses(reader, values, optional[[]float64](reader, specifics, "Specifics.", "MessageAimUs"))
	if len(reader.keyErrors) > 0 {
		return balancer.Settings{}, reader.keyErrors
	}
	return settings, settings.Validate()
}

// readSettings reads all settings but the tenants and classes, and returns the object Specifics.
func readSettings(reader *settingsReader, values object) (settings balancer.Settings, specifics object) {
	limits := required[object](reader, values, "", "Limits")
	guarantees := required[object](reader, values, "", "Guarantees")
	costs := optional[object](reader, values, "", "Costs")
	specifics = optional[object](reader, values, "", "Specifics")
	settings = balancer.Settings{
		RelayCount:      required[int](reader, values, "", "NInstances"),
		Zone:            required[int](reader, values, "", "Zone"),
		ClockResolution: requiredDuration(reader, values, "", "QuantumUs"),
		PollList: lookUp(reader, map[string]bool{"push": false, "ask": true}, "Discovery",
			required[string](reader, values, "", "Discovery")),
		MaxAttempts:       required[int](reader, limits, "Limits.", "TryLimit"),
		ConnectTimeout:    requiredDuration(reader, limits, "Limits.", "ConnectTimeoutUs"),
		InitialCapacity:   required[float64](reader, guarantees, "Guarantees.", "StartCapacity"),
		SlowStartDuration: requiredDuration(reader, guarantees, "Guarantees.", "ColdUs"),
		OverloadMultiple:  required[float64](reader, guarantees, "Guarantees.", "TipMultiple"),
		OverloadWindow:    positiveDuration(reader, guarantees, "Guarantees.", "FallUs"),
		CrossZoneCost:     optional[float64](reader, costs, "Costs.", "CrossZone"),
	}
	if optional[bool](reader, limits, "Limits.", "RetryAfter") {
		settings.MaxRetryAfter = requiredDuration(reader, limits, "Limits.", "MaxRetryAfterUs")
	}
	if settings.PollList {
		settings.PollInterval = positiveDuration(reader, guarantees, "Guarantees.", "AskEveryUs")
	}
	settings.ReportsLoad, settings.ReportsDelay = reports(reader, specifics, "TellsLoad"), reports(reader, specifics, "TellsDelay")
	return settings, specifics
}

// checkSettings adds errors for invalid values.
func checkSettings(reader *settingsReader, settings balancer.Settings) {
	if settings.CrossZoneCost < 0 {
		reader.failf("Costs.CrossZone", "is %v, but must not be negative", settings.CrossZoneCost)
	}
	if settings.MaxAttempts < 1 {
		reader.failf("Limits.TryLimit", "must be greater than 0")
	}
	if settings.RelayCount < 1 {
		reader.failf("NInstances", "must be greater than 0")
	}
	if !(settings.InitialCapacity > 0 && settings.InitialCapacity <= 1) {
		reader.failf("Guarantees.StartCapacity", "is %v, but must be greater than 0 and at most 1", settings.InitialCapacity)
	}
	if !(settings.OverloadMultiple > 0) {
		reader.failf("Guarantees.TipMultiple", "must be greater than 0")
	}
}

// readTenants reads the names of the tenants.
func readTenants(reader *settingsReader, values object) (names []string) {
	for i, entry := range optional[[]object](reader, values, "", "Customers") {
		path := fmt.Sprintf("Customers[%d].", i)
		name := required[string](reader, entry, path, "Name")
		switch share := optional[float64](reader, entry, path, "Share"); {
		case share < 0 || share > 1:
			reader.failf(path+"Share", "is %v, but must be between 0 and 1", share)
		case name == "":
			reader.failf(path+"Name", "is empty")
		case slices.Contains(names, name):
			reader.failf(path+"Name", "%q is already the name of another tenant", name)
		}
		names = append(names, name)
	}
	return names
}

// reports reads whether endpoints report loads or delays, which defaults to true.
func reports(reader *settingsReader, specifics object, key string) bool {
	if raw, ok := specifics[key]; !ok || string(raw) == "null" {
		return true
	}
	return required[bool](reader, specifics, "Specifics.", key)
}

// readClasses reads the classes. messageObjectives has their message latency objectives in
// microseconds, in the order of the classes.
func readClasses(reader *settingsReader, values object, messageObjectives []float64) []balancer.Class {
	var classes []balancer.Class
	given := required[[]object](reader, values, "", "Classes")
	if len(given) == 0 {
		reader.failf("Classes", "is empty")
	}
	for i, entry := range given {
		path := fmt.Sprintf("Classes[%d].", i)
		class := balancer.Class{
			Name:             optional[string](reader, entry, path, "Name"),
			LatencyObjective: requiredDuration(reader, entry, path, "AimUs"),
			Deadline:         positiveDuration(reader, entry, path, "DeadlineUs"),
			Semantics:        lookUp(reader, semanticsWords, path+"Semantics", required[string](reader, entry, path, "Semantics")),
		}
		if class.Semantics == balancer.Deduplicated {
			class.DeduplicationScope = lookUp(reader, scopeWords, path+"KeyScope", required[string](reader, entry, path, "KeyScope"))
			class.DeduplicationWindow = positiveDuration(reader, entry, path, "MemorySpanUs")
		}
		if i < len(messageObjectives) {
			class.MessageLatencyObjective = reader.duration(fmt.Sprintf("Specifics.MessageAimUs[%d]", i), messageObjectives[i])
		}
		classes = append(classes, class)
	}
	return classes
}
