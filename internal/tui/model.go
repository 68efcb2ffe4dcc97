// Package tui is the console that fills a terminal: a relay's endpoints, requests, rejections
// and drain directives, read again every second through its console's socket, with draining a
// key away. It keeps no state that matters: whatever it asked for belongs to the relay, also if
// the terminal is closed.
//
// Model is a model of bubbletea, whose event loop alone calls its methods. The commands that
// Update returns run in goroutines of bubbletea, which call the CommandFunc.
package tui

import (
	"encoding/json"
	"strings"
	"time"

	tea "github.com/charmbracelet/bubbletea"

	"lockroad/internal/console"
	"lockroad/internal/registry"
)

// CommandFunc runs a command of the relay's console and returns the answer. It must be safe for
// concurrent use.
type CommandFunc func(command string) (string, error)

const (
	defaultWidth, defaultHeight = 80, 24 // until the terminal says its size
	refreshInterval             = time.Second
	historyLength               = 60 // refreshes that the sparklines go back
)

// page is a table that a command of the relay's console writes.
type page struct{ title, command, hint string }

// Indexes of pages, one less than their keys.
const (
	pageEndpoints = iota
	pageRequests
	pageRejections
	pageDrainDirectives
	pageHealth
	pageStatus
	pageLog
)

var pages = []page{
	pageEndpoints:       {"servers", "servers", "d drain  u undrain"},
	pageRequests:        {"transactions", "transactions", "w why it is there"},
	pageRejections:      {"refusals", `why --by answer,class,reason (answer "unavailable" "failed")`, ""},
	pageDrainDirectives: {"orders", "orders", "u undrain"},
	pageHealth:          {"health", "health", ""},
	pageStatus:          {"status", "status", "R restart  S stop"},
	pageLog:             {"log", "log 200", ""},
}

// Model is the state of the screen. Only Update changes it, by returning another.
type Model struct {
	run           CommandFunc
	name          string // of the relay
	width, height int    // of the terminal, in cells

	page        int
	table       []string // lines of the page, the head first; nil: not loaded yet
	selectedRow int      // of the table, without its head

	document  []string // an answer that is shown in place of the page; nil: none is
	firstLine int      // of the document that is shown

	confirmation     string // question that waits for a yes; "" if none
	confirmedCommand string // to run then
	note             string // what the last command answered

	requestHistory []int // requests in progress, at each refresh
	delayHistory   []int // delay of the slowest endpoint in microseconds, at each refresh
	lastError      error // of loading; nil: the relay answers
}

// New returns the screen of a relay.
func New(name string, run CommandFunc) Model {
	return Model{run: run, name: name, width: defaultWidth, height: defaultHeight}
}

// Messages, besides those of the terminal.
type (
	// pageLoaded is the answer of a page's command.
	pageLoaded struct {
		page     int
		lines    []string
		periodic bool // it is a refresh, which has the two that follow, and the next comes after it
		requests int  // in progress
		// slowestDelay is the delay of the slowest endpoint, in microseconds.
		slowestDelay int
		err          error
	}
	// commandDone is the answer of another command.
	commandDone struct {
		text string
		err  error
		show bool // as a document rather than a note
	}
	refreshTick struct{}
)

// Init returns the first refresh.
func (m Model) Init() tea.Cmd { return m.load(true) }

// load returns the command that loads the page. A periodic one also loads how many requests are
// in progress, and how slow the slowest endpoint is.
func (m Model) load(periodic bool) tea.Cmd {
	run, page := m.run, m.page
	return func() tea.Msg {
		loaded := pageLoaded{page: page, periodic: periodic}
		text, err := run(pages[page].command)
		if err != nil {
			loaded.err = err
			return loaded
		}
		loaded.lines = splitLines(text)
		if periodic {
			loaded.loadFigures(run)
		}
		return loaded
	}
}

// loadFigures loads the figures of the head.
func (l *pageLoaded) loadFigures(run CommandFunc) {
	var text string
	if text, l.err = run("status --json"); l.err == nil {
		inProgress := sumMembers(text, registry.StageWaiting.String(), registry.StageAttempting.String(), registry.StageEstablished.String())
		l.requests = int(inProgress)
		text, l.err = run("servers --json")
	}
	for line := range strings.Lines(text) {
		l.slowestDelay = max(l.slowestDelay, int(1e6*sumMembers(line, "delay")))
	}
}

// sumMembers adds up members of a JSON object, without those that are no numbers.
func sumMembers(object string, members ...string) (total float64) {
	var values map[string]any
	if json.Unmarshal([]byte(object), &values) != nil {
		return 0
	}
	for _, member := range members {
		number, _ := values[member].(float64)
		total += number
	}
	return total
}

// runCommand returns the command that runs one of the relay's console.
func (m Model) runCommand(command string, show bool) tea.Cmd {
	run := m.run
	return func() tea.Msg {
		text, err := run(command)
		return commandDone{text: text, err: err, show: show}
	}
}

// splitLines returns the lines of a text, without anything that would control the terminal.
func splitLines(text string) []string {
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

// Update applies a message.
func (m Model) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case tea.WindowSizeMsg:
		m.width, m.height = msg.Width, msg.Height
	case pageLoaded:
		return m.applyLoaded(msg)
	case refreshTick:
		return m, m.load(true)
	case commandDone:
		return m.applyDone(msg), nil
	case tea.KeyMsg:
		return m.handleKey(msg.String())
	}
	return m, nil
}

// applyLoaded applies what was loaded, unless another page was opened meanwhile. After a
// periodic one it returns the wait for the next.
func (m Model) applyLoaded(loaded pageLoaded) (tea.Model, tea.Cmd) {
	m.lastError = loaded.err
	if loaded.err == nil && loaded.page == m.page {
		m.table = loaded.lines
		m.selectedRow = m.clampRow(m.selectedRow)
	}
	if !loaded.periodic {
		return m, nil
	}
	if loaded.err == nil {
		m.requestHistory = appendHistory(m.requestHistory, loaded.requests)
		m.delayHistory = appendHistory(m.delayHistory, loaded.slowestDelay)
	}
	return m, tea.Tick(refreshInterval, func(time.Time) tea.Msg { return refreshTick{} })
}

func (m Model) applyDone(done commandDone) Model {
	switch {
	case done.err != nil:
		m.note = console.Sanitize(strings.TrimSpace(done.err.Error()))
	case done.show:
		m.document, m.firstLine = splitLines(done.text), 0
	default:
		m.note = strings.Join(splitLines(done.text), " ")
	}
	return m
}

// appendHistory appends a figure to those of the last refreshes.
func appendHistory(history []int, figure int) []int {
	history = append(history, figure)
	return history[max(0, len(history)-historyLength):]
}

// clampRow returns the row of the table that is nearest.
func (m Model) clampRow(row int) int { return max(0, min(row, len(m.table)-2)) }

// selectedName returns the first word of the selected row, "" if there is none.
func (m Model) selectedName() string {
	if m.selectedRow+1 >= len(m.table) {
		return ""
	}
	words := strings.Fields(m.table[m.selectedRow+1])
	if len(words) == 0 {
		return ""
	}
	return words[0]
}
