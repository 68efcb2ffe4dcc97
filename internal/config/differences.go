package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Differences returns what a platform's configuration changes against another, a line each, in the order of their keys. It
// compares the texts that the two were read from, and returns nothing where one of them is no JSON.
func Differences(before, after []byte) []string {
	var treeBefore, treeAfter any
	valuesBefore, valuesAfter := make(map[string]string), make(map[string]string)
	if json.Unmarshal(before, &treeBefore) == nil && json.Unmarshal(after, &treeAfter) == nil {
		flatten(valuesBefore, "", treeBefore)
		flatten(valuesAfter, "", treeAfter)
	}
	return differences(valuesBefore, valuesAfter, platformReloads)
}

// Differences returns what another site's file changes against this one, a line each, in the order of their keys.
func (s *Site) Differences(next *Site) []string {
	return differences(s.values, next.values, siteReloads)
}

// platformReloads reports whether a reload puts a key of the platform's configuration in force; all others need a restart.
func platformReloads(key string) bool {
	return key == "discovery" || strings.HasPrefix(key, "settings.")
}

// siteReloads reports whether a reload puts a key of a site's file in force; all others need a restart.
func siteReloads(key string) bool {
	switch key {
	case "limits.attempts", "limits.per_address", "limits.rate", "limits.burst", "limits.fair":
		return true
	case "health.probe":
		return false
	}
	return strings.HasPrefix(key, "server[") || strings.HasPrefix(key, "class[") || strings.HasPrefix(key, "health.")
}

// flatten adds each value of a decoded file to values, by its whole key. An element of a list of tables goes by its name or
// address, not its index, so that one which is taken out changes no other.
func flatten(values map[string]string, path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for key, field := range value {
			flatten(values, strings.TrimPrefix(path+"."+key, "."), field)
		}
	case []any:
		for i, element := range value {
			flatten(values, fmt.Sprintf("%s[%v]", path, elementName(i, element)), element)
		}
	default:
		values[path] = fmt.Sprint(value)
	}
}

// elementName returns what an element of a list goes by: the last of the keys below that it has, or its index.
func elementName(index int, element any) any {
	name := any(index)
	if table, isTable := element.(map[string]any); isTable {
		for _, key := range []string{"address", "id", "name", "Name"} {
			if table[key] != nil {
				name = table[key]
			}
		}
	}
	return name
}

// differences returns a line for each key whose value differs, or that one of the two lacks. reloads reports whether a reload
// puts a key in force.
func differences(before, after map[string]string, reloads func(key string) bool) (lines []string) {
	keys := slices.Collect(maps.Keys(before))
	for key := range after {
		if _, had := before[key]; !had {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		was, had := before[key]
		is, has := after[key]
		if had && has && was == is {
			continue
		}
		line := fmt.Sprintf("%s: %q becomes %q", key, was, is)
		switch {
		case !had:
			line = fmt.Sprintf("%s: %q is new", key, is)
		case !has:
			line = fmt.Sprintf("%s: %q goes", key, was)
		}
		if !reloads(key) {
			line += " (with the next start only)"
		}
		lines = append(lines, line)
	}
	return lines
}
