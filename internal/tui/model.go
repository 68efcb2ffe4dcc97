// Package tui implements the full-screen console. It shows a relay's endpoints, requests, rejections,
// drain directives, health, counters and log, refreshes them every second through the relay's console,
// and sends the commands that the operator confirms, such as to drain an endpoint. All state that must
// persist is in the relay, so the program may be closed or killed at any time.
//
// Model is a Bubble Tea model. Only the event loop of Bubble Tea calls its methods. The commands that
// Update returns run in other goroutines, and call the CommandFunc.
package tui

import (
	"encoding/json"
	"strings"
	"time"

	tea "github.com/charmbracelet/bubbletea"

	"lockroad/internal/console"
	"lockroad/internal/registry"
)

// CommandFunc runs a command line of the relay's console, and returns the text of the answer. It must
// be safe for concurrent use.
type CommandFunc func(command string) (string, error)

const (
	defaultWidth, defaultHeight = 80, 24 // until the terminal reports its size
	refreshInterval             = time.Second
	historyLength               = 60 // number of refreshes in the sparklines
)

// page shows the answer of a console command as a table. hint lists the page's own keys.
type page struct{ title, command, hint string }

// Indexes in pages. The key that opens a page is its index plus 1.
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
	pageRequests:        {"transactions", "transactions", "w explain"},
	pageRejections:      {"rejections", `why --by answer,class,reason (answer "unavailable" "failed")`, ""},
	pageDrainDirectives: {"orders", "orders", "u undrain"},
	pageHealth:          {"health", "health", ""},
	pageStatus:          {"status", "status", "R restart  S stop"},
	pageLog:             {"log", "log 200", ""},
}

// Model is the state of the screen. Update returns a changed copy.
type Model struct {
	run           CommandFunc
	name          string // of the relay
	width, height int    // of the terminal, in cells

	page        int      // index in pages
	table       []string // lines of the page, starting with the header; nil: not loaded yet
	selectedRow int      // index in the table's rows, without the header

	document  []string // text that is shown instead of the page; nil: none
	firstLine int      // index of the document's first visible line

	confirmation     string // question that waits for y or n; "" if none
	confirmedCommand string // console command to run after y
	notice           string // answer of the last command, shown in the footer

	requestHistory []int // requests in progress, at each refresh
	delayHistory   []int // delay of the slowest endpoint in microseconds, at each refresh
	lastError      error // of the last load; nil: it succeeded
}

// New returns the initial model. name is the name of the relay.
func New(name string, run CommandFunc) Model {
	return Model{run: run, name: name, width: defaultWidth, height: defaultHeight}
}

// Messages to Update, besides those of Bubble Tea.
type (
	// pageLoaded is the answer to a page's command.
	pageLoaded struct {
		page     int // index in pages
		lines    []string
		periodic bool // sets requests and slowestDelay, and schedules the next refresh
		requests int  // in progress
		// slowestDelay is the delay of the slowest endpoint, in microseconds.
		slowestDelay int
		err          error
	}
	// commandDone is the answer to a command that a key ran.
	commandDone struct {
		text       string
		err        error
		asDocument bool // shown as a document rather than a notice
	}
	// refreshTick starts the next refresh.
	refreshTick struct{}
)

// Init returns the command of the first refresh.
func (m Model) Init() tea.Cmd { return m.load(true) }

// load returns the command that loads the page. If periodic, it also loads the values of the summary
// line.
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
			loaded.loadSummary(run)
		}
		return loaded
	}
}

// loadSummary loads the number of requests in progress and the delay of the slowest endpoint.
func (l *pageLoaded) loadSummary(run CommandFunc) {
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

// sumMembers returns the sum of members of a JSON object. Those that are missing or not numbers count as 0.
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

// runCommand returns the tea.Cmd that runs a console command.
func (m Model) runCommand(command string, asDocument bool) tea.Cmd {
	run := m.run
	return func() tea.Msg {
		text, err := run(command)
		return commandDone{text: text, err: err, asDocument: asDocument}
	}
}

// splitLines returns the lines of a text, with control characters replaced.
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

// Update applies a message. It implements tea.Model.
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

// applyLoaded shows a loaded page, unless another page has been opened since. After a periodic load it
// returns the command that waits for the next.
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

// applyDone shows the answer or error of a command.
func (m Model) applyDone(done commandDone) Model {
	switch {
	case done.err != nil:
		m.notice = console.Sanitize(strings.TrimSpace(done.err.Error()))
	case done.asDocument:
		m.document, m.firstLine = splitLines(done.text), 0
	default:
		m.notice = strings.Join(splitLines(done.text), " ")
	}
	return m
}

// appendHistory appends a value, and drops all but the last historyLength values.
func appendHistory(history []int, value int) []int {
	history = append(history, value)
	return history[max(0, len(history)-historyLength):]
}

// clampRow returns the index of the table's row that is nearest to row.
func (m Model) clampRow(row int) int { return max(0, min(row, len(m.table)-2)) }

// selectedName returns the first word of the selected row, or "" if there is none.
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
