package tui

import (
	"fmt"

	tea "github.com/charmbracelet/bubbletea"
)

var helpLines = []string{
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

// handleKey applies a key, which means something else while a question waits or a document is
// shown.
func (m Model) handleKey(key string) (tea.Model, tea.Cmd) {
	switch {
	case key == "ctrl+c":
		return m, tea.Quit
	case m.confirmation != "":
		return m.answerConfirmation(key)
	case m.document != nil:
		return m.scrollDocument(key), nil
	}
	m.note = ""
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

// handlePageKey applies a key that has a meaning on some pages only.
func (m Model) handlePageKey(key string) (tea.Model, tea.Cmd) {
	name := m.selectedName()
	switch key {
	case "d":
		if m.page == pageEndpoints && name != "" {
			m.confirm(fmt.Sprintf("Drain %s? Its clients are moved, and nothing new goes there.", name), "drain "+name+" because of the console")
		}
	case "u":
		if (m.page == pageEndpoints || m.page == pageDrainDirectives) && name != "" {
			m.confirm(fmt.Sprintf("Withdraw the order that has %s drain?", name), "undrain "+name)
		}
	case "R":
		if m.page == pageStatus {
			m.confirm("Have the relay leave and start again? Everyone is moved.", "restart")
		}
	case "S":
		if m.page == pageStatus {
			m.confirm("Stop the relay? Everyone is moved away, and it stays down.", "drain")
		}
	case "w":
		if m.page == pageRequests && name != "" {
			return m, m.runCommand("why "+name, true)
		}
	}
	return m, nil
}

// confirm asks a question; a yes runs a command.
func (m *Model) confirm(question, command string) {
	m.confirmation, m.confirmedCommand = question, command
}

func (m Model) answerConfirmation(key string) (tea.Model, tea.Cmd) {
	command := m.confirmedCommand
	m.confirm("", "")
	if key == "y" {
		return m, m.runCommand(command, false)
	}
	m.note = "left as it is"
	return m, nil
}

// scrollDocument scrolls the document; any other key closes it.
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

func (m Model) openPage(page int) (tea.Model, tea.Cmd) {
	m.page, m.selectedRow, m.table = page, 0, nil
	return m, m.load(false)
}
