// Package tui is the console that fills a terminal: a relay's servers, transactions, refusals and orders, looked at
// anew every second through its console's socket, with draining a key away. It holds nothing of its own: a screen that is
// killed leaves what it has asked for to the relay.
package tui

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	tea "github.com/charmbracelet/bubbletea"
	"github.com/mattn/go-runewidth"

	"lockroad/internal/console"
	"lockroad/internal/registry"
)

// CommandFunc has the relay run a command of its console.
type CommandFunc func(command string) (string, error)

// The least that is complete, and below which nothing is shown.
const (
	wide, high = 80, 24
	narrowest  = 20
	every      = time.Second
	historyOf  = 60
)

// page is a table that the relay tells.
type page struct{ title, command, hint string }

var pages = []page{
	{"servers", "servers", "d drain  u undrain"},
	{"transactions", "transactions", "w why it is there"},
	{"refusals", `why --by answer,class,reason (answer "unavailable" "failed")`, ""},
	{"orders", "orders", "u undrain"},
	{"health", "health", ""},
	{"status", "status", "R restart  S stop"},
	{"log", "log 200", ""},
}

// Model is the state of a screen; it is changed by messages alone.
type Model struct {
	ask      CommandFunc
	name     string
	w, h     int
	page     int
	row      int      // that is chosen
	lines    []string // of the page, the head first
	text     []string // of an answer that is read; nil: none is
	top      int      // its first line that is shown
	question string   // that waits for a yes
	command  string   // to carry out then
	note     string   // what the last command said
	history  []int    // transactions, a look each
	delays   []int    // of the slowest server, in microseconds, a look each
	failed   error
}

// New returns a screen of a relay.
func New(name string, ask CommandFunc) Model { return Model{ask: ask, name: name, w: wide, h: high} }

type (
	looked struct {
		page   int
		lines  []string
		goesOn bool // it is one of those that come by time, and has the two that follow
		count  int  // transactions
		slow   int  // delay of the slowest server, in microseconds
		err    error
	}
	said struct {
		text string
		err  error
		read bool // it is to be read as a whole
	}
	tick struct{}
)

// Init begins to look.
func (m Model) Init() tea.Cmd { return m.look(true) }

// look asks for the page and, if it is one of those that go on, how many transactions there are
// and how slow the slowest server is.
func (m Model) look(goesOn bool) tea.Cmd {
	ask, p := m.ask, m.page
	return func() tea.Msg {
		l := looked{page: p, goesOn: goesOn}
		var text string
		if text, l.err = ask(pages[p].command); l.err != nil {
			return l
		}
		l.lines = split(text)
		if !goesOn {
			return l
		}
		if text, l.err = ask("status --json"); l.err == nil {
			l.count = int(sum(text, registry.StageWaiting.String(), registry.StageAttempting.String(), registry.StageEstablished.String()))
			text, l.err = ask("servers --json")
		}
		for line := range strings.Lines(text) {
			l.slow = max(l.slow, int(1e6*sum(line, "delay")))
		}
		return l
	}
}

// sum adds up members of an object that are figures.
func sum(object string, members ...string) (total float64) {
	var o map[string]any
	if json.Unmarshal([]byte(object), &o) != nil {
		return 0
	}
	for _, member := range members {
		n, _ := o[member].(float64)
		total += n
	}
	return total
}

func (m Model) say(command string, read bool) tea.Cmd {
	ask := m.ask
	return func() tea.Msg {
		text, err := ask(command)
		return said{text, err, read}
	}
}

// split makes lines of a text, with nothing in them that would move a terminal.
func split(text string) []string {
	text = strings.TrimRight(text, "\n")
	if text == "" {
		return nil
	}
	lines := strings.Split(text, "\n")
	for i, line := range lines {
		lines[i] = console.Sanitize(line)
	}
	return lines
}

// Update takes a message.
func (m Model) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case tea.WindowSizeMsg:
		m.w, m.h = msg.Width, msg.Height
	case looked:
		if m.failed = msg.err; msg.page == m.page && msg.err == nil {
			m.lines = msg.lines
			m.row = max(0, min(m.row, len(m.lines)-2))
		}
		if msg.goesOn && msg.err == nil {
			m.history, m.delays = push(m.history, msg.count), push(m.delays, msg.slow)
		}
		if msg.goesOn {
			return m, tea.Tick(every, func(time.Time) tea.Msg { return tick{} })
		}
	case tick:
		return m, m.look(true)
	case said:
		switch {
		case msg.err != nil:
			m.note = console.Sanitize(strings.TrimSpace(msg.err.Error()))
		case msg.read:
			m.text, m.top = split(msg.text), 0
		default:
			m.note = strings.Join(split(msg.text), " ")
		}
	case tea.KeyMsg:
		return m.key(msg.String())
	}
	return m, nil
}

func push(all []int, n int) []int {
	all = append(all, n)
	return all[max(0, len(all)-historyOf):]
}

// chosen is the first word of the row that is chosen.
func (m Model) chosen() string {
	if m.row+1 >= len(m.lines) {
		return ""
	}
	words := strings.Fields(m.lines[m.row+1])
	if len(words) == 0 {
		return ""
	}
	return words[0]
}

func (m Model) key(key string) (tea.Model, tea.Cmd) {
	if key == "ctrl+c" {
		return m, tea.Quit
	}
	if m.question != "" {
		command := m.command
		m.question, m.command = "", ""
		if key == "y" {
			return m, m.say(command, false)
		}
		m.note = "left as it is"
		return m, nil
	}
	if m.text != nil {
		switch key {
		case "down", "j":
			m.top = min(m.top+1, max(0, len(m.text)-m.room()))
		case "up", "k":
			m.top = max(0, m.top-1)
		default:
			m.text = nil
		}
		return m, nil
	}
	m.note = ""
	switch key {
	case "q":
		return m, tea.Quit
	case "tab", "right", "l":
		return m.turn((m.page + 1) % len(pages))
	case "shift+tab", "left", "h":
		return m.turn((m.page + len(pages) - 1) % len(pages))
	case "1", "2", "3", "4", "5", "6", "7":
		return m.turn(int(key[0] - '1'))
	case "down", "j":
		m.row = max(0, min(m.row+1, len(m.lines)-2))
	case "up", "k":
		m.row = max(0, m.row-1)
	case "?":
		m.text, m.top = help, 0
	case "d":
		if server := m.chosen(); pages[m.page].title == "servers" && server != "" {
			m.question, m.command = fmt.Sprintf("Drain %s? Its clients are moved, and nothing new goes there.", server), "drain "+server+" because of the console"
		}
	case "u":
		if server := m.chosen(); (pages[m.page].title == "servers" || pages[m.page].title == "orders") && server != "" {
			m.question, m.command = fmt.Sprintf("Withdraw the order that has %s drain?", server), "undrain "+server
		}
	case "R", "S":
		if pages[m.page].title == "status" {
			m.question, m.command = "Have the relay leave and start again? Everyone is moved.", "restart"
			if key == "S" {
				m.question, m.command = "Stop the relay? Everyone is moved away, and it stays down.", "drain"
			}
		}
	case "w":
		if number := m.chosen(); pages[m.page].title == "transactions" && number != "" {
			return m, m.say("why "+number, true)
		}
	}
	return m, nil
}

func (m Model) turn(page int) (tea.Model, tea.Cmd) {
	m.page, m.row, m.lines = page, 0, nil
	return m, m.look(false)
}

var help = []string{
	"1 to 7, tab   another page",
	"up and down   choose a row, or read on",
	"d             have the chosen server drain; it asks first",
	"u             withdraw the order that has it drain",
	"w             why the chosen transaction went where it went",
	"R, S          on the page of the status: restart or stop the relay; they ask first",
	"q             leave; whatever was asked for goes on",
	"",
	"Drains, orders and reasons are the relay's: a screen that is killed changes nothing of them.",
	"All of it is there as one-line commands too: lockroad console --socket PATH help",
}

// room is how many lines there are between the head and the foot.
func (m Model) room() int { return max(1, m.h-5) }

// View draws the screen.
func (m Model) View() string {
	if m.w < narrowest || m.h < 6 {
		return "lockroad: no room"
	}
	var b strings.Builder
	put := func(line string) {
		b.WriteString(fit(line, m.w))
		b.WriteByte('\n')
	}
	last := func(all []int) int {
		if len(all) == 0 {
			return 0
		}
		return all[len(all)-1]
	}
	head := "lockroad " + console.Sanitize(m.name) + "  "
	count := fmt.Sprintf("%d transactions ", last(m.history))
	slow := fmt.Sprintf("  slowest %s ", (time.Duration(last(m.delays)) * time.Microsecond).Round(100*time.Microsecond))
	bars := max(0, m.w-runewidth.StringWidth(head+count+slow)-1)
	put(head + count + spark(m.history, (bars+1)/2) + slow + spark(m.delays, bars/2))
	var tabs []string
	for i, p := range pages {
		title := fmt.Sprintf(" %d %s ", i+1, p.title)
		if i == m.page {
			title = fmt.Sprintf("[%d %s]", i+1, p.title)
		}
		tabs = append(tabs, title)
	}
	put(strings.Join(tabs, ""))
	put(strings.Repeat("-", m.w))
	body := make([]string, 0, m.room())
	switch {
	case m.text != nil:
		body = append(body, m.text[m.top:min(len(m.text), m.top+m.room())]...)
	case m.lines == nil && m.failed == nil:
		body = append(body, "...")
	default:
		body = m.rows()
	}
	for i := range m.room() {
		if i < len(body) {
			put(body[i])
		} else {
			put("")
		}
	}
	foot := "? help  q leave  tab next  " + pages[m.page].hint
	switch {
	case m.failed != nil:
		foot = "the relay does not answer: " + console.Sanitize(m.failed.Error())
	case m.question != "":
		foot = m.question + " y/n"
	case m.text != nil:
		foot = "up and down read on, any other key goes back"
	case m.note != "":
		foot = m.note
	}
	put(strings.Repeat("-", m.w))
	b.WriteString(fit(foot, m.w))
	return b.String()
}

// rows are the page's lines that there is room for, with the chosen one among them.
func (m Model) rows() (body []string) {
	if len(m.lines) == 0 {
		return []string{"nothing"}
	}
	body = append(body, "  "+m.lines[0])
	room := m.room() - 1
	from := max(0, min(m.row-room+1, len(m.lines)-1-room))
	for i := from; i < min(len(m.lines)-1, from+room); i++ {
		mark := "  "
		if i == m.row {
			mark = "> "
		}
		body = append(body, mark+m.lines[i+1])
	}
	return body
}

// fit makes a line as wide as the screen, by what a terminal counts.
func fit(line string, w int) string {
	return runewidth.FillRight(runewidth.Truncate(line, w, "~"), w)
}

// spark draws figures as bars, the last on the right.
func spark(figures []int, w int) string {
	const bars = " ▁▂▃▄▅▆▇█"
	figures = figures[max(0, len(figures)-w):]
	most := 1
	for _, n := range figures {
		most = max(most, n)
	}
	all := []rune(bars)
	var b strings.Builder
	for _, n := range figures {
		b.WriteRune(all[n*(len(all)-1)/most])
	}
	return b.String()
}
