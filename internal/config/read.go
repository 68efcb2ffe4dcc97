package config

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"
)

const (
	maxRereads  = 5                     // of a file that is replaced while it is read
	rereadDelay = 10 * time.Millisecond // between two
)

// readStable reads a file as it stands. It guards against one that is written anew while
// it is read: what is read then is part of the one and part of the other.
func readStable(path string) ([]byte, error) {
	for i := 0; ; i++ {
		before, err1 := os.Stat(path)
		text, err2 := os.ReadFile(path)
		after, err3 := os.Stat(path)
		if err := cmp.Or(err1, err2, err3); err != nil {
			return nil, fmt.Errorf("configuration: %w", err)
		}
		same := os.SameFile(before, after) && before.ModTime().Equal(after.ModTime()) && after.Size() == int64(len(text))
		if same || i == maxRereads {
			return text, nil
		}
		time.Sleep(rereadDelay)
	}
}

// requireKeysOf adds the keys that the file in force has and this one lacks.
func (f *validator) requireKeysOf(text, inForce []byte) {
	var before, now map[string]any
	if json.Unmarshal(inForce, &before) == nil && json.Unmarshal(text, &now) == nil {
		f.addMissingKeys("", before, now)
	}
}

// addMissingKeys adds the keys that an object had and has no more. It looks at objects within
// objects, not at those in lists: a class or a server that is left out is no missing key.
func (f *validator) addMissingKeys(path string, before, now map[string]any) {
	for _, key := range slices.Sorted(maps.Keys(before)) {
		at := path + key
		value, has := now[key]
		if !has {
			if !slices.ContainsFunc(f.problems, func(p *Problem) bool { return p.Key == at }) {
				f.add(at, "is missing; the file in force has it")
			}
			continue
		}
		if old, is := before[key].(map[string]any); is {
			if object, is := value.(map[string]any); is {
				f.addMissingKeys(at+".", old, object)
			}
		}
	}
}
