package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"lockroad/balancer"
	"lockroad/internal/decisionlog"
	"lockroad/internal/registry"
)

// countFields are what requests are counted by.
var countFields = []string{"class", "front", "answer", "cause", "group", "server", "reason", "verdict", "outcome", "passes", "tenant"}

const (
	keySeparator = '\x00' // between the values of a row's key
	noValue      = "-"
)

// entryCounter counts requests by fields. One counts once in each row that one of its
// decisions falls in, or without a decision in a row of its own. It allocates next to
// nothing: counting all of a full log should not make the garbage collector run beside the
// proxy's event loop.
type entryCounter struct {
	endpointNames EndpointNames
	fields        []string
	rows          map[string]*countRow // by the values of fields
	keyBuffer     []byte
	total         int // of requests
}

type countRow struct {
	count      int
	lastNumber uint64 // number of the request that was counted last
}

// writeCounts writes how many requests fall in each row, the most first.
func (e *Explainer) writeCounts(query Query, out io.Writer) error {
	for _, field := range query.CountBy {
		if !slices.Contains(countFields, field) {
			return fmt.Errorf("nothing is counted by %q; expected %s", field, strings.Join(countFields, ", "))
		}
	}
	matches, err := e.filterOf(query)
	if err != nil {
		return err
	}
	counter := &entryCounter{endpointNames: e.Names, fields: query.CountBy, rows: make(map[string]*countRow)}
	if query.Subject != "" {
		named, err := e.entriesNamed(query.Subject)
		if err != nil {
			return err
		}
		for _, entry := range named {
			counter.add(entry)
		}
	} else {
		now := e.Log.Clock().Now()
		e.Log.Each(func(entry *decisionlog.Entry) bool {
			if matches(entry, now) {
				counter.add(entry)
			}
			return true
		})
	}
	if query.JSON {
		counter.writeJSON(out)
		return nil
	}
	counter.writeTable(out)
	fmt.Fprintf(out, "%d transactions; one counts in each row that a decision of its falls in\n%s", counter.total, e.retentionText())
	return nil
}

// add counts a request.
func (c *entryCounter) add(entry *decisionlog.Entry) {
	c.total++
	decided := false
	for i := range entry.Events {
		if entry.Events[i].Kind == decisionlog.EventDecision {
			decided = true
			c.countDecision(entry, &entry.Events[i].Decision, outcomeAfter(entry.Events, i))
		}
	}
	if !decided {
		c.countDecision(entry, nil, "")
	}
}

// outcomeAfter returns how the attempt ended that a decision led to, "" if there was none.
func outcomeAfter(events []decisionlog.Event, decision int) string {
	if events[decision].Decision.Verdict != balancer.VerdictSent {
		return ""
	}
	for i := decision + 1; i < len(events) && events[i].Kind != decisionlog.EventDecision; i++ {
		if events[i].Kind == decisionlog.EventAttemptEnded {
			return registry.StatusNames[events[i].Status]
		}
	}
	return ""
}

// countDecision counts a request in the row of one of its decisions, which is nil for a
// request without any.
func (c *entryCounter) countDecision(entry *decisionlog.Entry, decision *balancer.Decision, outcome string) {
	c.keyBuffer = c.keyBuffer[:0]
	for i, field := range c.fields {
		if i > 0 {
			c.keyBuffer = append(c.keyBuffer, keySeparator)
		}
		c.keyBuffer = append(c.keyBuffer, cmp.Or(c.fieldValue(entry, decision, outcome, field), noValue)...)
	}
	row := c.rows[string(c.keyBuffer)]
	if row == nil {
		row = &countRow{}
		c.rows[string(c.keyBuffer)] = row
	}
	if row.lastNumber != entry.Number {
		row.count++
		row.lastNumber = entry.Number
	}
}

// fieldValue returns the value of one of countFields, "" if there is none.
func (c *entryCounter) fieldValue(entry *decisionlog.Entry, decision *balancer.Decision, outcome, field string) string {
	switch field {
	case "class":
		return entry.Class
	case "tenant":
		return entry.Tenant
	case "front":
		return entry.Frontend
	case "answer":
		return entry.ResultName()
	case "cause":
		if result, ended := entry.Result(); ended {
			return result.Cause.String()
		}
		return ""
	case "group":
		return fmt.Sprintf("%016x", entry.Group)
	case "passes":
		return strconv.Itoa(len(entry.Attempts()))
	case "outcome":
		return outcome
	}
	if decision == nil {
		return ""
	}
	switch field {
	case "server":
		if decision.Verdict == balancer.VerdictSent || decision.Verdict == balancer.VerdictMigrated {
			return c.endpointNames.Name(decision.Endpoint)
		}
	case "reason":
		return decision.Reason.String()
	case "verdict":
		return decision.Verdict.String()
	}
	return ""
}

// sortedKeys returns the keys of the rows, the highest count first.
func (c *entryCounter) sortedKeys() []string {
	return slices.SortedFunc(maps.Keys(c.rows), func(x, y string) int {
		return cmp.Or(cmp.Compare(c.rows[y].count, c.rows[x].count), strings.Compare(x, y))
	})
}

// writeJSON writes one JSON object a row.
func (c *entryCounter) writeJSON(out io.Writer) {
	for _, key := range c.sortedKeys() {
		values := strings.Split(key, string(keySeparator))
		fmt.Fprint(out, "{")
		for i, field := range c.fields {
			fmt.Fprintf(out, "%q:%q,", field, values[i])
		}
		fmt.Fprintf(out, "\"count\":%d}\n", c.rows[key].count)
	}
}

// writeTable writes the rows in columns.
func (c *entryCounter) writeTable(out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, field := range c.fields {
		fmt.Fprintf(table, "%s\t", strings.ToUpper(field))
	}
	fmt.Fprintln(table, "COUNT")
	for _, key := range c.sortedKeys() {
		fmt.Fprintf(table, "%s\t%d\n", strings.ReplaceAll(key, string(keySeparator), "\t"), c.rows[key].count)
	}
	table.Flush()
}
