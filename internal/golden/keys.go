package golden

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// EachKey calls visit for each key in a decoded JSON tree, in a fixed order. set replaces the
// key's value, remove deletes the key, and restore undoes both.
func EachKey(tree any, visit func(path string, value any, set func(any), remove, restore func())) {
	eachKey(tree, "", visit)
}

func eachKey(tree any, path string, visit func(path string, value any, set func(any), remove, restore func())) {
	switch tree := tree.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(tree)) {
			value, at := tree[key], path+key
			visit(at, value, func(other any) { tree[key] = other }, func() { delete(tree, key) }, func() { tree[key] = value })
			eachKey(value, at+".", visit)
		}
	case []any:
		for i, element := range tree {
			eachKey(element, fmt.Sprintf("%s[%d].", strings.TrimSuffix(path, "."), i), visit)
		}
	}
}
