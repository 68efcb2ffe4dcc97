package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Differences returns what a platform's configuration changes against another, a line each; it compares the texts that the two were
// read from. It returns nothing where one of them is no JSON.
func Differences(before, after []byte) []string {
	var treeBefore, treeAfter any
	was, is := make(map[string]string), make(map[string]string)
	if json.Unmarshal(before, &treeBefore) == nil && json.Unmarshal(after, &treeAfter) == nil {
		flatten(was, "", treeBefore)
		flatten(is, "", treeAfter)
	}
	return differences(was, is, func(key string) bool { return key == "discovery" || strings.HasPrefix(key, "settings.") })
}

// Differences returns what another site's file changes against this one, a line each.
func (s *Site) Differences(next *Site) []string {
	return differences(s.values, next.values, takesEffectAtReload)
}

// flatten writes each value of a tree under its whole key. Of a list of tables each goes by its name or address.
func flatten(into map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for key, x := range v {
			flatten(into, strings.TrimPrefix(path+"."+key, "."), x)
		}
	case []any:
		for i, x := range v {
			name := any(i)
			if table, is := x.(map[string]any); is {
				for _, key := range []string{"address", "id", "name", "Name"} {
					if table[key] != nil {
						name = table[key]
					}
				}
			}
			flatten(into, fmt.Sprintf("%s[%v]", path, name), x)
		}
	default:
		into[path] = fmt.Sprint(v)
	}
}

// takesEffectAtReload are the keys of a site's file that a reload puts in force; all others want a restart.
func takesEffectAtReload(key string) bool {
	if slices.Contains([]string{"limits.per_address", "limits.rate", "limits.burst", "limits.fair"}, key) {
		return true
	}
	return strings.HasPrefix(key, "server[") || strings.HasPrefix(key, "class[") || key == "limits.attempts" || strings.HasPrefix(key, "health.") && key != "health.probe"
}

// differences are what another file changes, a line each; those that are not live want a restart.
func differences(before, after map[string]string, live func(key string) bool) (all []string) {
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
		if !live(key) {
			line += " (with the next start only)"
		}
		all = append(all, line)
	}
	return all
}
