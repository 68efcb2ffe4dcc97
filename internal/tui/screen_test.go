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

var update = flag.Bool("update", false, "write the pictures anew")

// relay answers as a relay does, and keeps what it was told.
type relay struct {
	told []string
	dead bool
}

func (r *relay) ask(command string) (string, error) {
	r.told = append(r.told, command)
	if r.dead {
		return "", errors.New("no relay answers at /run/x\n") //nolint:revive // as a console answers, with its newline
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
		return "transaction 3, front line\n  came at 10:00:00\n", nil
	case "drain s-2 because of the console", "drain s-2 because the console":
		return "", nil
	}
	return "s-2 drains: nothing new goes there\n", nil
}

// play sends keys to a screen, and carries out what it wants done but for looks that come by time.
func play(m tea.Model, msgs ...tea.Msg) tea.Model {
	for _, msg := range msgs {
		var cmd tea.Cmd
		m, cmd = m.Update(msg)
		if _, timed := msg.(looked); cmd != nil && !timed {
			if next := cmd(); next != nil {
				m = play(m, next)
			}
		}
	}
	return m
}

func press(s string) tea.Msg {
	switch s {
	case "down":
		return tea.KeyMsg{Type: tea.KeyDown}
	case "tab":
		return tea.KeyMsg{Type: tea.KeyTab}
	}
	return tea.KeyMsg{Type: tea.KeyRunes, Runes: []rune(s)}
}

// Screens are as the pictures that are kept: go test ./internal/tui -update writes them.
func TestPictures(t *testing.T) {
	for _, c := range []struct {
		name string
		w, h int
		keys []string
	}{
		{"servers", wide, high, nil}, {"drain", wide, high, []string{"down", "d"}}, {"transactions", wide, high, []string{"2", "down", "down"}},
		{"why", wide, high, []string{"tab", "down", "down", "w"}}, {"help", wide, high, []string{"?"}}, {"stop", wide, high, []string{"6", "S"}}, {"narrow", 20, 10, []string{"down"}}, {"wider", 120, 30, nil}, {"too-small", 19, 24, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &relay{}
			var m tea.Model = New("music-room", r.ask)
			m = play(m, tea.WindowSizeMsg{Width: c.w, Height: c.h}, m.Init()())
			for _, key := range c.keys {
				m = play(m, press(key))
			}
			got := m.View()
			if c.name != "too-small" {
				lines := strings.Split(got, "\n")
				if len(lines) != c.h {
					t.Errorf("%d lines, want %d", len(lines), c.h)
				}
				for _, line := range lines {
					if w := runewidth.StringWidth(line); w != c.w {
						t.Errorf("%d wide, want %d: %q", w, c.w, line)
					}
				}
			}
			if strings.ContainsAny(got, "\x1b\u202e") {
				t.Error("a name moves the terminal")
			}
			file := filepath.Join("testdata", c.name+".txt")
			if *update {
				if err := os.MkdirAll("testdata", 0o755); err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(file, []byte(got+"\n"), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			if want, err := os.ReadFile(file); err != nil || string(want) != got+"\n" {
				t.Errorf("%v; it is\n%s", err, got)
			}
		})
	}
}

// A drain is asked for only after a yes, for the server that is chosen; a relay that does not answer is told of, and
// looked for again.
func TestKeys(t *testing.T) {
	r := &relay{}
	var m tea.Model = New("x", r.ask)
	m = play(m, m.Init()())
	has := func(command string) bool {
		for _, told := range r.told {
			if strings.HasPrefix(told, command) {
				return true
			}
		}
		return false
	}
	m = play(m, press("d"), press("n"))
	if has("drain") {
		t.Error("a no drains")
	}
	m = play(m, press("down"), press("d"), press("y"))
	if !has("drain s-2") {
		t.Errorf("told was %q", r.told)
	}
	if m = play(m, press("u"), press("y")); !has("undrain s-2") {
		t.Errorf("told was %q", r.told)
	}
	r.dead = true
	if m = play(m, m.(Model).look(true)()); !strings.Contains(m.View(), "the relay does not answer") {
		t.Errorf("it is\n%s", m.View())
	}
	r.dead = false
	if m = play(m, m.(Model).look(true)()); strings.Contains(m.View(), "does not answer") {
		t.Errorf("it is\n%s", m.View())
	}
	for range 60 { // beyond the end, on each page
		m = play(m, press("down"))
	}
	for page := range pages {
		m = play(m, press(fmt.Sprint(page+1)), press("down"), press("w"), press("d"), press("n"), press("u"), press("n"))
		m.View()
	}
	if _, cmd := m.Update(press("q")); cmd == nil {
		t.Error("q does not leave")
	}
}
