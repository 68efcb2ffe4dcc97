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

// validator collects the problems of one file, and knows the lines of its keys.
type validator struct {
	file     string
	lines    map[string]int // by keys in lower case
	problems Problems
}

// add adds a problem of a key, at its line. Where the key is missing, the line is that of the object or table that lacks it.
func (v *validator) add(key, format string, args ...any) {
	in := strings.ToLower(key)
	for v.lines[in] == 0 && strings.ContainsAny(in, ".[") {
		in = in[:strings.LastIndexAny(in, ".[")]
	}
	v.addAt(v.lines[in], key, fmt.Sprintf(format, args...))
}

func (v *validator) addAt(line int, key, what string) {
	v.problems = append(v.problems, &Problem{File: v.file, Line: line, Key: key, Message: what})
}

// checkAddress adds what is wrong with a host:port. It returns the port, and whether the text is a host:port.
func (v *validator) checkAddress(key, text string) (port string, ok bool) {
	_, port, err := net.SplitHostPort(text)
	if err != nil {
		v.add(key, "%q is no host:port: %v", text, err)
	}
	return port, err == nil
}

// addSettingsErrors adds what is wrong with the settings of the platform, each under its own key.
func (v *validator) addSettingsErrors(err error) {
	var keys simprotocol.KeyErrors
	if !errors.As(err, &keys) {
		v.add("settings", "%s", strings.TrimPrefix(err.Error(), "settings: "))
	}
	for _, e := range keys {
		v.add("settings."+e.Key, "%s", e.What)
	}
}

// requireKeysOf adds the keys that the file in force has and this one lacks.
func (v *validator) requireKeysOf(text, inForce []byte) {
	var before, now map[string]any
	if json.Unmarshal(inForce, &before) == nil && json.Unmarshal(text, &now) == nil {
		v.addMissingKeys("", before, now)
	}
}

// addMissingKeys adds the keys that an object had before and lacks now. It looks at objects within objects, not at those in
// lists: a class or an endpoint that is left out is no missing key.
func (v *validator) addMissingKeys(path string, before, now map[string]any) {
	for _, key := range slices.Sorted(maps.Keys(before)) {
		at := path + key
		value, has := now[key]
		if !has {
			if !slices.ContainsFunc(v.problems, func(p *Problem) bool { return p.Key == at }) {
				v.add(at, "is missing; the file in force has it")
			}
			continue
		}
		if old, is := before[key].(map[string]any); is {
			if object, is := value.(map[string]any); is {
				v.addMissingKeys(at+".", old, object)
			}
		}
	}
}

// decodeTOML decodes a file that may have known keys alone. It reports whether the rest of the file can be validated.
func (v *validator) decodeTOML(text []byte, into any) bool {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(into)
	var unknown *toml.StrictMissingError
	var malformed *toml.DecodeError
	switch {
	case errors.As(err, &unknown):
		for _, e := range unknown.Errors {
			line, _ := e.Position()
			v.addAt(line, strings.Join(e.Key(), "."), "there is no such key")
		}
	case errors.As(err, &malformed):
		line, _ := malformed.Position()
		v.addAt(line, strings.Join(malformed.Key(), "."), strings.TrimPrefix(malformed.Error(), "toml: "))
		return false // what follows it has not been read
	case err != nil:
		v.addAt(0, "", err.Error())
		return false
	}
	return true
}

// addJSONError adds what is wrong with a text that can't be decoded as JSON.
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
