package tui

import (
	"fmt"
	"strings"
	"time"

	"github.com/mattn/go-runewidth"

	"lockroad/internal/console"
)

// Below this size nothing is shown, in cells.
const (
	minWidth  = 20
	minHeight = 6
)

// frameHeight is how many lines there are around the body: figures, tabs, rule, rule and foot.
const frameHeight = 5

// bodyHeight returns how many lines there are between the head and the foot.
func (m Model) bodyHeight() int { return max(1, m.height-frameHeight) }

// View draws the screen.
func (m Model) View() string {
	if m.width < minWidth || m.height < minHeight {
		return "lockroad: no room"
	}
	rule := strings.Repeat("-", m.width)
	lines := append(make([]string, 0, m.height), m.figuresLine(), m.tabsLine(), rule)
	lines = append(lines, m.bodyLines()...)
	lines = append(lines, rule, m.footLine())
	for i, line := range lines {
		lines[i] = fitLine(line, m.width)
	}
	return strings.Join(lines, "\n")
}

// figuresLine has the relay's name, and the figures of its requests and its slowest endpoint
// with their sparklines.
func (m Model) figuresLine() string {
	slowest := time.Duration(last(m.delayHistory)) * time.Microsecond
	name := "lockroad " + console.Sanitize(m.name) + "  "
	requests := fmt.Sprintf("%d transactions ", last(m.requestHistory))
	delay := fmt.Sprintf("  slowest %s ", slowest.Round(100*time.Microsecond))
	bars := max(0, m.width-runewidth.StringWidth(name+requests+delay)-1)
	return name + requests + sparkline(m.requestHistory, (bars+1)/2) + delay + sparkline(m.delayHistory, bars/2)
}

// tabsLine has the pages' titles.
func (m Model) tabsLine() string {
	var tabs strings.Builder
	for i, page := range pages {
		format := " %d %s "
		if i == m.page {
			format = "[%d %s]"
		}
		fmt.Fprintf(&tabs, format, i+1, page.title)
	}
	return tabs.String()
}

// bodyLines returns bodyHeight lines: those of the document or the page, and empty ones.
func (m Model) bodyLines() []string {
	body := make([]string, m.bodyHeight())
	switch {
	case m.document != nil:
		copy(body, m.document[m.firstLine:])
	case m.table == nil && m.lastError == nil:
		body[0] = "..."
	default:
		copy(body, m.tableLines())
	}
	return body
}

// tableLines returns the lines of the table that there is room for, with the selected row among
// them.
func (m Model) tableLines() []string {
	if len(m.table) == 0 {
		return []string{"nothing"}
	}
	rows := m.table[1:]
	room := m.bodyHeight() - 1
	first := max(0, min(m.selectedRow-room+1, len(rows)-room))
	lines := []string{"  " + m.table[0]}
	for i := first; i < min(len(rows), first+room); i++ {
		mark := "  "
		if i == m.selectedRow {
			mark = "> "
		}
		lines = append(lines, mark+rows[i])
	}
	return lines
}

// footLine has what matters most of errors, questions, notes and hints.
func (m Model) footLine() string {
	switch {
	case m.lastError != nil:
		return "the relay does not answer: " + console.Sanitize(m.lastError.Error())
	case m.confirmation != "":
		return m.confirmation + " y/n"
	case m.document != nil:
		return "up and down read on, any other key goes back"
	case m.note != "":
		return m.note
	}
	return "? help  q leave  tab next  " + pages[m.page].hint
}

// fitLine truncates or pads a line to a width, in cells of the terminal.
func fitLine(line string, width int) string {
	return runewidth.FillRight(runewidth.Truncate(line, width, "~"), width)
}

// last returns the last figure, 0 if there is none.
func last(figures []int) int {
	if len(figures) == 0 {
		return 0
	}
	return figures[len(figures)-1]
}

// sparkline draws the last figures as bars, the highest at full height.
func sparkline(figures []int, width int) string {
	const heights = " ▁▂▃▄▅▆▇█"
	figures = figures[max(0, len(figures)-width):]
	highest := 1
	for _, figure := range figures {
		highest = max(highest, figure)
	}
	bars := []rune(heights)
	var line strings.Builder
	for _, figure := range figures {
		line.WriteRune(bars[figure*(len(bars)-1)/highest])
	}
	return line.String()
}
