package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Differences compares two platform configurations, given as JSON, and returns one line per changed value,
// sorted by key. It returns nil if either is not valid JSON.
func Differences(before, after []byte) []string {
	var treeBefore, treeAfter any
	valuesBefore, valuesAfter := make(map[string]string), make(map[string]string)
	if json.Unmarshal(before, &treeBefore) == nil && json.Unmarshal(after, &treeAfter) == nil {
		flatten(valuesBefore, "", treeBefore)
		flatten(valuesAfter, "", treeAfter)
	}
	return differences(valuesBefore, valuesAfter, platformReloads)
}

// Differences compares the site file with a replacement and returns one line per changed value, sorted by key.
func (s *Site) Differences(next *Site) []string {
	return differences(s.values, next.values, siteReloads)
}

// platformReloads reports whether a reload applies changes of a key of the platform configuration; other keys
// need a restart.
func platformReloads(key string) bool {
	return key == "discovery" || strings.HasPrefix(key, "settings.")
}

// siteReloads reports whether a reload applies changes of a key of a site file; other keys need a restart.
func siteReloads(key string) bool {
	switch key {
	case "limits.attempts", "limits.per_address", "limits.rate", "limits.burst", "limits.fair":
		return true
	case "health.probe":
		return false
	}
	return strings.HasPrefix(key, "server[") || strings.HasPrefix(key, "class[") || strings.HasPrefix(key, "health.")
}

// flatten adds each value of a decoded file to values, by key path. Paths identify a table in a list by its name
// or address rather than its index, so that removing one doesn't change the paths of the others.
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

// elementName returns the identifier of a list element in key paths: the value of the last key below that it
// has, or else its index.
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

// differences returns a line for each key that was changed, added or removed. reloads reports whether a reload
// applies changes of a key.
func differences(before, after map[string]string, reloads func(key string) bool) (lines []string) {
	keys := slices.Collect(maps.Keys(before))
	for key := range after {
		if _, had := before[key]; !had {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		oldValue, had := before[key]
		newValue, has := after[key]
		if had && has && oldValue == newValue {
			continue
		}
		line := fmt.Sprintf("%s: changed from %q to %q", key, oldValue, newValue)
		switch {
		case !had:
			line = fmt.Sprintf("%s: added, now %q", key, newValue)
		case !has:
			line = fmt.Sprintf("%s: removed, was %q", key, oldValue)
		}
		if !reloads(key) {
			line += " (requires a restart)"
		}
		lines = append(lines, line)
	}
	return lines
}
