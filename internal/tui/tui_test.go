package tui

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	tea "github.com/charmbracelet/bubbletea"
	"github.com/mattn/go-runewidth"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// fakeRelay answers commands with fixed texts, and records the commands. If unreachable is set, it returns an error.
type fakeRelay struct {
	commands    []string
	unreachable bool
}

func (r *fakeRelay) run(command string) (string, error) {
	r.commands = append(r.commands, command)
	if r.unreachable {
		return "", errors.New("no relay answers at /run/x\n") //nolint:revive // errors of the console end in a newline
	}
	switch command {
	case "servers":
		return "SERVER  STATE                 TRANSACTIONS  ADDRESS\ns-1     ready                 14            10.0.0.5:4000\ns-2     draining, as ordered  3             10.0.0.6:4000\nevil\x1b[2J\u202ename  ready  0  10.0.0.7:4000\n楽譜サーバ  ready  1  10.0.0.8:4000\n", nil
	case "transactions":
		text := "NUMBER  FRONT  NAME  CLASS\n"
		for i := range 40 {
			text += fmt.Sprintf("%d  line  name-%d  page-render\n", i+1, i)
		}
		return text, nil
	case "status --json":
		return `{"relay":"music-room","transactions":99,"waiting":1,"out":2,"open":37}` + "\n", nil
	case "servers --json":
		return `{"server":"s-1","delay":0.0123}` + "\n" + `{"server":"s-2","delay":null}` + "\n", nil
	case "why 3":
		return "transaction 3, front line\n  received at 10:00:00\n", nil
	case "drain s-2 because of the console", "drain s-2 because the console":
		return "", nil
	}
	return "s-2 drains: it gets no new transactions\n", nil
}

// send updates a model with messages and runs the commands that Update returns, except the wait for the next refresh.
func send(model tea.Model, msgs ...tea.Msg) tea.Model {
	for _, msg := range msgs {
		var cmd tea.Cmd
		model, cmd = model.Update(msg)
		if _, isLoad := msg.(pageLoaded); cmd != nil && !isLoad {
			if next := cmd(); next != nil {
				model = send(model, next)
			}
		}
	}
	return model
}

// press returns the message of a key.
func press(key string) tea.Msg {
	switch key {
	case "down":
		return tea.KeyMsg{Type: tea.KeyDown}
	case "tab":
		return tea.KeyMsg{Type: tea.KeyTab}
	}
	return tea.KeyMsg{Type: tea.KeyRunes, Runes: []rune(key)}
}

// The screens match the golden files, which go test ./internal/tui -update writes. Every line has the terminal's width.
func TestScreensAreStable(t *testing.T) {
	for _, screen := range []struct {
		name          string
		width, height int
		keys          []string
	}{
		{"servers", defaultWidth, defaultHeight, nil}, {"drain", defaultWidth, defaultHeight, []string{"down", "d"}}, {"transactions", defaultWidth, defaultHeight, []string{"2", "down", "down"}},
		{"why", defaultWidth, defaultHeight, []string{"tab", "down", "down", "w"}}, {"help", defaultWidth, defaultHeight, []string{"?"}}, {"stop", defaultWidth, defaultHeight, []string{"6", "S"}}, {"narrow", 20, 10, []string{"down"}}, {"wider", 120, 30, nil}, {"too-small", 19, 24, nil},
	} {
		t.Run(screen.name, func(t *testing.T) {
			relay := &fakeRelay{}
			var model tea.Model = New("music-room", relay.run)
			model = send(model, tea.WindowSizeMsg{Width: screen.width, Height: screen.height}, model.Init()())
			for _, key := range screen.keys {
				model = send(model, press(key))
			}
			got := model.View()
			if screen.name != "too-small" {
				lines := strings.Split(got, "\n")
				if len(lines) != screen.height {
					t.Errorf("the screen has %d lines, want %d", len(lines), screen.height)
				}
				for _, line := range lines {
					if width := runewidth.StringWidth(line); width != screen.width {
						t.Errorf("a line has width %d, want %d: %q", width, screen.width, line)
					}
				}
			}
			if strings.ContainsAny(got, "\x1b\u202e") {
				t.Error("the screen has control characters of a server's name")
			}
			file := filepath.Join("testdata", screen.name+".txt")
			if *update {
				if err := os.MkdirAll("testdata", 0o755); err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(file, []byte(got+"\n"), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			if want, err := os.ReadFile(file); err != nil || string(want) != got+"\n" {
				t.Errorf("the screen differs from %s (%v); got\n%s", file, err, got)
			}
		})
	}
}

// A command runs only once it is confirmed, and for the selected endpoint. An unreachable relay is reported until it
// answers again.
func TestKeysRunCommands(t *testing.T) {
	relay := &fakeRelay{}
	var model tea.Model = New("x", relay.run)
	model = send(model, model.Init()())
	wasRun := func(prefix string) bool {
		for _, command := range relay.commands {
			if strings.HasPrefix(command, prefix) {
				return true
			}
		}
		return false
	}
	model = send(model, press("d"), press("n"))
	if wasRun("drain") {
		t.Error("a drain that was not confirmed ran")
	}
	model = send(model, press("down"), press("d"), press("y"))
	if !wasRun("drain s-2") {
		t.Errorf("drain s-2 was not run; commands: %q", relay.commands)
	}
	if model = send(model, press("u"), press("y")); !wasRun("undrain s-2") {
		t.Errorf("undrain s-2 was not run; commands: %q", relay.commands)
	}
	relay.unreachable = true
	if model = send(model, model.(Model).load(true)()); !strings.Contains(model.View(), "the relay does not answer") {
		t.Errorf("an unreachable relay is not reported:\n%s", model.View())
	}
	relay.unreachable = false
	if model = send(model, model.(Model).load(true)()); strings.Contains(model.View(), "does not answer") {
		t.Errorf("a relay that answers again is reported as unreachable:\n%s", model.View())
	}
	for range 60 { // beyond the last row
		model = send(model, press("down"))
	}
	for page := range pages {
		model = send(model, press(fmt.Sprint(page+1)), press("down"), press("w"), press("d"), press("n"), press("u"), press("n"))
		model.View()
	}
	if _, cmd := model.Update(press("q")); cmd == nil {
		t.Error("q returns no command to quit")
	}
}
