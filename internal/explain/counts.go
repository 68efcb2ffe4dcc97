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

// countFields are the names of the fields that requests can be counted by.
var countFields = []string{"class", "front", "answer", "cause", "group", "server", "reason", "verdict", "outcome", "passes", "tenant"}

const (
	keySeparator = '\x00' // separates the values in the key of a row
	noValue      = "-"    // shown for a missing value
)

// entryCounter counts requests by the values of fields. A request is counted once in each
// row that one of its decisions matches; one without decisions is counted in the row without
// values of a decision. It avoids allocations, so that counting a full log does not trigger
// the garbage collector while the proxy's event loop runs.
type entryCounter struct {
	endpointNames EndpointNames
	fields        []string
	rows          map[string]*countRow // by their values of fields, joined with keySeparator
	keyBuffer     []byte
	total         int // number of requests
}

// countRow is a row of the counts.
type countRow struct {
	count      int
	lastNumber uint64 // number of the last counted request
}

// writeCounts writes the number of requests in each row, the highest first.
func (e *Explainer) writeCounts(query Query, out io.Writer) error {
	for _, field := range query.CountBy {
		if !slices.Contains(countFields, field) {
			return fmt.Errorf("unknown field %q in --by; expected %s", field, strings.Join(countFields, ", "))
		}
	}
	matches, err := e.filterOf(query)
	if err != nil {
		return err
	}
	counter := &entryCounter{endpointNames: e.Names, fields: query.CountBy, rows: make(map[string]*countRow)}
	if query.Subject != "" {
		entries, err := e.entriesOfSubject(query.Subject)
		if err != nil {
			return err
		}
		for _, entry := range entries {
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
	fmt.Fprintf(out, "%d transactions; each is counted once in every row that one of its decisions matches\n%s", counter.total, e.retentionText())
	return nil
}

// add counts the request of an entry.
func (c *entryCounter) add(entry *decisionlog.Entry) {
	c.total++
	hasDecision := false
	for i := range entry.Events {
		if entry.Events[i].Kind == decisionlog.EventDecision {
			hasDecision = true
			c.countDecision(entry, &entry.Events[i].Decision, outcomeAfter(entry.Events, i))
		}
	}
	if !hasDecision {
		c.countDecision(entry, nil, "")
	}
}

// outcomeAfter returns the outcome of the attempt that a decision started, or "" if there
// was none. decision is the index of the decision's event.
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

// countDecision counts a request in the row of one of its decisions. decision is nil for a
// request without decisions.
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

// fieldValue returns the value of one of countFields, or "" if it has none.
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

// sortedKeys returns the keys of the rows, sorted by descending count.
func (c *entryCounter) sortedKeys() []string {
	return slices.SortedFunc(maps.Keys(c.rows), func(x, y string) int {
		return cmp.Or(cmp.Compare(c.rows[y].count, c.rows[x].count), strings.Compare(x, y))
	})
}

// writeJSON writes one JSON object per row.
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

// writeTable writes the rows as a table.
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
