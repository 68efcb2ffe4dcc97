package config

import (
	"cmp"
	"fmt"
	"os"
	"time"
)

const (
	maxRereads  = 5                     // retries for a file that changes while it is read
	rereadDelay = 10 * time.Millisecond // between retries
)

// readStable reads a file. If the file is replaced or written while it is read, the content may mix old and new,
// so it is read again, up to maxRereads times.
func readStable(path string) ([]byte, error) {
	for i := 0; ; i++ {
		before, statErr := os.Stat(path)
		text, readErr := os.ReadFile(path)
		after, secondStatErr := os.Stat(path)
		if err := cmp.Or(statErr, readErr, secondStatErr); err != nil {
			return nil, fmt.Errorf("read configuration: %w", err)
		}
		unchanged := os.SameFile(before, after) && before.ModTime().Equal(after.ModTime()) && after.Size() == int64(len(text))
		if unchanged || i == maxRereads {
			return text, nil
		}
		time.Sleep(rereadDelay)
	}
}
