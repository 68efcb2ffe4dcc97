package explain

import (
	"cmp"
	"errors"
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

// Query is what is asked, as a console or the command line puts it.
type Query struct {
	Subject string   // a number or name; empty: by Where
	Where   string   // an S-expression; empty: all
	By      []string // counts by these instead of accounts
	Limit   int      // accounts at the most, the youngest first; 0: MostUsual
	JSON    bool
}

// MostUsual and MostEver bound the accounts of one answer.
const (
	DefaultLimit = 10
	MaxLimit     = 500
)

// Line writes the question as ParseLine reads it.
func (q Query) Line() string {
	var all []string
	if q.JSON {
		all = append(all, "--json")
	}
	if q.Limit != 0 {
		all = append(all, "--most", strconv.Itoa(q.Limit))
	}
	if len(q.By) > 0 {
		all = append(all, "--by", strings.Join(q.By, ","))
	}
	switch {
	case q.Where != "":
		all = append(all, "--where", strings.Join(strings.Fields(q.Where), " "))
	case q.Subject != "":
		all = append(all, "--", q.Subject)
	}
	return strings.Join(all, " ")
}

// ParseLine reads a question: [--json] [--most N] [--by FIELD,...] then a number or
// name, or --where and an S-expression, which last to the line's end.
func ParseLine(line string) (q Query, err error) {
	rest := strings.TrimSpace(line)
	for rest != "" {
		if rest[0] == '(' {
			q.Where = rest
			return q, nil
		}
		word, after, _ := strings.Cut(rest, " ")
		after = strings.TrimSpace(after)
		value := func() (string, error) {
			v, last, _ := strings.Cut(after, " ")
			if v == "" {
				return "", fmt.Errorf("%s wants a value", word)
			}
			after = strings.TrimSpace(last)
			return v, nil
		}
		switch word {
		case "--json":
			q.JSON = true
		case "--most":
			v, err := value()
			if err != nil {
				return q, err
			}
			if q.Limit, err = strconv.Atoi(v); err != nil || q.Limit < 1 || q.Limit > MaxLimit {
				return q, fmt.Errorf("--most %s: expected a number from 1 to %d", v, MaxLimit)
			}
		case "--by":
			v, err := value()
			if err != nil {
				return q, err
			}
			q.By = strings.Split(v, ",")
		case "--where":
			if q.Where = after; after == "" {
				return q, errors.New("--where wants a query, such as (answer \"unavailable\")")
			}
			return q, nil
		case "--":
			q.Subject = after
			return q, nil
		default:
			if strings.HasPrefix(word, "--") {
				return q, fmt.Errorf("unknown option %s; expected --json, --most, --by or --where", word)
			}
			q.Subject = rest
			return q, nil
		}
		rest = after
	}
	return q, nil
}

// Answer answers a question. An error is for the one who asks: the question makes no
// sense, or the record no longer has or never had what it is about.
func (w *Explainer) Answer(q Query, out io.Writer) error {
	if len(q.By) > 0 {
		return w.count(q, out)
	}
	chosen, total, err := w.choose(q)
	if err != nil && q.Subject != "" {
		// It may have come before a restart, or so long ago that memory holds it no more.
		if all, odd := w.shelved(q.Subject, cmp.Or(q.Limit, DefaultLimit)); len(all) > 0 {
			return writeAll(out, q, all)
		} else if odd != nil {
			return fmt.Errorf("%w; %w", err, odd)
		}
	}
	if err != nil {
		return err
	}
	accounts := make([]*Explanation, len(chosen))
	for i, t := range chosen {
		accounts[i] = w.Explain(t)
	}
	if err := writeAll(out, q, accounts); err != nil || q.JSON {
		return err
	}
	if total == 0 {
		fmt.Fprintln(out, "no transaction that is kept is so")
	}
	if total > len(chosen) {
		fmt.Fprintf(out, "\n%d of %d; --most shows more, --by counts all\n", len(chosen), total)
	}
	if q.Subject == "" {
		fmt.Fprint(out, w.reach())
	}
	return nil
}

func writeAll(out io.Writer, q Query, accounts []*Explanation) error {
	if q.JSON {
		return WriteJSON(out, accounts)
	}
	for i, a := range accounts {
		if i > 0 {
			fmt.Fprintln(out)
		}
		a.Write(out)
	}
	return nil
}

// reach tells how far back the record goes.
func (w *Explainer) reach() string {
	s := w.Log.Stats()
	if s.DroppedAll() == 0 {
		return ""
	}
	clock := w.Log.Clock()
	return fmt.Sprintf("no longer kept: %d uneventful, %d eventful and %d unanswered; all that came within the last %s are kept\n",
		s.Dropped["uneventful"], s.Dropped["eventful"], s.Dropped["under-way"], span(clock.Now()-s.Horizon))
}

// where returns what chooses the transactions of a question that names none.
func (w *Explainer) where(q Query) (Filter, error) {
	if q.Where == "" {
		return MatchAll, nil
	}
	return Compile(q.Where, w.Names)
}

// choose returns the transactions asked for, the youngest first, and how many there are.
func (w *Explainer) choose(q Query) ([]*decisionlog.Entry, int, error) {
	if q.Subject != "" {
		all, err := w.named(q.Subject)
		return all, len(all), err
	}
	holds, err := w.where(q)
	if err != nil {
		return nil, 0, err
	}
	most := cmp.Or(q.Limit, DefaultLimit)
	now := w.Log.Clock().Now()
	var all []*decisionlog.Entry
	total := 0
	byAge := func() {
		slices.SortFunc(all, func(x, y *decisionlog.Entry) int { return cmp.Compare(y.Number, x.Number) })
	}
	w.Log.Each(func(t *decisionlog.Entry) bool {
		if holds(t, now) {
			total++
			if all = append(all, t.Clone()); len(all) >= 4*most {
				byAge()
				all = all[:most]
			}
		}
		return true
	})
	byAge()
	return all[:min(len(all), most)], total, nil
}

// named returns what a number or a name stands for.
func (w *Explainer) named(of string) ([]*decisionlog.Entry, error) {
	byName, err := w.Log.Name(of)
	if err == nil {
		return byName[:min(len(byName), DefaultLimit)], nil
	}
	n, bad := strconv.ParseUint(of, 10, 64)
	if bad != nil || len(of) > 12 {
		if s := w.Log.Stats(); errors.Is(err, decisionlog.ErrEvicted) {
			return nil, fmt.Errorf("%w: %s%s", err, strings.TrimSuffix(w.reach(), "\n"), more(s))
		}
		return nil, err
	}
	t, err := w.Log.Number(n)
	if errors.Is(err, decisionlog.ErrEvicted) {
		return nil, fmt.Errorf("%w: %s", err, strings.TrimSuffix(w.reach(), "\n"))
	}
	if err != nil {
		return nil, err
	}
	return []*decisionlog.Entry{t}, nil
}

func more(s decisionlog.Stats) string {
	if s.EventsLost == 0 {
		return ""
	}
	return fmt.Sprintf("; %d steps found no room", s.EventsLost)
}

// facets are what transactions are counted by.
var facets = []string{"class", "front", "answer", "cause", "group", "server", "reason", "verdict", "outcome", "passes", "tenant"}

// counter counts transactions by facets. One counts once in each row that one of its
// decisions falls in; one without a decision in a row of its own. It makes next to no
// garbage: who counts all of a full record should not set the collector to work beside
// the turn loop.
type counter struct {
	names EndpointNames
	by    []string
	rows  map[string]*row
	key   []byte
	total int
}

type row struct {
	count int
	last  uint64 // number of the transaction that was counted last
}

// add counts a transaction.
func (c *counter) add(t *decisionlog.Entry) {
	c.total++
	decided := false
	for i := range t.Events {
		if t.Events[i].Kind != decisionlog.EventDecision {
			continue
		}
		d, outcome := &t.Events[i].Decision, ""
		for j := i + 1; j < len(t.Events) && d.Verdict == balancer.VerdictSent && t.Events[j].Kind != decisionlog.EventDecision; j++ {
			if t.Events[j].Kind == decisionlog.EventAttemptEnded {
				outcome = registry.StatusNames[t.Events[j].Status]
				break
			}
		}
		decided = true
		c.count(t, d, outcome)
	}
	if !decided {
		c.count(t, nil, "")
	}
}

func (c *counter) count(t *decisionlog.Entry, d *balancer.Decision, outcome string) {
	c.key = c.key[:0]
	for i, f := range c.by {
		if i > 0 {
			c.key = append(c.key, 0)
		}
		c.key = append(c.key, cmp.Or(c.cell(t, d, outcome, f), "-")...)
	}
	r := c.rows[string(c.key)]
	if r == nil {
		r = &row{}
		c.rows[string(c.key)] = r
	}
	if r.last != t.Number {
		r.count, r.last = r.count+1, t.Number
	}
}

func (c *counter) cell(t *decisionlog.Entry, d *balancer.Decision, outcome, facet string) string {
	switch facet {
	case "class":
		return t.Class
	case "tenant":
		return t.Tenant
	case "front":
		return t.Front
	case "answer":
		return t.ResultName()
	case "cause":
		if f, ok := t.Result(); ok {
			return f.Cause.String()
		}
	case "group":
		return fmt.Sprintf("%016x", t.Group)
	case "passes":
		return strconv.Itoa(len(t.Attempts()))
	case "outcome":
		return outcome
	case "server":
		if d != nil && (d.Verdict == balancer.VerdictSent || d.Verdict == balancer.VerdictMigrated) {
			return c.names.Name(d.Endpoint)
		}
	case "reason":
		if d != nil {
			return d.Reason.String()
		}
	case "verdict":
		if d != nil {
			return d.Verdict.String()
		}
	}
	return ""
}

// count writes how many transactions fall in each row, the most first.
func (w *Explainer) count(q Query, out io.Writer) error {
	for _, f := range q.By {
		if !slices.Contains(facets, f) {
			return fmt.Errorf("nothing is counted by %q; expected %s", f, strings.Join(facets, ", "))
		}
	}
	holds, err := w.where(q)
	if err != nil {
		return err
	}
	c := &counter{names: w.Names, by: q.By, rows: make(map[string]*row)}
	if q.Subject != "" {
		named, err := w.named(q.Subject)
		if err != nil {
			return err
		}
		for _, t := range named {
			c.add(t)
		}
	} else {
		now := w.Log.Clock().Now()
		w.Log.Each(func(t *decisionlog.Entry) bool {
			if holds(t, now) {
				c.add(t)
			}
			return true
		})
	}
	return c.write(w, q, out)
}

func (c *counter) write(w *Explainer, q Query, out io.Writer) error {
	keys := slices.SortedFunc(maps.Keys(c.rows), func(x, y string) int {
		return cmp.Or(cmp.Compare(c.rows[y].count, c.rows[x].count), strings.Compare(x, y))
	})
	if q.JSON {
		for _, k := range keys {
			cells := strings.Split(k, "\x00")
			fmt.Fprint(out, "{")
			for i, f := range q.By {
				fmt.Fprintf(out, "%q:%q,", f, cells[i])
			}
			fmt.Fprintf(out, "\"count\":%d}\n", c.rows[k].count)
		}
		return nil
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, f := range q.By {
		fmt.Fprintf(t, "%s\t", strings.ToUpper(f))
	}
	fmt.Fprintln(t, "COUNT")
	for _, k := range keys {
		fmt.Fprintf(t, "%s\t%d\n", strings.ReplaceAll(k, "\x00", "\t"), c.rows[k].count)
	}
	t.Flush()
	fmt.Fprintf(out, "%d transactions; one counts in each row that a decision of its falls in\n%s", c.total, w.reach())
	return nil
}
