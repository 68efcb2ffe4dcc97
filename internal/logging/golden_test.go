package logging

import (
	"testing"
	"testing/synctest"
	"time"

	"lockroad/internal/golden"
)

// Log collectors parse these lines, so their formats must not change.
func TestLineFormatsAreStable(t *testing.T) {
	local := time.Local
	time.Local = time.UTC // log times are in local time
	defer func() { time.Local = local }()
	synctest.Test(t, func(t *testing.T) {
		for _, format := range Formats() {
			var output buffer
			logger := New(Options{Level: "debug", Format: format}, &output)
			logger.With("number", 7).Debug("a word", "text", "two words", "took", 1500*time.Millisecond)
			logger.Info("a word", "share", 0.5, "yes", true)
			logger.Warn("a word")
			logger.Error("a word", "error", "broken")
			logger.Close()
			golden.Compare(t, "lines-"+format+".txt", output.String())
		}
	})
}
