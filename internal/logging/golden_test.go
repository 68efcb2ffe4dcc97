package logging

import (
	"testing"
	"testing/synctest"
	"time"

	"lockroad/internal/golden"
)

// The three forms of a line of the log.
func TestLineFormsAreStable(t *testing.T) {
	local := time.Local
	time.Local = time.UTC // times are written in the machine's zone
	defer func() { time.Local = local }()
	synctest.Test(t, func(t *testing.T) {
		for _, form := range Formats() {
			var b buffer
			l := New(Options{Level: "debug", Format: form}, &b)
			l.With("number", 7).Debug("a word", "text", "two words", "took", 1500*time.Millisecond)
			l.Info("a word", "share", 0.5, "yes", true)
			l.Warn("a word")
			l.Error("a word", "error", "broken")
			l.Close()
			golden.Compare(t, "lines-"+form+".txt", b.String())
		}
	})
}
