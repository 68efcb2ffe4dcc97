package main

import (
	"errors"

	"lockroad/internal/explain"
)

// whyCommand asks a relay for explanations of its decisions.
type whyCommand struct {
	consoleTarget
	Of    string   `arg:"" optional:"" name:"name" help:"A transaction's number, its name as the client calls it, or the key of its flow."`
	Where string   `placeholder:"QUERY" help:"Choose by an S-expression."`
	By    []string `placeholder:"FIELD,..." help:"Count by these instead of telling of each."`
	Most  int      `placeholder:"N" help:"Tell of so many at the most, the youngest first."`
	JSON  bool     `name:"json" help:"Write JSON, an object a line."`
}

// Help has examples and the forms of a query.
func (*whyCommand) Help() string {
	return `Examples:
  lockroad why 9b1f03aa5c7e2d41
  lockroad why --where '(and (class "live") (answer "unavailable") (since 5m))'
  lockroad why --by server,reason --where '(since 10m)'

A query is one of:
` + explain.FilterHelp()
}

// Validate requires at most one way to choose requests.
func (c *whyCommand) Validate() error {
	if c.Of != "" && c.Where != "" {
		return errors.New("a name and --where exclude each other")
	}
	return c.consoleTarget.Validate()
}

// Run asks at the console.
func (c *whyCommand) Run(std streams) error {
	query := explain.Query{Subject: c.Of, Where: c.Where, CountBy: c.By, Limit: c.Most, JSON: c.JSON}
	return c.run("why "+query.Line(), std)
}
