package config

import (
	"cmp"
	"fmt"
	"os"
	"time"
)

const (
	maxRereads  = 5                     // of a file that is replaced while it is read
	rereadDelay = 10 * time.Millisecond // between two
)

// readStable reads a file. Where that is replaced or written meanwhile, what was read may be part of the one and part of the
// other: it is read again, up to maxRereads times.
func readStable(path string) ([]byte, error) {
	for i := 0; ; i++ {
		before, statErr := os.Stat(path)
		text, readErr := os.ReadFile(path)
		after, againErr := os.Stat(path)
		if err := cmp.Or(statErr, readErr, againErr); err != nil {
			return nil, fmt.Errorf("configuration: %w", err)
		}
		unchanged := os.SameFile(before, after) && before.ModTime().Equal(after.ModTime()) && after.Size() == int64(len(text))
		if unchanged || i == maxRereads {
			return text, nil
		}
		time.Sleep(rereadDelay)
	}
}
