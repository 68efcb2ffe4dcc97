package fake

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestParseScript(t *testing.T) {
	servers := []string{"s-1", "s-2"}
	actions, err := ParseScript(`; a comment
(at 2s (drop 30))
(at 1s (slow s-1 250ms 4s)) (at 1s (restart "s-2" 3s))`, servers)
	want := []ScriptedAction{{At: time.Second, Kind: "slow", Server: "s-1", Delay: 250 * time.Millisecond, Duration: 4 * time.Second},
		{At: time.Second, Kind: "restart", Server: "s-2", Duration: 3 * time.Second}, {At: 2 * time.Second, Kind: "drop", Share: 0.3}}
	if err != nil || fmt.Sprint(actions) != fmt.Sprint(want) {
		t.Errorf("got actions %v, error %v; want %v", actions, err, want)
	}
	for source, want := range map[string]string{
		"(at 1s)":                  "line 1, column 1: expected (at TIME (ACTION ...))",
		"(in 1s (drain s-1))":      "line 1, column 1: expected (at TIME",
		"(at soon (drain s-1))":    `line 1, column 5: "soon" is not a duration`,
		"(at 1s (melt s-1))":       `line 1, column 8: unknown action "melt"`,
		"(at 1s (drain s-3))":      `line 1, column 15: unknown server "s-3"`,
		"(at 1s (hang s-1))":       "line 1, column 8: hang takes arguments [SERVER TIME], got 1",
		"(at 1s (drop 101))":       "line 1, column 14: 101 is more than 100",
		"(at 1s\n  (drop lots))":   `line 2, column 9: "lots" is not a whole number`,
		"(at 1s (hang s-1 often))": `line 1, column 18: "often" is not a duration`,
		"(at 1s drain)":            "line 1, column 8: drain stands where a list is expected",
	} {
		if actions, err := ParseScript(source, servers); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%s: got actions %v, error %v; want error %s", source, actions, err, want)
		}
	}
}
