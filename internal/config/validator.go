package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
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
		line, _ := malformed.Position()
		v.addAt(line, strings.Join(malformed.Key(), "."), strings.TrimPrefix(malformed.Error(), "toml: "))
		return false // the decoder stops at the first malformed value
	case err != nil:
		v.addAt(0, "", err.Error())
		return false
	}
	return true
}

// addJSONError adds an error of decoding text as JSON, with its line.
func (v *validator) addJSONError(text []byte, err error) {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		v.addAt(lineAt(text, syntax.Offset), "", syntax.Error())
	case errors.As(err, &wrongType):
		v.addAt(lineAt(text, wrongType.Offset), wrongType.Field, fmt.Sprintf("is a %s; expected %s", wrongType.Value, wrongType.Type))
	default:
		v.addAt(lineAt(text, int64(len(text))), "", err.Error())
	}
}
