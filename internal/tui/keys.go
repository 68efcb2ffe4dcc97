package tui

import (
	"fmt"

	tea "github.com/charmbracelet/bubbletea"
)

// helpLines is the help of the screen.
var helpLines = []string{
	"1 to 7, tab   open another page",
	"up and down   select a row, or scroll",
	"d             drain the selected server, if confirmed",
	"u             withdraw the order to drain the selected server, if confirmed",
	"w             explain how the selected transaction was routed",
	"R, S          on the status page: restart or stop the relay, if confirmed",
	"q             quit; confirmed commands are still carried out",
	"",
	"The relay keeps the orders to drain: they stay if this program is killed.",
	"One-line commands do the same: lockroad console --socket PATH help",
}

// handleKey applies a key to the pending confirmation, or else to the document that is shown, or else to
// the page.
func (m Model) handleKey(key string) (tea.Model, tea.Cmd) {
	switch {
	case key == "ctrl+c":
		return m, tea.Quit
	case m.confirmation != "":
		return m.answerConfirmation(key)
	case m.document != nil:
		return m.scrollDocument(key), nil
	}
	m.notice = ""
	switch key {
	case "q":
		return m, tea.Quit
	case "tab", "right", "l":
		return m.openPage((m.page + 1) % len(pages))
	case "shift+tab", "left", "h":
		return m.openPage((m.page + len(pages) - 1) % len(pages))
	case "1", "2", "3", "4", "5", "6", "7":
		return m.openPage(int(key[0] - '1'))
	case "down", "j":
		m.selectedRow = m.clampRow(m.selectedRow + 1)
	case "up", "k":
		m.selectedRow = max(0, m.selectedRow-1)
	case "?":
		m.document, m.firstLine = helpLines, 0
	default:
		return m.handlePageKey(key)
	}
	return m, nil
}

// handlePageKey applies a key that only some pages have.
func (m Model) handlePageKey(key string) (tea.Model, tea.Cmd) {
	name := m.selectedName()
	switch key {
	case "d":
		if m.page == pageEndpoints && name != "" {
			m.confirm(fmt.Sprintf("Drain %s? Its clients are moved away, and it gets no new ones.", name), "drain "+name+" because of the console")
		}
	case "u":
		if (m.page == pageEndpoints || m.page == pageDrainDirectives) && name != "" {
			m.confirm(fmt.Sprintf("Withdraw the order to drain %s?", name), "undrain "+name)
		}
	case "R":
		if m.page == pageStatus {
			m.confirm("Restart the relay? All clients are moved away.", "restart")
		}
	case "S":
		if m.page == pageStatus {
			m.confirm("Stop the relay? All clients are moved away, and it is not restarted.", "drain")
		}
	case "w":
		if m.page == pageRequests && name != "" {
			return m, m.runCommand("why "+name, true)
		}
	}
	return m, nil
}

// confirm asks a question, and runs a command if the answer is y.
func (m *Model) confirm(question, command string) {
	m.confirmation, m.confirmedCommand = question, command
}

// answerConfirmation applies the key that answers the pending confirmation.
func (m Model) answerConfirmation(key string) (tea.Model, tea.Cmd) {
	command := m.confirmedCommand
	m.confirm("", "")
	if key == "y" {
		return m, m.runCommand(command, false)
	}
	m.notice = "cancelled"
	return m, nil
}

// scrollDocument scrolls the document. Any key other than up and down closes it.
func (m Model) scrollDocument(key string) Model {
	switch key {
	case "down", "j":
		m.firstLine = min(m.firstLine+1, max(0, len(m.document)-m.bodyHeight()))
	case "up", "k":
		m.firstLine = max(0, m.firstLine-1)
	default:
		m.document = nil
	}
	return m
}

// openPage opens a page, and returns the command that loads it.
func (m Model) openPage(page int) (tea.Model, tea.Cmd) {
	m.page, m.selectedRow, m.table = page, 0, nil
	return m, m.load(false)
}
