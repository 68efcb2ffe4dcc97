package tui

import (
	"fmt"
	"strings"
	"time"

	"github.com/mattn/go-runewidth"

	"lockroad/internal/console"
)

// Minimum size of the terminal, in cells.
const (
	minWidth  = 20
	minHeight = 6
)

// frameHeight is the number of lines around the body: summary, tabs, two separators and footer.
const frameHeight = 5

// bodyHeight returns the number of lines between the separators.
func (m Model) bodyHeight() int { return max(1, m.height-frameHeight) }

// View renders the screen. It implements tea.Model.
func (m Model) View() string {
	if m.width < minWidth || m.height < minHeight {
		return "terminal too small"
	}
	separator := strings.Repeat("-", m.width)
	lines := append(make([]string, 0, m.height), m.summaryLine(), m.tabsLine(), separator)
	lines = append(lines, m.bodyLines()...)
	lines = append(lines, separator, m.footerLine())
	for i, line := range lines {
		lines[i] = fitLine(line, m.width)
	}
	return strings.Join(lines, "\n")
}

// summaryLine returns the line with the relay's name, the number of requests in progress and the delay
// of the slowest endpoint, both with a sparkline.
func (m Model) summaryLine() string {
	slowest := time.Duration(last(m.delayHistory)) * time.Microsecond
	name := "lockroad " + console.Sanitize(m.name) + "  "
	requests := fmt.Sprintf("%d transactions ", last(m.requestHistory))
	delay := fmt.Sprintf("  slowest %s ", slowest.Round(100*time.Microsecond))
	barCount := max(0, m.width-runewidth.StringWidth(name+requests+delay)-1)
	return name + requests + sparkline(m.requestHistory, (barCount+1)/2) + delay + sparkline(m.delayHistory, barCount/2)
}

// tabsLine returns the line with the pages' keys and titles. The open page is in brackets.
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

// bodyLines returns bodyHeight lines: the visible part of the document or the page, and empty lines.
func (m Model) bodyLines() []string {
	body := make([]string, m.bodyHeight())
	switch {
	case m.document != nil:
		copy(body, m.document[m.firstLine:])
	case m.table == nil && m.lastError == nil:
		body[0] = "loading"
	default:
		copy(body, m.tableLines())
	}
	return body
}

// tableLines returns the header and as many rows of the table as fit, including the selected one.
func (m Model) tableLines() []string {
	if len(m.table) == 0 {
		return []string{"nothing to show"}
	}
	rows := m.table[1:]
	visibleRows := m.bodyHeight() - 1
	first := max(0, min(m.selectedRow-visibleRows+1, len(rows)-visibleRows))
	lines := []string{"  " + m.table[0]}
	for i := first; i < min(len(rows), first+visibleRows); i++ {
		marker := "  "
		if i == m.selectedRow {
			marker = "> "
		}
		lines = append(lines, marker+rows[i])
	}
	return lines
}

// footerLine returns the most important of the last error, the confirmation, the keys of a document, the
// notice, and the keys of the page.
func (m Model) footerLine() string {
	switch {
	case m.lastError != nil:
		return "the relay does not answer: " + console.Sanitize(m.lastError.Error())
	case m.confirmation != "":
		return m.confirmation + " y/n"
	case m.document != nil:
		return "up and down scroll, any other key closes this"
	case m.notice != "":
		return m.notice
	}
	return "? help  q quit  tab next  " + pages[m.page].hint
}

// fitLine truncates or pads a line to a width in cells.
func fitLine(line string, width int) string {
	return runewidth.FillRight(runewidth.Truncate(line, width, "~"), width)
}

// last returns the last value, or 0 if there is none.
func last(values []int) int {
	if len(values) == 0 {
		return 0
	}
	return values[len(values)-1]
}

// sparkline draws the last values as bars, at most width of them. The highest has full height.
func sparkline(values []int, width int) string {
	const heights = " ▁▂▃▄▅▆▇█"
	values = values[max(0, len(values)-width):]
	highest := 1
	for _, value := range values {
		highest = max(highest, value)
	}
	bars := []rune(heights)
	var line strings.Builder
	for _, value := range values {
		line.WriteRune(bars[value*(len(bars)-1)/highest])
	}
	return line.String()
}
