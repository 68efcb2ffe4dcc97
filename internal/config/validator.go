package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"reflect"
	"regexp"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"lockroad/internal/simprotocol"
)

// validator collects the problems of one file.
type validator struct {
	file     string
	lines    map[string]int // line numbers, by key path in lower case
	problems Problems
}

// add adds a problem with the line of its key or, if the key is missing, of the closest enclosing object or table.
func (v *validator) add(key, format string, args ...any) {
	path := strings.ToLower(key)
	for v.lines[path] == 0 && strings.ContainsAny(path, ".[") {
		path = path[:strings.LastIndexAny(path, ".[")]
	}
	v.addAt(v.lines[path], key, fmt.Sprintf(format, args...))
}

func (v *validator) addAt(line int, key, message string) {
	v.problems = append(v.problems, &Problem{File: v.file, Line: line, Key: key, Message: message})
}

// checkAddress adds a problem if the address isn't a host:port. It returns the port, and whether the address is
// valid.
func (v *validator) checkAddress(key, address string) (port string, ok bool) {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		v.add(key, "%q is not a host:port address: %v", address, err)
	}
	return port, err == nil
}

// addSettingsErrors adds the errors of decoding the platform's settings, each under its own key.
func (v *validator) addSettingsErrors(err error) {
	var keys simprotocol.KeyErrors
	if !errors.As(err, &keys) {
		v.add("settings", "%s", strings.TrimPrefix(err.Error(), "settings: "))
	}
	for _, e := range keys {
		v.add("settings."+e.Key, "%s", e.Problem)
	}
}

// requireKeysOf adds a problem for each key that the file in force has and text lacks.
func (v *validator) requireKeysOf(text, inForce []byte) {
	var before, after map[string]any
	if json.Unmarshal(inForce, &before) == nil && json.Unmarshal(text, &after) == nil {
		v.addMissingKeys("", before, after)
	}
}

// addMissingKeys adds a problem for each key of before that after lacks. It descends into nested objects but not
// into lists: removing a class or an endpoint is a valid change.
func (v *validator) addMissingKeys(parent string, before, after map[string]any) {
	for _, key := range slices.Sorted(maps.Keys(before)) {
		path := parent + key
		value, has := after[key]
		if !has {
			if !slices.ContainsFunc(v.problems, func(p *Problem) bool { return p.Key == path }) {
				v.add(path, "is missing, but set in the configuration in force")
			}
			continue
		}
		if oldObject, isObject := before[key].(map[string]any); isObject {
			if object, isObject := value.(map[string]any); isObject {
				v.addMissingKeys(path+".", oldObject, object)
			}
		}
	}
}

// decodeTOML decodes a file and rejects unknown keys. It reports whether the decoded values can be validated further.
func (v *validator) decodeTOML(text []byte, target any) bool {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(target)
	var unknown *toml.StrictMissingError
	var malformed *toml.DecodeError
	switch {
	case errors.As(err, &unknown):
		for _, e := range unknown.Errors {
			line, _ := e.Position()
			v.addAt(line, strings.Join(e.Key(), "."), "unknown key")
		}
	case errors.As(err, &malformed):
		line, column := malformed.Position()
		key := v.indexedKey(strings.Join(malformed.Key(), "."), line) + tomlInnerPath(text, line, column)
		v.addAt(line, key, describeTOMLError(malformed))
		return false // the decoder stops at the first malformed value
	case err != nil:
		v.addAt(0, "", err.Error())
		return false
	}
	return true
}

// indexedKey inserts the indexes of arrays of tables into the key of the value at a line of a TOML file.
func (v *validator) indexedKey(key string, line int) string {
	indexed, keyLine := "", 0
	for path, at := range v.lines {
		if at > keyLine && at <= line && tableIndexes.ReplaceAllString(path, "") == strings.ToLower(key) {
			indexed, keyLine = path, at
		}
	}
	parts := strings.Split(key, ".")
	for i, part := range strings.Split(indexed, ".") {
		parts[i] += tableIndexes.FindString(part)
	}
	return strings.Join(parts, ".")
}

var tableIndexes = regexp.MustCompile(`\[\d+\]`)

// tomlMismatch matches the texts of type mismatches, for which the decoder has no error type.
var tomlMismatch = regexp.MustCompile(`^toml: cannot (?:decode TOML|store an?) (.+?) (?:into|in a) (?:struct field .* of type )?(.+)$`)

// describeTOMLError names the expected and the found TOML type instead of Go types if err is a type mismatch. It
// returns the text of any other error.
func describeTOMLError(err *toml.DecodeError) string {
	match := tomlMismatch.FindStringSubmatch(err.Error())
	if match == nil {
		return strings.TrimPrefix(err.Error(), "toml: ")
	}
	found, ok := tomlTypes[match[1]]
	if !ok {
		found = "a date or time"
	}
	expected := tomlTypeOf(match[2])
	if match[2] == "int64" && strings.Contains(found, "table") { // can be a duration, of which the text has only the kind
		expected = "a single value"
	}
	return fmt.Sprintf("expected %s, found %s", expected, found)
}

// tomlTypes has the decoder's type names except for those of dates and times.
var tomlTypes = map[string]string{"array": "an array", "array table": "an array of tables", "boolean": "a boolean", "float": "a float",
	"inline table": "a table", "integer": "an integer", "string": "a string", "table": "a table"}

// tomlTypeOf returns the TOML type that is decoded into a Go type.
func tomlTypeOf(goType string) string {
	switch {
	case goType == "string":
		return "a string"
	case goType == "bool":
		return "a boolean"
	case goType == "float64":
		return "a number"
	case goType == "int" || goType == "int64":
		return "an integer"
	case goType == reflect.TypeFor[duration]().String():
		return `a duration such as "5s"`
	case strings.HasPrefix(goType, "[]struct"), goType == "[]auth.Grant":
		return "an array of tables"
	case strings.HasPrefix(goType, "[]"):
		return "an array"
	}
	return "a table"
}

// addJSONError adds an error of decoding text as JSON, with its line.
func (v *validator) addJSONError(text []byte, err error) {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		v.addAt(lineAt(text, syntax.Offset), "", syntax.Error())
	case errors.As(err, &wrongType):
		v.addAt(lineAt(text, wrongType.Offset), jsonPathAt(text, wrongType.Offset), simprotocol.DescribeJSONError(wrongType).Error())
	default:
		v.addAt(lineAt(text, int64(len(text))), "", err.Error())
	}
}
