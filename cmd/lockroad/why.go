package main

import (
	"errors"

	"lockroad/internal/explain"
)

// whyCommand implements "lockroad why": it asks a relay for explanations of its routing decisions.
type whyCommand struct {
	consoleTarget
	Of    string   `arg:"" optional:"" name:"name" help:"Number of a transaction, its name as given by the client, or the key of its flow."`
	Where string   `placeholder:"QUERY" help:"Select transactions with a query, an S-expression; its forms are listed above."`
	By    []string `placeholder:"FIELD" help:"Print counts grouped by these fields instead of explanations."`
	Most  int      `placeholder:"N" help:"Print at most N explanations, the most recent first."`
	JSON  bool     `name:"json" help:"Print JSON, one object per line."`
}

// Help returns the examples and the query forms shown by --help.
func (*whyCommand) Help() string {
	return `Examples:
  lockroad why 9b1f03aa5c7e2d41
  lockroad why --where '(and (class "live") (answer "unavailable") (since 5m))'
  lockroad why --by server,reason --where '(since 10m)'

Exit codes:
  0    the command succeeded
  1    the relay rejected the query, or retains no such transaction
  2    the command line is malformed
  3    no relay answers at the socket

The forms of a query are:
` + explain.FilterHelp()
}

// Validate rejects a transaction together with a query.
func (c *whyCommand) Validate() error {
	if c.Of != "" && c.Where != "" {
		return errors.New("a transaction and --where are mutually exclusive")
	}
	return c.consoleTarget.Validate()
}

// Run sends the query to the console.
func (c *whyCommand) Run(std streams) error {
	query := explain.Query{Subject: c.Of, Where: c.Where, CountBy: c.By, Limit: c.Most, JSON: c.JSON}
	return c.run("why "+query.Line(), std)
}
